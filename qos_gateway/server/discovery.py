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

SILENCE = 5.0  # s without a byte: an idle watch brings an empty line every 2 s, so two were missed
CONNECT = 1.0  # s for the agent, which is on this machine
BACKOFF_FIRST, BACKOFF_MOST = 0.05, 2.0  # s between watches; doubles, and a watch that was well resets it
BACKOFF_GRACE = 0.5  # part of the drain grace at most: what the agent has binds as if it had told us
TOLD, MOVED = 6.0, 4.0  # s after which a change counts as told, whatever came of the calls; after a move
IN_FORCE = 0.6  # s of it for the call that brings it: a list of 7,100 takes 0.45 s on a third of a core
FIRST_TOLD = 3.0  # s, in TOLD's place, while no list at all is known: nobody is served until there is one
CROWD_EARLIEST = 2 / 3  # part of the time left before which nobody calls a discovery that turned it away ...
CROWD_ADVISED = 0.85  # ... and the same where it asked for longer: a fleet told alike must not come in step
LINE = 4 << 20  # bytes of one object: some 20,000 entries; more is no list
LEAVING_MOST = 1024  # backends that are remembered as leaving: several whole fleets
MILLISECOND = 1_000_000
_HEALTH = {"in_service": Health.READY, "terminating": Health.DRAINING, "terminated": Health.REMOVED}


class ListError(ValueError):
    """A list that cannot be read."""


class Update:
    """One version of the list or of its changes: for the module, and where each backend is reached."""

    __slots__ = ("addresses", "topology")

    def __init__(self, topology: Topology, addresses: dict[int, Address]) -> None:
        self.topology = topology
        self.addresses = addresses


def backend_id(host: str) -> int:
    """The same at every gateway and after every restart, as it hangs on the name alone."""
    return int.from_bytes(blake2b(host.encode(), digest_size=6).digest(), "big")


def parse_update(raw: Any, zones: tuple[str, ...], kinds: tuple[str, ...], cached: bool = False) -> Update:
    """Discovery's form to the module's; zone and kind become indices, as on the simulator's wire."""
    try:
        kind = ListKind.CACHED if cached else ListKind.FULL if raw["whole"] else ListKind.DELTA
        addresses: dict[int, Address] = {}
        entries = []
        for host in raw["hosts"]:
            number, health = backend_id(host["host"]), _HEALTH[host["health"]]
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
        return Update(Topology(kind, int(raw["seq"]), tuple(entries)), addresses)
    except (AttributeError, KeyError, TypeError, ValueError, ConfigError) as error:
        raise ListError(f"{type(error).__name__}: {error}") from None


def _index(names: tuple[str, ...], name: Any) -> int:
    """A name that the settings lack is like none of theirs."""
    return names.index(name) if name in names else len(names)


