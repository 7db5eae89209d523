"""A gateway process with little memory, beside crowds of clients that make it hold as much as they can."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from itertools import count
from pathlib import Path

import pytest

from soak.clients.crowds import Crowd, CrowdBehavior, CrowdPlan
from soak.clients.full_speed import FullSpeedCaller
from tests.support.crowded_gateway import Commands, CrowdedGateway, WellBehavedClients, crowded_gateway
from tests.support.descriptors import allow_descriptors
from tests.support.event_loop import run_on_loop

TROUBLE_S = 3.5
SETTLE_S = 0.5  # before and after the trouble
MAX_BUSY_SHARE = 0.1  # of the requests of well-behaved clients
MILLION_PER_S = 1e6
Trouble = Callable[[CrowdedGateway], Awaitable[None]]


@dataclass(frozen=True, slots=True, kw_only=True)
class Limits:
    """The limits and the plan in a gateway's settings, and the time that order servers work on a request."""

    memory_mb: int = 32
    descriptors: int = 1024
    plan_rate_per_s: float = 1000.0
    service_time_s: float = 0.0


async def assert_limits_hold(folder: Path, limits: Limits, trouble: Trouble) -> None:
    """Play a trouble beside well-behaved clients, and check their answers and the process's peak memory."""
    async with crowded_gateway(
        folder, limits.memory_mb, limits.descriptors, limits.plan_rate_per_s, limits.service_time_s
    ) as gateway:
        clients = WellBehavedClients(gateway.port)
        clients.start()
        await asyncio.sleep(SETTLE_S)
        await trouble(gateway)
        await asyncio.sleep(SETTLE_S)
        await clients.stop()
        assert gateway.process.returncode is None
        assert gateway.peak_mib <= limits.memory_mb
        results = clients.results
        assert (results.unanswered, results.late, results.failed) == (0, 0, 0), str(results)
        assert results.busy <= MAX_BUSY_SHARE * results.sent, str(results)


def crowds(*plans: CrowdPlan) -> Trouble:
    """Return the trouble of several crowds at the same time."""

    async def run(gateway: CrowdedGateway) -> None:
        running = [Crowd(plan, Commands(f"c{n}-"), gateway.port) for n, plan in enumerate(plans)]
        await asyncio.gather(*(each.run(TROUBLE_S) for each in running))

    return run


async def new_customers(gateway: CrowdedGateway) -> None:
    """Send requests on one connection as fast as it goes, each of a customer of its own."""
    commands, customers = Commands("n"), count(1 << 20)

    def next_command() -> bytes:
        return commands.command(commands.next_id(), customer=next(customers))

    caller = FullSpeedCaller(gateway.port, next_command)
    await caller.run(2 * TROUBLE_S)
    assert caller.sent > 0


def plan(behavior: CrowdBehavior, clients: int, **sizes: int) -> CrowdPlan:
    return CrowdPlan(behavior=behavior, clients=clients, **sizes)


B = CrowdBehavior
HALF_COMMANDS = crowds(plan(B.HALF_COMMANDS, 330))
ALL_AT_ONCE = crowds(*(plan(behavior, 66) for behavior in B))
CASES = {
    "half-commands": (Limits(), HALF_COMMANDS),
    "half-commands-of-700": (Limits(), crowds(plan(B.HALF_COMMANDS, 700, body_bytes=30_000))),
    "half-commands-few-descriptors": (Limits(descriptors=256), crowds(plan(B.HALF_COMMANDS, 85))),
    "slow-commands": (Limits(), crowds(plan(B.SLOW_COMMANDS, 330))),
    "many-fields": (Limits(), crowds(plan(B.MANY_FIELDS, 330, piece_bytes=500))),
    "unread-values": (Limits(), crowds(plan(B.UNREAD_VALUES, 330))),
    "unread-values-pipelined": (Limits(), crowds(plan(B.UNREAD_VALUES, 85, requests=32))),
    "small-unread-values": (Limits(), crowds(plan(B.UNREAD_VALUES, 200, requests=32, value_bytes=3000))),
    "slow-values": (Limits(), crowds(plan(B.SLOW_VALUES, 60, requests=2))),
    "all-at-once": (Limits(), ALL_AT_ONCE),
    "all-at-once-48-mb": (Limits(memory_mb=48, descriptors=512), ALL_AT_ONCE),
    "congested-with-a-large-plan": (
        Limits(plan_rate_per_s=MILLION_PER_S, service_time_s=0.003),
        crowds(plan(B.UNREAD_VALUES, 330, requests=32)),
    ),
    "new-customers": (Limits(), new_customers),
    "new-customers-slow-plan": (Limits(plan_rate_per_s=20.0), new_customers),
}


@pytest.mark.parametrize(("limits", "trouble"), CASES.values(), ids=CASES.keys())
def test_bad_clients_exceed_no_memory_limit_and_delay_nobody_else(
    tmp_path: Path, limits: Limits, trouble: Trouble
) -> None:
    allow_descriptors(4096)
    run_on_loop(lambda: assert_limits_hold(tmp_path, limits, trouble))
