"""Quotas hold for the fleet: what passes beyond them on a quiet day costs little more than lateness must."""

from __future__ import annotations

import random
from heapq import heappop, heappush
from itertools import count

import pytest

from qos_gateway.decisions.engine import DecisionEngine
from qos_gateway.types import (
    AddToCounter,
    CounterReplied,
    Event,
    ListKind,
    Outcome,
    Send,
    SetTimer,
    TimerFired,
)
from tests.support.builders import MS, SECOND, arrival, ended, full_list, listed_endpoint, plan, settings

GATEWAYS, CUSTOMERS, SECONDS = 20, 60, 30
PLAN = plan(rate=1.0, burst=4.0, excess_cost=0.5)
LATE = SECOND // 2  # by which the policy that it is held against sees the state
TimedRequest = tuple[int, int, int]  # when, customer, gateway


class DelayedBucket:
    """One customer's true store, with what it held before, for a policy that sees it late."""

    def __init__(self) -> None:
        self.past = [(0, PLAN.burst)]

    def level(self, now: int) -> float:
        at, level = next((word for word in reversed(self.past) if word[0] <= now), self.past[0])
        return min(PLAN.burst, level + PLAN.rate * max(0, now - at) / SECOND)

    def take(self, now: int) -> bool:
        """Return whether a request that is forwarded now is within the quota."""
        if inside := (level := self.level(now)) >= 1.0:
            self.past.append((now, level - 1.0))
        return inside


def normal_load(rng: random.Random) -> list[TimedRequest]:
    """Most customers use a part of their quota, some nearly all, a few far more; each by some gateways."""
    requests: list[TimedRequest] = []
    for customer in range(CUSTOMERS):
        draw = rng.random()
        use = rng.uniform(0.15, 0.5) if draw < 0.72 else rng.uniform(0.85, 1.0) if draw < 0.9 else 5.0
        now = 0.0
        while (now := now + rng.expovariate(use * PLAN.rate)) < SECONDS:
            requests.append(
                (int(now * SECOND), customer, (customer + rng.randrange(GATEWAYS // 2)) % GATEWAYS)
            )
    return sorted(requests)


def forwarded(requests: list[TimedRequest], calls_per_s: int) -> list[tuple[int, int]]:
    """Return when which customer's requests are forwarded, with a counter that serves `calls_per_s`."""
    made = settings(gateway_count=GATEWAYS, may_message=False, has_counter=True, plans=(PLAN,))
    fleet = [DecisionEngine(made, position + 7, 0) for position in range(GATEWAYS)]
    numbers, events = dict[int, float](), list[tuple[int, int, int, Event]]()
    order, sent, served = count(), list[tuple[int, int]](), [0] * (SECONDS + 60)
    for position in range(GATEWAYS):
        listed = full_list(*map(listed_endpoint, range(1, 9)), kind=ListKind.CACHED)
        heappush(events, (0, next(order), position, listed))
    for number, (now, customer, position) in enumerate(requests):
        a = arrival(
            number, now, customer_id=customer, gateway_spread=GATEWAYS // 2, first_gateway=customer % GATEWAYS
        )
        heappush(events, (now, next(order), position, a))
    while events and (now := events[0][0]) < (SECONDS + 5) * SECOND:
        _, _, position, event = heappop(events)
        for action in fleet[position].handle(now, event):
            match action:
                case Send(request, endpoint):
                    sent.append((now, requests[request][1]))
                    heappush(events, (now + 100 * MS, next(order), position, ended(request, endpoint)))
                case SetTimer(after, token):
                    heappush(events, (now + after, next(order), position, TimerFired(token)))
                case AddToCounter(name, _, amount):
                    served[now // SECOND] += 1
                    if busy := served[now // SECOND] > calls_per_s:
                        word = CounterReplied(2 * MS, Outcome.OVERLOADED, name, 0.0)
                    else:
                        numbers[name] = numbers.get(name, 0.0) + amount
                        word = CounterReplied(2 * MS, Outcome.OK, name, numbers[name])
                    assert busy or word.total == numbers[name]
                    heappush(events, (now + 2 * MS, next(order), position, word))
    return sent


def within(requests: list[TimedRequest]) -> int:
    """Return how many requests one gateway which saw them all would admit."""
    stores = [DelayedBucket() for _ in range(CUSTOMERS)]
    return sum(stores[customer].take(now) for now, customer, _ in requests)


def price(sent: list[tuple[int, int]], requests: list[TimedRequest]) -> float:
    """Return what the requests forwarded beyond their quota take off the result."""
    stores = [DelayedBucket() for _ in range(CUSTOMERS)]
    return PLAN.excess_cost * sum(not stores[customer].take(now) for now, customer in sent) / within(requests)


def late_policy(requests: list[TimedRequest]) -> list[tuple[int, int]]:
    stores, sent = [DelayedBucket() for _ in range(CUSTOMERS)], list[tuple[int, int]]()
    for now, customer, _ in requests:
        if stores[customer].level(max(0, now - LATE)) >= 1.0:
            stores[customer].take(now)
            sent.append((now, customer))
    return sent


@pytest.mark.parametrize("calls_per_s", [10_000, 15])
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_what_passes_beyond_quotas_under_normal_load_costs_little_more_than_with_late_reports(
    seed: int, calls_per_s: int
) -> None:
    requests = normal_load(random.Random(seed))
    sent, late = forwarded(requests, calls_per_s), late_policy(requests)
    assert price(sent, requests) <= price(late, requests) + 0.1
    assert len(sent) >= 0.85 * within(requests)  # nor by rejecting requests within the quota


def test_gateways_that_each_grant_the_whole_quota_would_cost_more() -> None:
    """The bound above can be missed."""
    requests = normal_load(random.Random(1))
    alone = [[DelayedBucket() for _ in range(CUSTOMERS)] for _ in range(GATEWAYS)]
    sent = [(now, customer) for now, customer, position in requests if alone[position][customer].take(now)]
    assert price(sent, requests) > price(late_policy(requests), requests) + 0.1
