"""Many tenants at one instance, at the design size's rate: processor time and memory."""

from __future__ import annotations

import gc
import random
import subprocess
import sys
import time
from collections.abc import Sequence
from dataclasses import dataclass
from heapq import heappop, heappush
from itertools import count
from statistics import median

from benchmarks.common import DESIGN, MS, SECOND, progress, rss_kb, timed
from benchmarks.counter import CALL, CLASS_SHARES, PLANS, SHARES, SPREAD
from qos_gateway.decisions.engine import DecisionEngine
from qos_gateway.types import (
    AddToCounter,
    Arrival,
    AttemptEnded,
    CounterReplied,
    Event,
    ListKind,
    Outcome,
    Send,
    SetTimer,
    TimerFired,
)
from tests.support.builders import CLASSES, arrival, backend, full_list, settings

TENANTS = (100, 1_000, 4_000, 11_000)
WORK = 100 * MS  # ns
SERVERS = 148  # as many as a gateway holds at the design size
REPEATS = 3


@dataclass(frozen=True)
class Cost:
    """Times are processor times of the second half, when as many accounts are known as will be."""

    accounts: int  # kept at the end
    commitments: int  # active at the end
    request_us: float  # an arrival, its end and its calls to the counter
    tick_ms: float  # median
    tick_most_ms: float
    memory_kb: int  # growth since the first request


def measure(n: int, seconds: float = 60.0, requests_per_s: float = DESIGN.each, seed: int = 1) -> Cost:
    """All tenants come alike, through `seconds` of the virtual clock; no call to the counter is refused."""
    rng, order = random.Random(seed), count()
    gateway = DecisionEngine(
        settings(gateway_count=SPREAD, may_message=False, has_counter=True, plans=PLANS), 7, 0
    )
    kinds, numbers = rng.choices(range(len(PLANS)), SHARES, k=n), dict[int, float]()
    events, ticks = list[tuple[int, int, Event]](), list[float]()
    listed = full_list(*map(backend, range(1, SERVERS + 1)), kind=ListKind.CACHED)
    heappush(events, (0, next(order), listed))
    spent, half, arrived = 0.0, seconds * SECOND / 2, 0

    def come(number: int) -> None:
        now, who = int(number / requests_per_s * SECOND), rng.randrange(n)
        cls = rng.choices(range(len(CLASSES)), CLASS_SHARES)[0]
        made = arrival(number, now, cls, who + 1, plan_index=kinds[who], gateway_spread=SPREAD)
        heappush(events, (now, next(order), made))

    come(1)
    gc.collect()
    before = rss_kb()
    while events[0][0] < seconds * SECOND:
        now, _, event = heappop(events)
        began = time.process_time()
        actions = gateway.handle(now, event)
        took = time.process_time() - began
        if isinstance(event, TimerFired):
            ticks += [took] * (now >= half)
        elif now >= half:
            spent += took
            arrived += isinstance(event, Arrival)
        if isinstance(event, Arrival):
            come(event.request_id + 1)
        for action in actions:
            match action:
                case Send():
                    end = AttemptEnded(
                        action.request_id, True, 0, action.endpoint, 0, Outcome.OK, WORK, 0, ()
                    )
                    heappush(events, (now + WORK, next(order), end))
                case SetTimer(after, token):
                    heappush(events, (now + after, next(order), TimerFired(token)))
                case AddToCounter(name, _, amount):
                    numbers[name] = numbers.get(name, 0.0) + amount
                    word = CounterReplied(CALL, Outcome.OK, name, numbers[name])
                    heappush(events, (now + CALL, next(order), word))
    numbers.clear()
    gc.collect()
    return Cost(
        len(gateway.quota.accounts),
        len(gateway.commitments.active),
        1e6 * spent / max(1, arrived),
        1000 * median(ticks),
        1000 * max(ticks),
        rss_kb() - before,
    )


def measured(n: int, seed: int) -> Cost:
    """In a process of its own, or memory from before would be taken for new."""
    code = f"from benchmarks.customers import measure; print(*vars(measure({n}, seed={seed})).values())"
    done = subprocess.run([sys.executable, "-c", code], check=True, capture_output=True, text=True)
    accounts, commitments, request, tick, most, memory = done.stdout.split()
    return Cost(int(accounts), int(commitments), float(request), float(tick), float(most), int(memory))


def main(numbers: Sequence[int] = TENANTS) -> None:
    rows = []
    for n in numbers:
        progress(f"customers: {n:,} tenants")
        costs = [measured(n, seed) for seed in range(1, REPEATS + 1)]
        memory, accounts = median(c.memory_kb for c in costs), median(c.accounts for c in costs)
        rows.append(
            [
                n,
                accounts,
                median(c.commitments for c in costs),
                median(c.request_us for c in costs),
                median(c.tick_ms for c in costs),
                median(c.tick_most_ms for c in costs),
                memory / 1024,
                memory / accounts,
            ]
        )
    timed(
        f"Tenants at one instance, {DESIGN.each:.0f} requests/s, {SERVERS} order servers, 60 s",
        (
            "tenants",
            "accounts kept",
            "commitments",
            "a request (us)",
            "a tick (ms)",
            "longest tick (ms)",
            "memory grown (MB)",
            "an account (kB)",
        ),
        rows,
    )


if __name__ == "__main__":
    main()
