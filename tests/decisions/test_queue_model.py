"""Mean value analysis, the queue model and the seven cases."""

from __future__ import annotations

import pytest

from qos_gateway.decisions.admission.seven_cases import Goal, seven_cases
from qos_gateway.decisions.congestion.mean_value_analysis import response_times
from qos_gateway.decisions.congestion.outstanding_attempt import OutstandingAttempt
from qos_gateway.decisions.congestion.queue_model import QueueModel
from qos_gateway.decisions.statistics.time_constants import TICK_INTERVAL_NS
from tests.support.builders import MS, SECOND, settings


def test_mean_value_analysis_of_one_request_has_no_queueing() -> None:
    assert response_times(30.0, 100.0, 1)[1] == pytest.approx(130.0)


def test_mean_value_analysis_throughput_saturates_at_the_service_rate() -> None:
    times = response_times(10.0, 100.0, 400)
    assert 400 / times[400] == pytest.approx(1 / 10.0, rel=0.01)
    assert times == sorted(times)


def loaded_model(latency: int, in_flight: int) -> QueueModel:
    model = QueueModel(settings())
    for i in range(40):
        model.class_latency[0].add(i * 20 * MS, 100 * MS)
    model.fit(SECOND, 1, [])
    for i in range(200):
        model.class_latency[0].add(3 * SECOND + i * 10 * MS, latency)
        if i % 10 == 0:
            model.fit(3 * SECOND + i * 10 * MS, in_flight, [])
    return model


def test_fitted_demand_reproduces_the_recent_mean() -> None:
    model = loaded_model(500 * MS, 20)
    assert model.congested
    predicted = model.delay + model.network.wait(model.mean_in_flight.value)
    assert predicted == pytest.approx(model.mean_latency, rel=0.1)


def test_no_concurrency_limit_without_a_rise_in_latency() -> None:
    model = loaded_model(105 * MS, 20)
    assert not model.congested
    assert model.concurrency_limit is None


def test_higher_latency_lowers_the_concurrency_limit() -> None:
    moderate = loaded_model(500 * MS, 20).concurrency_limit
    severe = loaded_model(900 * MS, 20).concurrency_limit
    assert moderate is not None
    assert severe is not None
    assert severe < moderate


def test_outstanding_attempts_show_congestion_before_their_responses_arrive() -> None:
    model = QueueModel(settings())
    for i in range(40):
        model.class_latency[0].add(i * 20 * MS, 100 * MS)
    model.fit(SECOND, 5, [])
    model.fit(SECOND, 60, [OutstandingAttempt(0, 2 * SECOND)] * 50)
    assert model.congested


def at_most(limit: int) -> Goal:
    return lambda n: n <= limit


def at_least(limit: int) -> Goal:
    return lambda n: n >= limit


CASES = [
    pytest.param(at_most(9), at_least(1), at_most(9), 5, id="case 1 accepts"),
    pytest.param(at_most(3), at_least(2), at_most(9), 3, id="case 2 lowers for the response time"),
    pytest.param(at_most(1), at_least(4), at_most(9), 4, id="case 2 keeps the minimum throughput"),
    pytest.param(at_most(9), at_least(7), at_most(9), 7, id="case 3 raises for the throughput"),
    pytest.param(
        at_most(8), at_least(20), at_most(9), 8, id="case 3 raises while response time and commitments hold"
    ),
    pytest.param(at_most(3), at_least(20), at_most(9), 3, id="case 4 lowers for the response time"),
    pytest.param(at_most(0), at_least(8), at_most(9), 8, id="case 4 raises for the throughput"),
    pytest.param(at_most(3), at_least(1), at_most(4), 3, id="case 5 keeps every goal"),
    pytest.param(at_most(1), at_least(2), at_most(4), 4, id="case 5 drops the response time goal"),
    pytest.param(at_most(9), at_least(9), at_most(4), 4, id="case 6 keeps the commitments"),
    pytest.param(at_most(2), at_least(9), at_most(4), 4, id="case 7 keeps the commitments"),
    pytest.param(at_most(2), at_least(9), at_most(0), 0, id="case 7 rejects"),
]


@pytest.mark.parametrize(("response", "throughput", "commitments", "offered"), CASES)
def test_offered_concurrency_in_each_of_the_seven_cases(
    response: Goal, throughput: Goal, commitments: Goal, offered: int
) -> None:
    assert seven_cases(5, response, throughput, commitments) == offered


def test_congestion_is_detected_from_few_responses() -> None:
    model = QueueModel(settings())
    for i in range(120):
        now = i * 500 * MS
        model.class_latency[0].add(now, (100 if i < 60 else 700) * MS)
        for tick in range(5):
            model.fit(now + tick * TICK_INTERVAL_NS, 2, [])
    assert model.congested
    assert model.concurrency_limit is not None


def test_end_of_congestion_is_detected_within_seconds_where_each_class_has_few_responses() -> None:
    """At one response per second and class, 10 s of congestion show only in all three classes together."""
    model = QueueModel(settings())
    detected = []
    for i in range(180):
        now = i * SECOND // 3
        congested = 20 * SECOND <= now < 30 * SECOND
        model.class_latency[i % 3].add(now, (900 if congested else 100) * MS)
        for tick in range(3):
            model.fit(now + tick * TICK_INTERVAL_NS, 3, [])
        detected.append(model.congested)
    assert any(detected[66:90])
    assert not any(detected[3 * 36 :])


def test_congestion_ends_when_responses_stop() -> None:
    model = loaded_model(900 * MS, 20)
    assert model.congested
    model.fit(120 * SECOND, 2, [])
    assert not model.congested


def test_baseline_of_a_class_without_responses_is_estimated_from_its_objective() -> None:
    model = QueueModel(settings())
    assert 0.0 < model.uncongested_latency(0) < model.objectives[0]
    for i in range(40):
        model.class_latency[0].add(i * 20 * MS, 100 * MS)
    model.fit(SECOND, 1, [])
    assert model.uncongested_latency(0) == pytest.approx(100 * MS)
    assert model.uncongested_latency(1) > MS
