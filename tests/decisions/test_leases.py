"""Leases of quotas: what all gateways have together is bounded, whatever becomes of their calls."""

from __future__ import annotations

import random
from collections import defaultdict
from dataclasses import dataclass, field, replace

import pytest
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from benchmarks.fleet_simulation import simulate
from benchmarks.quota_counter import Fault, FaultWindow, partition_half
from benchmarks.scenario import FleetSize, Restart, Scenario
from qos_gateway.decisions.engine import DecisionEngine
from qos_gateway.decisions.quota.leased_quota import LeasedQuota
from qos_gateway.decisions.quota.leases.leases import (
    EVEN_FRACTION,
    LEASED_FRACTION,
    MAX_SAVED_FRACTION,
    RENEWAL_LEAD,
)
from qos_gateway.server.config import MAX_LEASE_S, ConfigError, parse
from qos_gateway.types import Action, AddToCounter, CounterReplied, ListKind, Outcome, Reject, Send, Settings
from tests.support.builders import MS, SECOND, arrival, ended, full_list, listed_endpoint, plan, settings
from tests.support.configurations import raw_config
from tests.support.handover import capture_json, restore_json

TERM, SET = 50 * SECOND, 10
CEILED = plan(
    rate=50.0, burst=100.0, excess_cost=0.5, ceiling_rate=120.0, ceiling_burst=240.0, ceiling_slack=10.0
)
PLAN = plan(rate=10.0, burst=40.0, excess_cost=0.5)


def gateway(position: int, now: int = 0, seed: int = 0, **changes: object) -> DecisionEngine:
    changes = {"gateway_count": SET, "position": position, "plans": (PLAN,), "lease_term": TERM, **changes}
    made = DecisionEngine(settings(has_counter=True, may_message=False, **changes), seed or position + 7, now)
    made.handle(now, full_list(*map(listed_endpoint, range(1, 9)), kind=ListKind.CACHED))
    return made


@dataclass
class CustomerGateways:
    """The gateways of one customer, and the counter; `ways`: what becomes of the calls, in turn."""

    ways: list[str] = field(default_factory=list)
    numbers: dict[int, float] = field(default_factory=lambda: defaultdict(float))
    calls: int = 0
    request: int = 0
    waited: int = 0
    gateways: list[DecisionEngine] = field(default_factory=lambda: [gateway(i) for i in range(SET)])

    def ask(self, now: int, position: int) -> bool:
        """One request; whether it was sent on. It has its answer at once."""
        self.request += 1
        made = self.gateways[position]
        actions = made.handle(now, arrival(self.request, now, gateway_spread=SET, first_gateway=0))
        self.play(now, made, actions)
        sent = any(isinstance(a, Send) for a in actions)
        self.waited += not (sent or any(isinstance(a, Reject) for a in actions))
        for a in actions:
            if isinstance(a, Send):
                self.play(now, made, made.handle(now + MS, ended(a.request_id, a.endpoint)))
        return sent

    def play(self, now: int, made: DecisionEngine, actions: list[Action]) -> None:
        for a in actions:
            if isinstance(a, AddToCounter):
                self.calls += 1
                made.handle(now + 2 * MS, self.answer(a))

    def answer(self, a: AddToCounter) -> CounterReplied:
        way = self.ways.pop(0) if self.ways else "ok"
        if way in ("refused", "busy"):
            outcome = Outcome.CONNECT_FAILED if way == "refused" else Outcome.OVERLOADED
            return CounterReplied(2 * MS, outcome, a.key, 0.0)
        if way == "empty":
            self.numbers.clear()
        if way != "lost":
            self.numbers[a.key] += a.amount * (2 if way == "twice" else 1)
        if way in ("late", "lost"):
            return CounterReplied(80 * MS, Outcome.TIMEOUT, a.key, 0.0)
        return CounterReplied(2 * MS, Outcome.OK, a.key, self.numbers[a.key])

    def shares(self, now: int) -> list[float]:
        return [
            made.quota.leases.quota_share(now, made.quota.accounts[1])
            for made in self.gateways
            if made.quota.leases and 1 in made.quota.accounts
        ]

    def press(self, start: float, seconds: float, per_s: int, rng: random.Random, skew: int = SET) -> int:
        """So many requests a second, most at a part of the set; how many were sent on."""
        step = SECOND // per_s
        return sum(
            self.ask(int(start * SECOND) + i * step, rng.randrange(rng.choice((skew, SET))))
            for i in range(int(seconds * per_s))
        )


WAYS = st.lists(st.sampled_from(["ok", "ok", "late", "lost", "twice", "busy"]), max_size=40)


