"""Cancellation of requests past their latency objective: under congestion, at responsive endpoints."""

from __future__ import annotations

import pytest

from qos_gateway.decisions.congestion.outstanding_attempt import OutstandingAttempt
from qos_gateway.decisions.engine import TICK_TIMER, DecisionEngine
from qos_gateway.decisions.statistics.time_constants import TICK_INTERVAL_NS
from qos_gateway.types import Action, CancelAttempt, Fail, Outcome, Reject, ResponseStarted, Send, TimerFired
from tests.support.builders import (
    KEYED,
    MS,
    SAFE,
    SECOND,
    UNSAFE,
    arrival,
    ended,
    full_list,
    listed_endpoint,
    settings,
)

START = 100 * SECOND


def run_late_request(
    class_index: int = SAFE, congested: bool = True, responsive: bool = True
) -> tuple[DecisionEngine, list[Action]]:
    """Run request 1 past its latency objective; return the engine and the actions of the next tick."""
    engine = DecisionEngine(settings(may_message=False, gateway_count=1), 7, 0)
    engine.handle(0, full_list(listed_endpoint(1)))
    assert isinstance(engine.handle(START, arrival(1, START, class_index))[0], Send)
    if responsive:
        engine.handle(START + 8 * TICK_INTERVAL_NS, arrival(2, START + 8 * TICK_INTERVAL_NS, customer_id=2))
        engine.handle(START + 9 * TICK_INTERVAL_NS, ended(2, 1, elapsed=TICK_INTERVAL_NS))
    fit = engine.model.fit

    def fit_and_set_congestion(now: int, in_flight: int, outstanding: list[OutstandingAttempt]) -> None:
        fit(now, in_flight, outstanding)
        engine.model.congested = congested

    engine.model.fit = fit_and_set_congestion  # type: ignore[method-assign]
    early_actions = engine.handle(START + 10 * TICK_INTERVAL_NS - MS, TimerFired(TICK_TIMER))
    assert not [a for a in early_actions if isinstance(a, CancelAttempt | Fail | Reject)]
    return engine, engine.handle(START + 10 * TICK_INTERVAL_NS, TimerFired(TICK_TIMER))


@pytest.mark.parametrize(("class_index", "final_action"), [(SAFE, Reject), (KEYED, Fail), (UNSAFE, Fail)])
def test_late_request_is_cancelled_and_ended_as_its_class_allows(
    class_index: int, final_action: type
) -> None:
    engine, actions = run_late_request(class_index)
    assert [a for a in actions if isinstance(a, CancelAttempt)] == [CancelAttempt(1, 0)]
    (final,) = (a for a in actions if isinstance(a, Fail | Reject))
    assert isinstance(final, final_action)
    assert final.request_id == 1
    later_actions = engine.handle(START + 11 * TICK_INTERVAL_NS, TimerFired(TICK_TIMER))
    assert not [a for a in later_actions if isinstance(a, CancelAttempt | Fail | Reject | Send)]


@pytest.mark.parametrize(("congested", "responsive"), [(False, True), (True, False)])
def test_late_request_continues_without_congestion_or_at_an_unresponsive_endpoint(
    congested: bool, responsive: bool
) -> None:
    _, actions = run_late_request(congested=congested, responsive=responsive)
    assert not [a for a in actions if isinstance(a, CancelAttempt | Fail | Reject)]


def test_attempt_whose_response_has_started_is_never_cancelled() -> None:
    engine = DecisionEngine(settings(may_message=False, gateway_count=1), 7, 0)
    engine.handle(0, full_list(listed_endpoint(1), listed_endpoint(2)))
    (first,) = (a for a in engine.handle(START, arrival(1, START)) if isinstance(a, Send))
    second = engine.dispatcher.send(START + MS, engine.request_table.open[1], untried_only=True)
    assert second is not None
    assert engine.request_table.in_flight == 2
    assert engine.handle(START + 2 * MS, ResponseStarted(1, 2 * MS, 0, first.endpoint)) == [
        CancelAttempt(1, 1)
    ]
    assert engine.request_table.in_flight == 0
    # The cancelled attempt ends; the other one continues past its latency objective.
    cancelled = ended(1, second.endpoint, Outcome.CANCELLED, attempt=1, finished=True)
    assert engine.handle(START + 3 * MS, cancelled) == []
    engine.model.congested = True
    late = engine.stalled_requests.end_late_requests(START + 3 * SECOND) + engine.hedging.send_hedges(
        START + 3 * SECOND
    )
    assert late == []
    assert engine.handle(START + 4 * SECOND, ended(1, first.endpoint, elapsed=2 * MS)) == []
    assert engine.request_table.in_flight == 0
    assert not engine.request_table.attempts
    assert not engine.request_table.open


def test_cancelled_attempt_does_not_count_as_a_failure_of_the_endpoint() -> None:
    engine, _ = run_late_request()
    engine.handle(START + 10 * TICK_INTERVAL_NS, ended(1, 1, Outcome.CANCELLED, finished=True))
    assert engine.load_balancer.registry.endpoints[1].consecutive_failures == 0
    assert engine.request_table.in_flight == 0
    sent = engine.handle(
        START + 11 * TICK_INTERVAL_NS,
        arrival(9, START, customer_id=9, deadline=START + 40 * TICK_INTERVAL_NS, gateway_spread=1),
    )
    assert [a for a in sent if isinstance(a, Send | Reject)]