class Pacing:
    """When discovery is called next. Every call is begun early enough that one which succeeds is in force
    before a change counts as told, counted from what was last known, or from the start of a failed call.
    Times are seconds of the loop's clock, waits seconds.
    """

    __slots__ = ("_backoff", "_backoff_most", "_due", "_rng")

    def __init__(self, drain_grace: float, rng: random.Random) -> None:
        self._backoff, self._backoff_most = BACKOFF_FIRST, min(BACKOFF_MOST, BACKOFF_GRACE * drain_grace)
        self._due: float | None = None  # for the first call that succeeds after what was known
        self._rng = rng

    def known(self, at: float, told: float = TOLD) -> None:
        """All that discovery had at that time is known."""
        self._backoff, self._due = BACKOFF_FIRST, at + told - IN_FORCE

    def after_break(self) -> float:
        """The wait before a watch that was well is opened anew. Jitter, or gateways whose agents broke
        together would come back together.
        """
        return BACKOFF_FIRST * self._rng.uniform(0.5, 1.0)

    def after_failure(self, called_at: float, now: float, told: float = TOLD) -> float:
        """The wait after a call that was refused, reset, spoilt or never answered."""
        left = max(BACKOFF_FIRST, self._left(called_at, now, told))
        backoff = min(self._backoff, self._backoff_most, left)
        self._backoff = min(BACKOFF_MOST, 2 * self._backoff)
        return backoff * self._rng.uniform(0.5, 1.0)

    def after_refusal(self, called_at: float, now: float, retry_after: float, told: float = TOLD) -> float:
        """The wait after a call that a crowded discovery turned away (429, 503): the longest that the next
        may take, as a whole fleet that calls at once serves nobody.
        """
        left = max(BACKOFF_FIRST, self._left(called_at, now, told))
        earliest = min(CROWD_ADVISED, max(CROWD_EARLIEST, retry_after / left))
        return left * self._rng.uniform(earliest, 1.0)

    def _left(self, called_at: float, now: float, told: float) -> float:
        """Until the next call is due. What a watch missed binds by when it was last well, and once; after
        that a change can have come no sooner than the call that failed.
        """
        due, self._due = self._due, None
        if due is None or due - now < BACKOFF_FIRST:
            due = called_at + told - IN_FORCE
        return due - now


class Discovery:
    """Keeps one watch open. The list last told goes on serving while there is none."""

    def __init__(
        self,
        agent: Address,
        zones: tuple[str, ...],
        kinds: tuple[str, ...],
        index: int | None,
        told: Callable[[Update], None],
        drain_grace: float = 2 * BACKOFF_MOST,
    ) -> None:
        self._agent = agent
        self._pacing = Pacing(drain_grace, random.Random())
        self._zones, self._kinds = zones, kinds
        self._index = index
        self._told = told
        self._hosts: dict[str, Any] = {}  # the list as it was told last, for the next process
        self._closed = False
        self._leaving: dict[int, int] = {}  # backends told to drain or be gone, and when each had started
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        self._task = asyncio.get_running_loop().create_task(self._run())

    def move(self, agent: Address) -> None:
        """Leave the watch for one at another agent, at once: the old one tells nothing more for long."""
        if agent == self._agent or self._closed:
            return
        log.info("discovery moves to %s:%d", *agent)
        self._agent = agent
        self._pacing.known(asyncio.get_running_loop().time(), MOVED)
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
            watch = _Watch(f"{host}:{port}", self._index, self._line)
            try:
                async with asyncio.timeout(CONNECT):
                    await loop.create_connection(lambda made=watch: made, host, port)  # type: ignore[misc]
                await watch.ended
            except (OSError, TimeoutError) as error:
                log.warning("discovery: %s", error or type(error).__name__)
            finally:
                watch.close()
            await asyncio.sleep(self._wait(watch, called_at, loop.time()))

    def _wait(self, watch: _Watch, called_at: float, now: float) -> float:
        """Seconds to the next call, by what came of this one."""
        told = FIRST_TOLD if self._index is None else TOLD
        if watch.turned_away:
            # The list last known does meanwhile.
            return self._pacing.after_refusal(called_at, now, watch.retry_after, told)
        if watch.well_at is None:
            return self._pacing.after_failure(called_at, now, told)
        self._pacing.known(watch.well_at)
        return self._pacing.after_break()

    def _behind(self, update: Update) -> Update:
        """A whole list that is older than what is known, as of an agent that lags behind the one before it:
        followed, as the changes after it come in order, but a drain once told holds (rule 3).
        """
        entries = tuple(
            replace(entry, health=Health.DRAINING)
            if self._leaving.get(entry.id) == entry.started_at
            else entry
            for entry in update.topology.entries
        )
        return Update(replace(update.topology, entries=entries), update.addresses)

    def known(self) -> dict[str, Any] | None:
        """The list in discovery's own form; None where nothing was told yet."""
        hosts = list(self._hosts.values())
        return {"seq": self._index, "whole": True, "hosts": hosts} if hosts else None

    def adopt(self, raw: dict[str, Any]) -> Update:
        """A list that the process before was told; the watch goes on from it."""
        update = parse_update(raw, self._zones, self._kinds, cached=True)
        self._note(raw, True)
        self._index = update.topology.version
        return update

    def _note(self, raw: dict[str, Any], whole: bool) -> None:
        self._hosts = {} if whole else self._hosts
        for host in raw["hosts"]:
            if host["health"] == "terminated":
                self._hosts.pop(host["host"], None)
            else:
                self._hosts[host["host"]] = host

    def _line(self, raw: Any) -> None:
        update = parse_update(raw, self._zones, self._kinds)
        whole = update.topology.kind is ListKind.FULL
        # A second watch may tell again what is known: an older version must not undo a newer one.
        if not whole and self._index is not None and update.topology.version < self._index:
            return
        if whole and self._index is not None and update.topology.version < self._index:
            update = self._behind(update)
        self._told(update)
        self._note(raw, whole)
        for entry in update.topology.entries:
            self._leaving.pop(entry.id, None)
            if entry.health is not Health.READY:
                self._leaving[entry.id] = entry.started_at
        while len(self._leaving) > LEAVING_MOST:
            del self._leaving[next(iter(self._leaving))]
        self._index = update.topology.version


