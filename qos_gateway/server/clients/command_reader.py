"""Splits the input of one client into commands."""

from __future__ import annotations

from collections.abc import Callable
from typing import cast

import hiredis

from ..memory.limits import BUFFER_GROWTH_FACTOR
from ..networking.message_parser import parse_message
from ..networking.resp import MAX_COMMAND_BYTES, CommandFrames, FrameError

DISCARDED: list[bytes] = []  # in place of a command's arguments, of which there is at least one
# An incomplete command up to this size is counted with its connection.
SMALL_COMMAND_BYTES = 512


class CommandSyntaxError(ValueError):
    """Invalid bytes in the input; the start of the next command cannot be found."""


class CommandReader:
    """Splits a client's bytes into commands, which may arrive in several reads."""

    __slots__ = ("_frames", "_is_discarding", "_partial", "_time", "command_end", "partial_since_s")

    def __init__(self, time: Callable[[], float]) -> None:
        self._time = time
        self._frames = CommandFrames()
        self._partial = bytearray()  # the received part of an incomplete command
        self._is_discarding = False  # the bytes of the incomplete command are dropped
        self.command_end = 0  # position after the last command, in the data that contained its end
        # Time at which the first byte of an incomplete command was read, or its timeout last restarted; 0 if
        # there is no such command or its timeout is cancelled.
        self.partial_since_s = 0.0

    @property
    def has_partial_command(self) -> bool:
        """Whether the last command is incomplete."""
        return self._frames.is_midway

    @property
    def held_bytes(self) -> int:
        """The size of the received part of an incomplete command."""
        return len(self._partial)

    @property
    def missing_bytes(self) -> int:
        """How many bytes of an incomplete command's argument are missing."""
        return self._frames.missing_bytes

    def needed_memory_bytes(self) -> int:
        """Return the memory that the whole of an incomplete command needs; 0 for a small one.

        Before its last argument a command may become as long as any.
        """
        if self._is_discarding:
            return 0
        expected_bytes = len(self._partial) + self._frames.missing_bytes
        if expected_bytes <= SMALL_COMMAND_BYTES:
            return 0
        if not self._frames.is_in_last_element:
            expected_bytes = MAX_COMMAND_BYTES
        return int(expected_bytes * BUFFER_GROWTH_FACTOR)

    def discard_partial(self) -> None:
        """Drop the received part of an incomplete command, and its remainder when it comes."""
        self._partial = bytearray()
        self._is_discarding = self.has_partial_command

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
        keeps its bytes for the next call; `DISCARDED` for one whose bytes were dropped. Raises
        `CommandSyntaxError` if the data is not a command.
        """
        try:
            end = self._frames.scan(data, start)
            if end < 0:
                if not self._is_discarding:
                    self._partial += memoryview(data)[start:]
                self.partial_since_s = self.partial_since_s or self._time()
                return None
            arguments = self._parse(data[start:end])
        except (FrameError, hiredis.ProtocolError) as error:
            raise CommandSyntaxError(str(error)) from error
        self.command_end = end
        self.partial_since_s = 0.0
        return arguments

    def _parse(self, last_part: bytes) -> list[bytes]:
        """Return the arguments of the command that ends in `last_part`."""
        if self._is_discarding:
            self._is_discarding = False
            return DISCARDED
        return cast(list[bytes], parse_message(self._complete(last_part)))

    def _complete(self, last_part: bytes) -> bytes | bytearray:
        """Return the whole command that ends in `last_part`."""
        if not self._partial:
            return last_part
        command = self._partial
        command += last_part
        self._partial = bytearray()
        return command
