"""The backends as this gateway sees them: symptoms, budgets of cold ones, and the choice among them."""

from __future__ import annotations

import random
from bisect import bisect_left
from collections.abc import Callable, Iterable
from math import ceil, log

from ..types import (
    AttemptEnded,
    Backend,
    Group,
    Health,
    ListKind,
    Outcome,
    Repeat,
    RequestClass,
    Settings,
    Topology,
)
from ..state.entities import LONG, MEMORY, SECOND, Mean, Open, Server

Filter = Callable[[Backend], bool]

COLD_FIRST = 0.7  # expected wait at a cold backend whose budget allows a request, against a warm one's
DOUBTED = 3.0  # added cost of a backend that lately turned the like away or left it unanswered
COLD_MORE = 1.4  # times its part of what a warm one does that a cold backend may be sent ...
COLD_PART = 0.7  # ... and at most this part of the multiple of its capacity from which it falls over
HOLDERS = 10  # gateways that hold a backend: each hears of it often, and it has few connections to keep
TOKENS_SPAN = 1.0  # s of a cold backend's budget that may be saved up while nothing was to go there
OTHERS = 2.0  # attempts out here that say as much of others' at a backend as the mean over backends does
SUSPEND, SUSPEND_MOST = SECOND // 2, 8 * SECOND  # first exclusion of a backend with symptoms; doubles up to
SILENT_AGES = 2.0  # mean latencies without an answer, with none to anything newer from its zone ...
SILENT_BACKENDS = 3  # ... of attempts at so many backends, after which the zone counts as cut off
FAILS = 2  # failures in a row that count as a symptom: one may be chance
CHANCE = 0.005  # ... as more may be where attempts break off everywhere: so unlikely must the row be
LIFTED_EACH, LIFTED_ALL = 0.4, 2.0  # requests a second at least to one that was banned: from here, all
BROKEN_MOST = 0.5  # part of attempts broken off from which longer rows tell no more


def repeat_filter(now: int, cls: RequestClass, request: Open) -> Filter:
    """Rule 2: where another attempt of a keyed request that may have run may go."""
    first = request.keyed_by
    if not request.may_have_run or cls.repeat is not Repeat.KEYED or first is None:
        return lambda b: True
    if now - request.keyed_at >= cls.window:
        return lambda b: False
    if cls.group is Group.ZONE:
        return lambda b: b.zone == first.zone
    return lambda b: cls.group is Group.ALL or b.cell == first.cell


def repeat_until(cls: RequestClass, request: Open) -> int:
    """Rule 2: from when on a keyed request that may have run is not written any more; 0 for no such time."""
    return request.keyed_at + cls.window if request.may_have_run and cls.repeat is Repeat.KEYED else 0


