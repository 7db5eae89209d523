"""The measures of scale at a small size: counts and bytes, which no machine's speed changes."""

from __future__ import annotations

import random

import pytest

from benchmarks.common import DESIGN, ZONES, at, cell, line, servers, slope, whole
from benchmarks.counter import Fault, Result, Spell, Store, cut_off, simulate, uses
from benchmarks.lists import read, sizes
from benchmarks.waves import held, lost_zone
from qos_gateway.types import ListKind


def small(capacity: float | None = None, *spells: Spell) -> Result:
    return simulate(4, 40, 400.0, capacity, seconds=3.0, after=1.0, seed=5, spells=spells)


def test_list_of_the_design_size_is_read_whole_and_an_entry_takes_under_150_bytes() -> None:
    hosts = servers(DESIGN.order_servers)
    data = line(whole(hosts))
    update = read(data)
    assert update.topology.kind is ListKind.FULL
    assert len({entry.id for entry in update.topology.entries}) == DESIGN.order_servers
    assert 130 < len(data) / DESIGN.order_servers < 150
    assert {entry.zone for entry in update.topology.entries} == set(range(len(ZONES)))


def test_lists_of_one_seed_are_the_same() -> None:
    assert servers(50) == servers(50) != servers(50, seed=2)


def test_change_takes_the_same_bytes_whatever_the_list_and_a_zone_a_sixth_of_it() -> None:
    short, long = sizes(60), sizes(600)
    assert short.change == long.change < 200
    assert 0.15 < long.zone / long.whole < 0.18
    assert long.zone < long.zone_singly < 1.4 * long.zone


def test_lost_zone_is_told_as_one_object_or_as_one_for_each_entry() -> None:
    together, singly = lost_zone(60, False, 1), lost_zone(60, True, 1)
    assert (together.entries, together.objects) == (10, 1)
    assert (singly.entries, singly.objects) == (10, 10)
    assert together.size < singly.size


@pytest.mark.parametrize("lost", [None, ZONES[0]])
def test_at_the_design_size_a_gateway_holds_few_order_servers_and_each_has_ten_or_eleven_gateways(
    lost: str | None,
) -> None:
    h = held(DESIGN.gateways, DESIGN.order_servers, lost)
    most = 124 if lost else 148
    assert len(h.by_gateway) == DESIGN.gateways
    assert set(h.by_gateway) == {most}
    assert set(h.by_server) <= {10, 11}
    assert sum(h.by_server) == most * DESIGN.gateways


def test_at_todays_size_every_gateway_holds_every_order_server() -> None:
    h = held(3, 12)
    assert set(h.by_gateway) == {12}
    assert set(h.by_server) == {3}


def test_counter_run_is_the_same_twice_and_another_with_another_seed() -> None:
    assert small(20.0) == small(20.0)
    assert small(20.0) != simulate(4, 40, 400.0, 20.0, seconds=3.0, after=1.0, seed=6)


def test_every_call_to_the_counter_has_one_end() -> None:
    for r in (small(), small(20.0), small(None, Spell(Fault.SILENT, 1.5, 2.0))):
        assert r.calls == r.answered + r.turned_away + r.unanswered


def test_without_a_limit_all_inside_is_granted_and_little_beyond() -> None:
    r = small()
    assert r.turned_away == r.unanswered == 0 < r.answered == r.calls
    assert r.per_request < 1.0
    assert r.granted > 0.99
    assert r.price < 0.01
    assert r.over_ceiling == 0


def test_crowded_counter_answers_its_capacity_and_is_called_less() -> None:
    r, free = small(20.0), small()
    assert r.answered <= 20.0 * r.seconds + 2
    assert r.turned_away > 0
    assert r.calls < free.calls / 4


def test_counter_out_of_reach_answers_nobody_and_quotas_still_hold_roughly() -> None:
    r = small(None, Spell(Fault.REFUSED, 0.0, 3.0))
    assert r.answered == r.turned_away == 0 < r.unanswered == r.calls
    assert r.granted > 0.85
    assert r.price < 0.05


def test_region_cut_off_from_the_counter_leaves_the_other_its_answers() -> None:
    r = small(None, cut_off(4, 0.0, 3.0))
    assert 0 < r.unanswered < r.answered


def test_amounts_that_were_added_unheard_or_twice_lock_few_out() -> None:
    free = small()
    for fault in (Fault.LATE, Fault.TWICE):
        r = small(None, Spell(fault, 1.0, 3.0))
        assert r != free
        assert r.granted > 0.85


def test_counter_that_comes_back_empty_gives_away_at_most_the_bursts_once() -> None:
    r = small(None, Spell(Fault.EMPTY, 1.5, 1.6))
    assert small().price < r.price < 0.1


def test_restarted_gateways_are_part_of_the_run() -> None:
    again = simulate(4, 40, 400.0, None, seconds=3.0, after=1.0, seed=5, restarts=[(1.5, 0), (1.5, 1)])
    assert again != small()
    assert again.offered == pytest.approx(small().offered, rel=0.1)


def test_true_store_counts_by_hand() -> None:
    store, second = Store(2.0, 3.0), 1_000_000_000
    assert [store.take(0) for _ in range(4)] == [True, True, True, False]
    assert [store.take(second) for _ in range(3)] == [True, True, False]
    assert [store.take(100 * second) for _ in range(4)] == [True, True, True, False]


def test_shares_of_use_are_as_named() -> None:
    made = sorted(uses(1000, random.Random(1)))
    assert sum(use < 0.5 for use in made) == 780
    assert made.count(5.0) == 40


def test_least_squares_by_hand() -> None:
    assert slope([(0.0, 1.0), (1.0, 3.0), (2.0, 5.0)]) == (2.0, 1.0)
    assert at([(0.0, 1.0), (2.0, 5.0)], 10.0) == 21.0
    assert (cell(1234.5), cell(0.12345), cell(7100)) == ("1,234", "0.1235", "7,100")
