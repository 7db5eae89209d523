"""Order servers that operators leave out by hand: the module's side."""

from __future__ import annotations

import pytest

from qos_gateway.decisions.engine import DecisionEngine
from qos_gateway.types import Health, ListKind, Outcome, Send, SetEndpointEnabled
from tests.support.builders import MS, SECOND, arrival, backend, ended, full_list, settings

START = 100 * SECOND


def gateway(*servers: int, gateways: int = 2) -> DecisionEngine:
    made = DecisionEngine(settings(gateway_count=gateways, may_message=False), 7, 0)
    made.handle(0, full_list(*(backend(number) for number in servers)))
    return made


def asked(g: DecisionEngine, request: int, now: int, outcome: Outcome = Outcome.OK) -> int:
    """The backend that a request goes to, 0 for none; it ends at once."""
    sends = [a for a in g.handle(now, arrival(request, now, customer_id=request)) if isinstance(a, Send)]
    if not sends:
        return 0
    g.handle(now + MS, ended(request, sends[0].endpoint, outcome, elapsed=MS, finished=True))
    return sends[0].endpoint


def test_backend_left_out_gets_neither_requests_nor_further_attempts() -> None:
    g = gateway(1, 2)
    g.handle(START, SetEndpointEnabled(1, False))
    g.handle(START, SetEndpointEnabled(1, False))  # two calls out need one call back
    assert {asked(g, n, START + n * MS) for n in range(1, 40)} == {2}
    g.handle(START, arrival(50, START))
    again = g.handle(START + MS, ended(50, 2, Outcome.CONNECT_FAILED))
    assert [a.endpoint for a in again if isinstance(a, Send)] != [1]
    g.handle(START + SECOND, SetEndpointEnabled(1, True))
    assert 1 in {asked(g, n, START + (6 + n) * SECOND) for n in range(60, 70)}


@pytest.mark.parametrize(
    "said",
    [
        [full_list(backend(2)), full_list(backend(1), backend(2))],
        [
            full_list(backend(1, Health.REMOVED), kind=ListKind.DELTA),
            full_list(backend(1, booted=START), kind=ListKind.DELTA),
        ],
        [full_list(backend(1, booted=START + 1), backend(2))],
    ],
)
def test_what_discovery_says_does_not_lift_it(said: list[object]) -> None:
    g = gateway(1, 2)
    g.handle(START, SetEndpointEnabled(1, False))
    assert g.excluded_endpoints(START) == 1
    for event in said:
        g.handle(START, event)  # type: ignore[arg-type]
    assert g.excluded_endpoints(START) == 1
    assert {asked(g, n, START + n * SECOND) for n in range(1, 40)} == {2}


@pytest.mark.parametrize("gateways", [1, 3, 8])
def test_backend_called_back_is_cold_yet_in_use_within_5_s_whatever_it_did_before(gateways: int) -> None:
    g = gateway(1, 2, 3, gateways=gateways)
    for n in range(1, 9):  # suspended for long, again and again
        g.load_balancer.endpoints[1].ejected_until = 0
        g.load_balancer.attempt_ended(START + n, ended(n, 1, Outcome.CONNECT_FAILED), (0, 0), 1.0)
    assert g.excluded_endpoints(START + 9) == 1
    g.handle(START + 9, SetEndpointEnabled(1, False))
    g.handle(START + SECOND, SetEndpointEnabled(1, True))
    assert g.excluded_endpoints(START + SECOND) == 0
    step, met = SECOND // 20, []
    for n in range(100):
        now = START + SECOND + n * step
        if asked(g, 100 + n, now) == 1:
            met.append(now)
    assert met
    assert met[0] <= START + 6 * SECOND
    assert len([now for now in met if now < START + 3 * SECOND]) <= 8  # of 40: a warm one had a third


def test_called_back_it_is_cold_from_then_on_unless_the_list_tells_when_it_was_started() -> None:
    g = gateway(1, 2)
    g.handle(START, SetEndpointEnabled(1, False))
    g.handle(START + 5 * SECOND, SetEndpointEnabled(1, False))
    g.handle(START + 10 * SECOND, SetEndpointEnabled(1, True))
    now = START + 11 * SECOND
    unknown = g.load_balancer.slow_start_fraction(now, g.load_balancer.endpoints[1])
    assert 0.2 <= unknown < 0.3
    g.handle(now, full_list(backend(1, booted=START - 30 * SECOND), backend(2)))  # a start before the ban
    assert g.load_balancer.slow_start_fraction(now, g.load_balancer.endpoints[1]) == unknown
    g.handle(now, full_list(backend(1, booted=START + SECOND), backend(2)))  # told late, but within it
    assert g.load_balancer.slow_start_fraction(now, g.load_balancer.endpoints[1]) == pytest.approx(0.6)


def test_calling_back_one_that_was_never_left_out_changes_nothing() -> None:
    g = gateway(1, 2)
    g.handle(START, SetEndpointEnabled(1, True))
    assert g.load_balancer.slow_start_fraction(START, g.load_balancer.endpoints[1]) == 1.0
    g.handle(START, SetEndpointEnabled(9, False))  # not in the list now, and perhaps later
    g.handle(START, SetEndpointEnabled(9, True))
    assert g.excluded_endpoints(START) == 0
