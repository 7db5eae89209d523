"""The platform: writes the configuration, and starts and ends a gateway by the deploy file's command."""

from __future__ import annotations

import asyncio
import json
import os
import shutil
import signal
import socket
import tempfile
import tomllib
from pathlib import Path
from typing import Any

from .record import Record

ROOT = Path(__file__).resolve().parents[2]
READY_WITHIN_S = 30.0
PING = b"*1\r\n$4\r\nPING\r\n"


def free_address() -> str:
    """Return a loopback address whose port was free a moment ago."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{sock.getsockname()[1]}"


class Gateway:
    """One gateway: a process group with a private temporary folder."""

    def __init__(self, record: Record, configuration: dict[str, Any]) -> None:
        """Take the configuration without the gateway's own name and address."""
        self.record = record
        self.address = free_address()
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self._configuration = {
            "name": "n0",
            "listen": self.address,
            "seed": "8c1f30d27a5be964",
            **configuration,
        }
        self._process: asyncio.subprocess.Process | None = None

    @property
    def pid(self) -> int:
        """Return the process id of the program."""
        assert self._process is not None
        return self._process.pid

    @property
    def has_ended(self) -> bool:
        """Return whether the process has ended."""
        return self._process is not None and self._process.returncode is not None

    @property
    def log_path(self) -> Path:
        """Return where the program's output goes."""
        return self.folder / "gateway.log"

    async def start(self) -> None:
        """Start the program, and wait until it answers `PING` with `+PONG`."""
        path = self.folder / "config.json"
        path.write_text(json.dumps(self._configuration))
        private = self.folder / "tmp"
        private.mkdir(exist_ok=True)
        command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        with self.log_path.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                "/bin/sh",
                "-c",
                command,
                cwd=ROOT,
                stdout=log,
                stderr=log,
                start_new_session=True,
                env={
                    "PATH": os.environ["PATH"],
                    "ROUTER_NAME": "n0",
                    "ROUTER_LISTEN": self.address,
                    "ROUTER_DISCOVERY": self._configuration["discovery"],
                    "ROUTER_CONFIG": str(path),
                    "TMPDIR": str(private),
                },
            )
        self.record.add("platform", "started the gateway")
        await asyncio.wait_for(self._wait_until_ready(), READY_WITHIN_S)
        self.record.add("platform", "the gateway answered PING with +PONG")

    async def _wait_until_ready(self) -> None:
        host, port = self.address.split(":")
        while True:
            if self.has_ended:
                raise RuntimeError("the gateway ended before it was ready")
            try:
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(PING)
                line = await reader.readline()
                writer.close()
                if line == b"+PONG\r\n":
                    return
            except OSError:
                pass
            await asyncio.sleep(0.05)

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the program."""
        self.record.add("platform", f"sent {number.name}")
        if not self.has_ended:
            os.kill(self.pid, number)

    async def end(self) -> None:
        """Kill the program if it still runs, and remove its folder."""
        if self._process is not None:
            if self._process.returncode is None:
                os.killpg(self._process.pid, signal.SIGKILL)
            await self._process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)

    def log_lines(self) -> list[str]:
        """Return the lines of the program's output."""
        return self.log_path.read_text(errors="replace").splitlines() if self.log_path.exists() else []
