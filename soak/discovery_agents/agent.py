"""The discovery agent of one gateway."""

from __future__ import annotations

import asyncio
import json
import random
from typing import Any

from soak.discovery_agents.list_source import ListSource
from soak.discovery_agents.outages import Outages, TimeSpan
from soak.discovery_agents.watch_connection import WatchConnection
from soak.observations import ListChange, Notified, Record
from soak.settings import LOCALHOST

HEARTBEAT_S = 2.0
TIMER_RESOLUTION_S = 0.001
HEARTBEAT = b"\n"
PROPAGATION_DEADLINE_S = 6.0  # after it a gateway counts as notified of a change in any case
PROPAGATION_DEADLINE_AFTER_MOVE_S = 4.0
OMITS_DRAINING_PROBABILITY = 0.5
DELTA_PROBABILITY = 0.5  # that a watch which names a version gets only what changed since


class DiscoveryAgent:
    """Serves the list to one gateway: the newest version, unless an outage or a lag lasts."""

    def __init__(self, gateway: int, source: ListSource, record: Record, rng: random.Random) -> None:
        self.gateway = gateway
        self.is_retired = False
        self._mutes_next_watch = False
        self._omits_draining = rng.random() < OMITS_DRAINING_PROBABILITY  # in snapshots
        self._loop = asyncio.get_running_loop()
        self._source = source
        self._record = record
        self._rng = rng
        self._version = source.version
        self._watches: set[WatchConnection] = set()
        self._outages = Outages()
        self._server: asyncio.Server | None = None
        self._port = 0
        source.subscribe(self.on_change)

    async def start(self) -> None:
        """Listen, and begin to write heartbeats."""
        self._server = await self._loop.create_server(lambda: WatchConnection(self), LOCALHOST, 0)
        self._port = int(self._server.sockets[0].getsockname()[1])
        self._loop.call_later(HEARTBEAT_S, self._send_heartbeats)

    def close(self) -> None:
        """Stop listening, and reset all watches."""
        if self._server is not None:
            self._server.close()
        self.reset_watches()

    @property
    def address(self) -> str:
        """Return the address at which the gateway reaches the agent."""
        return f"{LOCALHOST}:{self._port}"

    @property
    def version(self) -> int:
        """Return the version that the agent has."""
        return self._version

    # Fault injection.

    @property
    def outages(self) -> list[TimeSpan]:
        """Return all outages."""
        return self._outages.outages

    @property
    def lags(self) -> list[TimeSpan]:
        """Return all lags."""
        return self._outages.lags

    def is_silent(self) -> bool:
        """Return whether the agent sends nothing now, or may not have the newest list."""
        return self._outages.is_down_or_lagging()

    def mute_watches(self) -> None:
        """Send nothing more on the open watches."""
        for watch in self._watches:
            watch.is_mute = True

    def mute_next_watch(self) -> None:
        """Send nothing on the next watch."""
        self._mutes_next_watch = True

    def reset_watches(self) -> None:
        """Reset all open watches."""
        for watch in list(self._watches):
            watch.abort()

    def take_down(self, duration_s: float) -> None:
        """Send nothing and learn nothing for a while."""
        self._outages.begin_outage(duration_s)
        self._catch_up()

    def lag(self, version: int, duration_s: float) -> None:
        """Have an older version for a while."""
        self._version = min(version, self._version)
        self._outages.begin_lag(duration_s)
        self._catch_up()

    def _catch_up(self) -> None:
        """Take the newest version when no outage and no lag lasts; timers may fire a little early."""
        time_left_s = self._outages.time_left_s()
        if time_left_s > 0.0:
            self._loop.call_later(max(time_left_s, TIMER_RESOLUTION_S), self._catch_up)
        else:
            self.on_change()

    def retire(self) -> None:
        """Reset all watches, and every new one: discovery has moved."""
        self.is_retired = True
        self.reset_watches()

    # Watches.

    def on_connected(self, watch: WatchConnection) -> None:
        """Keep a connection until it ends; reset it at once if discovery has moved."""
        if self.is_retired:
            watch.abort()
            return
        self._watches.add(watch)
        if self._mutes_next_watch:
            self._mutes_next_watch = False
            watch.is_mute = True

    def on_disconnected(self, watch: WatchConnection) -> None:
        """Forget a connection that has ended."""
        self._watches.discard(watch)

    def on_request(self, watch: WatchConnection) -> None:
        """Answer a new watch, unless an outage lasts."""
        if not self._outages.is_down():
            self._update(watch)

    def on_change(self) -> None:
        """Take the newest version from the source, and send it to all watches."""
        if self._outages.is_down_or_lagging():
            return
        self._version = self._source.version
        for watch in list(self._watches):
            if watch.requested_version is not None:
                self._update(watch)

    def _update(self, watch: WatchConnection) -> None:
        if watch.is_mute:
            return
        if watch.sent_version is None:
            watch.send_head()
            self._send_first(watch)
        elif watch.sent_version < self._version:
            self._send(watch, self._source.delta(watch.sent_version, self._version, self.gateway))
            self._record_notifications(watch.sent_version, self._version)
        watch.sent_version = max(self._version, watch.sent_version or 0)

    def _send_first(self, watch: WatchConnection) -> None:
        requested = watch.requested_version or 0
        if 0 < requested <= self._version and self._rng.random() < DELTA_PROBABILITY:
            if requested < self._version:
                self._send(watch, self._source.delta(requested, self._version, self.gateway))
            else:
                watch.send(HEARTBEAT)
        else:
            self._send(watch, self._source.snapshot(self._version, self.gateway, not self._omits_draining))
        self._record_notifications(0, self._version)

    def _send(self, watch: WatchConnection, update: dict[str, Any]) -> None:
        watch.send(json.dumps(update).encode() + b"\n")

    def _send_heartbeats(self) -> None:
        self._loop.call_later(HEARTBEAT_S, self._send_heartbeats)
        if self._outages.is_down():
            return
        for watch in self._watches:
            if watch.sent_version is not None and not watch.is_mute:
                watch.send(HEARTBEAT)

    # Notifications.

    def _record_notifications(self, after: int, version: int) -> None:
        now = self._loop.time()
        for _, change in self._source.changes[after:version]:
            self._record.notifications.append(self.notified(change, now))

    def notified(self, change: ListChange, at: float) -> Notified:
        """Return the observation that this gateway is notified of a change from a time on."""
        return Notified(
            gateway=self.gateway,
            server=change.server,
            at=at,
            change_at=change.at,
            in_service=change.in_service,
            began_at=change.began_at,
        )