class Fleet:
    """The list of backends, their health from symptoms, cold budgets, and the choice among them."""

    def __init__(self, settings: Settings, rng: random.Random) -> None:
        self.s, self.rng = settings, rng
        # What warm backends answered or had in work when called off: far less than went out in overload.
        self.worked = Mean(MEMORY)
        self.warm = Mean(MEMORY)  # warm backends for each gateway that holds as many, over the same time ...
        self.warm.at = -SECOND  # ... and as many as the first list tells of from then on
        self.servers: dict[int, Server] = {}
        self.banned: dict[int, int] = {}  # by operators, since when; outlasts whatever the list says
        self.silence = [Mean(LONG) for _ in settings.classes]  # part of the attempts that got no answer
        self.broken = Mean(LONG)  # part of the answered attempts that broke off, over all backends
        self.kept = 1.0  # part of the cold backends' budgets that is this process's
        self.usual, self.newest = 0.0, 0  # mean out at each, newest answered
        self.heard: dict[int, int] = {}  # by zone, when its last answer came ...
        self.cut: dict[int, int] = {}  # ... and when it was last found silent
        self.others = 0.0  # mean out at each by the other gateways that hold it
        self.ring: list[int] = []  # usable backends in an order that is the same at every gateway
        self.cold: set[int] = set()  # of these, those that may not be warm yet
        self.unlisted: set[int] = set()  # known, but off the list

    def learn(self, now: int, event: Topology) -> None:
        changed = {entry.id for entry in event.entries}
        if whole := event.kind in (ListKind.FULL, ListKind.CACHED):
            named, changed = changed, changed | self.servers.keys()
            for known in self.servers.values():
                if known.entry.id not in named:
                    known.usable, known.listed = False, False
        for entry in event.entries:
            server = self.servers.get(entry.id)
            if server is None or server.entry.booted != entry.booted:
                # A chance part of a token: with many gateways, each seldom has a whole one to spend.
                fresh = Server(entry, Mean(MEMORY), SUSPEND, tokens=self.rng.random(), tokens_at=now)
                if server:
                    fresh.out, fresh.banned_at = server.out, server.banned_at
                    fresh.cold_from = server.cold_from
                if entry.booted >= fresh.banned_at:
                    fresh.cold_from = 0  # the start that was waited for: known, no longer guessed
                self.servers[entry.id] = server = fresh
            server.entry, server.usable = entry, entry.health is Health.READY
            server.listed = entry.health is not Health.GONE
        if whole:
            self.ring = sorted(i for i in changed if self.servers[i].usable and i not in self.banned)
        for backend in changed:
            self.place(backend)
        self.count(now)

    def leave_out(self, now: int, backend: int, out: bool) -> None:
        """Nothing goes to a banned backend. Afterwards what it did before says nothing of it any more, and it
        counts as started just now until the list, which may be late, tells of a start within the ban."""
        if out:
            self.banned.setdefault(backend, now)
        elif (since := self.banned.pop(backend, 0)) and (server := self.servers.get(backend)):
            fresh = Server(server.entry, Mean(MEMORY), SUSPEND, server.usable, server.listed, server.out)
            fresh.tokens, fresh.tokens_at, fresh.banned_at = self.rng.random(), now, since
            fresh.cold_from = now if server.entry.booted < since else 0
            self.servers[backend] = fresh
        self.place(backend)
        self.count(now)

    def place(self, backend: int) -> None:
        """Where one that changed stands now: what a change costs must not grow with the list."""
        if (server := self.servers.get(backend)) is None:
            return
        at, inside = bisect_left(self.ring, backend), server.usable and backend not in self.banned
        known = self.ring[at : at + 1] == [backend]
        if inside != known:
            self.ring[at : at + known] = [backend] * inside
        started = max(server.entry.booted, server.cold_from) > 0
        (self.cold.add if inside and started else self.cold.discard)(backend)
        (self.unlisted.discard if server.listed else self.unlisted.add)(backend)

    def skipped(self, now: int) -> int:
        """Listed backends that get nothing now, by an operator's word or for their symptoms."""
        return sum(s.listed and (i in self.banned or now < s.suspended) for i, s in self.servers.items())

    def count(self, now: int) -> None:
        # Backends come and go under ever new ids: who is off the list and holds nothing of ours is forgotten,
        # or memory and the choice's work would grow with all that ever were.
        for gone in [i for i in self.unlisted if not self.servers[i].out]:
            self.unlisted.discard(gone)
            del self.servers[gone]
        self.cold -= {i for i in self.cold if self.warmth(now, self.servers[i]) >= 1.0}
        held = self.held(now)
        # Of the warm ones of all gateways: those held here may all be cold, and their answers come from the
        # others'. Weighed by time, or many lists at once would tell of fewer warm ones than had answered.
        if n := len(self.ring):
            warm = max(1, n - len(self.cold)) * len(held) / n
            self.warm.add(now, warm, min(1.0, (now - self.warm.at) / SECOND))
        self.usual = sum(s.out for s in held) / max(1, len(held))
        self.others = self.usual * (min(HOLDERS, self.s.gateways) - 1)

    def held(self, now: int) -> list[Server]:
        """This gateway's part of the backends: so many in a row from its place on the ring that each backend
        has the same few gateways. Who has symptoms is passed over: the next on the ring takes its place."""
        n, gateways = len(self.ring), max(1, self.s.gateways)
        start, most = self.s.position * n // gateways, -(-n * HOLDERS // gateways)
        held: list[Server] = []
        for i in range(n):
            server = self.servers[self.ring[(start + i) % n]]
            if now >= server.suspended:
                held.append(server)
                if len(held) == most:
                    break
        return held

    def warmth(self, now: int, server: Server) -> float:
        """Part of its capacity that a backend surely has; 1 once warm."""
        booted, start = max(server.entry.booted, server.cold_from), self.s.start_capacity
        if not booted or now - booted >= self.s.warm_up:
            return 1.0
        return start + (1.0 - start) * max(0, now - booted) / self.s.warm_up

    def ready(self, now: int, server: Server) -> bool:
        if not server.usable or now < server.suspended or server.entry.id in self.banned:
            return False
        warmth = self.warmth(now, server)
        if warmth >= 1.0:
            return True
        # Rule 4: each gateway sends a cold backend no more than its part of what a warm one does for it,
        # times what lies well inside the multiple that it bears: warm ones are seldom at their capacity, and
        # never do more, whatever is sent to them, so all gateways' parts stay inside it together.
        span = min(TOKENS_SPAN, (now - server.tokens_at) / SECOND)
        more = max(1.0, min(COLD_MORE, COLD_PART * self.s.fall_multiple))
        each = self.worked.rate(now) / (self.warm.value or 1.0) * more
        least = min(LIFTED_EACH, LIFTED_ALL / self.s.gateways) * (server.banned_at > 0)
        server.tokens = min(2.0, server.tokens + max(least, warmth * each) * span * self.kept)
        server.tokens_at = now
        return server.tokens >= 1.0

    def wait(self, now: int, server: Server) -> float:
        """Expected time at a backend, in a request's usual latencies; others hold what own attempts say, the
        less the fewer they are. Slowness ages, or a backend once bad would never be tried again."""
        far = self.s.cross_zone_price * (server.entry.zone != self.s.zone)
        slow = min(4.0, max(0.5, server.slow.blend(now, 1.0, 3.0)))
        others = (OTHERS + server.out) / (OTHERS + self.usual) * self.others
        cold = COLD_FIRST if self.warmth(now, server) < 1.0 else 1.0
        return (1.0 + server.out + others) * slow * cold + far

    def choose(self, now: int, kind: tuple[int, int], avoid: set[int], allowed: Filter) -> Server | None:
        unknown = self.silence[kind[0]].blend(now, 0.0, 3.0)
        able = (s for s in self.held(now) if s.entry.id not in avoid and allowed(s.entry))
        ready = [s for s in able if self.ready(now, s)]
        if not ready:  # elsewhere, but nobody reckons with that at a cold one
            warm = (s for i, s in self.servers.items() if i not in avoid and self.warmth(now, s) >= 1.0)
            ready = [s for s in warm if allowed(s.entry) and self.ready(now, s)]

        def cost(s: Server) -> float:
            # A backend may turn one plan away or leave one class unanswered, and serve the rest: what the
            # like met there is remembered, and while answers are lost, those that gave one are preferred.
            at, bad = s.met.get(kind[0], (now, unknown))
            bad = max(bad if now - at < 3 * LONG else unknown, now < s.full.get(kind, 0))
            return self.wait(now, s) * (1.0 + DOUBTED * bad) * (1.0 + 0.1 * self.rng.random())

        return min(ready, key=cost, default=None)

    def sent(self, now: int, server: Server) -> None:
        server.out += 1
        if self.warmth(now, server) < 1.0:
            server.tokens -= 1.0

    def _telling(self, now: int, outcome: Outcome) -> int:
        """Failures in a row that tell something of one backend. Where attempts break off everywhere, some
        do in a row by chance, and to leave those backends out would crowd the others."""
        if outcome is Outcome.CONNECT_FAILED:
            return 1
        if outcome is Outcome.TIMEOUT:
            return FAILS
        usual = min(BROKEN_MOST, max(CHANCE, self.broken.blend(now, 0.0, 3.0)))
        return max(FAILS, ceil(log(CHANCE) / log(usual)))

    def silent_zones(self, now: int, requests: Iterable[Open]) -> list[tuple[int, list[Open], list[int]]]:
        """Zones that fell silent just now, what is stuck there, and their backends, all left out for a while.

        A zone that is cut off takes in silence what is written on connections from before: each backend would
        have to be found out alone, with a request for each such connection. No answer from any of it since,
        though there were some from elsewhere, tells sooner."""
        late: dict[int, list[Open]] = {}
        for request in requests:
            at = request.sent_at
            if now - at < SILENT_AGES * request.usual or not (request.out and request.usual):
                continue
            if (server := self.servers.get(request.backend)) is None:
                continue
            zone = server.entry.zone
            elsewhere = max((heard for other, heard in self.heard.items() if other != zone), default=0)
            if max(self.heard.get(zone, 0), self.cut.get(zone, 0)) < at < elsewhere:
                late.setdefault(zone, []).append(request)
        found = []
        for zone, stuck in late.items():
            if len({request.backend for request in stuck}) >= SILENT_BACKENDS:
                self.cut[zone] = now
                there = [i for i, s in self.servers.items() if s.entry.zone == zone and s.usable]
                for server in (self.servers[i] for i in there):
                    server.suspended, server.pause = now + server.pause, min(SUSPEND_MOST, 2 * server.pause)
                found.append((zone, stuck, there))
        return found

    def silent(self, backend: int, sent_at: int) -> bool:
        """Whether an attempt was on its way to a zone when that fell silent."""
        server = self.servers.get(backend) if self.cut else None
        return server is not None and sent_at <= self.cut.get(server.entry.zone, -1)

    def answered_since(self, backend: int, at: int) -> bool:
        """Whether a backend answered an attempt that it was sent since then."""
        server = self.servers.get(backend)
        return server is not None and server.newest >= at

    def ended(self, now: int, event: AttemptEnded, kind: tuple[int, int], relative: float) -> None:
        server = self.servers.get(event.backend)
        if server is None:
            return
        server.out = max(0, server.out - 1)
        if event.outcome in (Outcome.OK, Outcome.ERROR, Outcome.FULL):
            self.heard[server.entry.zone] = now
        if event.outcome in (Outcome.OK, Outcome.TIMEOUT):
            server.met[kind[0]] = now, float(event.outcome is Outcome.TIMEOUT)
            self.silence[kind[0]].add(now, server.met[kind[0]][1])
        elif event.outcome is Outcome.FULL:
            server.full[kind] = now + LONG
        if event.outcome in (Outcome.OK, Outcome.RESET, Outcome.ERROR):
            self.broken.add(now, float(event.outcome is not Outcome.OK))
        if event.outcome in (Outcome.OK, Outcome.CANCELLED) and self.warmth(now, server) >= 1.0:
            self.worked.add(now, 1.0)
        if event.outcome is Outcome.OK:
            server.fails, server.pause, server.answered_at = 0, SUSPEND, now
            server.newest = max(server.newest, now - event.elapsed)
            self.newest = max(self.newest, server.newest)
            server.slow.add(now, min(8.0, relative))
        elif event.outcome not in (Outcome.CANCELLED, Outcome.MOOT, Outcome.FULL):
            server.fails += 1
            if server.fails >= self._telling(now, event.outcome):
                server.suspended, server.pause = now + server.pause, min(SUSPEND_MOST, 2 * server.pause)
