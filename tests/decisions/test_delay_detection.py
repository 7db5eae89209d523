"""Delay detection: a longer fixed delay of all endpoints is not taken for queueing and sheds no requests."""

from __future__ import annotations

import pytest

from benchmarks.latency_change import (
    FAST,
    QUEUE,
    SLOWER_QUEUE,
    LatencyScenario,
    fixed,
    queue_scenario,
    settled_share,
)
from qos_gateway.decisions.congestion.delay_detection import (
    CONFIRMATION_TIME_NS,
    INITIAL_BACKOFF_NS,
    MIN_PERIODS,
    SAMPLING_PERIOD_NS,
    DelayDetector,
)
from tests.support.builders import MS, SECOND

SEEDS = (1, 2)
MIN_SERVED_AT_600_MS = 0.66 / (2 / 3)  # 0.66 of all requests; two in three clients wait long enough
MIN_SERVED_AT_250_MS = 0.95
SHARE_SAMPLING_ERROR = 0.02  # for shares measured over 20 s with two seeds
BASELINE_DELAY = 50 * MS
FIRST_PERIOD_START = 100 * SECOND


def mean(shares: list[float]) -> float:
    return sum(shares) / len(shares)


@pytest.mark.parametrize("seed", SEEDS)
def test_longer_delay_without_queueing_sheds_few_requests(seed: int) -> None:
    # Guards against taking the delay for queueing: the concurrency limit then stays at its minimum.
    delay_250_ms = LatencyScenario(before=FAST, changed=fixed(0.25), seed=seed)
    delay_600_ms = LatencyScenario(before=FAST, changed=fixed(0.6), seed=seed)
    assert settled_share(delay_250_ms) >= MIN_SERVED_AT_250_MS
    assert settled_share(delay_600_ms, min_wait_s=0.6) >= MIN_SERVED_AT_600_MS


@pytest.mark.parametrize(("gateways", "load"), [(3, 1.0), (3, 2.0), (3, 4.0), (40, 2.0)])
def test_delay_detection_does_not_lower_the_served_share_under_queueing(
    monkeypatch: pytest.MonkeyPatch, gateways: int, load: float
) -> None:
    scenarios = [queue_scenario(QUEUE, load, gateways, seed) for seed in SEEDS]
    served = mean([settled_share(scenario) for scenario in scenarios])
    monkeypatch.setattr(DelayDetector, "estimate_delay", lambda *_: None)
    assert served >= mean([settled_share(scenario) for scenario in scenarios]) - SHARE_SAMPLING_ERROR


@pytest.mark.parametrize("load", [0.8, 2.0])
def test_delay_detection_raises_the_served_share_at_a_longer_delay_with_queueing(
    monkeypatch: pytest.MonkeyPatch, load: float
) -> None:
    scenario = queue_scenario(SLOWER_QUEUE, load)
    served = settled_share(scenario)
    monkeypatch.setattr(DelayDetector, "estimate_delay", lambda *_: None)
    assert served > settled_share(scenario)


def congested_detector(latency_by_in_flight: dict[int, int]) -> tuple[DelayDetector, int]:
    """Return a detector after one sampling period per number in flight, and the time after them."""
    detector = DelayDetector()
    now = FIRST_PERIOD_START
    for in_flight, latency in latency_by_in_flight.items():
        detector.begin_period_if_due(now, in_flight)
        for _ in range(8):
            detector.add(now, latency)
        now += SAMPLING_PERIOD_NS
    return detector, now + SECOND


def test_latency_independent_of_the_number_in_flight_is_a_delay() -> None:
    detector, now = congested_detector(dict.fromkeys((10, 8, 6, 4), 600 * MS))
    assert detector.estimate_delay(now, BASELINE_DELAY) == pytest.approx(600 * MS)


def test_latency_proportional_to_the_number_in_flight_is_queueing() -> None:
    detector, now = congested_detector({n: n * 60 * MS for n in (10, 8, 6, 4)})
    assert detector.estimate_delay(now, BASELINE_DELAY) is None


def test_delay_is_not_estimated_from_a_constant_number_in_flight_or_few_periods() -> None:
    detector, now = congested_detector({10: 600 * MS})
    assert detector.estimate_delay(now, BASELINE_DELAY) is None
    in_flight_numbers = range(10, 10 - MIN_PERIODS + 1, -1)
    detector, now = congested_detector(dict.fromkeys(in_flight_numbers, 600 * MS))
    assert detector.estimate_delay(now, BASELINE_DELAY) is None


def test_estimate_is_reverted_when_latency_rises_after_it() -> None:
    detector, now = congested_detector(dict.fromkeys((10, 8, 6, 4), 600 * MS))
    detector.estimate_delay(now, BASELINE_DELAY)
    assert detector.revert_if_refuted(now + SECOND, 620 * MS) is None
    assert detector.revert_if_refuted(now + SECOND, 800 * MS) == BASELINE_DELAY
    assert detector.estimate_delay(now + SECOND + INITIAL_BACKOFF_NS // 2, BASELINE_DELAY) is None


def test_confirmed_estimate_is_not_reverted() -> None:
    detector, now = congested_detector(dict.fromkeys((10, 8, 6, 4), 600 * MS))
    detector.estimate_delay(now, BASELINE_DELAY)
    assert detector.revert_if_refuted(now + CONFIRMATION_TIME_NS + 1, 600 * MS) is None
    assert detector.revert_if_refuted(now + CONFIRMATION_TIME_NS + 2, 2 * SECOND) is None
