"""Discovery over HTTP: a watch that is followed in order, and taken up again where it broke."""

from __future__ import annotations

import asyncio
import json
import logging
import random
from collections.abc import Callable
from dataclasses import replace
from hashlib import blake2b
from typing import Any, cast

import h11

from ..types import Endpoint, Health, ListKind, Topology
from .config import Address, ConfigError, address

log = logging.getLogger(__name__)

IDLE_TIMEOUT_S = 5.0  # s without a byte: an idle watch brings an empty line every 2 s, so two were missed
CONNECT_TIMEOUT_S = 1.0  # s for the agent, which is on this machine
INITIAL_BACKOFF_S, MAX_BACKOFF_S = (
    0.05,
    2.0,
)  # s between watches; doubles, and a watch that was well resets it
MAX_BACKOFF_GRACE_FRACTION = (
    0.5  # part of the drain grace at most: what the agent has binds as if it had told us
)
PROPAGATION_DEADLINE_S, PROPAGATION_DEADLINE_AFTER_MOVE_S = (
    6.0,
    4.0,
)  # s after which a change counts as told, whatever came of the calls; after a move
UPDATE_TIME_S = 0.6  # s of it for the call that brings it: a list of 7,100 takes 0.45 s on a third of a core
FIRST_LIST_DEADLINE_S = (
    3.0  # s, in TOLD's place, while no list at all is known: nobody is served until there is one
)
OVERLOAD_MIN_WAIT_FRACTION = (
    2 / 3
)  # part of the time left before which nobody calls a discovery that turned it away ...
OVERLOAD_MAX_ADVISED_FRACTION = (
    0.85  # ... and the same where it asked for longer: a fleet told alike must not come in step
)
MAX_OBJECT_BYTES = 4 << 20  # bytes of one object: some 20,000 entries; more is no list
MAX_LEAVING_ENDPOINTS = 1024  # backends that are remembered as leaving: several whole fleets
MILLISECOND = 1_000_000
_HEALTH = {"in_service": Health.READY, "terminating": Health.DRAINING, "terminated": Health.REMOVED}


class ListError(ValueError):
    """A list that cannot be read."""


class EndpointUpdate:
    """One version of the list or of its changes: for the module, and where each backend is reached."""

    __slots__ = ("addresses", "topology")

    def __init__(self, topology: Topology, addresses: dict[int, Address]) -> None:
        self.topology = topology
        self.addresses = addresses


def endpoint_id(host: str) -> int:
    """The same at every gateway and after every restart, as it hangs on the name alone."""
    return int.from_bytes(blake2b(host.encode(), digest_size=6).digest(), "big")


def parse_update(
    raw: Any, zones: tuple[str, ...], kinds: tuple[str, ...], cached: bool = False
) -> EndpointUpdate:
    """Discovery's form to the module's; zone and kind become indices, as on the simulator's wire."""
    try:
        kind = ListKind.CACHED if cached else ListKind.FULL if raw["whole"] else ListKind.DELTA
        addresses: dict[int, Address] = {}
        entries = []
        for host in raw["hosts"]:
            number, health = endpoint_id(host["host"]), _HEALTH[host["health"]]
            if health is not Health.REMOVED:
                addresses[number] = address(host["dial"], "dial")
            entries.append(
                Endpoint(
                    number,
                    _index(zones, host.get("site")),
                    _index(kinds, host.get("class")),
                    int(host.get("block", 0)),
                    health,
                    float(host.get("share", 1.0)),
                    # The module's clock reads Unix time; 0 stays 0, long ago.
                    int(host.get("born_ms", 0)) * MILLISECOND,
                )
            )
        return EndpointUpdate(Topology(kind, int(raw["seq"]), tuple(entries)), addresses)
    except (AttributeError, KeyError, TypeError, ValueError, ConfigError) as error:
        raise ListError(f"{type(error).__name__}: {error}") from None


def _index(names: tuple[str, ...], name: Any) -> int:
    """A name that the settings lack is like none of theirs."""
    return names.index(name) if name in names else len(names)


