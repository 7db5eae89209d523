"""Input of one client: its bytes split into commands, and bytes that are deferred."""

from __future__ import annotations

from collections.abc import Callable

import hiredis

from ..networking.resp import CommandFrames, FrameError
from .buffer_budgets import BufferBudget


class CommandSyntaxError(ValueError):
    """Bytes that are no command; where the next command begins is unknown."""


class CommandReader:
    """Splits a client's bytes into commands, whole or in pieces."""

    __slots__ = ("_frames", "_reader", "_time", "end", "partial_since_s")

    def __init__(self, time: Callable[[], float]) -> None:
        self._time = time
        self._frames = CommandFrames()
        self._reader = hiredis.Reader()
        self.end = 0  # position behind the last command in the data that it was read from
        self.partial_since_s = 0.0  # when the first byte of an incomplete command was received; 0 without one

    @property
    def is_midway(self) -> bool:
        """Whether a command has begun and not ended."""
        return self._frames.is_midway

    def restart_timeout(self) -> None:
        """Restart the time of an incomplete command: the gateway was not reading."""
        if self.partial_since_s:
            self.partial_since_s = self._time()

    def stop_timeout(self) -> None:
        """Count no time of an incomplete command any more: the remainder is not parsed."""
        self.partial_since_s = 0.0

    def next_command(self, data: bytes, start: int) -> list[bytes] | None:
        """Read `data` from `start` on, and return the arguments of the first command that ends in it.

        Sets `end` to the position behind that command. Returns None where the command is incomplete, and
        keeps its bytes for the next call. Raises `CommandSyntaxError` where the data is no command.
        """
        try:
            end = self._frames.scan(data, start)
            if end < 0:
                self._reader.feed(data[start:])
                self.partial_since_s = self.partial_since_s or self._time()
                return None
            self._reader.feed(data[start:end])
            arguments: list[bytes] = self._reader.gets()
        except (FrameError, hiredis.ProtocolError) as error:
            raise CommandSyntaxError(str(error)) from error
        self.end = end
        self.partial_since_s = 0.0
        return arguments


class DeferredInput:
    """Bytes that were read from a client and not parsed, counted in the buffer budget."""

    __slots__ = ("_buffers", "data", "since_s")

    def __init__(self, buffers: BufferBudget) -> None:
        self._buffers = buffers
        self.data = b""
        self.since_s = 0.0  # when the first of the data was received, however often it was put back

    def put(self, data: bytes, received_at_s: float) -> bool:
        """Replace the deferred bytes by these.

        Returns False, and keeps none, where the deferred input of all connections exceeds its limit.
        """
        self.since_s = received_at_s
        is_within_limit = self._buffers.defer(len(data) - len(self.data))
        self.data = data
        if not is_within_limit:
            self.take()
        return is_within_limit

    def take(self) -> bytes:
        """Return the deferred bytes and keep none."""
        data = self.data
        self.data = b""
        self._buffers.release_deferred(len(data))
        return data
