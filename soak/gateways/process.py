"""One process of a gateway."""

from __future__ import annotations

import asyncio
import re
import signal
from contextlib import suppress
from pathlib import Path

from soak.gateways.log import ProcessLog
from soak.observations import ProcessSeen
from soak.settings import LOCALHOST

READY_TIMEOUT_S = 30.0
PING_INTERVAL_S = 0.05
PING_TIMEOUT_S = 1.0
PING = b"*1\r\n$4\r\nPING\r\n"
PONG = b"+PONG\r\n"
PEAK_MEMORY = re.compile(r"^VmHWM:\s+(\d+) kB$", re.MULTILINE)
KIBIBYTE = 1024
MEMORY_INTERVAL_S = 0.2  # between two looks at the peak, of which only the last before the end may be missed


class GatewayProcess:
    """A process that runs, and what is seen of it; `admin_address` is where it takes the operators' calls."""

    def __init__(
        self, seen: ProcessSeen, process: asyncio.subprocess.Process, log_path: Path, admin_address: str
    ) -> None:
        assert process.stderr is not None
        self.seen = seen
        self.admin_address = admin_address
        self.port = 0
        self.takes_new_connections = False
        self._process = process
        self._memory_task = asyncio.create_task(self._record_memory())
        self._log = ProcessLog(process.stderr, log_path, seen.faults)

    async def _record_memory(self) -> None:
        """Record the peak of the resident memory until the process has ended."""
        path = Path(f"/proc/{self._process.pid}/status")
        while self._process.returncode is None:
            with suppress(OSError):
                peak = PEAK_MEMORY.search(path.read_text())
                if peak is not None:
                    self.seen.peak_memory_bytes = max(self.seen.peak_memory_bytes, int(peak[1]) * KIBIBYTE)
            await asyncio.sleep(MEMORY_INTERVAL_S)

    async def wait_until_ready(self, pings: bool) -> None:
        """Wait until the process answers `PING`, or without pings until it listens.

        Returns as well once the process has ended, and after `READY_TIMEOUT_S`.
        """
        loop = asyncio.get_running_loop()
        try:
            self.port = await self._log.listening_port(READY_TIMEOUT_S)
        except TimeoutError:
            return
        while self.port and self._process.returncode is None:
            if loop.time() - self.seen.started_at > READY_TIMEOUT_S:
                return
            if not pings or await self._answers_ping():
                self.seen.ready_at = loop.time()
                self.takes_new_connections = True
                return
            await asyncio.sleep(PING_INTERVAL_S)

    async def _answers_ping(self) -> bool:
        try:
            reader, writer = await asyncio.open_connection(LOCALHOST, self.port)
            writer.write(PING)
            answer = await asyncio.wait_for(reader.readline(), PING_TIMEOUT_S)
            writer.close()
        except (OSError, TimeoutError):
            return False
        return answer == PONG

    def is_serving(self) -> bool:
        """Return whether clients may still send requests on their open connections."""
        return self.seen.exited_at is None and self.seen.ready_at is not None

    def stop_new_connections(self) -> None:
        """Let clients open no more connections."""
        self.takes_new_connections = False

    async def wait_for_exit(self) -> None:
        """Wait until the process has ended."""
        await self._process.wait()

    async def record_exit(self) -> None:
        """Wait until the process has ended and its log is read, and record its exit status."""
        status = await self._process.wait()
        if self.seen.exited_at is None:
            self.seen.exited_at = asyncio.get_running_loop().time()
            self.seen.exit_status = status
        self.takes_new_connections = False
        await self._log.wait_until_read()

    def signal(self, number: signal.Signals) -> None:
        """Send a signal, if the process still runs."""
        if self._process.returncode is None:
            self._process.send_signal(number)
