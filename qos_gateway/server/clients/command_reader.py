"""Splits the input of one client into commands."""

from __future__ import annotations

from collections.abc import Callable

import hiredis

from ..networking.resp import CommandFrames, FrameError


class CommandSyntaxError(ValueError):
    """Invalid bytes in the input; the start of the next command cannot be found."""


class CommandReader:
    """Splits a client's bytes into commands, which may arrive in several reads."""

    __slots__ = ("_frames", "_reader", "_time", "command_end", "partial_since_s")

    def __init__(self, time: Callable[[], float]) -> None:
        self._time = time
        self._frames = CommandFrames()
        self._reader = hiredis.Reader()
        self.command_end = 0  # position after the last command, in the data that contained its end
        # Time at which the first byte of an incomplete command was read, or its timeout last restarted; 0 if
        # there is no such command or its timeout is cancelled.
        self.partial_since_s = 0.0

    @property
    def has_partial_command(self) -> bool:
        """Whether the last command is incomplete."""
        return self._frames.is_midway

    def restart_timeout(self) -> None:
        """Restart the timeout of an incomplete command, as the gateway was not reading its input."""
        if self.partial_since_s:
            self.partial_since_s = self._time()

    def stop_timeout(self) -> None:
        """Cancel the timeout of an incomplete command, as its remainder will not be parsed."""
        self.partial_since_s = 0.0

    def next_command(self, data: bytes, start: int) -> list[bytes] | None:
        """Parse `data` from `start`, and return the arguments of the first command that ends in it.

        Sets `command_end` to the position after that command. Returns None if the command is incomplete, and
        keeps its bytes for the next call. Raises `CommandSyntaxError` if the data is not a command.
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
