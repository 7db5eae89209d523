"""Decode batches of the simulator's wire into events."""

from __future__ import annotations

import struct
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from ..edge_names import SimulatorRecord
from ..types.events import (
    Arrival,
    AttemptEnded,
    ClientDisconnected,
    CounterReplied,
    Endpoint,
    Event,
    Health,
    ListKind,
    Outcome,
    PeerMessage,
    ProbeEnded,
    ResponseStarted,
    TimerFired,
    Topology,
)
from .protocol import ProtocolError, RequestCode, StartInstance, StopInstance


@dataclass(frozen=True, slots=True)
class _Layout:
    """Fixed part of a record, with the record's name on the wire for error messages."""

    name: str
    fields: struct.Struct


_CLOCK = _Layout("header", struct.Struct("<Q"))
_RECORD_CODE = _Layout("record code", struct.Struct("<H"))
_INSTANCE = _Layout(SimulatorRecord.SELECT_INSTANCE, struct.Struct("<I"))
_START = _Layout(SimulatorRecord.START, struct.Struct("<QI"))
_TOPOLOGY = _Layout(SimulatorRecord.TOPOLOGY, struct.Struct("<BQI"))
_ENDPOINT = struct.Struct("<IBBHBfQ")
_ARRIVAL = _Layout(SimulatorRecord.ARRIVAL, struct.Struct("<QBIQQfffB"))
_RESPONSE_STARTED = _Layout(SimulatorRecord.RESPONSE_STARTED, struct.Struct("<QQHI"))
_ATTEMPT_ENDED = _Layout(SimulatorRecord.ATTEMPT_ENDED, struct.Struct("<QBHIHHQHB"))
_CLIENT_DISCONNECTED = _Layout(SimulatorRecord.CLIENT_DISCONNECTED, struct.Struct("<Q"))
_TIMER_FIRED = _Layout(SimulatorRecord.TIMER_FIRED, struct.Struct("<I"))
_PROBE_ENDED = _Layout(SimulatorRecord.PROBE_ENDED, struct.Struct("<HIQB"))
_PEER_MESSAGE = _Layout(SimulatorRecord.PEER_MESSAGE, struct.Struct("<IH"))
_COUNTER_REPLIED = _Layout(SimulatorRecord.COUNTER_REPLIED, struct.Struct("<QHQf"))

InstanceEvent = Event | StartInstance | StopInstance


@dataclass(frozen=True, slots=True)
class AddressedEvent:
    """Event and the number of the instance that handles it."""

    instance: int
    event: InstanceEvent


@dataclass(frozen=True, slots=True)
class Batch:
    """Records that take effect at one time of the simulator's clock."""

    now: int  # ns
    events: list[AddressedEvent]


class _BatchReader:
    """Read the fields of one batch in order; a read past its end raises ProtocolError."""

    def __init__(self, data: bytes, base: int) -> None:
        self.data = data
        self.base = base  # offset of the batch in the input, for error messages
        self.offset = 0  # of the next field in the batch

    def take(self, layout: _Layout) -> tuple[Any, ...]:
        fields = layout.fields
        if self.offset + fields.size > len(self.data):
            raise ProtocolError(f"frame ends inside {layout.name} at byte {self.base + self.offset}")
        values = fields.unpack_from(self.data, self.offset)
        self.offset += fields.size
        return values

    def take_bytes(self, count: int, record_name: str) -> bytes:
        if self.offset + count > len(self.data):
            position = self.base + self.offset
            raise ProtocolError(f"count of {count} in {record_name} runs past the end at byte {position}")
        self.offset += count
        return self.data[self.offset - count : self.offset]

    def outcome(self, number: int) -> Outcome:
        try:
            return Outcome(number)
        except ValueError:
            raise ProtocolError(f"unknown outcome {number} at byte {self.base + self.offset}") from None

    def load_report(self, count: int) -> tuple[float, ...]:
        return struct.unpack(f"<{count}f", self.take_bytes(4 * count, "load report"))


def _start(reader: _BatchReader) -> StartInstance:
    seed, size = reader.take(_START)
    text = reader.take_bytes(size, _START.name).decode("utf-8", "replace")
    return StartInstance(seed=seed, settings=text)


def _stop(_: _BatchReader) -> StopInstance:
    return StopInstance()


def _topology(reader: _BatchReader) -> Topology:
    kind, version, count = reader.take(_TOPOLOGY)
    if kind > max(ListKind):
        raise ProtocolError(f"unknown list kind {kind} at byte {reader.base + reader.offset}")
    entries = _topology_entries(reader, count)
    return Topology(kind=ListKind(kind), version=version, entries=entries)


