"""Batches of the simulator's wire as events."""

from __future__ import annotations

import struct
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

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

_CLOCK = struct.Struct("<Q")
_RECORD_CODE = struct.Struct("<H")
_INSTANCE = struct.Struct("<I")
_START = struct.Struct("<QI")
_TOPOLOGY = struct.Struct("<BQI")
_ENDPOINT = struct.Struct("<IBBHBfQ")
_ARRIVAL = struct.Struct("<QBIQQfffB")
_RESPONSE_STARTED = struct.Struct("<QQHI")
_ATTEMPT_ENDED = struct.Struct("<QBHIHHQHB")
_CLIENT_DISCONNECTED = struct.Struct("<Q")
_TIMER_FIRED = struct.Struct("<I")
_PROBE_ENDED = struct.Struct("<HIQB")
_PEER_MESSAGE = struct.Struct("<IH")
_COUNTER_REPLIED = struct.Struct("<QHQf")

InstanceEvent = Event | StartInstance | StopInstance


@dataclass(frozen=True, slots=True)
class Batch:
    """The records that take effect at one time of the simulator's clock (ns)."""

    now: int
    events: list[tuple[int, InstanceEvent]]  # with the instance that each is for


class _Reader:
    """Walks over one batch; every read is checked against the end."""

    def __init__(self, data: bytes, base: int) -> None:
        self.data = data
        self.base = base  # of the batch in the whole input, for error messages
        self.at = 0

    def take(self, layout: struct.Struct, what: str) -> tuple[Any, ...]:
        if self.at + layout.size > len(self.data):
            raise ProtocolError(f"frame ends inside {what} at byte {self.base + self.at}")
        values = layout.unpack_from(self.data, self.at)
        self.at += layout.size
        return values

    def take_bytes(self, count: int, what: str) -> bytes:
        if self.at + count > len(self.data):
            raise ProtocolError(f"count of {count} in {what} runs past the end at byte {self.base + self.at}")
        self.at += count
        return self.data[self.at - count : self.at]

    def outcome(self, number: int) -> Outcome:
        try:
            return Outcome(number)
        except ValueError:
            raise ProtocolError(f"unknown outcome {number} at byte {self.base + self.at}") from None

    def load_report(self, count: int) -> tuple[float, ...]:
        return struct.unpack(f"<{count}f", self.take_bytes(4 * count, "load report"))


def _start(reader: _Reader) -> StartInstance:
    seed, size = reader.take(_START, "up")
    return StartInstance(seed, reader.take_bytes(size, "up").decode("utf-8", "replace"))


def _stop(_: _Reader) -> StopInstance:
    return StopInstance()


def _topology(reader: _Reader) -> Topology:
    kind, version, count = reader.take(_TOPOLOGY, "topology")
    if kind > max(ListKind):
        raise ProtocolError(f"unknown list kind {kind} at byte {reader.base + reader.at}")
    raw = reader.take_bytes(count * _ENDPOINT.size, "topology")
    entries = []
    for endpoint_id, zone, machine_class, cell, health, weight, started_at in _ENDPOINT.iter_unpack(raw):
        if health > max(Health):
            raise ProtocolError(f"unknown health {health} at byte {reader.base + reader.at}")
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
    return Topology(ListKind(kind), version, tuple(entries))


def _arrival(reader: _Reader) -> Arrival:
    values = reader.take(_ARRIVAL, "inbound")
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


def _response_started(reader: _Reader) -> ResponseStarted:
    return ResponseStarted(*reader.take(_RESPONSE_STARTED, "begun"))


def _attempt_ended(reader: _Reader) -> AttemptEnded:
    values = reader.take(_ATTEMPT_ENDED, "reply")
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


def _client_disconnected(reader: _Reader) -> ClientDisconnected:
    return ClientDisconnected(*reader.take(_CLIENT_DISCONNECTED, "client_left"))


def _timer_fired(reader: _Reader) -> TimerFired:
    return TimerFired(*reader.take(_TIMER_FIRED, "elapsed"))


def _probe_ended(reader: _Reader) -> ProbeEnded:
    outcome_code, endpoint, elapsed, report_size = reader.take(_PROBE_ENDED, "status_back")
    outcome = reader.outcome(outcome_code)
    return ProbeEnded(outcome, endpoint, elapsed, reader.load_report(report_size))


def _peer_message(reader: _Reader) -> PeerMessage:
    sender, size = reader.take(_PEER_MESSAGE, "mail")
    return PeerMessage(sender, reader.take_bytes(size, "mail"))


def _counter_replied(reader: _Reader) -> CounterReplied:
    elapsed, outcome_code, key, total = reader.take(_COUNTER_REPLIED, "counter_reply")
    return CounterReplied(elapsed, reader.outcome(outcome_code), key, total)


_DECODERS: dict[int, Callable[[_Reader], InstanceEvent]] = {
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
    """Decode one batch without its length field; `base` is its place in the input, for error messages.

    Raises ProtocolError where it cannot be read.
    """
    reader = _Reader(body, base)
    (now,) = reader.take(_CLOCK, "header")
    events: list[tuple[int, InstanceEvent]] = []
    instance: int | None = None
    while reader.at < len(body):
        start = base + reader.at
        (code,) = reader.take(_RECORD_CODE, "record code")
        if code == _SELECT_INSTANCE:
            (instance,) = reader.take(_INSTANCE, "select")
            continue
        decoder = _DECODERS.get(code)
        if decoder is None:
            raise ProtocolError(f"unknown record code {code} at byte {start}")
        if instance is None:
            raise ProtocolError(f"record {code} before any select at byte {start}")
        events.append((instance, decoder(reader)))
    return Batch(now, events)
