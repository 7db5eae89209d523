"""The parts that several benchmarks share, against results worked out by hand."""

from __future__ import annotations

import random

from benchmarks.customer_population import quota_utilizations
from benchmarks.event_queue import EventQueue
from benchmarks.regression import LinearFit, fit_line
from benchmarks.tables import format_cell
from benchmarks.token_bucket import TokenBucket
from qos_gateway.units import SECOND


def test_token_bucket_refills_at_its_rate_up_to_its_burst() -> None:
    bucket = TokenBucket(rate=2.0, burst=3.0)
    assert [bucket.take(0) for _ in range(4)] == [True, True, True, False]
    assert [bucket.take(SECOND) for _ in range(3)] == [True, True, False]
    assert [bucket.take(100 * SECOND) for _ in range(4)] == [True, True, True, False]


def test_most_customers_use_less_than_half_of_their_quota_and_some_far_more() -> None:
    utilizations = sorted(quota_utilizations(1000, random.Random(1)))
    assert sum(utilization < 0.5 for utilization in utilizations) == 780
    assert utilizations.count(5.0) == 40


def test_line_fits_points_on_it_and_extrapolates() -> None:
    assert fit_line([0.0, 1.0, 2.0], [1.0, 3.0, 5.0]) == LinearFit(slope=2.0, intercept=1.0)
    assert fit_line([0.0, 2.0], [1.0, 5.0]).at(10.0) == 21.0


def test_line_through_one_point_is_constant() -> None:
    assert fit_line([3.0], [4.0]) == LinearFit(slope=0.0, intercept=4.0)


def test_cells_show_four_digits() -> None:
    assert [format_cell(value) for value in (1234.5, 0.12345, 7100)] == ["1,234", "0.1235", "7,100"]


def test_events_come_in_order_of_time_and_then_of_scheduling() -> None:
    queue = EventQueue[str]()
    for time, event in ((2, "later"), (1, "first"), (1, "second")):
        queue.schedule(time, event)
    assert queue.next_time() == 1
    assert [queue.pop() for _ in range(3)] == ["first", "second", "later"]