def _topology_entries(reader: _BatchReader, count: int) -> tuple[Endpoint, ...]:
    raw = reader.take_bytes(count * _ENDPOINT.size, _TOPOLOGY.name)
    entries = []
    for endpoint_id, zone, machine_class, cell, health, weight, started_at in _ENDPOINT.iter_unpack(raw):
        if health > max(Health):
            raise ProtocolError(f"unknown health {health} at byte {reader.base + reader.offset}")
        entries.append(
            Endpoint(
                id=endpoint_id,
                zone=zone,
                machine_class=machine_class,
                cell=cell,
                health=Health(health),
                weight=weight,
                started_at=started_at,
            )
        )
    return tuple(entries)


def _arrival(reader: _BatchReader) -> Arrival:
    values = reader.take(_ARRIVAL)
    request_id, class_index, plan_index, customer_id, deadline, units, spread, first, options = values
    return Arrival(
        request_id=request_id,
        class_index=class_index,
        plan_index=plan_index,
        customer_id=customer_id,
        deadline=deadline,
        units=units,
        gateway_spread=int(spread),
        first_gateway=int(first),
        options=options,
    )


def _response_started(reader: _BatchReader) -> ResponseStarted:
    request_id, elapsed, attempt, endpoint = reader.take(_RESPONSE_STARTED)
    return ResponseStarted(request_id=request_id, elapsed=elapsed, attempt=attempt, endpoint=endpoint)


def _attempt_ended(reader: _BatchReader) -> AttemptEnded:
    values = reader.take(_ATTEMPT_ENDED)
    request_id, finished, units, endpoint, usage, outcome_code, elapsed, attempt, report_size = values
    outcome = reader.outcome(outcome_code)
    report = reader.load_report(report_size)
    return AttemptEnded(
        request_id=request_id,
        request_finished=bool(finished),
        actual_units=units,
        endpoint=endpoint,
        quota_usage=usage,
        outcome=outcome,
        elapsed=elapsed,
        attempt=attempt,
        load_report=report,
    )


def _client_disconnected(reader: _BatchReader) -> ClientDisconnected:
    (request_id,) = reader.take(_CLIENT_DISCONNECTED)
    return ClientDisconnected(request_id=request_id)


def _timer_fired(reader: _BatchReader) -> TimerFired:
    (token,) = reader.take(_TIMER_FIRED)
    return TimerFired(token=token)


def _probe_ended(reader: _BatchReader) -> ProbeEnded:
    outcome_code, endpoint, elapsed, report_size = reader.take(_PROBE_ENDED)
    outcome = reader.outcome(outcome_code)
    report = reader.load_report(report_size)
    return ProbeEnded(outcome=outcome, endpoint=endpoint, elapsed=elapsed, load_report=report)


def _peer_message(reader: _BatchReader) -> PeerMessage:
    sender, size = reader.take(_PEER_MESSAGE)
    return PeerMessage(sender=sender, data=reader.take_bytes(size, _PEER_MESSAGE.name))


def _counter_replied(reader: _BatchReader) -> CounterReplied:
    elapsed, outcome_code, key, total = reader.take(_COUNTER_REPLIED)
    outcome = reader.outcome(outcome_code)
    return CounterReplied(elapsed=elapsed, outcome=outcome, key=key, total=total)


_DECODERS: dict[int, Callable[[_BatchReader], InstanceEvent]] = {
    int(RequestCode.START): _start,
    int(RequestCode.STOP): _stop,
    int(RequestCode.TOPOLOGY): _topology,
    int(RequestCode.ARRIVAL): _arrival,
    int(RequestCode.RESPONSE_STARTED): _response_started,
    int(RequestCode.ATTEMPT_ENDED): _attempt_ended,
    int(RequestCode.CLIENT_DISCONNECTED): _client_disconnected,
    int(RequestCode.TIMER_FIRED): _timer_fired,
    int(RequestCode.PROBE_ENDED): _probe_ended,
    int(RequestCode.PEER_MESSAGE): _peer_message,
    int(RequestCode.COUNTER_REPLIED): _counter_replied,
}
_SELECT_INSTANCE = int(RequestCode.SELECT_INSTANCE)


def decode(body: bytes, base: int = 0) -> Batch:
    """Decode one batch without its length field.

    `base` is the offset of the batch in the input. Raises ProtocolError, with an offset in the input, on a
    malformed batch.
    """
    reader = _BatchReader(body, base)
    (now,) = reader.take(_CLOCK)
    events: list[AddressedEvent] = []
    instance: int | None = None
    while reader.offset < len(body):
        record_offset = base + reader.offset
        (code,) = reader.take(_RECORD_CODE)
        if code == _SELECT_INSTANCE:
            (instance,) = reader.take(_INSTANCE)
            continue
        decoder = _DECODERS.get(code)
        if decoder is None:
            raise ProtocolError(f"unknown record code {code} at byte {record_offset}")
        if instance is None:
            raise ProtocolError(f"record {code} before any select at byte {record_offset}")
        events.append(AddressedEvent(instance, decoder(reader)))
    return Batch(now, events)