class WatchSchedule:
    """When discovery is called next. Every call is begun early enough that one which succeeds is in force
    before a change counts as told, counted from what was last known, or from the start of a failed call.
    Times are seconds of the loop's clock, waits seconds.
    """

    __slots__ = ("_backoff", "_due", "_max_backoff", "_rng")

    def __init__(self, drain_grace: float, rng: random.Random) -> None:
        self._backoff, self._max_backoff = (
            INITIAL_BACKOFF_S,
            min(MAX_BACKOFF_S, MAX_BACKOFF_GRACE_FRACTION * drain_grace),
        )
        self._due: float | None = None  # for the first call that succeeds after what was known
        self._rng = rng

    def list_known(self, at: float, told: float = PROPAGATION_DEADLINE_S) -> None:
        """All that discovery had at that time is known."""
        self._backoff, self._due = INITIAL_BACKOFF_S, at + told - UPDATE_TIME_S

    def delay_after_disconnect(self) -> float:
        """The wait before a watch that was well is opened anew. Jitter, or gateways whose agents broke
        together would come back together.
        """
        return INITIAL_BACKOFF_S * self._rng.uniform(0.5, 1.0)

    def delay_after_failure(
        self, called_at: float, now: float, told: float = PROPAGATION_DEADLINE_S
    ) -> float:
        """The wait after a call that was refused, reset, spoilt or never answered."""
        left = max(INITIAL_BACKOFF_S, self._time_until_due(called_at, now, told))
        backoff = min(self._backoff, self._max_backoff, left)
        self._backoff = min(MAX_BACKOFF_S, 2 * self._backoff)
        return backoff * self._rng.uniform(0.5, 1.0)

    def delay_after_overload(
        self, called_at: float, now: float, retry_after: float, told: float = PROPAGATION_DEADLINE_S
    ) -> float:
        """The wait after a call that a crowded discovery turned away (429, 503): the longest that the next
        may take, as a whole fleet that calls at once serves nobody.
        """
        left = max(INITIAL_BACKOFF_S, self._time_until_due(called_at, now, told))
        earliest = min(OVERLOAD_MAX_ADVISED_FRACTION, max(OVERLOAD_MIN_WAIT_FRACTION, retry_after / left))
        return left * self._rng.uniform(earliest, 1.0)

    def _time_until_due(self, called_at: float, now: float, told: float) -> float:
        """Until the next call is due. What a watch missed binds by when it was last well, and once; after
        that a change can have come no sooner than the call that failed.
        """
        due, self._due = self._due, None
        if due is None or due - now < INITIAL_BACKOFF_S:
            due = called_at + told - UPDATE_TIME_S
        return due - now


class DiscoveryClient:
    """Keeps one watch open. The list last told goes on serving while there is none."""

    def __init__(
        self,
        agent: Address,
        zones: tuple[str, ...],
        kinds: tuple[str, ...],
        index: int | None,
        told: Callable[[EndpointUpdate], None],
        drain_grace: float = 2 * MAX_BACKOFF_S,
    ) -> None:
        self._agent = agent
        self._schedule = WatchSchedule(drain_grace, random.Random())
        self._zones, self._kinds = zones, kinds
        self._index = index
        self._on_update = told
        self._hosts: dict[str, Any] = {}  # the list as it was told last, for the next process
        self._closed = False
        self._leaving_endpoints: dict[
            int, int
        ] = {}  # backends told to drain or be gone, and when each had started
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        self._task = asyncio.get_running_loop().create_task(self._run())

    def change_agent(self, agent: Address) -> None:
        """Leave the watch for one at another agent, at once: the old one tells nothing more for long."""
        if agent == self._agent or self._closed:
            return
        log.info("discovery moves to %s:%d", *agent)
        self._agent = agent
        self._schedule.list_known(asyncio.get_running_loop().time(), PROPAGATION_DEADLINE_AFTER_MOVE_S)
        if self._task is not None:
            self._task.cancel()
            self.start()

    async def close(self) -> None:
        self._closed = True
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def _run(self) -> None:
        loop = asyncio.get_running_loop()
        host, port = self._agent
        while True:
            called_at = loop.time()
            watch = WatchConnection(f"{host}:{port}", self._index, self._on_object)
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    await loop.create_connection(lambda made=watch: made, host, port)  # type: ignore[misc]
                await watch.ended
            except (OSError, TimeoutError) as error:
                log.warning("discovery: %s", error or type(error).__name__)
            finally:
                watch.close()
            await asyncio.sleep(self._delay_after(watch, called_at, loop.time()))

    def _delay_after(self, watch: WatchConnection, called_at: float, now: float) -> float:
        """Seconds to the next call, by what came of this one."""
        told = FIRST_LIST_DEADLINE_S if self._index is None else PROPAGATION_DEADLINE_S
        if watch.was_overloaded:
            # The list last known does meanwhile.
            return self._schedule.delay_after_overload(called_at, now, watch.retry_after, told)
        if watch.complete_at is None:
            return self._schedule.delay_after_failure(called_at, now, told)
        self._schedule.list_known(watch.complete_at)
        return self._schedule.delay_after_disconnect()

    def _keep_drains(self, update: EndpointUpdate) -> EndpointUpdate:
        """A whole list that is older than what is known, as of an agent that lags behind the one before it:
        followed, as the changes after it come in order, but a drain once told holds (rule 3).
        """
        entries = tuple(
            replace(entry, health=Health.DRAINING)
            if self._leaving_endpoints.get(entry.id) == entry.started_at
            else entry
            for entry in update.topology.entries
        )
        return EndpointUpdate(replace(update.topology, entries=entries), update.addresses)

    def current_list(self) -> dict[str, Any] | None:
        """The list in discovery's own form; None where nothing was told yet."""
        hosts = list(self._hosts.values())
        return {"seq": self._index, "whole": True, "hosts": hosts} if hosts else None

    def adopt_list(self, raw: dict[str, Any]) -> EndpointUpdate:
        """A list that the process before was told; the watch goes on from it."""
        update = parse_update(raw, self._zones, self._kinds, cached=True)
        self._store(raw, True)
        self._index = update.topology.version
        return update

    def _store(self, raw: dict[str, Any], whole: bool) -> None:
        self._hosts = {} if whole else self._hosts
        for host in raw["hosts"]:
            if host["health"] == "terminated":
                self._hosts.pop(host["host"], None)
            else:
                self._hosts[host["host"]] = host

    def _on_object(self, raw: Any) -> None:
        update = parse_update(raw, self._zones, self._kinds)
        whole = update.topology.kind is ListKind.FULL
        # A second watch may tell again what is known: an older version must not undo a newer one.
        if not whole and self._index is not None and update.topology.version < self._index:
            return
        if whole and self._index is not None and update.topology.version < self._index:
            update = self._keep_drains(update)
        self._on_update(update)
        self._store(raw, whole)
        for entry in update.topology.entries:
            self._leaving_endpoints.pop(entry.id, None)
            if entry.health is not Health.READY:
                self._leaving_endpoints[entry.id] = entry.started_at
        while len(self._leaving_endpoints) > MAX_LEAVING_ENDPOINTS:
            del self._leaving_endpoints[next(iter(self._leaving_endpoints))]
        self._index = update.topology.version


