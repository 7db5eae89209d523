"""Short soak runs with drawn faults on real gateways, one of them with a crowd of idle clients throughout."""

from __future__ import annotations

import asyncio

import pytest
import uvloop

from soak.options import Options
from soak.scenario import play

DURATION_S = 20.0


@pytest.mark.parametrize(("seed", "has_crowd"), [(4, False), (9, True)])
def test_real_gateways_break_no_rule_under_drawn_faults(seed: int, has_crowd: bool) -> None:
    options = Options(
        seed=seed,
        duration_s=DURATION_S,
        gateways=8,
        order_servers=10,
        requests_per_s=8.0,
        has_crowd=has_crowd,
    )

    async def run() -> list[str]:
        result = await asyncio.wait_for(play(options), 6 * DURATION_S)
        return [violation.text for violation in result.verdict.violations]

    assert uvloop.run(run()) == []
