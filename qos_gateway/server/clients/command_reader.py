"""Input of one client: its bytes split into commands."""

from __future__ import annotations

from collections.abc import Callable

import hiredis

from ..networking.resp import CommandFrames, FrameError


class CommandSyntaxError(ValueError):
    """Bytes that are no command; where the next command begins is unknown."""


class CommandReader:
    """Splits a client's bytes into commands, whole or in pieces."""

    __slots__ = ("_frames", "_reader", "_time", "command_end", "partial_since_s")

    def __init__(self, time: Callable[[], float]) -> None:
        self._time = time
        self._frames = CommandFrames()
        self._reader = hiredis.Reader()
        self.command_end = 0  # position behind the last command in the data that it was read from
        self.partial_since_s = 0.0  # when the first byte of an incomplete command was received; 0 without one

    @property
    def has_partial_command(self) -> bool:
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

        Sets `command_end` to the position after that command. Returns None if the command is incomplete, and
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
        self.command_end = end
        self.partial_since_s = 0.0
        return arguments
