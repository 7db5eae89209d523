"""How a gateway's processes are started."""

from __future__ import annotations

import asyncio
import os
import socket
import sys
from dataclasses import dataclass
from pathlib import Path

from soak import call_shim
from soak.discovery_agents import ListSource
from soak.gateways.process import GatewayProcess
from soak.observations import ProcessSeen, Record
from soak.settings import LOCALHOST, Deployment

BACKLOG = 256


@dataclass(frozen=True, slots=True)
class Launch:
    """The command of the gateways, and the library that lets their system calls fail, if any."""

    command: tuple[str, ...] = (sys.executable, "-m", "qos_gateway")
    failing_calls: Path | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class GatewaySetup:
    """What all gateways of a run have in common.

    `peers` are the addresses for peer messages of all gateways in the order of their numbers.
    There are none where a counter is used.
    """

    deployment: Deployment
    source: ListSource
    record: Record
    folder: Path
    launch: Launch
    seed: int
    peers: tuple[str, ...] = ()


class ProcessLauncher:
    """Starts the processes of one gateway, one after the other or with a shared listening socket."""

    def __init__(self, setup: GatewaySetup, position: int, has_shared_socket: bool) -> None:
        self._setup = setup
        self._position = position
        self._log_path = setup.folder / f"n{position}.log"
        self._listening: socket.socket | None = None
        if has_shared_socket:
            self._listening = socket.create_server((LOCALHOST, 0), backlog=BACKLOG)
            self._listening.set_inheritable(True)

    @property
    def has_shared_socket(self) -> bool:
        """Return whether the processes inherit their listening socket, so that two can serve at a time."""
        return self._listening is not None

    async def start(self, number: int, configuration: Path, admin_address: str) -> GatewayProcess:
        """Start a process, and record it; it is not ready yet."""
        setup = self._setup
        seen = ProcessSeen(
            gateway=self._position, number=number, started_at=asyncio.get_running_loop().time()
        )
        seen.is_upgraded = self.has_shared_socket
        setup.record.processes.append(seen)
        descriptors = () if self._listening is None else (self._listening.fileno(),)
        process = await asyncio.create_subprocess_exec(
            *setup.launch.command,
            stderr=asyncio.subprocess.PIPE,
            pass_fds=descriptors,
            env={
                **os.environ,
                **self._fault_environment(number),
                "ROUTER_CONFIG": str(configuration),
                "TMPDIR": str(setup.folder),
                "ROUTER_PASSED_SOCKET": "".join(map(str, descriptors)),
            },
        )
        return GatewayProcess(seen, process, self._log_path, admin_address)

    def _fault_environment(self, number: int) -> dict[str, str]:
        library = self._setup.launch.failing_calls
        if library is None:
            return {}
        return call_shim.environment(library, self._setup.seed, self._position, number)

    def close(self) -> None:
        """Close the shared socket, if there is one."""
        if self._listening is not None:
            self._listening.close()
