"""How the decision engine treats endpoints that operators disable."""

from __future__ import annotations

import pytest

from qos_gateway.decisions.engine import DecisionEngine
from qos_gateway.types import Health, ListKind, Outcome, Send, SetEndpointEnabled
from tests.support.builders import MS, SECOND, arrival, ended, full_list, listed_endpoint, settings

START = 100 * SECOND


def engine_with(*endpoint_ids: int, gateways: int = 2) -> DecisionEngine:
    engine = DecisionEngine(settings(gateway_count=gateways, may_message=False), 7, 0)
    engine.handle(0, full_list(*(listed_endpoint(number) for number in endpoint_ids)))
    return engine


def send_request(engine: DecisionEngine, request: int, now: int, outcome: Outcome = Outcome.OK) -> int:
    """Send a request that ends at once; return its endpoint, 0 if it was not sent."""
    sends = [a for a in engine.handle(now, arrival(request, now, customer_id=request)) if isinstance(a, Send)]
    if not sends:
        return 0
    engine.handle(now + MS, ended(request, sends[0].endpoint, outcome, elapsed=MS, finished=True))
    return sends[0].endpoint


def test_disabled_endpoint_gets_neither_requests_nor_retries() -> None:
    engine = engine_with(1, 2)
    engine.handle(START, SetEndpointEnabled(1, False))
    engine.handle(START, SetEndpointEnabled(1, False))  # disabling is idempotent: one call enables it
    assert {send_request(engine, n, START + n * MS) for n in range(1, 40)} == {2}
    engine.handle(START, arrival(50, START))
    actions = engine.handle(START + MS, ended(50, 2, Outcome.CONNECT_FAILED))
    assert [a.endpoint for a in actions if isinstance(a, Send)] != [1]
    engine.handle(START + SECOND, SetEndpointEnabled(1, True))
    assert 1 in {send_request(engine, n, START + (6 + n) * SECOND) for n in range(60, 70)}


@pytest.mark.parametrize(
    "events",
    [
        [full_list(listed_endpoint(2)), full_list(listed_endpoint(1), listed_endpoint(2))],
        [
            full_list(listed_endpoint(1, Health.REMOVED), kind=ListKind.DELTA),
            full_list(listed_endpoint(1, started_at=START), kind=ListKind.DELTA),
        ],
        [full_list(listed_endpoint(1, started_at=START + 1), listed_endpoint(2))],
    ],
)
def test_discovery_does_not_enable_a_disabled_endpoint(events: list[object]) -> None:
    engine = engine_with(1, 2)
    engine.handle(START, SetEndpointEnabled(1, False))
    assert engine.load_balancer.excluded_count(START) == 1
    for event in events:
        engine.handle(START, event)  # type: ignore[arg-type]
    assert engine.load_balancer.excluded_count(START) == 1
    assert {send_request(engine, n, START + n * SECOND) for n in range(1, 40)} == {2}


@pytest.mark.parametrize("gateways", [1, 3, 8])
def test_enabled_endpoint_is_in_slow_start_but_used_within_5_s_despite_earlier_ejections(
    gateways: int,
) -> None:
    engine = engine_with(1, 2, 3, gateways=gateways)
    for n in range(1, 9):  # repeated ejections with increasing ejection times
        engine.load_balancer.registry.endpoints[1].ejected_until = 0
        engine.load_balancer.attempt_ended(START + n, ended(n, 1, Outcome.CONNECT_FAILED), (0, 0), 1.0)
    assert engine.load_balancer.excluded_count(START + 9) == 1
    engine.handle(START + 9, SetEndpointEnabled(1, False))
    engine.handle(START + SECOND, SetEndpointEnabled(1, True))
    assert engine.load_balancer.excluded_count(START + SECOND) == 0
    step = SECOND // 20
    used_at = []
    for n in range(100):
        now = START + SECOND + n * step
        if send_request(engine, 100 + n, now) == 1:
            used_at.append(now)
    assert used_at
    assert used_at[0] <= START + 6 * SECOND
    # Of 40 requests; a warm endpoint would get a third.
    assert len([now for now in used_at if now < START + 3 * SECOND]) <= 8


def test_enabled_endpoint_begins_slow_start_unless_it_started_while_disabled() -> None:
    engine = engine_with(1, 2)
    engine.handle(START, SetEndpointEnabled(1, False))
    engine.handle(START + 5 * SECOND, SetEndpointEnabled(1, False))
    engine.handle(START + 10 * SECOND, SetEndpointEnabled(1, True))
    now = START + 11 * SECOND
    load_balancer = engine.load_balancer
    assumed = load_balancer.slow_start.capacity_fraction(now, load_balancer.registry.endpoints[1])
    assert 0.2 <= assumed < 0.3
    engine.handle(
        now, full_list(listed_endpoint(1, started_at=START - 30 * SECOND), listed_endpoint(2))
    )  # started before it was disabled
    assert load_balancer.slow_start.capacity_fraction(now, load_balancer.registry.endpoints[1]) == assumed
    engine.handle(
        now, full_list(listed_endpoint(1, started_at=START + SECOND), listed_endpoint(2))
    )  # started while it was disabled, reported late
    fraction = load_balancer.slow_start.capacity_fraction(now, load_balancer.registry.endpoints[1])
    assert fraction == pytest.approx(0.6)


def test_enabling_an_endpoint_that_was_not_disabled_changes_nothing() -> None:
    engine = engine_with(1, 2)
    engine.handle(START, SetEndpointEnabled(1, True))
    assert (
        engine.load_balancer.slow_start.capacity_fraction(START, engine.load_balancer.registry.endpoints[1])
        == 1.0
    )
    engine.handle(START, SetEndpointEnabled(9, False))  # not in the list yet
    engine.handle(START, SetEndpointEnabled(9, True))
    assert engine.load_balancer.excluded_count(START) == 0
