"""Host loop for the simulator's wire: one engine an instance, nothing shared between them."""

from __future__ import annotations

import struct
import sys
from typing import BinaryIO

from ..decisions.engine import DecisionEngine
from .decoder import InstanceEvent, decode
from .encoder import encode_action, encode_fault, encode_reply
from .protocol import ProtocolError, StartInstance, StopInstance
from .settings import SettingsError, parse_settings

_FRAME_SIZE = struct.Struct("<I")


class Host:
    """The instances of one simulation."""

    def __init__(self) -> None:
        self.instances: dict[int, DecisionEngine] = {}

    def answer(self, body: bytes, base: int) -> bytes:
        """Return the whole reply to one batch; a fault of the decisions becomes a record with its text."""
        batch = decode(body, base)
        replies: dict[int, list[bytes]] = {}
        for instance, event in batch.events:
            records = replies.setdefault(instance, [])
            try:
                records.extend(self._handle(batch.now, instance, event))
            except SettingsError as error:
                records.append(encode_fault(f"settings: {error}"))
            except Exception as error:  # whatever it is, the simulator is told
                records.append(encode_fault(f"{type(error).__name__}: {error}"))
        return encode_reply((instance, records) for instance, records in replies.items() if records)

    def _handle(self, now: int, instance: int, event: InstanceEvent) -> list[bytes]:
        if isinstance(event, StartInstance):
            self.instances[instance] = DecisionEngine(parse_settings(event.settings), event.seed, now)
        elif isinstance(event, StopInstance):
            self.instances.pop(instance, None)
        elif instance in self.instances:
            return [encode_action(action) for action in self.instances[instance].handle(now, event)]
        return []


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answer batches until the input ends; raises ProtocolError where one cannot be read."""
    host = Host()
    at = 0
    while header := source.read(_FRAME_SIZE.size):
        if len(header) < _FRAME_SIZE.size:
            raise ProtocolError(f"input ends inside a frame's length at byte {at}")
        (size,) = _FRAME_SIZE.unpack(header)
        at += _FRAME_SIZE.size
        body = source.read(size)
        if len(body) < size:
            raise ProtocolError(f"input ends inside a frame at byte {at + len(body)}")
        sink.write(host.answer(body, at))
        sink.flush()
        at += size


def main() -> int:
    """Serve standard input and output; return 0 at its end, 1 with one plain line on a malformed frame."""
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except ProtocolError as error:
        print(f"qos_gateway.simulator: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
