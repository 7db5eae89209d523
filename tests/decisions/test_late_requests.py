"""Requests past their latency objective in congestion are cancelled, at endpoints that respond."""

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


def late_request(
    class_index: int = SAFE, congested: bool = True, responsive: bool = True
) -> tuple[DecisionEngine, list[Action]]:
    """Let request 1 pass its latency objective; return the engine and the actions of the next tick."""
    g = DecisionEngine(settings(may_message=False, gateway_count=1), 7, 0)
    g.handle(0, full_list(listed_endpoint(1)))
    assert isinstance(g.handle(START, arrival(1, START, class_index))[0], Send)
    if responsive:
        g.handle(START + 8 * TICK_INTERVAL_NS, arrival(2, START + 8 * TICK_INTERVAL_NS, customer_id=2))
        g.handle(START + 9 * TICK_INTERVAL_NS, ended(2, 1, elapsed=TICK_INTERVAL_NS))
    fit = g.model.fit

    def rise(now: int, in_flight: int, outstanding: list[OutstandingAttempt]) -> None:
        fit(now, in_flight, outstanding)
        g.model.congested = congested

    g.model.fit = rise  # type: ignore[method-assign]
    early = g.handle(START + 10 * TICK_INTERVAL_NS - MS, TimerFired(TICK_TIMER))
    assert not [a for a in early if isinstance(a, CancelAttempt | Fail | Reject)]
    return g, g.handle(START + 10 * TICK_INTERVAL_NS, TimerFired(TICK_TIMER))


@pytest.mark.parametrize(("class_index", "final_action"), [(SAFE, Reject), (KEYED, Fail), (UNSAFE, Fail)])
def test_late_request_is_cancelled_and_ended_as_its_class_allows(
    class_index: int, final_action: type
) -> None:
    g, actions = late_request(class_index)
    assert [a for a in actions if isinstance(a, CancelAttempt)] == [CancelAttempt(1, 0)]
    (final,) = (a for a in actions if isinstance(a, Fail | Reject))
    assert isinstance(final, final_action)
    assert final.request_id == 1
    again = g.handle(START + 11 * TICK_INTERVAL_NS, TimerFired(TICK_TIMER))
    assert not [a for a in again if isinstance(a, CancelAttempt | Fail | Reject | Send)]


@pytest.mark.parametrize(("congested", "responsive"), [(False, True), (True, False)])
def test_late_request_continues_without_congestion_or_at_an_unresponsive_endpoint(
    congested: bool, responsive: bool
) -> None:
    _, actions = late_request(congested=congested, responsive=responsive)
    assert not [a for a in actions if isinstance(a, CancelAttempt | Fail | Reject)]


def test_attempt_whose_response_has_started_is_never_cancelled() -> None:
    g = DecisionEngine(settings(may_message=False, gateway_count=1), 7, 0)
    g.handle(0, full_list(listed_endpoint(1), listed_endpoint(2)))
    (first,) = (a for a in g.handle(START, arrival(1, START)) if isinstance(a, Send))
    second = g.dispatcher.send(START + MS, g.request_table.open[1], untried_only=True)
    assert second is not None
    assert g.request_table.in_flight == 2
    assert g.handle(START + 2 * MS, ResponseStarted(1, 2 * MS, 0, first.endpoint)) == [CancelAttempt(1, 1)]
    assert g.request_table.in_flight == 0
    # The cancelled attempt ends; the other one continues past its latency objective.
    cancelled = ended(1, second.endpoint, Outcome.CANCELLED, attempt=1, finished=True)
    assert g.handle(START + 3 * MS, cancelled) == []
    g.model.congested = True
    late = g.stalled_requests.end_late_requests(START + 3 * SECOND) + g.hedging.send_hedges(
        START + 3 * SECOND
    )
    assert late == []
    assert g.handle(START + 4 * SECOND, ended(1, first.endpoint, elapsed=2 * MS)) == []
    assert g.request_table.in_flight == 0
    assert not g.request_table.attempts
    assert not g.request_table.open


def test_cancelled_attempt_is_no_failure_of_the_endpoint() -> None:
    g, _ = late_request()
    g.handle(START + 10 * TICK_INTERVAL_NS, ended(1, 1, Outcome.CANCELLED, finished=True))
    assert g.load_balancer.registry.endpoints[1].consecutive_failures == 0
    assert g.request_table.in_flight == 0
    sent = g.handle(
        START + 11 * TICK_INTERVAL_NS,
        arrival(9, START, customer_id=9, deadline=START + 40 * TICK_INTERVAL_NS, gateway_spread=1),
    )
    assert [a for a in sent if isinstance(a, Send | Reject)]
