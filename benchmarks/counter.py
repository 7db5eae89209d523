"""Calls to the quota counter against requests, over many gateways in one process on a virtual clock.

Quotas are judged by true stores that see every try. Refused tries are not repeated by their clients.
"""

from __future__ import annotations

import random
from collections import defaultdict
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field, replace
from enum import Enum
from heapq import heappop, heappush
from itertools import count
from math import ceil

from benchmarks.common import DESIGN, MS, SECOND, at, progress, table
from qos_gateway.decisions.engine import DecisionEngine
from qos_gateway.types import (
    AddToCounter,
    Arrival,
    AttemptEnded,
    CancelAttempt,
    CounterReplied,
    Event,
    ListKind,
    Outcome,
    Plan,
    Send,
    SetTimer,
    Settings,
    TimerFired,
)
from tests.support.builders import CLASSES, arrival, backend, full_list, plan, settings

SPREAD = 10  # gateways of a tenant's set
WORK = 100 * MS  # ns: mean time of an attempt
CALL, TIMEOUT, REFUSED = 2 * MS, 80 * MS, MS // 5  # ns: an answered call, one given up, one refused
METER, METER_LATE = 500 * MS, 700 * MS  # ns: the meter's period, and how late its word is
BEAT = 100 * MS  # ns: gateways start within it, and requests come from then on
CLASS_SHARES = (0.6, 0.27, 0.13)
SAVED = 0.05  # s of the counter's capacity that a burst of calls may use at once
SHARES = (0.6, 0.3, 0.1)  # of the tenants, by plan
PLANS = (
    # A tenant's mean quota is 14.2/s: with the uses below, 11,000 of them offer 97,000 requests a second.
    plan(name="basic", rate=6.7, burst=26.8, excess_cost=0.5),
    plan(
        name="limited",
        rate=16.1,
        burst=64.4,
        max_in_flight=ceil(2.6 * 16.1 * WORK / SECOND),
        excess_weight=0.2,
        excess_cost=0.0,
    ),
    plan(
        name="ceiled",
        rate=53.6,
        burst=107.2,
        excess_cost=0.5,
        ceiling_rate=117.9,
        ceiling_burst=235.8,
        ceiling_slack=11.8,
    ),
)


class Fault(Enum):
    """What may befall the counter."""

    REFUSED = "connections refused, nothing added"
    SILENT = "no answer in time, nothing added"
    LATE = "no answer in time, though the amount was added"
    TWICE = "the amount added twice"
    EMPTY = "all numbers gone, once, at the start of the spell"


@dataclass(frozen=True)
class Spell:
    """A fault from `start` to `end` (s), for the gateways `first` up to but not including `last`."""

    fault: Fault
    start: float
    end: float
    first: int = 0
    last: int = 1 << 30


