"""The backends as this gateway sees them: symptoms, budgets of cold ones, and the choice among them."""

from __future__ import annotations

import random
from bisect import bisect_left
from collections.abc import Iterable
from math import ceil, log

from ..state.decaying_mean import DecayingMean
from ..state.endpoint import EndpointState
from ..state.request import RequestState
from ..types import (
    AttemptEnded,
    Health,
    ListKind,
    Outcome,
    Settings,
    Topology,
)
from ..units import SECOND
from .retry_rules import EndpointFilter
from .time_constants import LONG_MEMORY, SHORT_MEMORY

SLOW_START_COST_FACTOR = (
    0.7  # expected wait at a cold backend whose budget allows a request, against a warm one's
)
FAILURE_COST_FACTOR = 3.0  # added cost of a backend that lately turned the like away or left it unanswered
SLOW_START_RATE_MULTIPLE = 1.4  # times its part of what a warm one does that a cold backend may be sent ...
SLOW_START_OVERLOAD_FRACTION = (
    0.7  # ... and at most this part of the multiple of its capacity from which it falls over
)
GATEWAYS_PER_ENDPOINT = (
    10  # gateways that hold a backend: each hears of it often, and it has few connections to keep
)
SLOW_START_TOKEN_WINDOW_S = (
    1.0  # s of a cold backend's budget that may be saved up while nothing was to go there
)
PEER_IN_FLIGHT_PRIOR = (
    2.0  # attempts out here that say as much of others' at a backend as the mean over backends does
)
BASE_EJECTION_TIME, MAX_EJECTION_TIME = (
    SECOND // 2,
    8 * SECOND,
)  # first exclusion of a backend with symptoms; doubles up to
UNRESPONSIVE_AFTER_LATENCIES = (
    2.0  # mean latencies without an answer, with none to anything newer from its zone ...
)
UNRESPONSIVE_MIN_ENDPOINTS = 3  # ... of attempts at so many backends, after which the zone counts as cut off
FAILURES_TO_EJECT = 2  # failures in a row that count as a symptom: one may be chance
CHANCE_PROBABILITY = (
    0.005  # ... as more may be where attempts break off everywhere: so unlikely must the row be
)
REENABLED_RATE_EACH, REENABLED_RATE_TOTAL = (
    0.4,
    2.0,
)  # requests a second at least to one that was banned: from here, all
MAX_RESET_RATIO = 0.5  # part of attempts broken off from which longer rows tell no more