def read_seconds(text: bytes) -> float:
    """A Retry-After in seconds; a date or anything else says nothing."""
    return float(text) if text.isdigit() and len(text) < 6 else 0.0


class _Watch(asyncio.Protocol):
    """One HTTP exchange; `ended` is done when nothing more can come of it."""

    def __init__(self, host: str, index: int | None, told: Callable[[Any], None]) -> None:
        self._loop = asyncio.get_running_loop()
        self.ended: asyncio.Future[None] = self._loop.create_future()
        self._http = h11.Connection(h11.CLIENT)
        self._host, self._index, self._told = host, index, told
        self._rest, self._lines = b"", list[bytes]()  # of the object that is still to be told whole
        self.turned_away, self.retry_after = False, 0.0  # s
        self.well_at: float | None = None  # when what came was last whole, if only an empty line
        self._heard_at = self._loop.time()
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
        self._listen()

    def _listen(self) -> None:
        """A machine that vanished says nothing: silence ends the watch as a break would."""
        left = self._heard_at + SILENCE - self._loop.time()
        if left <= 0:
            self._end("silent")
        else:
            self._timer = self._loop.call_later(left, self._listen)

    def data_received(self, data: bytes) -> None:
        try:
            self._http.receive_data(data)
            while not self.ended.done():
                event = self._http.next_event()
                if event is h11.NEED_DATA or event is h11.PAUSED:
                    return None
                if isinstance(event, h11.Response) and event.status_code != 200:
                    self.turned_away = event.status_code in (429, 503)
                    self.retry_after = read_seconds(dict(event.headers).get(b"retry-after", b""))
                    return self._end(f"status {event.status_code}")
                if isinstance(event, h11.Data):
                    self._read(bytes(event.data))
                elif isinstance(event, h11.EndOfMessage | h11.ConnectionClosed):
                    return self._end("answer ended")
        except (h11.RemoteProtocolError, ListError, ValueError) as error:
            self._end(str(error))

    def _read(self, data: bytes) -> None:
        self._heard_at = self._loop.time()  # a head alone, with nothing behind it, is silence
        *lines, self._rest = (self._rest + data).split(b"\n")
        for line in lines:
            self._line(line)
            if not self._lines:
                self.well_at = self._heard_at
        if len(self._rest) + sum(map(len, self._lines)) > LINE:
            self._end("endless line")

    def _line(self, line: bytes) -> None:
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
        self._told(raw)

    def connection_lost(self, exc: Exception | None) -> None:
        self._end(str(exc or "closed"))

    def _end(self, why: str) -> None:
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
