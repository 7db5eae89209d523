"""The rules and guards, each on a gateway acting alone."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import pytest
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from qos_gateway.decisions.engine import TICK_TIMER, DecisionEngine
from qos_gateway.decisions.queue_model import TICK
from qos_gateway.peer_messages import CustomerTotal, encode_totals
from qos_gateway.state.peer_totals import PeerStatus
from qos_gateway.types import (
    NOT_EXECUTED,
    Action,
    CancelAttempt,
    ClientDisconnected,
    Event,
    Fail,
    Health,
    ListKind,
    Outcome,
    PeerMessage,
    Reject,
    Send,
    SendPeerMessage,
    TimerFired,
)
from tests.support.builders import (
    CLASSES,
    KEYED,
    MS,
    SAFE,
    SECOND,
    UNSAFE,
    arrival,
    backend,
    ended,
    full_list,
    plan,
    settings,
)


def sends(actions: list[Action]) -> list[Send]:
    return [a for a in actions if isinstance(a, Send)]


def refusals(actions: list[Action]) -> list[Reject]:
    return [a for a in actions if isinstance(a, Reject)]


def gateway(**changes: Any) -> DecisionEngine:
    made = DecisionEngine(settings(**changes), 7, 0)
    made.handle(0, full_list(*(backend(i) for i in range(1, 5)), kind=ListKind.CACHED))
    return made


def test_request_inside_its_quota_is_sent() -> None:
    g = gateway()
    assert len(sends(g.handle(MS, arrival(1, MS)))) == 1


def test_requests_beyond_the_quota_are_refused_at_once() -> None:
    g = gateway()
    refused = 0
    for i in range(60):
        refused += len(refusals(g.handle(MS, arrival(i, MS))))
        g.handle(MS, ended(i, 1))
    assert 60 - 20 - 2 <= refused < 60


def test_no_backend_means_refusal() -> None:
    g = DecisionEngine(settings(), 7, 0)
    g.handle(0, full_list(kind=ListKind.CACHED))
    assert refusals(g.handle(MS, arrival(1, MS)))


def test_request_past_its_time_is_refused() -> None:
    g = gateway()
    assert refusals(g.handle(MS, arrival(1, MS, deadline=0)))


def test_unsafe_request_that_may_have_run_only_fails() -> None:
    g = gateway()
    (send,) = sends(g.handle(MS, arrival(1, MS, UNSAFE)))
    assert g.handle(2 * MS, ended(1, send.endpoint, Outcome.RESET)) == [Fail(1)]


def test_unsafe_request_that_never_ran_goes_elsewhere() -> None:
    g = gateway()
    (send,) = sends(g.handle(MS, arrival(1, MS, UNSAFE)))
    (again,) = sends(g.handle(2 * MS, ended(1, send.endpoint, Outcome.OVERLOADED)))
    assert again.endpoint != send.endpoint


def test_keyed_repeat_stays_in_its_cell_and_window() -> None:
    g = DecisionEngine(settings(), 7, 0)
    cells = {1: 1, 2: 1, 3: 2, 4: 2}
    g.handle(0, full_list(*(backend(i, cell=c) for i, c in cells.items())))
    for request in range(8):
        (send,) = sends(g.handle(MS, arrival(request, MS, KEYED)))
        (again,) = sends(g.handle(2 * MS, ended(request, send.endpoint, Outcome.ERROR)))
        assert cells[again.endpoint] == cells[send.endpoint]
        assert (send.send_deadline, again.send_deadline) == (0, MS + 2 * SECOND)
        late = ended(request, again.endpoint, Outcome.ERROR, attempt=1)
        assert g.handle(3 * SECOND, late) == [Fail(request)]
        g = DecisionEngine(settings(), request, 0)
        g.handle(0, full_list(*(backend(i, cell=c) for i, c in cells.items())))


def answered(g: DecisionEngine, cls: int) -> None:
    """Enough good answers for a usual latency of 100 ms."""
    for i in range(10):
        (send,) = sends(g.handle(i * MS, arrival(100 + i, i * MS, cls)))
        g.handle(i * MS + 100 * MS, ended(100 + i, send.endpoint))


@pytest.mark.parametrize("cls", [SAFE, KEYED])
def test_answer_that_does_not_come_is_sought_elsewhere_and_the_first_good_one_ends_all(cls: int) -> None:
    g = gateway()
    answered(g, cls)
    (first,) = sends(g.handle(200 * MS, arrival(1, 200 * MS, cls)))
    assert not sends(g.handle(800 * MS, TimerFired(TICK_TIMER)))  # a server that answers nothing may be slow
    g.load_balancer.endpoints[first.endpoint].latest_answered_send = 350 * MS
    (second,) = sends(g.handle(800 * MS, TimerFired(TICK_TIMER)))
    assert second.request_id == 1
    assert second.endpoint != first.endpoint
    assert not sends(g.handle(900 * MS, TimerFired(TICK_TIMER)))
    done = g.handle(SECOND, ended(1, second.endpoint, attempt=1, finished=True))
    assert done == [CancelAttempt(1, 0)]
    assert g.handle(SECOND, ended(1, first.endpoint, Outcome.CANCELLED, finished=True)) == []
    assert not g.request_table.open
    assert not g.request_table.attempts
    assert g.request_table.in_flight == 0


def test_second_copies_have_a_budget_and_none_runs_a_payment_twice() -> None:
    g = gateway(plans=(plan(rate=1000.0, burst=1000.0),))
    for cls in (SAFE, UNSAFE):
        answered(g, cls)
    g.handle(200 * MS, arrival(1000, 200 * MS, UNSAFE))
    g.handle(200 * MS, arrival(2000, 200 * MS, SAFE))
    g.handle(200 * MS, arrival(2001, 200 * MS, SAFE))
    g.dispatcher.retry_budget.tokens = 1.0
    for server in g.load_balancer.endpoints.values():
        server.latest_answered_send = 350 * MS
    g.load_balancer.latest_answered_send = 750 * MS
    assert [send.request_id for send in sends(g.handle(850 * MS, TimerFired(TICK_TIMER)))] == [2000]
    assert g.dispatcher.retry_budget.tokens == 0.0


@pytest.mark.parametrize(("aim", "wait"), [(300, 50), (1200, 200), (6000, 200)])
def test_refused_client_is_told_to_come_back_while_its_aim_can_still_be_met(aim: int, wait: int) -> None:
    g = gateway(classes=tuple(replace(each, latency_objective=aim * MS) for each in CLASSES))
    (refusal,) = refusals(g.handle(5 * SECOND, replace(arrival(1, 0), deadline=SECOND)))
    assert refusal.retry_after == wait * MS


@pytest.mark.parametrize(("elapsed", "left"), [(MS, 0.9), (50 * MS, 0.5), (100 * MS, 0.0), (SECOND, 0.0)])
def test_retry_costs_what_the_attempt_before_took_of_a_servers_time(elapsed: int, left: float) -> None:
    g = gateway()
    answered(g, SAFE)
    (send,) = sends(g.handle(SECOND, arrival(1, SECOND)))
    g.dispatcher.retry_budget.tokens = 1.0
    broken = ended(1, send.endpoint, Outcome.RESET, elapsed=elapsed)
    assert len(sends(g.handle(SECOND + elapsed, broken))) == 1
    assert g.dispatcher.retry_budget.tokens == pytest.approx(left, abs=0.02)


@pytest.mark.parametrize(("broken", "left_out"), [({1}, {1}), ({1, 2, 3, 4}, set())])
def test_breaks_tell_of_a_backend_only_where_others_do_not_break_as_well(
    broken: set[int], left_out: set[int]
) -> None:
    fleet = gateway().load_balancer
    for i in range(80):
        for backend_id in range(1, 5):
            # Everywhere: one in three, two in a row. Of one alone: all.
            bad = backend_id in broken and (i % 6 in (3, 4) or left_out)
            outcome = Outcome.RESET if bad else Outcome.OK
            fleet.attempt_ended(i * 100 * MS, ended(i, backend_id, outcome), (SAFE, 0), 1.0)
    assert {i for i, server in fleet.endpoints.items() if server.ejected_until > 0} == left_out


def test_retries_have_a_budget() -> None:
    g = gateway(plans=(plan(rate=1000.0, burst=1000.0),))
    extra = 0
    for i in range(100):
        now = i * 300 * MS
        for send in sends(g.handle(now, arrival(i, now))):
            extra += len(sends(g.handle(now + MS, ended(i, send.endpoint, Outcome.ERROR))))
    assert 0 < extra <= 20


def test_nothing_goes_to_a_draining_or_vanished_backend() -> None:
    g = gateway()
    g.handle(MS, full_list(backend(1, Health.DRAINING), kind=ListKind.DELTA))
    g.handle(MS, full_list(backend(1, Health.DRAINING), backend(3), backend(4)))
    used = {s.endpoint for i in range(10) for s in sends(g.handle(2 * MS, arrival(i, 2 * MS)))}
    assert used
    assert used <= {3, 4}


def test_cold_backend_gets_only_its_part() -> None:
    g = DecisionEngine(settings(plans=(plan(rate=1000.0, burst=1000.0),)), 7, 0)
    g.handle(0, full_list(*(backend(i) for i in range(1, 4)), backend(9, booted=1)))
    cold = total = 0
    for i in range(200):
        now = i * 10 * MS
        for send in sends(g.handle(now, arrival(i, now))):
            total += 1
            cold += send.endpoint == 9
            g.handle(now + 5 * MS, ended(i, send.endpoint))
    assert total > 150
    assert cold <= 0.3 * total / 4


def test_ceiling_slices_never_sum_above_the_ceiling() -> None:
    capped = plan(ceiling_rate=10.0, ceiling_burst=20.0, ceiling_slack=2.0, rate=1000.0, burst=1000.0)
    sent = 0
    for position in range(2):
        g = DecisionEngine(settings(plans=(capped,), position=position), 7, 0)
        g.handle(0, full_list(backend(1), backend(2)))
        for i in range(1000):
            now = i * 10 * MS
            for send in sends(g.handle(now, arrival(i, now))):
                sent += 1
                g.handle(now, ended(i, send.endpoint))
    assert sent <= 10.0 * 10 + 2.0 + 2


def test_told_use_of_a_peer_is_taken_from_the_bucket() -> None:
    here, there = (DecisionEngine(settings(position=p), p + 7, 0) for p in range(2))
    for g in (here, there):
        g.handle(0, full_list(backend(1), backend(2)))
        g.handle(0, arrival(1000, 0))
    for i in range(19):
        there.handle(MS, arrival(i, MS))
        there.handle(MS, ended(i, 1))
    told = [a for a in there.handle(TICK, TimerFired(TICK_TIMER)) if isinstance(a, SendPeerMessage)]
    here.handle(TICK, PeerMessage(1, told[0].data))
    assert here.quota.accounts[1].tokens < 5.0


def word(sent: int, age: int, incarnation: int = 9) -> PeerMessage:
    return PeerMessage(1, encode_totals(incarnation, age, [CustomerTotal(1, sent, 0)]))


def test_word_overtaken_on_its_way_changes_nothing() -> None:
    g = gateway()
    g.handle(0, arrival(1, 0))
    g.handle(MS, word(400, 10))
    level = g.quota.accounts[1].tokens
    g.handle(MS, word(380, 8))
    assert g.quota.accounts[1].tokens == level
    g.handle(MS, word(408, 12))
    assert g.quota.accounts[1].tokens == pytest.approx(max(-20.0, level - 2.0))


def test_total_begun_anew_by_a_peer_counts_from_nothing() -> None:
    g = gateway()
    g.handle(0, arrival(1, 0))
    g.handle(MS, word(400, 10))
    now = 4 * SECOND
    g.handle(now, word(400, 40))
    level = g.quota.accounts[1].tokens
    g.handle(now, word(8, 41))  # the peer forgot the customer, who then came back
    assert g.quota.accounts[1].tokens == pytest.approx(level - 2.0)


def test_totals_of_a_restarted_peer_count_from_nothing_also_when_told_later() -> None:
    g = gateway()
    g.handle(0, arrival(1, 0))
    now = 4 * SECOND
    g.handle(now, word(8, 40))
    g.handle(now, PeerMessage(1, encode_totals(10, 0, [])))  # restarted, and nothing of this customer yet
    level = g.quota.accounts[1].tokens
    g.handle(now, word(12, 1, incarnation=10))
    assert g.quota.accounts[1].tokens == pytest.approx(level - 3.0)


def test_word_that_claims_a_great_age_does_not_shut_out_what_comes_after() -> None:
    g = gateway()
    g.handle(0, arrival(1, 0))
    g.handle(MS, word(4, 0xFFFF))
    level = g.quota.accounts[1].tokens
    g.handle(MS, word(8, 10))
    assert g.quota.accounts[1].tokens == pytest.approx(level - 1.0)


def test_backend_off_the_list_is_forgotten_once_nothing_is_out_to_it() -> None:
    g = gateway()
    (send,) = sends(g.handle(MS, arrival(1, MS)))
    used, others = send.endpoint, {1, 2, 3, 4} - {send.endpoint}
    g.handle(MS, full_list(backend(used, Health.REMOVED), kind=ListKind.DELTA))
    assert set(g.load_balancer.endpoints) == {1, 2, 3, 4}
    g.handle(MS, full_list(backend(5), backend(min(others), Health.DRAINING)))
    assert set(g.load_balancer.endpoints) == {used, 5, min(others)}
    g.handle(2 * MS, ended(1, used))
    g.handle(TICK, TimerFired(TICK_TIMER))
    assert set(g.load_balancer.endpoints) == {5, min(others)}


def test_nothing_grows_with_customers_and_backends_that_come_once() -> None:
    g = gateway()
    sizes = []
    for second in range(240):
        now = second * SECOND
        new = full_list(backend(100 + second), backend(99 + second, Health.REMOVED), kind=ListKind.DELTA)
        g.handle(now, new)
        for i in range(20):
            number = second * 20 + i
            for send in sends(g.handle(now, arrival(number, now, customer_id=number))):
                g.handle(now, ended(number, send.endpoint))
        g.handle(now, TimerFired(TICK_TIMER))
        sizes.append((len(g.quota.accounts), len(g.load_balancer.endpoints), len(g.commitments.active)))
    assert max(sizes[120:]) <= max(sizes[60:120])
    assert sizes[-1][1] <= 6
    assert not g.request_table.open
    assert not g.request_table.attempts
    assert g.request_table.in_flight == 0


def test_odd_peer_messages_are_passed_over() -> None:
    g = gateway()
    for data in (b"", b"x", b"abcdefg"):
        assert g.handle(MS, PeerMessage(1, data)) == []


def test_silent_peer_gets_its_even_slice_back() -> None:
    g = gateway()
    g.handle(0, arrival(1, 0))
    account = g.quota.accounts[1]
    g.quota.peers[1] = PeerStatus(0, 0, 0)
    assert g.quota.quota_share(0, account) == 1.0
    assert g.quota.quota_share(10 * SECOND, account) == 0.5


def test_latency_moves_the_caps() -> None:
    g = gateway(plans=(plan(rate=1000.0, burst=1000.0),))
    caps = []
    request = 0
    for latency in (50 * MS, 900 * MS):
        for step in range(100):
            now = (request + 1) * 20 * MS
            g.handle(now, arrival(request, now, customer_id=request % 5))
            if request >= 10:
                g.handle(now, ended(request - 10, 1, elapsed=latency))
            if step % 5 == 0:
                g.handle(now, TimerFired(TICK_TIMER))
            request += 1
        caps.append(sum(a.in_flight_cap for a in g.quota.accounts.values()))
    assert caps[1] < caps[0]


EVENTS = st.lists(
    st.tuples(
        st.sampled_from(["arrive", "end", "left", "tick", "list", "mail"]),
        st.integers(0, 12),
        st.sampled_from(list(Outcome)),
        st.integers(0, 400),
        st.integers(0, 2),
    ),
    max_size=80,
)


class Bench:
    """Plays legal but odd event orders and checks rule 1 and rule 2 on every action."""

    def __init__(self) -> None:
        self.gateway = DecisionEngine(settings(), 3, 0)
        self.classes: dict[int, int] = {}
        self.state: dict[int, str] = {}
        self.out: dict[tuple[int, int], int] = {}
        self.count: dict[int, int] = {}
        self.may_have_run: set[int] = set()
        self.log: list[Action] = []

    def feed(self, now: int, event: Event) -> None:
        for action in self.gateway.handle(now, event):
            self.log.append(action)
            if isinstance(action, Send):
                assert self.state[action.request_id] == "open"
                assert self.classes[action.request_id] != UNSAFE or action.request_id not in self.may_have_run
                number = self.count.get(action.request_id, 0)
                self.count[action.request_id] = number + 1
                self.out[action.request_id, number] = action.endpoint
            elif isinstance(action, Reject):
                assert self.state[action.request_id] == "open"
                assert self.classes[action.request_id] == SAFE or action.request_id not in self.may_have_run
                self.state[action.request_id] = "answered"
            elif isinstance(action, Fail):
                assert self.state[action.request_id] == "open"
                self.state[action.request_id] = "answered"

    def play(self, steps: list[tuple[str, int, Outcome, int, int]]) -> None:
        now = 0
        self.feed(now, full_list(*(backend(i, cell=i % 2) for i in range(4)), kind=ListKind.CACHED))
        for number, (what, pick, outcome, wait, cls) in enumerate(steps):
            now += wait * MS
            if what == "arrive":
                self.classes[number], self.state[number] = cls, "open"
                self.feed(now, arrival(number, now, cls, customer_id=pick))
            elif what == "end" and self.out:
                self.end(now, sorted(self.out)[pick % len(self.out)], outcome)
            elif what == "left" and self.state:
                request = sorted(self.state)[pick % len(self.state)]
                if self.state[request] == "open":
                    self.state[request] = "gone"
                self.feed(now, ClientDisconnected(request))
            elif what == "tick":
                self.feed(now, TimerFired(TICK_TIMER))
            elif what == "list":
                health = list(Health)[pick % 3]
                self.feed(now, full_list(backend(pick % 5, health, booted=now * cls), kind=ListKind.DELTA))
            elif what == "mail":
                self.feed(now, PeerMessage(1, bytes([pick]) * (4 + 11 * (wait % 3))))
        while self.out:
            self.end(now, min(self.out), Outcome.TIMEOUT)
        assert "open" not in self.state.values()

    def end(self, now: int, attempt: tuple[int, int], outcome: Outcome) -> None:
        request, number = attempt
        server = self.out.pop(attempt)
        if outcome not in NOT_EXECUTED:
            self.may_have_run.add(request)
        if outcome is Outcome.OK and self.state[request] == "open":
            self.state[request] = "served"
        finished = self.state[request] != "open"
        self.feed(now, ended(request, server, outcome, number, finished=finished))


@hypothesis_settings(derandomize=True, deadline=None, max_examples=150)
@given(EVENTS)
def test_one_final_answer_whatever_the_order(steps: list[tuple[str, int, Outcome, int, int]]) -> None:
    first, second = Bench(), Bench()
    first.play(steps)
    second.play(steps)
    assert first.log == second.log


def test_backend_once_slow_is_tried_again() -> None:
    g = gateway(plans=(plan(rate=1000.0, burst=1000.0),))
    used: set[int] = set()
    for i in range(400):
        now = i * 50 * MS
        for send in sends(g.handle(now, arrival(i, now))):
            used |= {send.endpoint} if i >= 200 else set()
            slow = send.endpoint == 1 and i < 100
            g.handle(now + 10 * MS, ended(i, send.endpoint, elapsed=(900 if slow else 90) * MS))
    assert used == {1, 2, 3, 4}


def test_limit_on_open_attempts_is_sliced_where_nothing_tells_of_others() -> None:
    g = gateway(plans=(plan(max_in_flight=4),), may_message=False)
    taken = sum(len(sends(g.handle(MS, arrival(i, MS)))) for i in range(10))
    assert taken == 2


def test_a_backend_that_turns_one_class_away_still_gets_the_other() -> None:
    g = gateway(plans=(plan(rate=1000.0, burst=1000.0),))
    used: dict[int, set[int]] = {SAFE: set(), UNSAFE: set()}
    for i in range(200):
        now, cls = i * 50 * MS, (SAFE, UNSAFE)[i % 2]
        for send in sends(g.handle(now, arrival(i, now, cls))):
            full = send.endpoint == 1 and cls == SAFE
            used[cls] |= {send.endpoint} if i >= 50 else set()
            for again in sends(
                g.handle(now, ended(i, send.endpoint, Outcome.OVERLOADED if full else Outcome.OK))
            ):
                g.handle(now, ended(i, again.endpoint, attempt=1))
    assert used[UNSAFE] == {1, 2, 3, 4}
    assert used[SAFE] <= {2, 3, 4}


def test_a_backend_that_leaves_one_class_unanswered_still_gets_the_other() -> None:
    g = gateway(plans=(plan(rate=1000.0, burst=1000.0),))
    lost = {SAFE: 0, UNSAFE: 0}
    for i in range(200):
        now, cls = i * 100 * MS, (SAFE, UNSAFE)[i % 2]
        for send in sends(g.handle(now, arrival(i, now, cls))):
            silent = send.endpoint == 1 and cls == UNSAFE
            lost[cls] += send.endpoint == 1
            g.handle(now, ended(i, send.endpoint, Outcome.TIMEOUT if silent else Outcome.OK))
    assert lost[UNSAFE] <= 5 < lost[SAFE]


def test_lost_answers_do_not_read_as_overload() -> None:
    g = gateway(plans=(plan(rate=1000.0, burst=1000.0),))
    for i in range(300):
        now = i * 20 * MS
        sent = sends(g.handle(now, arrival(i, now)))
        assert len(sent) == 1
        if i % 10:
            g.handle(now + 10 * MS, ended(i, sent[0].endpoint))
        if i % 5 == 0:
            g.handle(now + 10 * MS, TimerFired(TICK_TIMER))
    assert g.request_table.presumed_lost > 10
    assert g.model.concurrency_limit is None


def test_older_peer_shows_a_restart_and_the_bucket_starts_with_a_slice() -> None:
    young, old = gateway(), DecisionEngine(settings(position=1), 8, 0)
    old.handle(0, full_list(backend(1)))
    told = [a for a in old.handle(9 * SECOND, TimerFired(TICK_TIMER)) if isinstance(a, SendPeerMessage)]
    young.handle(MS, arrival(1, MS))
    assert young.quota.accounts[1].tokens == 19.0
    young.handle(MS, PeerMessage(1, told[0].data))
    assert young.quota.accounts[1].tokens == 10.0


def test_old_word_of_others_open_attempts_is_not_held_against_a_customer() -> None:
    g = gateway(plans=(plan(max_in_flight=2),))
    g.handle(0, arrival(1, 0))
    g.handle(MS, ended(1, 1))
    account = g.quota.accounts[1]
    account.in_flight_elsewhere, account.in_flight_elsewhere_at = 2, MS
    assert refusals(g.handle(2 * MS, arrival(2, 2 * MS)))
    assert sends(g.handle(SECOND, arrival(3, SECOND)))


def test_accounts_of_customers_long_gone_are_dropped() -> None:
    g = gateway()
    g.handle(0, arrival(1, 0))
    g.handle(600 * SECOND, TimerFired(TICK_TIMER))
    assert 1 in g.quota.accounts
    g.handle(600 * SECOND, ended(1, 1))
    g.handle(611 * SECOND, TimerFired(TICK_TIMER))
    assert 1 not in g.quota.accounts


@pytest.mark.parametrize(("multiple", "part"), [(2.0, 1.4), (1.2, 1.0)])
def test_cold_backend_gets_more_than_its_part_and_well_under_its_fall(multiple: float, part: float) -> None:
    g = DecisionEngine(settings(overload_multiple=multiple), 7, 0)
    g.handle(0, full_list(backend(1, booted=1), backend(2)))
    g.load_balancer.warm_completions.add(SECOND, 3.0, 3.0)
    cold = g.load_balancer.endpoints[1]
    cold.slow_start_tokens, cold.slow_start_tokens_at = 0.0, 0
    g.load_balancer.can_accept(SECOND, cold)
    assert cold.slow_start_tokens == pytest.approx(
        part * 3.0 * g.load_balancer.slow_start_fraction(SECOND, cold)
    )
