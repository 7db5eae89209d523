"""The list of backends is kept change by change: what stands there is what a whole list would give."""

from __future__ import annotations

import random
import sys

from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from qos_gateway.decisions.load_balancer import LoadBalancer
from qos_gateway.types import Endpoint, Health, ListKind
from tests.support.builders import SECOND, backend, full_list, settings

START = 1_000 * SECOND
STARTS = st.sampled_from([0, 990, 999, 1_000])  # s
CHANGES = st.lists(
    st.tuples(
        st.lists(st.tuples(st.integers(1, 12), st.sampled_from(list(Health)), STARTS), max_size=5),
        st.sampled_from([ListKind.DELTA, ListKind.DELTA, ListKind.FULL]),
        st.sampled_from([0, 1, 2]),
    ),
    max_size=12,
)


@given(CHANGES)
@hypothesis_settings(max_examples=200, deadline=None, derandomize=True)
def test_changes_leave_what_a_whole_list_would(
    changes: list[tuple[list[tuple[int, Health, int]], ListKind, int]],
) -> None:
    made, listed = LoadBalancer(settings(), random.Random(1)), dict[int, Endpoint]()
    now = START
    for entries, kind, operator in changes:
        now += SECOND
        told = {number: backend(number, health, booted * SECOND) for number, health, booted in entries}
        listed = told if kind is ListKind.FULL else listed | told
        made.update_list(now, full_list(*told.values(), kind=kind))
        made.set_enabled(now, 3, operator != 1)
        usable = sorted(
            i for i, b in listed.items() if b.health is Health.READY and i not in made.admin_disabled
        )
        assert made.ring == usable
        assert made.warming_up == {
            i for i in usable if made.slow_start_fraction(now, made.endpoints[i]) < 1.0
        }
        assert set(made.endpoints) == {i for i, b in listed.items() if b.health is not Health.REMOVED}
        assert made.unlisted == set()  # nothing is out there: forgotten at once


def steps(n: int) -> int:
    """Lines run for one change and a look at a list of so many."""
    made, lines = LoadBalancer(settings(gateway_count=n // 10), random.Random(1)), 0
    made.update_list(START, full_list(*map(backend, range(1, n + 1))))

    def trace(frame: object, what: str, arg: object) -> object:
        nonlocal lines
        lines += what == "line"
        return trace

    sys.settrace(trace)  # type: ignore[arg-type]
    try:
        made.update_list(START + SECOND, full_list(backend(n // 2, Health.DRAINING), kind=ListKind.DELTA))
    finally:
        sys.settrace(None)
    return lines


def test_a_change_costs_no_more_in_a_longer_list() -> None:
    assert steps(4_000) <= 1.2 * steps(200)
