"""Host loop for the simulator's wire: one decision engine for each instance, with no shared state."""

from __future__ import annotations

import struct
import sys
from typing import BinaryIO

from ..decisions.engine import DecisionEngine
from .decoder import AddressedEvent, decode
from .encoder import encode_action, encode_fault, encode_reply
from .protocol import ProtocolError, StartInstance, StopInstance
from .settings import SettingsError, parse_settings

_FRAME_SIZE = struct.Struct("<I")


class Host:
    """Decision engines of one simulation by instance number."""

    def __init__(self) -> None:
        self.instances: dict[int, DecisionEngine] = {}

    def answer(self, body: bytes, base: int) -> bytes:
        """Return the reply to one batch at offset `base` of the input.

        An exception of the decision code becomes a fault record with its text.
        Raises ProtocolError on a malformed batch.
        """
        batch = decode(body, base)
        replies: dict[int, list[bytes]] = {}
        for addressed in batch.events:
            records = replies.setdefault(addressed.instance, [])
            try:
                records.extend(self._handle(batch.now, addressed))
            except SettingsError as error:
                records.append(encode_fault(f"settings: {error}"))
            except Exception as error:  # any exception ends only this instance
                records.append(encode_fault(f"{type(error).__name__}: {error}"))
        return encode_reply((instance, records) for instance, records in replies.items() if records)

    def _handle(self, now: int, addressed: AddressedEvent) -> list[bytes]:
        """Return the records of the reply to one event; an unknown instance gives none."""
        instance, event = addressed.instance, addressed.event
        if isinstance(event, StartInstance):
            self.instances[instance] = DecisionEngine(parse_settings(event.settings), event.seed, now)
        elif isinstance(event, StopInstance):
            self.instances.pop(instance, None)
        elif instance in self.instances:
            return [encode_action(action) for action in self.instances[instance].handle(now, event)]
        return []


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answer batches until the input ends. Raises ProtocolError on a malformed batch."""
    host = Host()
    offset = 0  # of the next field in the input
    while header := source.read(_FRAME_SIZE.size):
        if len(header) < _FRAME_SIZE.size:
            raise ProtocolError(f"input ends inside a frame's length at byte {offset}")
        (size,) = _FRAME_SIZE.unpack(header)
        offset += _FRAME_SIZE.size
        body = source.read(size)
        if len(body) < size:
            raise ProtocolError(f"input ends inside a frame at byte {offset + len(body)}")
        sink.write(host.answer(body, offset))
        sink.flush()
        offset += size


def main() -> int:
    """Serve standard input and output.

    Returns 0 at the end of the input, and 1 with a line on stderr after a malformed frame.
    """
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except ProtocolError as error:
        print(f"qos_gateway.simulator: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