@given(WAYS, st.integers(0, 999), st.integers(1, SET), st.integers(5, 200))
@hypothesis_settings(max_examples=40, deadline=None, derandomize=True)
def test_floors_and_leases_are_bounded_whatever_becomes_of_the_calls(
    ways: list[str], seed: int, skew: int, per_s: int
) -> None:
    """A claim without an answer makes way for an even slice, of which only the floor is anybody else's."""
    customer = CustomerGateways([*ways])
    for at in range(0, 12, 3):
        customer.press(at, 3.0, per_s, random.Random(seed + at), skew)
        term = [made.quota.accounts[1] for made in customer.gateways if 1 in made.quota.accounts]
        now = (at + 3) * SECOND
        slices = sum(share == 1 / SET for share in customer.shares(now))
        assert (
            sum(customer.shares(now))
            <= EVEN_FRACTION + LEASED_FRACTION + slices * (1 - EVEN_FRACTION) / SET + 1e-6
        )
        assert len(term) <= SET
    assert customer.waited == 0


def test_leases_go_to_where_the_requests_come_and_no_request_waits() -> None:
    customer = CustomerGateways()
    customer.press(
        0.0, 10.0, 9, random.Random(1), 2
    )  # nine tenths of the quota, more than half at two of ten
    sent = customer.press(10.0, 20.0, 9, random.Random(2), 2)
    assert sent >= 0.85 * 180
    assert customer.waited == 0
    busy = sorted(customer.shares(30 * SECOND), reverse=True)
    assert sum(busy[:2]) >= 0.5
    assert customer.calls <= 0.2 * 270


def test_customer_far_beyond_its_quota_gets_it_and_little_more() -> None:
    customer = CustomerGateways()
    customer.press(0.0, 20.0, 50, random.Random(1))
    sent = customer.press(20.0, 20.0, 50, random.Random(2))
    assert 0.9 * 200 <= sent <= 1.15 * 200


def test_light_customers_even_slices_need_hardly_a_call() -> None:
    customer = CustomerGateways()
    assert customer.press(0.0, 40.0, 3, random.Random(1)) == 120
    assert customer.calls <= 2


def test_lease_is_claimed_ahead_and_each_gateway_at_a_time_of_its_own() -> None:
    customer, rng = CustomerGateways(), random.Random(1)
    customer.press(0.0, 30.0, 9, rng, 2)
    leases = customer.gateways[0].quota.leases
    assert leases is not None
    current = leases.terms.at(30 * SECOND, 1)
    term = current.number
    change = (30 * SECOND + current.remaining) / SECOND
    customer.press(30.0, change - 30.0, 9, rng, 2)
    now = int(change * SECOND)
    accounts = [made.quota.accounts[1] for made in customer.gateways if 1 in made.quota.accounts]
    ahead = [a for a in accounts if a.lease.fractions.get(term, 0.0) > 0.0]
    assert len(ahead) >= 2
    assert sum(term + 1 in a.lease.fractions for a in ahead) >= 0.5 * len(ahead)
    before, after = customer.shares(now - 1), customer.shares(now + 1)
    assert sum(after) >= 0.75 * sum(before)
    assert customer.press(change, 10.0, 9, rng, 2) >= 0.85 * 90


def test_key_lifetime_outlasts_lead_and_term() -> None:
    customer = CustomerGateways()
    customer.press(0.0, 5.0, 30, random.Random(1))
    made = customer.gateways[0]
    leases, account = made.quota.leases, made.quota.accounts[1]
    assert leases is not None
    account.lease.next_claim_at, account.buckets.local_tokens = 0, 0.0
    actions = leases.claim(6 * SECOND, account, 1.0, 1.0)
    for a in actions:
        assert isinstance(a, AddToCounter)
        assert a.time_to_live == 60 * SECOND
    assert MAX_LEASE_S * (1 + RENEWAL_LEAD) <= 60


def test_restarted_gateway_claims_what_is_left_and_has_its_floor() -> None:
    customer, rng = CustomerGateways(), random.Random(1)
    customer.press(0.0, 10.0, 50, rng)
    total = sum(customer.shares(10 * SECOND))
    customer.gateways[3] = gateway(3, 10 * SECOND, 99)
    customer.press(10.0, 5.0, 50, rng)
    shares = customer.shares(15 * SECOND)
    assert shares[3] >= EVEN_FRACTION / SET
    assert sum(shares) <= total + 1e-6
    # The next term counts it like any other.
    customer.press(15.0, 2 * TERM / SECOND, 50, rng)
    assert sum(customer.shares(115 * SECOND)) == pytest.approx(EVEN_FRACTION + LEASED_FRACTION, abs=0.2)


def test_leases_are_handed_over_and_both_processes_have_no_more_than_one_had() -> None:
    customer = CustomerGateways()
    customer.press(0.0, 10.0, 9, random.Random(1), 2)
    old, new = customer.gateways[0], gateway(0, 10 * SECOND, 99)
    before = old.quota.accounts[1].lease.fractions
    restore_json(new, 10 * SECOND, capture_json(old, 10 * SECOND), old.settings)
    assert before
    assert new.quota.accounts[1].lease.fractions == before
    assert old.quota.handover_fraction + new.quota.handover_fraction == 1.0
    of_older = capture_json(old, 10 * SECOND)
    del of_older["leases"]
    restore_json(gateway(0, 10 * SECOND, 98), 10 * SECOND, of_older, old.settings)


