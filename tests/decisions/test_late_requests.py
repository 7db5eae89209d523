"""What is past its aim while a queue has risen: given up at once, but only at servers that answer."""

from __future__ import annotations

import pytest

from qos_gateway.decisions.congestion.outstanding_attempt import OutstandingAttempt
from qos_gateway.decisions.engine import TICK_TIMER, DecisionEngine
from qos_gateway.decisions.statistics.time_constants import TICK_INTERVAL_NS
from qos_gateway.types import (
    Action,
    CancelAttempt,
    Fail,
    Outcome,
    Reject,
    ResponseStarted,
    Send,
    TimerFired,
)
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


def pressed(
    cls: int = SAFE, risen: bool = True, answered: bool = True
) -> tuple[DecisionEngine, list[Action]]:
    """Request 1 went out an aim ago; what the next tick gives."""
    g = DecisionEngine(settings(may_message=False, gateway_count=1), 7, 0)
    g.handle(0, full_list(listed_endpoint(1)))
    assert isinstance(g.handle(START, arrival(1, START, cls))[0], Send)
    if answered:
        g.handle(START + 8 * TICK_INTERVAL_NS, arrival(2, START + 8 * TICK_INTERVAL_NS, customer_id=2))
        g.handle(START + 9 * TICK_INTERVAL_NS, ended(2, 1, elapsed=TICK_INTERVAL_NS))
    fit = g.model.fit

    def rise(now: int, in_flight: int, outstanding: list[OutstandingAttempt]) -> None:
        fit(now, in_flight, outstanding)
        g.model.congested = risen

    g.model.fit = rise  # type: ignore[method-assign]
    early = g.handle(START + 10 * TICK_INTERVAL_NS - MS, TimerFired(TICK_TIMER))
    assert not [a for a in early if isinstance(a, CancelAttempt | Fail | Reject)]
    return g, g.handle(START + 10 * TICK_INTERVAL_NS, TimerFired(TICK_TIMER))


@pytest.mark.parametrize(("cls", "end"), [(SAFE, Reject), (KEYED, Fail), (UNSAFE, Fail)])
def test_it_is_called_off_and_ended_as_its_class_allows(cls: int, end: type) -> None:
    g, actions = pressed(cls)
    assert [a for a in actions if isinstance(a, CancelAttempt)] == [CancelAttempt(1, 0)]
    (final,) = (a for a in actions if isinstance(a, Fail | Reject))
    assert isinstance(final, end)
    assert final.request_id == 1
    again = g.handle(START + 11 * TICK_INTERVAL_NS, TimerFired(TICK_TIMER))
    assert not [a for a in again if isinstance(a, CancelAttempt | Fail | Reject | Send)]


@pytest.mark.parametrize(("risen", "answered"), [(False, True), (True, False)])
def test_it_goes_on_where_nobody_waits_for_its_place_or_the_server_is_silent(
    risen: bool, answered: bool
) -> None:
    _, actions = pressed(risen=risen, answered=answered)
    assert not [a for a in actions if isinstance(a, CancelAttempt | Fail | Reject)]


def test_answer_that_has_begun_to_flow_is_never_called_off() -> None:
    g = DecisionEngine(settings(may_message=False, gateway_count=1), 7, 0)
    g.handle(0, full_list(listed_endpoint(1), listed_endpoint(2)))
    (first,) = (a for a in g.handle(START, arrival(1, START)) if isinstance(a, Send))
    second = g.dispatcher.send(START + MS, g.request_table.open[1], untried_only=True)
    assert second is not None
    assert g.request_table.in_flight == 2
    assert g.handle(START + 2 * MS, ResponseStarted(1, 2 * MS, 0, first.endpoint)) == [CancelAttempt(1, 1)]
    assert g.request_table.in_flight == 0
    # The one that was called off ends: the other flows on, past its aim, and ends as it does.
    off = ended(1, second.endpoint, Outcome.CANCELLED, attempt=1, finished=True)
    assert g.handle(START + 3 * MS, off) == []
    g.model.congested = True
    late = g.stalled_requests.end_late_requests(START + 3 * SECOND) + g.hedging.send_hedges(
        START + 3 * SECOND
    )
    assert late == []
    assert g.handle(START + 4 * SECOND, ended(1, first.endpoint, elapsed=2 * MS)) == []
    assert g.request_table.in_flight == 0
    assert not g.request_table.attempts
    assert not g.request_table.open


def test_calling_off_says_nothing_against_the_server() -> None:
    g, _ = pressed()
    g.handle(START + 10 * TICK_INTERVAL_NS, ended(1, 1, Outcome.CANCELLED, finished=True))
    assert g.load_balancer.registry.endpoints[1].consecutive_failures == 0
    assert g.request_table.in_flight == 0
    sent = g.handle(
        START + 11 * TICK_INTERVAL_NS,
        arrival(9, START, customer=9, deadline=START + 40 * TICK_INTERVAL_NS, gateway_spread=1),
    )
    assert [a for a in sent if isinstance(a, Send | Reject)]
