"""State transitions of an endpoint."""

from __future__ import annotations

import pytest

from qos_gateway.decisions.load_balancing.endpoint_state import EndpointState, SlowStartBucket
from tests.support.builders import SECOND, listed_endpoint


def endpoint_state(started_at: int = 0) -> EndpointState:
    return EndpointState(
        listed_endpoint(1, started_at=started_at), SlowStartBucket(tokens=0.5, refilled_at=0)
    )


def test_ejection_time_doubles_up_to_the_maximum_and_is_reset_by_a_success() -> None:
    state = endpoint_state()
    ends = []
    for _ in range(6):
        state.eject(0)
        ends.append(state.ejected_until)
    assert ends == [SECOND // 2, SECOND, 2 * SECOND, 4 * SECOND, 8 * SECOND, 8 * SECOND]
    state.consecutive_failures = 4
    state.record_success(5 * SECOND, 4 * SECOND, 1.0)
    assert (state.consecutive_failures, state.ejection_time) == (0, SECOND // 2)
    assert (state.last_response_at, state.latest_successful_send) == (5 * SECOND, 4 * SECOND)


def test_a_late_success_of_an_early_attempt_does_not_decrease_the_latest_successful_send() -> None:
    state = endpoint_state()
    state.record_success(5 * SECOND, 4 * SECOND, 1.0)
    state.record_success(6 * SECOND, 2 * SECOND, 4.0)
    assert (state.last_response_at, state.latest_successful_send) == (6 * SECOND, 4 * SECOND)


def test_slow_start_tokens_are_refilled_up_to_the_capacity() -> None:
    bucket = endpoint_state().slow_start_bucket
    bucket.refill(SECOND, 0.75, 2.0)
    assert (bucket.tokens, bucket.refilled_at) == (1.25, SECOND)
    bucket.refill(2 * SECOND, 1.0, 2.0)
    assert (bucket.tokens, bucket.refilled_at) == (2.0, 2 * SECOND)


@pytest.mark.parametrize(("started_at", "slow_start_at"), [(2, 9), (4, 9), (5, 5), (7, 7)])
def test_enabled_endpoint_begins_slow_start_unless_a_start_since_the_disabling_is_known(
    started_at: int, slow_start_at: int
) -> None:
    previous = endpoint_state(started_at)
    previous.in_flight = 3
    previous.in_service = False
    state = endpoint_state(started_at)
    state.continue_after_disabling(previous, now=9, disabled_at=5)
    assert (state.in_flight, state.in_service, state.disabled_at) == (3, False, 5)
    assert state.slow_start_at == slow_start_at


@pytest.mark.parametrize(("started_at", "slow_start_at"), [(4, 9), (5, 5), (7, 7)])
def test_restart_since_the_disabling_replaces_the_assumed_start_when_it_is_reported(
    started_at: int, slow_start_at: int
) -> None:
    previous = endpoint_state(2)
    previous.continue_after_disabling(endpoint_state(2), now=9, disabled_at=5)
    previous.in_flight = 1
    state = endpoint_state(started_at)
    state.continue_after_restart(previous)
    assert (state.in_flight, state.disabled_at, state.slow_start_at) == (1, 5, slow_start_at)
