"""Discovery: the list at its source, and the agents on the gateways' machines that pass it on over HTTP."""

from __future__ import annotations

import asyncio
import json
import random
from dataclasses import dataclass
from enum import Enum
from typing import Any, cast
from urllib.parse import parse_qs, urlsplit

from soak.observations import ListChange, Notified, Record
from soak.order_servers import OrderServer
from soak.settings import LOCALHOST, MACHINE_CLASS

HEARTBEAT_S = 2.0
PROPAGATION_DEADLINE_S = 6.0  # after it a change counts as notified, whatever came of the calls
PROPAGATION_DEADLINE_AFTER_MOVE_S = 4.0
OLD_AGENT_CLOSES_AFTER_S = 1.5
HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"
HEAD_END = b"\r\n\r\n"


class Health(Enum):
    """An order server's state in the list."""

    IN_SERVICE = "in_service"
    TERMINATING = "terminating"
    TERMINATED = "terminated"


@dataclass(frozen=True, slots=True)
class Entry:
    """One entry of the list at one version."""

    server: OrderServer
    health: Health
    born_ms: int

    def encode(self, gateway: int) -> dict[str, Any]:
        """Return the entry in discovery's form, with the address that this gateway uses."""
        return {
            "host": self.server.name,
            "dial": self.server.address(gateway),
            "site": self.server.zone,
            "class": MACHINE_CLASS,
            "block": self.server.cell,
            "health": self.health.value,
            "share": 1.0,
            "born_ms": self.born_ms,
        }


class ListSource:
    """The list with all its versions; each version changes one entry."""

    def __init__(self) -> None:
        self.changes: list[tuple[Entry, ListChange]] = []  # change number n makes version n + 1
        self.agents: list[DiscoveryAgent] = []
        self._time = asyncio.get_running_loop().time

    @property
    def version(self) -> int:
        """Return the newest version."""
        return len(self.changes)

    def publish(self, server: OrderServer, health: Health) -> None:
        """Change an entry, and let all agents know."""
        born_ms = int(server.born_at * 1000)
        change = ListChange(
            server=server.number,
            at=self._time(),
            in_service=health is Health.IN_SERVICE,
            began_at=server.began_at,
        )
        self.changes.append((Entry(server, health, born_ms), change))
        for agent in self.agents:
            agent.on_change()

    def entries_at(self, version: int) -> dict[str, Entry]:
        """Return the whole list of a version."""
        entries: dict[str, Entry] = {}
        for entry, _ in self.changes[:version]:
            entries[entry.server.name] = entry
        return {n: entry for n, entry in entries.items() if entry.health is not Health.TERMINATED}

    def whole_list(self, version: int, gateway: int, with_draining: bool = True) -> dict[str, Any]:
        """Return the list in discovery's form; without those that drain, they are gone for its reader."""
        entries = self.entries_at(version).values()
        listed = [e for e in entries if with_draining or e.health is Health.IN_SERVICE]
        return {"seq": version, "whole": True, "hosts": [e.encode(gateway) for e in listed]}

    def delta(self, after: int, version: int, gateway: int) -> dict[str, Any]:
        """Return the entries that changed."""
        entries = {entry.server.name: entry for entry, _ in self.changes[after:version]}
        return {"seq": version, "whole": False, "hosts": [e.encode(gateway) for e in entries.values()]}


class WatchConnection(asyncio.Protocol):
    """One connection of a gateway to its agent."""

    def __init__(self, agent: DiscoveryAgent) -> None:
        self._agent = agent
        self._head = b""
        self.sent_version: int | None = None  # None until the request is answered
        self.asked_for: int | None = None
        self.is_mute = False
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Join the agent's connections."""
        self.transport = cast(asyncio.Transport, transport)
        if self._agent.is_retired:
            self.abort()
            return
        self._agent.watches.add(self)
        if self._agent.mutes_next_watch:
            self._agent.mutes_next_watch = False
            self.is_mute = True

    def data_received(self, data: bytes) -> None:
        """Answer the request once it is complete."""
        self._head += data
        if HEAD_END not in self._head or self.asked_for is not None:
            return
        target = self._head.split(b" ", 2)[1].decode()
        self.asked_for = int(parse_qs(urlsplit(target).query).get("index", ["0"])[0])
        self._agent.serve(self)

    def send_head(self) -> None:
        """Begin the response."""
        if self.transport is not None:
            self.transport.write(HEAD)

    def send(self, line: bytes) -> None:
        """Write a line of the response."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(b"%x\r\n%b\r\n" % (len(line), line))

    def connection_lost(self, exc: Exception | None) -> None:  # noqa: ARG002 - asyncio names it
        """Leave the agent's connections."""
        self._agent.watches.discard(self)

    def abort(self) -> None:
        """Reset the connection."""
        if self.transport is not None:
            self.transport.abort()


