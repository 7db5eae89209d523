"""Start and stop the process of stand-ins."""

from __future__ import annotations

import asyncio
import json
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from benchmarks.stand_ins import StandInCounts, StandInPorts

PROCESS_TIMEOUT_S = 30.0  # only a process that hangs reaches it


class StandInProcess:
    """A running process of stand-ins."""

    def __init__(self, process: asyncio.subprocess.Process) -> None:
        self._process = process

    async def _read_line(self) -> bytes:
        assert self._process.stdout is not None
        return await asyncio.wait_for(self._process.stdout.readline(), PROCESS_TIMEOUT_S)

    async def read_ports(self) -> StandInPorts:
        """Return the ports; call it once, at first."""
        return StandInPorts(**json.loads(await self._read_line()))

    async def stop(self) -> StandInCounts:
        """Let the process end, and return what it counted."""
        assert self._process.stdin is not None
        self._process.stdin.close()
        return StandInCounts(**json.loads(await self._read_line()))


@asynccontextmanager
async def run_stand_ins(endpoints: int) -> AsyncIterator[StandInProcess]:
    """Run a stand-in process that publishes `endpoints` endpoints; kill it if it still runs at the end."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "benchmarks.stand_ins",
        str(endpoints),
        stdin=asyncio.subprocess.PIPE,
        stdout=asyncio.subprocess.PIPE,
    )
    try:
        yield StandInProcess(process)
    finally:
        if process.returncode is None:
            process.kill()
        await process.wait()