def read_seconds(text: bytes) -> float:
    """A Retry-After in seconds; a date or anything else says nothing."""
    return float(text) if text.isdigit() and len(text) < 6 else 0.0


class WatchConnection(asyncio.Protocol):
    """One HTTP exchange; `ended` is done when nothing more can come of it."""

    def __init__(self, host: str, index: int | None, told: Callable[[Any], None]) -> None:
        self._loop = asyncio.get_running_loop()
        self.ended: asyncio.Future[None] = self._loop.create_future()
        self._http = h11.Connection(h11.CLIENT)
        self._host, self._index, self._on_object = host, index, told
        self._partial_line, self._lines = b"", list[bytes]()  # of the object that is still to be told whole
        self.was_overloaded, self.retry_after = False, 0.0  # s
        self.complete_at: float | None = None  # when what came was last whole, if only an empty line
        self._last_data_at = self._loop.time()
        self._timer: asyncio.TimerHandle | None = None
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        if self.ended.done():
            self._transport.abort()  # it came up after nobody waited for it any more
            return
        request = h11.Request(
            method="GET",
            target=f"/api/targets?stream=1&index={self._index or 0}",
            headers=[("Host", self._host), ("Accept", "application/json")],
        )
        out = (self._http.send(request) or b"") + (self._http.send(h11.EndOfMessage()) or b"")
        self._transport.write(out)
        self._check_idle()

    def _check_idle(self) -> None:
        """A machine that vanished says nothing: silence ends the watch as a break would."""
        left = self._last_data_at + IDLE_TIMEOUT_S - self._loop.time()
        if left <= 0:
            self._finish("silent")
        else:
            self._timer = self._loop.call_later(left, self._check_idle)

    def data_received(self, data: bytes) -> None:
        try:
            self._http.receive_data(data)
            while not self.ended.done():
                event = self._http.next_event()
                if event is h11.NEED_DATA or event is h11.PAUSED:
                    return None
                if isinstance(event, h11.Response) and event.status_code != 200:
                    self.was_overloaded = event.status_code in (429, 503)
                    self.retry_after = read_seconds(dict(event.headers).get(b"retry-after", b""))
                    return self._finish(f"status {event.status_code}")
                if isinstance(event, h11.Data):
                    self._read(bytes(event.data))
                elif isinstance(event, h11.EndOfMessage | h11.ConnectionClosed):
                    return self._finish("answer ended")
        except (h11.RemoteProtocolError, ListError, ValueError) as error:
            self._finish(str(error))

    def _read(self, data: bytes) -> None:
        self._last_data_at = self._loop.time()  # a head alone, with nothing behind it, is silence
        *lines, self._partial_line = (self._partial_line + data).split(b"\n")
        for line in lines:
            self._read_line(line)
            if not self._lines:
                self.complete_at = self._last_data_at
        if len(self._partial_line) + sum(map(len, self._lines)) > MAX_OBJECT_BYTES:
            self._finish("endless line")

    def _read_line(self, line: bytes) -> None:
        """One object may be indented, over many lines; it is told once it is whole."""
        if line.strip():
            self._lines.append(line)
        elif self._lines:
            raise ListError("an object broke off")  # the empty line says that nothing more is to come now
        if not self._lines or (len(self._lines) > 1 and not line.rstrip().endswith((b"}", b"]"))):
            return
        try:
            raw = json.loads(b"\n".join(self._lines))
        except json.JSONDecodeError as error:
            if error.pos < len(error.doc.rstrip()):
                raise
            return  # good so far: its end is still to come
        self._lines.clear()
        self._on_object(raw)

    def connection_lost(self, exc: Exception | None) -> None:
        self._finish(str(exc or "closed"))

    def _finish(self, why: str) -> None:
        if not self.ended.done():
            log.warning("discovery watch over: %s", why)
            self.ended.set_result(None)

    def close(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        if self._transport is not None:
            self._transport.abort()
        if not self.ended.done():
            self.ended.cancel()
