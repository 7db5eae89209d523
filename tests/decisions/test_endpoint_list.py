"""Delta updates of the endpoint list produce the same state as a full list."""

from __future__ import annotations

import random
import sys

from hypothesis import given, seed
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from qos_gateway.decisions.load_balancing.load_balancer import LoadBalancer
from qos_gateway.types import Endpoint, Health, ListKind
from tests.support.builders import SECOND, full_list, listed_endpoint, settings

START = 1_000 * SECOND
STARTED_AT_S = st.sampled_from([0, 990, 999, 1_000])
CHANGES = st.lists(
    st.tuples(
        st.lists(st.tuples(st.integers(1, 12), st.sampled_from(list(Health)), STARTED_AT_S), max_size=5),
        st.sampled_from([ListKind.DELTA, ListKind.DELTA, ListKind.FULL]),
        st.sampled_from([0, 1, 2]),
    ),
    max_size=12,
)
# Hypothesis derives the examples of a derandomized test from its source unless it has a seed of its own.
# This is the seed of its first version, so that edits of the text do not change the examples.
EXAMPLES_SEED = (
    0xA10F48993CF983937EB12A9D3CE5CC3A15F0ABE550CEB0C34BC25EAD79C987F6325B65DE0A68EF779A53404162E9E6F4
)


@seed(EXAMPLES_SEED)
@given(CHANGES)
@hypothesis_settings(max_examples=200, deadline=None, derandomize=True)
def test_delta_updates_produce_the_same_state_as_a_full_list(
    changes: list[tuple[list[tuple[int, Health, int]], ListKind, int]],
) -> None:
    load_balancer = LoadBalancer(settings(), random.Random(1))
    registry, slow_start = load_balancer.registry, load_balancer.slow_start
    listed: dict[int, Endpoint] = {}
    now = START
    for entries, kind, admin_action in changes:
        now += SECOND
        reported = {
            number: listed_endpoint(number, health, started_at_s * SECOND)
            for number, health, started_at_s in entries
        }
        listed = reported if kind is ListKind.FULL else listed | reported
        load_balancer.update_list(now, full_list(*reported.values(), kind=kind))
        load_balancer.set_enabled(now, 3, admin_action != 1)
        usable = sorted(
            i
            for i, endpoint in listed.items()
            if endpoint.health is Health.READY and i not in registry.admin_disabled
        )
        assert registry.ring == usable
        assert slow_start.warming_up == {
            i for i in usable if slow_start.capacity_fraction(now, registry.endpoints[i]) < 1.0
        }
        assert set(registry.endpoints) == {
            i for i, endpoint in listed.items() if endpoint.health is not Health.REMOVED
        }
        assert registry.unlisted == set()  # removed at once without attempts in flight


def count_executed_lines(size: int) -> int:
    """Count the lines of code that a delta update executes on a list of the given size."""
    load_balancer = LoadBalancer(settings(gateway_count=size // 10), random.Random(1))
    lines = 0
    load_balancer.update_list(START, full_list(*map(listed_endpoint, range(1, size + 1))))

    def trace(_frame: object, event: str, _argument: object) -> object:
        nonlocal lines
        lines += event == "line"
        return trace

    sys.settrace(trace)  # type: ignore[arg-type]
    try:
        load_balancer.update_list(
            START + SECOND, full_list(listed_endpoint(size // 2, Health.DRAINING), kind=ListKind.DELTA)
        )
    finally:
        sys.settrace(None)
    return lines


def test_cost_of_a_delta_update_does_not_grow_with_the_list() -> None:
    assert count_executed_lines(4_000) <= 1.2 * count_executed_lines(200)