class DiscoveryAgent:
    """The agent of one gateway: it tells what it has, and from the source on has all unless it lags."""

    def __init__(self, gateway: int, source: ListSource, record: Record, rng: random.Random) -> None:
        self.gateway = gateway
        self.watches: set[WatchConnection] = set()
        self.mutes_next_watch = False
        self.is_retired = False
        self.omits_draining = rng.random() < 0.5  # from whole lists
        self._loop = asyncio.get_running_loop()
        self._source = source
        self._record = record
        self._rng = rng
        self._version = source.version
        self._lags_until = 0.0
        self._down_until = 0.0
        self.outages: list[tuple[float, float]] = []
        self.lags: list[tuple[float, float]] = []
        self._server: asyncio.Server | None = None
        self.port = 0
        source.agents.append(self)

    async def start(self) -> None:
        """Listen, and write heartbeats."""
        self._server = await self._loop.create_server(lambda: WatchConnection(self), LOCALHOST, 0)
        self.port = int(self._server.sockets[0].getsockname()[1])
        self._loop.call_later(HEARTBEAT_S, self._beat)

    @property
    def address(self) -> str:
        """Return where the gateway reaches it."""
        return f"{LOCALHOST}:{self.port}"

    # Faults.

    def mute_watches(self) -> None:
        """Let all open watches fall silent for good."""
        for watch in self.watches:
            watch.is_mute = True

    def reset_watches(self) -> None:
        """Reset all open watches."""
        for watch in list(self.watches):
            watch.abort()

    def take_down(self, duration_s: float) -> None:
        """Be silent and learn nothing for a while."""
        self._down_until = max(self._down_until, self._loop.time() + duration_s)
        self.outages.append((self._loop.time(), self._down_until))
        self._loop.call_later(duration_s, self.on_change)

    def retire(self) -> None:
        """Serve nobody any more, as after a move."""
        self.is_retired = True
        self.reset_watches()

    def lag(self, version: int, duration_s: float) -> None:
        """Have an older list for a while."""
        self._version = min(version, self._version)
        self._lags_until = self._loop.time() + duration_s
        self.lags.append((self._loop.time(), self._lags_until))
        self._loop.call_later(duration_s, self.on_change)

    def close(self) -> None:
        """End for good."""
        if self._server is not None:
            self._server.close()
        self.reset_watches()

    @property
    def version(self) -> int:
        """Return the version that the agent has."""
        return self._version

    def is_silent(self) -> bool:
        """Return whether it tells nothing now, or may not have the newest list."""
        return self._is_down() or self._loop.time() < self._lags_until

    def _is_down(self) -> bool:
        return self._loop.time() < self._down_until

    # Telling.

    def on_change(self) -> None:
        """Learn what the source has, and tell it."""
        now = self._loop.time()
        if self._is_down() or now < self._lags_until:
            return
        self._version = self._source.version
        for watch in list(self.watches):
            if watch.asked_for is not None:
                self._tell(watch)

    def serve(self, watch: WatchConnection) -> None:
        """Answer a new watch, at once unless discovery is down."""
        if not self._is_down():
            self._tell(watch)

    def _tell(self, watch: WatchConnection) -> None:
        if watch.is_mute:
            return
        if watch.sent_version is None:
            watch.send_head()
            self._tell_first(watch)
        elif watch.sent_version < self._version:
            self._send(watch, self._source.delta(watch.sent_version, self._version, self.gateway))
            self._note_notified(watch.sent_version, self._version)
        watch.sent_version = max(self._version, watch.sent_version or 0)

    def _tell_first(self, watch: WatchConnection) -> None:
        asked_for = watch.asked_for or 0
        if 0 < asked_for <= self._version and self._rng.random() < 0.5:
            if asked_for < self._version:
                self._send(watch, self._source.delta(asked_for, self._version, self.gateway))
            else:
                watch.send(b"\n")
        else:
            whole = self._source.whole_list(self._version, self.gateway, not self.omits_draining)
            self._send(watch, whole)
        self._note_notified(0, self._version)

    def _send(self, watch: WatchConnection, update: dict[str, Any]) -> None:
        watch.send(json.dumps(update).encode() + b"\n")

    def _beat(self) -> None:
        self._loop.call_later(HEARTBEAT_S, self._beat)
        if self._is_down():
            return
        for watch in self.watches:
            if watch.sent_version is not None and not watch.is_mute:
                watch.send(b"\n")

    def _note_notified(self, after: int, version: int) -> None:
        now = self._loop.time()
        for _, change in self._source.changes[after:version]:
            self._record.notifications.append(self.notified(change, now))

    def notified(self, change: ListChange, at: float) -> Notified:
        """Return that this gateway counts as notified of a change from a time on."""
        return Notified(
            gateway=self.gateway,
            server=change.server,
            at=at,
            change_at=change.at,
            in_service=change.in_service,
            began_at=change.began_at,
        )