class LoadBalancer:
    """The list of backends, their health from symptoms, cold budgets, and the choice among them."""

    def __init__(self, settings: Settings, rng: random.Random) -> None:
        self.settings, self.rng = settings, rng
        # What warm backends answered or had in work when called off: far less than went out in overload.
        self.warm_completions = DecayingMean(SHORT_MEMORY)
        self.warm_endpoints = DecayingMean(
            SHORT_MEMORY
        )  # warm backends for each gateway that holds as many, over the same time ...
        self.warm_endpoints.updated_at = -SECOND  # ... and as many as the first list tells of from then on
        self.endpoints: dict[int, EndpointState] = {}
        self.admin_disabled: dict[int, int] = {}  # by operators, since when; outlasts whatever the list says
        self.unanswered_ratio = [
            DecayingMean(LONG_MEMORY) for _ in settings.classes
        ]  # part of the attempts that got no answer
        self.reset_ratio = DecayingMean(
            LONG_MEMORY
        )  # part of the answered attempts that broke off, over all backends
        self.handover_fraction = 1.0  # part of the cold backends' budgets that is this process's
        self.mean_in_flight, self.latest_answered_send = 0.0, 0  # mean out at each, newest answered
        self.last_response_at: dict[int, int] = {}  # by zone, when its last answer came ...
        self.zone_unresponsive_since: dict[int, int] = {}  # ... and when it was last found silent
        self.peer_in_flight = 0.0  # mean out at each by the other gateways that hold it
        self.ring: list[int] = []  # usable backends in an order that is the same at every gateway
        self.warming_up: set[int] = set()  # of these, those that may not be warm yet
        self.unlisted: set[int] = set()  # known, but off the list

    def update_list(self, now: int, event: Topology) -> None:
        changed = {entry.id for entry in event.entries}
        if whole := event.kind in (ListKind.FULL, ListKind.CACHED):
            named, changed = changed, changed | self.endpoints.keys()
            for known in self.endpoints.values():
                if known.endpoint.id not in named:
                    known.in_service, known.listed = False, False
        for entry in event.entries:
            server = self.endpoints.get(entry.id)
            if server is None or server.endpoint.started_at != entry.started_at:
                # A chance part of a token: with many gateways, each seldom has a whole one to spend.
                fresh = EndpointState(
                    entry,
                    DecayingMean(SHORT_MEMORY),
                    BASE_EJECTION_TIME,
                    slow_start_tokens=self.rng.random(),
                    slow_start_tokens_at=now,
                )
                if server:
                    fresh.in_flight, fresh.disabled_at = server.in_flight, server.disabled_at
                    fresh.assumed_start = server.assumed_start
                if entry.started_at >= fresh.disabled_at:
                    fresh.assumed_start = 0  # the start that was waited for: known, no longer guessed
                self.endpoints[entry.id] = server = fresh
            server.endpoint, server.in_service = entry, entry.health is Health.READY
            server.listed = entry.health is not Health.REMOVED
        if whole:
            self.ring = sorted(
                i for i in changed if self.endpoints[i].in_service and i not in self.admin_disabled
            )
        for backend in changed:
            self.reindex(backend)
        self.refresh(now)

    def set_enabled(self, now: int, backend: int, enabled: bool) -> None:
        """Nothing goes to a banned backend. Afterwards what it did before says nothing of it any more, and it
        counts as started just now until the list, which may be late, tells of a start within the ban.
        """
        if not enabled:
            self.admin_disabled.setdefault(backend, now)
        elif (since := self.admin_disabled.pop(backend, 0)) and (server := self.endpoints.get(backend)):
            fresh = EndpointState(
                server.endpoint,
                DecayingMean(SHORT_MEMORY),
                BASE_EJECTION_TIME,
                server.in_service,
                server.listed,
                server.in_flight,
            )
            fresh.slow_start_tokens, fresh.slow_start_tokens_at, fresh.disabled_at = (
                self.rng.random(),
                now,
                since,
            )
            fresh.assumed_start = now if server.endpoint.started_at < since else 0
            self.endpoints[backend] = fresh
        self.reindex(backend)
        self.refresh(now)

    def reindex(self, backend: int) -> None:
        """Where one that changed stands now: what a change costs must not grow with the list."""
        if (server := self.endpoints.get(backend)) is None:
            return
        at, inside = bisect_left(self.ring, backend), server.in_service and backend not in self.admin_disabled
        known = self.ring[at : at + 1] == [backend]
        if inside != known:
            self.ring[at : at + known] = [backend] * inside
        started = max(server.endpoint.started_at, server.assumed_start) > 0
        (self.warming_up.add if inside and started else self.warming_up.discard)(backend)
        (self.unlisted.discard if server.listed else self.unlisted.add)(backend)

    def excluded_count(self, now: int) -> int:
        """Listed backends that get nothing now, by an operator's word or for their symptoms."""
        return sum(
            s.listed and (i in self.admin_disabled or now < s.ejected_until)
            for i, s in self.endpoints.items()
        )

    def refresh(self, now: int) -> None:
        # Backends come and go under ever new ids: who is off the list and holds nothing of ours is forgotten,
        # or memory and the choice's work would grow with all that ever were.
        for gone in [i for i in self.unlisted if not self.endpoints[i].in_flight]:
            self.unlisted.discard(gone)
            del self.endpoints[gone]
        self.warming_up -= {
            i for i in self.warming_up if self.slow_start_fraction(now, self.endpoints[i]) >= 1.0
        }
        held = self.subset(now)
        # Of the warm ones of all gateways: those held here may all be cold, and their answers come from the
        # others'. Weighed by time, or many lists at once would tell of fewer warm ones than had answered.
        if n := len(self.ring):
            warm = max(1, n - len(self.warming_up)) * len(held) / n
            self.warm_endpoints.add(now, warm, min(1.0, (now - self.warm_endpoints.updated_at) / SECOND))
        self.mean_in_flight = sum(s.in_flight for s in held) / max(1, len(held))
        self.peer_in_flight = self.mean_in_flight * (
            min(GATEWAYS_PER_ENDPOINT, self.settings.gateway_count) - 1
        )

    def subset(self, now: int) -> list[EndpointState]:
        """This gateway's part of the backends: so many in a row from its place on the ring that each backend
        has the same few gateways. Who has symptoms is passed over: the next on the ring takes its place.
        """
        n, gateways = len(self.ring), max(1, self.settings.gateway_count)
        start, most = self.settings.position * n // gateways, -(-n * GATEWAYS_PER_ENDPOINT // gateways)
        held: list[EndpointState] = []
        for i in range(n):
            server = self.endpoints[self.ring[(start + i) % n]]
            if now >= server.ejected_until:
                held.append(server)
                if len(held) == most:
                    break
        return held

    def slow_start_fraction(self, now: int, server: EndpointState) -> float:
        """Part of its capacity that a backend surely has; 1 once warm."""
        booted, start = (
            max(server.endpoint.started_at, server.assumed_start),
            self.settings.initial_capacity_fraction,
        )
        if not booted or now - booted >= self.settings.slow_start_window:
            return 1.0
        return start + (1.0 - start) * max(0, now - booted) / self.settings.slow_start_window

    def can_accept(self, now: int, server: EndpointState) -> bool:
        if not server.in_service or now < server.ejected_until or server.endpoint.id in self.admin_disabled:
            return False
        warmth = self.slow_start_fraction(now, server)
        if warmth >= 1.0:
            return True
        # Rule 4: each gateway sends a cold backend no more than its part of what a warm one does for it,
        # times what lies well inside the multiple that it bears: warm ones are seldom at their capacity, and
        # never do more, whatever is sent to them, so all gateways' parts stay inside it together.
        span = min(SLOW_START_TOKEN_WINDOW_S, (now - server.slow_start_tokens_at) / SECOND)
        more = max(
            1.0, min(SLOW_START_RATE_MULTIPLE, SLOW_START_OVERLOAD_FRACTION * self.settings.overload_multiple)
        )
        each = self.warm_completions.rate(now) / (self.warm_endpoints.value or 1.0) * more
        least = min(REENABLED_RATE_EACH, REENABLED_RATE_TOTAL / self.settings.gateway_count) * (
            server.disabled_at > 0
        )
        server.slow_start_tokens = min(
            2.0, server.slow_start_tokens + max(least, warmth * each) * span * self.handover_fraction
        )
        server.slow_start_tokens_at = now
        return server.slow_start_tokens >= 1.0

    def expected_wait(self, now: int, server: EndpointState) -> float:
        """Expected time at a backend, in a request's usual latencies; others hold what own attempts say, the
        less the fewer they are. Slowness ages, or a backend once bad would never be tried again.
        """
        far = self.settings.cross_zone_cost * (server.endpoint.zone != self.settings.zone)
        slow = min(4.0, max(0.5, server.slowness.mean_with_prior(now, 1.0, 3.0)))
        others = (
            (PEER_IN_FLIGHT_PRIOR + server.in_flight)
            / (PEER_IN_FLIGHT_PRIOR + self.mean_in_flight)
            * self.peer_in_flight
        )
        cold = SLOW_START_COST_FACTOR if self.slow_start_fraction(now, server) < 1.0 else 1.0
        return (1.0 + server.in_flight + others) * slow * cold + far

    def pick(
        self, now: int, kind: tuple[int, int], avoid: set[int], allowed: EndpointFilter
    ) -> EndpointState | None:
        unknown = self.unanswered_ratio[kind[0]].mean_with_prior(now, 0.0, 3.0)
        able = (s for s in self.subset(now) if s.endpoint.id not in avoid and allowed(s.endpoint))
        ready = [s for s in able if self.can_accept(now, s)]
        if not ready:  # elsewhere, but nobody reckons with that at a cold one
            warm = (
                s
                for i, s in self.endpoints.items()
                if i not in avoid and self.slow_start_fraction(now, s) >= 1.0
            )
            ready = [s for s in warm if allowed(s.endpoint) and self.can_accept(now, s)]

        def cost(s: EndpointState) -> float:
            # A backend may turn one plan away or leave one class unanswered, and serve the rest: what the
            # like met there is remembered, and while answers are lost, those that gave one are preferred.
            at, bad = s.last_result_by_class.get(kind[0], (now, unknown))
            bad = max(bad if now - at < 3 * LONG_MEMORY else unknown, now < s.overloaded_until.get(kind, 0))
            return (
                self.expected_wait(now, s)
                * (1.0 + FAILURE_COST_FACTOR * bad)
                * (1.0 + 0.1 * self.rng.random())
            )

        return min(ready, key=cost, default=None)

    def attempt_started(self, now: int, server: EndpointState) -> None:
        server.in_flight += 1
        if self.slow_start_fraction(now, server) < 1.0:
            server.slow_start_tokens -= 1.0

    def _failures_to_eject(self, now: int, outcome: Outcome) -> int:
        """Failures in a row that tell something of one backend. Where attempts break off everywhere, some
        do in a row by chance, and to leave those backends out would crowd the others.
        """
        if outcome is Outcome.CONNECT_FAILED:
            return 1
        if outcome is Outcome.TIMEOUT:
            return FAILURES_TO_EJECT
        usual = min(MAX_RESET_RATIO, max(CHANCE_PROBABILITY, self.reset_ratio.mean_with_prior(now, 0.0, 3.0)))
        return max(FAILURES_TO_EJECT, ceil(log(CHANCE_PROBABILITY) / log(usual)))

    def detect_unresponsive_zones(
        self, now: int, requests: Iterable[RequestState]
    ) -> list[tuple[int, list[RequestState], list[int]]]:
        """Zones that fell silent just now, what is stuck there, and their backends, all left out for a while.

        A zone that is cut off takes in silence what is written on connections from before: each backend would
        have to be found out alone, with a request for each such connection. No answer from any of it since,
        though there were some from elsewhere, tells sooner.
        """
        late: dict[int, list[RequestState]] = {}
        for request in requests:
            at = request.last_attempt_at
            if now - at < UNRESPONSIVE_AFTER_LATENCIES * request.expected_latency or not (
                request.attempts_in_flight and request.expected_latency
            ):
                continue
            if (server := self.endpoints.get(request.last_endpoint)) is None:
                continue
            zone = server.endpoint.zone
            elsewhere = max(
                (heard for other, heard in self.last_response_at.items() if other != zone), default=0
            )
            if (
                max(self.last_response_at.get(zone, 0), self.zone_unresponsive_since.get(zone, 0))
                < at
                < elsewhere
            ):
                late.setdefault(zone, []).append(request)
        found = []
        for zone, stuck in late.items():
            if len({request.last_endpoint for request in stuck}) >= UNRESPONSIVE_MIN_ENDPOINTS:
                self.zone_unresponsive_since[zone] = now
                there = [i for i, s in self.endpoints.items() if s.endpoint.zone == zone and s.in_service]
                for server in (self.endpoints[i] for i in there):
                    server.ejected_until, server.ejection_time = (
                        now + server.ejection_time,
                        min(MAX_EJECTION_TIME, 2 * server.ejection_time),
                    )
                found.append((zone, stuck, there))
        return found

    def was_lost_with_zone(self, backend: int, sent_at: int) -> bool:
        """Whether an attempt was on its way to a zone when that fell silent."""
        server = self.endpoints.get(backend) if self.zone_unresponsive_since else None
        return server is not None and sent_at <= self.zone_unresponsive_since.get(server.endpoint.zone, -1)

    def answered_since(self, backend: int, at: int) -> bool:
        """Whether a backend answered an attempt that it was sent since then."""
        server = self.endpoints.get(backend)
        return server is not None and server.latest_answered_send >= at

    def attempt_ended(self, now: int, event: AttemptEnded, kind: tuple[int, int], relative: float) -> None:
        server = self.endpoints.get(event.endpoint)
        if server is None:
            return
        server.in_flight = max(0, server.in_flight - 1)
        if event.outcome in (Outcome.OK, Outcome.ERROR, Outcome.OVERLOADED):
            self.last_response_at[server.endpoint.zone] = now
        if event.outcome in (Outcome.OK, Outcome.TIMEOUT):
            server.last_result_by_class[kind[0]] = now, float(event.outcome is Outcome.TIMEOUT)
            self.unanswered_ratio[kind[0]].add(now, server.last_result_by_class[kind[0]][1])
        elif event.outcome is Outcome.OVERLOADED:
            server.overloaded_until[kind] = now + LONG_MEMORY
        if event.outcome in (Outcome.OK, Outcome.RESET, Outcome.ERROR):
            self.reset_ratio.add(now, float(event.outcome is not Outcome.OK))
        if event.outcome in (Outcome.OK, Outcome.CANCELLED) and self.slow_start_fraction(now, server) >= 1.0:
            self.warm_completions.add(now, 1.0)
        if event.outcome is Outcome.OK:
            server.consecutive_failures, server.ejection_time, server.last_response_at = (
                0,
                BASE_EJECTION_TIME,
                now,
            )
            server.latest_answered_send = max(server.latest_answered_send, now - event.elapsed)
            self.latest_answered_send = max(self.latest_answered_send, server.latest_answered_send)
            server.slowness.add(now, min(8.0, relative))
        elif event.outcome not in (Outcome.CANCELLED, Outcome.NOT_SENT, Outcome.OVERLOADED):
            server.consecutive_failures += 1
            if server.consecutive_failures >= self._failures_to_eject(now, event.outcome):
                server.ejected_until, server.ejection_time = (
                    now + server.ejection_time,
                    min(MAX_EJECTION_TIME, 2 * server.ejection_time),
                )