def test_counter_out_of_reach_for_an_hour_leaves_even_slices_few_calls_and_leases_at_its_return() -> None:
    customer, rng = CustomerGateways(), random.Random(1)
    customer.press(0.0, 10.0, 30, rng)
    customer.ways = ["refused"] * 100_000
    customer.press(10.0, 60.0, 30, rng)
    assert sum(customer.shares(70 * SECOND)) <= 1.0 + 1e-6
    calls = customer.calls
    sent = customer.press(3550.0, 60.0, 30, rng)
    assert 0.85 * 600 <= sent <= 600 + MAX_SAVED_FRACTION * PLAN.burst
    assert customer.calls - calls <= 2 * SET * 60 / 2.5
    customer.ways = []
    customer.press(3610.0, 60.0, 30, rng)
    assert max(customer.shares(3670 * SECOND)) > 1 / SET


def test_counter_that_comes_back_empty_gives_the_pool_once_more_and_only_for_that_term() -> None:
    customer, rng = CustomerGateways(), random.Random(1)
    customer.press(0.0, 10.0, 50, rng)
    customer.ways = ["empty"]
    for made in customer.gateways:
        made.quota.accounts[1].lease.next_claim_at = 0  # as if all had run short anew
    customer.press(10.0, 10.0, 50, rng)
    assert sum(customer.shares(20 * SECOND)) <= EVEN_FRACTION + 2 * LEASED_FRACTION + 1e-6
    customer.press(20.0, 2 * TERM / SECOND, 50, rng)
    assert sum(customer.shares(120 * SECOND)) <= EVEN_FRACTION + LEASED_FRACTION + 1e-6


def test_partitioned_region_serves_by_even_slices() -> None:
    customer, rng = CustomerGateways(), random.Random(1)
    for second in range(100):
        for i in range(50):
            position = rng.randrange(SET)
            customer.ways = ["late"] if position >= SET // 2 else []
            customer.ask(second * SECOND + i * 20 * MS, position)
    shares = customer.shares(100 * SECOND)
    assert sum(shares[: SET // 2]) <= EVEN_FRACTION / 2 + LEASED_FRACTION + 1e-6
    assert sum(shares[SET // 2 :]) <= 0.5 + 1e-6  # 1.35 times the quota in all, and no less than its half


@pytest.mark.parametrize(
    "fault_windows",
    [
        (),
        tuple(FaultWindow(fault, 6.0, 9.0) for fault in Fault),
        (partition_half(12, 6.0, 9.0),),
    ],
    ids=["well", "all faults", "cut"],
)
def test_fleet_calls_a_tenth_as_often_within_quotas_and_never_over_a_ceiling(
    fault_windows: tuple[FaultWindow, ...],
) -> None:
    """On the virtual clock of the scale tests, short terms, and gateways that start anew in the middle."""

    def leased(made: Settings, seed: int, now: int) -> DecisionEngine:
        return DecisionEngine(replace(made, lease_term=5 * SECOND), seed, now)

    scenario = Scenario(
        FleetSize(12, 140, 1200.0),
        count_from_s=4.0,
        end_s=12.0,
        fault_windows=fault_windows,
        restarts=tuple(Restart(7.0, gateway) for gateway in range(3)),
    )
    of_each = simulate(scenario)
    of_leases = simulate(replace(scenario, make_engine=leased))
    assert of_leases.calls <= 0.2 * of_each.calls
    assert of_leases.granted_fraction >= 0.9
    assert of_leases.unpaid_fraction <= 0.03
    assert of_leases.over_ceiling == 0


def test_without_the_setting_each_request_is_counted_as_before() -> None:
    made = gateway(0, lease_term=0)
    actions = made.handle(SECOND, arrival(1, SECOND, gateway_spread=SET))
    assert made.quota.leases is None
    assert any(isinstance(a, AddToCounter) for a in actions)


def test_plan_whose_ceiling_has_no_room_for_a_floor_is_counted_at_every_gateway() -> None:
    small = replace(CEILED, ceiling_burst=3.0, burst=2.0)
    for each, leased in ((CEILED, True), (small, False)):
        made = gateway(0, plans=(each,))
        made.handle(SECOND, arrival(1, SECOND, gateway_spread=SET))
        assert isinstance(made.quota, LeasedQuota)
        assert made.quota.is_leased(made.quota.accounts[1]) is leased


@pytest.mark.parametrize("value", [-1, 3, 51, "50", True, None])
def test_length_of_a_term_that_cannot_be_is_one_plain_line(value: object) -> None:
    with pytest.raises(ConfigError, match="quota_lease_s"):
        parse(raw_config(1) | {"quota_lease_s": value}, {})


def test_length_of_a_term_comes_from_the_configuration() -> None:
    assert parse(raw_config(1) | {"quota_lease_s": 50}, {}).settings.lease_term == 50 * SECOND
    assert parse(raw_config(1), {}).settings.lease_term == 0
