"""The log of a gateway's process: kept in a file, and searched for faults."""

from __future__ import annotations

import asyncio
import re
from pathlib import Path

FAULT_PATTERN = re.compile(r"invariant_violated|Traceback|event_fault|action_fault|Error\b.*exception")
LISTENING_EVENT = "listening on="


class ProcessLog:
    """Reads the log of one process to its end; lines that show a fault are added to `faults`."""

    def __init__(self, stream: asyncio.StreamReader, path: Path, faults: list[str]) -> None:
        loop = asyncio.get_running_loop()
        self._stream = stream
        self._path = path
        self._faults = faults
        self._listening: asyncio.Future[int] = loop.create_future()
        self._task = loop.create_task(self._read())

    async def _read(self) -> None:
        with self._path.open("ab", buffering=0) as file:
            while line := await self._stream.readline():
                file.write(line)
                text = line.decode(errors="replace")
                if LISTENING_EVENT in text and not self._listening.done():
                    self._listening.set_result(int(text.rsplit(":", 1)[1]))
                if FAULT_PATTERN.search(text):
                    self._faults.append(text.strip())
        if not self._listening.done():
            self._listening.set_result(0)

    async def listening_port(self, timeout_s: float) -> int:
        """Wait until the process listens, and return its port; 0 where it ended first.

        Raises TimeoutError after the time-out.
        """
        return await asyncio.wait_for(asyncio.shield(self._listening), timeout_s)

    async def wait_until_read(self) -> None:
        """Wait until the whole log is read."""
        await self._task
