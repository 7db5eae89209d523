"""What a client has sent: its bytes split into commands, and those that may not be taken yet."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

import hiredis

from ..networking.resp import CommandFrames, FrameError

if TYPE_CHECKING:
    from .connections import ClientConnections


class CommandSyntaxError(ValueError):
    """Bytes that are no command: where the next one begins cannot be known any more."""


class CommandReader:
    """Splits a client's bytes into commands, whole or in pieces."""

    __slots__ = ("_frames", "_reader", "_time", "end", "partial_since")

    def __init__(self, time: Callable[[], float]) -> None:
        self._time = time
        self._frames = CommandFrames()
        self._reader = hiredis.Reader()
        self.end = 0  # where in its data the command ended that was read last
        self.partial_since = 0.0  # when the first byte of an incomplete command came, 0 where there is none

    @property
    def is_midway(self) -> bool:
        """Whether a command has begun and not ended."""
        return self._frames.is_midway

    def restart_timeout(self) -> None:
        """Count the time of an incomplete command from now on: its bytes were not read before."""
        if self.partial_since:
            self.partial_since = self._time()

    def next_command(self, data: bytes, start: int) -> list[bytes] | None:
        """Read `data` from `start` on, and return the arguments of the command that ends in it first.

        `end` is then the position behind it. None says that the command is incomplete; what there is of it is
        kept for the next call. Raise `CommandSyntaxError` where the data is no command.
        """
        try:
            end = self._frames.scan(data, start)
            if end < 0:
                self._reader.feed(data[start:])
                self.partial_since = self.partial_since or self._time()
                return None
            self._reader.feed(data[start:end])
            arguments: list[bytes] = self._reader.gets()
        except (FrameError, hiredis.ProtocolError) as error:
            raise CommandSyntaxError(str(error)) from error
        self.end = end
        self.partial_since = 0.0
        return arguments


class DeferredInput:
    """Bytes that were read from a client but not parsed yet, counted in the total of all clients."""

    __slots__ = ("_owner", "data", "since")

    def __init__(self, owner: ClientConnections) -> None:
        self._owner = owner
        self.data = b""
        self.since = 0.0  # when the first of the data was received, however often it was put back

    def put(self, data: bytes, received_at: float) -> bool:
        """Keep these bytes in place of those kept so far.

        Return False, and keep none, where all connections together would hold too many.
        """
        self.since = received_at
        self._owner.deferred_bytes += len(data) - len(self.data)
        self.data = data
        if self._owner.deferred_bytes > self._owner.buffer_memory:
            self.take()
            return False
        return True

    def take(self) -> bytes:
        """Return the bytes and keep them no longer."""
        data = self.data
        self.data = b""
        self._owner.deferred_bytes -= len(data)
        return data