def cut_off(gateways: int, start: float, end: float) -> Spell:
    """A region, half of the gateways, cannot reach the counter."""
    return Spell(Fault.SILENT, start, end, gateways // 2, gateways)


ANY = -1  # whichever process runs there
Due = tuple[int, int, int, int, Event]  # when (ns), order, gateway, its process, what
Make = Callable[[Settings, int, int], DecisionEngine]  # settings, seed, now (ns)


@dataclass
class Result:
    """Counts of the measured time, `seconds` long; `by_plan` maps the plan's number to its counts."""

    gateways: int
    seconds: float
    plans: tuple[Plan, ...] = PLANS
    offered: int = 0
    calls: int = 0  # made
    answered: int = 0
    turned_away: int = 0
    unanswered: int = 0  # refused connection or no answer in time
    within: list[int] = field(default_factory=lambda: [0] * len(PLANS))  # what one store for all lets in
    inside: list[int] = field(default_factory=lambda: [0] * len(PLANS))  # sent on, inside the quota
    beyond: list[int] = field(default_factory=lambda: [0] * len(PLANS))  # sent on, beyond the quota
    over_ceiling: int = 0  # sent on beyond the ceiling and its slack
    over_open: int = 0  # sent on while as many attempts as the plan allows, or more, were out

    def rate(self, counted: int) -> float:
        """A second."""
        return counted / self.seconds

    @property
    def per_request(self) -> float:
        return self.calls / max(1, self.offered)

    @property
    def granted(self) -> float:
        """Part of the tries inside the quotas that was sent on."""
        return sum(self.inside) / max(1, sum(self.within))

    @property
    def price(self) -> float:
        """Tries sent on beyond quotas that are not paid beyond, for each try inside the quotas."""
        return self.unpaid / max(1, sum(self.within))

    @property
    def unpaid(self) -> int:
        return sum(n for n, p in zip(self.beyond, self.plans, strict=True) if p.excess_weight < p.excess_cost)


class Store:
    """A true store: fills at `rate` a second up to `burst`."""

    def __init__(self, rate: float, burst: float) -> None:
        self.rate, self.burst, self.level, self.now = rate, burst, burst, 0

    def take(self, now: int, keep: bool = False) -> bool:
        """Whether there is room for one; a try is taken off only then, or always with `keep`."""
        self.level = min(self.burst, self.level + self.rate * (now - self.now) / SECOND)
        self.now, room = now, self.level >= 1.0
        self.level -= room or keep
        return room


@dataclass(frozen=True)
class Tenant:
    number: int
    plan: int
    first: int  # gateway of its set
    demand: float  # requests a second


def uses(n: int, rng: random.Random) -> list[float]:
    """Parts of their quotas that tenants ask for: most 0.15 to 0.5, 18% about all, 4% five times it."""
    made = []
    for i in range(n):
        part = (i + 0.5) / n  # by strata: the sum hardly hangs on the seed
        made.append(
            0.15 + 0.35 * part / 0.78
            if part < 0.78
            else 0.85 + 0.15 * (part - 0.78) / 0.18
            if part < 0.96
            else 5.0
        )
    rng.shuffle(made)
    return made


def tenants(
    gateways: int, n: int, requests_per_s: float, plans: Sequence[Plan], rng: random.Random
) -> list[Tenant]:
    """Tenants that together ask for so much, by the shares of three plans, each on a set of its own."""
    kinds = [sum((i + 0.5) / n >= sum(SHARES[: k + 1]) for k in range(len(SHARES) - 1)) for i in range(n)]
    asked: list[tuple[int, float]] = []
    for kind, each in enumerate(plans):
        asked += [(kind, use * each.rate) for use in uses(kinds.count(kind), rng)]
    scale = requests_per_s / sum(demand for _, demand in asked)
    return [
        Tenant(i, kind, rng.randrange(gateways), demand * scale) for i, (kind, demand) in enumerate(asked)
    ]


class Counter:
    """Adds, within a capacity in calls a second (None: any number), with faults as scripted."""

    def __init__(self, capacity: float | None, spells: Sequence[Spell]) -> None:
        self.capacity, self.spells = capacity, spells
        self.numbers: dict[int, float] = defaultdict(float)
        self.most = max(1.0, SAVED * capacity) if capacity is not None else 0.0
        self.room, self.now = self.most, 0
        self.emptied: set[Spell] = set()

    def _free(self, now: int) -> bool:
        if self.capacity is None:
            return True
        self.room = min(self.most, self.room + self.capacity * (now - self.now) / SECOND)
        self.now, free = now, self.room >= 1.0
        self.room -= free
        return free

    def call(self, now: int, gateway: int, action: AddToCounter) -> CounterReplied:
        """What the gateway is told, and after how long."""
        on = {
            spell.fault
            for spell in self.spells
            if spell.start * SECOND <= now < spell.end * SECOND and spell.first <= gateway < spell.last
        }
        for spell in self.spells:
            if spell.fault is Fault.EMPTY and now >= spell.start * SECOND and spell not in self.emptied:
                self.emptied.add(spell)
                self.numbers.clear()
        if Fault.REFUSED in on:
            return CounterReplied(REFUSED, Outcome.CONNECT_FAILED, action.key, 0.0)
        if Fault.SILENT in on:
            return CounterReplied(TIMEOUT, Outcome.TIMEOUT, action.key, 0.0)
        if not self._free(now):
            return CounterReplied(CALL, Outcome.OVERLOADED, action.key, 0.0)
        self.numbers[action.key] += action.amount * (2 if Fault.TWICE in on else 1)
        if Fault.LATE in on:
            return CounterReplied(TIMEOUT, Outcome.TIMEOUT, action.key, 0.0)
        return CounterReplied(CALL, Outcome.OK, action.key, self.numbers[action.key])


class Judge:
    """True stores of one tenant."""

    def __init__(self, each: Plan) -> None:
        self.ideal, self.true = Store(each.rate, each.burst), Store(each.rate, each.burst)
        self.ceiling = Store(each.ceiling_rate, each.ceiling_burst + each.ceiling_slack)
        self.periods: dict[int, int] = defaultdict(int)  # tries sent on in each of the meter's
        self.open = 0


def simulate(
    gateways: int,
    n_tenants: int,
    requests_per_s: float,
    capacity: float | None = None,
    meter: bool = False,
    seconds: float = 8.0,
    after: float = 3.0,
    seed: int = 1,
    spells: Sequence[Spell] = (),
    make: Make = DecisionEngine,
    spread: int = SPREAD,
    plans: Sequence[Plan] = PLANS,
    restarts: Sequence[tuple[float, int]] = (),
) -> Result:
    """Counts from `after` to `seconds` (both s of the virtual clock); `capacity` in calls a second.

    `restarts`: when (s) which gateways start anew at once, with nothing but the list; what was out is lost.
    """
    rng, spread = random.Random(seed), min(spread, gateways)
    base = settings(
        gateway_count=gateways,
        may_message=False,
        has_counter=True,
        plans=tuple(plans),
        usage_period=METER if meter else 0,
    )
    fleet = [make(replace(base, position=i), i + 7, 0) for i in range(gateways)]
    clients = tenants(gateways, n_tenants, requests_per_s, plans, rng)
    weights = [[0.2 + rng.expovariate(1.0) for _ in range(spread)] for _ in clients]
    judges = [Judge(plans[client.plan]) for client in clients]
    counter, result = Counter(capacity, spells), Result(gateways, seconds - after, tuple(plans))
    events, order = list[Due](), count()
    asked: dict[int, int] = {}  # tenant of each request
    attempts: dict[int, int] = defaultdict(int)
    listed = full_list(*map(backend, range(1, 2 * gateways + 1)), kind=ListKind.CACHED)
    for i in range(gateways):
        # The beats of real gateways do not fall together.
        heappush(events, (rng.randrange(BEAT), next(order), i, 0, listed))
    # By gateway: what has come of its process before says nothing to the one after it.
    born, waves = [0] * gateways, sorted(restarts, reverse=True)
    numbers, cumulated, total = count(1), list[float](), 0.0
    for client in clients:
        cumulated.append(total := total + client.demand)
    due, ends, measured = float(BEAT), seconds * SECOND, after * SECOND
    places, everyone, classes = range(spread), range(len(clients)), range(len(CLASSES))

    def next_arrival() -> None:
        nonlocal due
        due += rng.expovariate(requests_per_s) * SECOND
        now, number = int(due), next(numbers)
        who = clients[rng.choices(everyone, cum_weights=cumulated)[0]]
        position = (who.first + rng.choices(places, weights[who.number])[0]) % gateways
        cls = rng.choices(classes, CLASS_SHARES)[0]
        asked[number] = who.number
        made = arrival(
            number,
            now,
            cls,
            who.number + 1,
            plan_index=who.plan,
            gateway_spread=spread,
            first_gateway=who.first,
        )
        heappush(events, (now, next(order), position, ANY, made))

    def used(now: int, judge: Judge, each: Plan) -> int:
        last = (now - METER_LATE) // METER - 1
        if not meter or last < 0:
            return 0
        return 1 + round(100 * judge.periods[last] / (each.rate * METER / SECOND))

    next_arrival()
    while events and (now := events[0][0]) < ends:
        while waves and waves[-1][0] * SECOND <= now:
            when, started = int(waves[-1][0] * SECOND), waves.pop()[1]
            born[started] += 1
            fresh = started + 7 + gateways * born[started]
            fleet[started] = make(replace(base, position=started), fresh, when)
            heappush(events, (when, next(order), started, born[started], listed))
        _, _, position, process, event = heappop(events)
        if process not in (born[position], ANY):
            if isinstance(event, AttemptEnded):
                judges[asked[event.request_id]].open -= 1
            continue
        process, counts = born[position], now >= measured
        if isinstance(event, AttemptEnded):
            who = clients[asked[event.request_id]]
            judges[who.number].open -= 1
            event = replace(event, quota_usage=used(now, judges[who.number], plans[who.plan]))
        actions = fleet[position].handle(now, event)
        if isinstance(event, Arrival):
            next_arrival()
            who = clients[asked[event.request_id]]
            room = judges[who.number].ideal.take(now)
            result.offered += counts
            result.within[who.plan] += room and counts
        for action in actions:
            match action:
                case Send(request, server):
                    who, attempt = clients[asked[request]], attempts[request]
                    attempts[request] += 1
                    judge, each = judges[who.number], plans[who.plan]
                    if not attempt:
                        judge.periods[now // METER] += 1
                        inside = judge.true.take(now)
                        result.inside[who.plan] += inside and counts
                        result.beyond[who.plan] += counts and not inside
                        if each.ceiling_rate:
                            result.over_ceiling += counts and not judge.ceiling.take(now)
                    result.over_open += counts and 0 < each.max_in_flight <= judge.open
                    judge.open += 1
                    span = int(WORK * rng.uniform(0.6, 1.4))
                    over = AttemptEnded(request, True, 0, server, 0, Outcome.OK, span, attempt, ())
                    heappush(events, (now + span, next(order), position, process, over))
                case CancelAttempt():
                    raise AssertionError("no attempt of these lasts so long that it is called off")
                case SetTimer(after_ns, token):
                    heappush(events, (now + after_ns, next(order), position, process, TimerFired(token)))
                case AddToCounter():
                    word = counter.call(now, position, action)
                    if counts:
                        result.calls += 1
                        result.answered += word.outcome is Outcome.OK
                        result.turned_away += word.outcome is Outcome.OVERLOADED
                        result.unanswered += word.outcome not in (Outcome.OK, Outcome.OVERLOADED)
                    heappush(events, (now + word.elapsed, next(order), position, process, word))
    return result


SIZES = ((6, 140, 1200.0), (12, 275, 2400.0), (24, 550, 4850.0), (48, 1100, 9700.0))
LIMIT = 750.0  # calls a second that the counter takes
COLUMNS = (
    "counter",
    "meter",
    "gateways",
    "requests/s",
    "calls/s",
    "calls/request",
    "answered/s",
    "turned away/s",
    "granted (part)",
    "over-quota price (part)",
    "over ceiling/s",
    "over open limit/s",
)


def row(label: str, meter: bool, r: Result) -> list[object]:
    return [
        label,
        "on" if meter else "off",
        r.gateways,
        r.rate(r.offered),
        r.rate(r.calls),
        r.per_request,
        r.rate(r.answered),
        r.rate(r.turned_away),
        r.granted,
        r.price,
        r.rate(r.over_ceiling),
        r.rate(r.over_open),
    ]


def extrapolated(label: str, meter: bool, results: Sequence[Result]) -> list[object]:
    """Each count a second by its least-squares line over requests a second, at the size to design for."""

    def reach(pick: Callable[[Result], int]) -> float:
        return max(0.0, at([(r.rate(r.offered), r.rate(pick(r))) for r in results], DESIGN.requests_per_s))

    within = reach(lambda r: sum(r.within))
    return [
        f"{label}, extrapolated",
        "on" if meter else "off",
        DESIGN.gateways,
        DESIGN.requests_per_s,
        reach(lambda r: r.calls),
        reach(lambda r: r.calls) / DESIGN.requests_per_s,
        reach(lambda r: r.answered),
        reach(lambda r: r.turned_away),
        reach(lambda r: sum(r.inside)) / within,
        reach(lambda r: r.unpaid) / within,
        reach(lambda r: r.over_ceiling),
        reach(lambda r: r.over_open),
    ]


def main(sizes: Sequence[tuple[int, int, float]] = SIZES) -> None:
    rows: list[list[object]] = []
    shares: tuple[tuple[str, Callable[[int], float | None]], ...] = (
        ("unlimited", lambda g: None),
        ("750/s", lambda g: LIMIT),
        ("750/s x G/480", lambda g: LIMIT * g / DESIGN.gateways),
    )
    for label, share in shares:
        for meter in (False, True):
            results = []
            for gateways, n, requests_per_s in sizes:
                progress(f"counter: {label}, meter {'on' if meter else 'off'}, {gateways} gateways")
                results.append(simulate(gateways, n, requests_per_s, share(gateways), meter))
                rows.append(row(label, meter, results[-1]))
            if share(DESIGN.gateways) != share(sizes[0][0]) or share(DESIGN.gateways) is None:
                rows.append(extrapolated(label, meter, results))  # a fixed capacity fills up: no line fits
    table("Calls to the quota counter (virtual clock, 8 s, counted from the 3rd on)", COLUMNS, rows)


def fault_rows(size: tuple[int, int, float]) -> list[list[object]]:
    """With a counter that takes all calls, each fault from 4 to 6 s, counted from 4 s on to 8 s."""
    gateways, n, requests_per_s = size
    spells: list[tuple[str, list[Spell]]] = [("none", [])]
    spells += [(f"{f.name.lower()}: {f.value}", [Spell(f, 4.0, 6.0)]) for f in Fault]
    spells.append(("half of the gateways cut off", [cut_off(gateways, 4.0, 6.0)]))
    rows: list[list[object]] = []
    for label, script in spells:
        progress(f"counter: {label}")
        r = simulate(gateways, n, requests_per_s, None, after=4.0, spells=script)
        rows.append(
            [
                label,
                gateways,
                r.rate(r.calls),
                r.rate(r.answered),
                r.rate(r.unanswered),
                r.granted,
                r.price,
                r.rate(r.over_ceiling),
            ]
        )
    return rows


def faults(size: tuple[int, int, float] = SIZES[2]) -> None:
    table(
        "Faults of an unlimited counter from the 4th to the 6th second, counted from the 4th to the 8th",
        (
            "fault",
            "gateways",
            "calls/s",
            "answered/s",
            "unanswered/s",
            "granted (part)",
            "over-quota price (part)",
            "over ceiling/s",
        ),
        fault_rows(size),
    )


if __name__ == "__main__":
    main()
    faults()
