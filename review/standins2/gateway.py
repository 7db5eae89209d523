"""Starts gateways by the `run` command of the deploy file, and ends them."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import tomllib
from pathlib import Path
from typing import Any

from review.standins2.resp import command, read_answer

ROOT = Path(__file__).resolve().parents[2]
READY_S = 30.0
PONG_WAIT_S = 1.0


def free_port(kind: socket.SocketKind = socket.SOCK_STREAM) -> int:
    """Return a port that is free now."""
    with socket.socket(socket.AF_INET, kind) as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


def run_command() -> str:
    """Return the `run` command of the deploy file."""
    return str(tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"])


class Gateway:
    """One process of a gateway."""

    def __init__(self, folder: Path, configuration: dict[str, Any], log_name: str | None = None) -> None:
        self.configuration = configuration
        self.folder = folder
        self.host, _, port = configuration["listen"].rpartition(":")
        self.port = int(port)
        self.log_path = folder / f"{log_name or configuration['name']}.log"
        self.process: asyncio.subprocess.Process | None = None

    async def start(self, environment: dict[str, str] | None = None, pass_fds: tuple[int, ...] = ()) -> None:
        """Start the process; it is not ready yet."""
        path = self.log_path.with_suffix(".json")
        path.write_text(json.dumps(self.configuration))
        shared = self.folder / "tmp"
        shared.mkdir(exist_ok=True)
        with self.log_path.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh",
                "-c",
                run_command(),
                cwd=ROOT,
                stdout=log,
                stderr=log,
                pass_fds=pass_fds,
                env={
                    **os.environ,
                    "ROUTER_CONFIG": str(path),
                    "TMPDIR": str(shared),
                    **(environment or {}),
                },
            )

    async def is_ready(self) -> bool:
        """Wait until `PING` is answered with `+PONG`; return False if that does not happen within 30 s."""
        loop = asyncio.get_running_loop()
        give_up_at = loop.time() + READY_S
        while loop.time() < give_up_at and self.process is not None and self.process.returncode is None:
            try:
                reader, writer = await asyncio.open_connection(self.host, self.port)
                writer.write(command(b"PING"))
                kind, _ = await asyncio.wait_for(read_answer(reader), PONG_WAIT_S)
                writer.close()
                if kind == "pong":
                    return True
            except (OSError, TimeoutError, asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(0.05)
        return False

    def signal(self, number: signal.Signals) -> None:
        """Send a signal if the process still runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def exit_status(self, wait_s: float) -> int | None:
        """Return the exit status; None if the process still runs after `wait_s`."""
        if self.process is None:
            return None
        try:
            return await asyncio.wait_for(self.process.wait(), wait_s)
        except TimeoutError:
            return None

    async def end(self) -> None:
        """Kill the process if it still runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()
