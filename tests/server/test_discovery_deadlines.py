"""Whatever came of a call to discovery, the next that succeeds is in force before a change counts as told."""

from __future__ import annotations

import asyncio
import json
import random
import socket
import struct
from collections.abc import Callable

import pytest
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from qos_gateway.server import discovery_watch
from qos_gateway.server.discovery import CONNECT_TIMEOUT_S, DiscoveryClient
from qos_gateway.server.discovery_watch import IDLE_TIMEOUT_S
from qos_gateway.server.endpoint_list import EndpointUpdate
from qos_gateway.server.watch_schedule import (
    FIRST_LIST_DEADLINE_S,
    INITIAL_BACKOFF_S,
    OVERLOAD_MIN_WAIT_FRACTION,
    PROPAGATION_DEADLINE_AFTER_MOVE_S,
    PROPAGATION_DEADLINE_S,
    UPDATE_TIME_S,
    WatchSchedule,
)
from tests.server.test_discovery import KINDS, ZONES, fast
from tests.support.servers import (
    LOOPBACK,
    FakeDiscovery,
    endpoint_entry,
    endpoint_list,
    run_on_loop,
    with_timeout,
)

LATEST = PROPAGATION_DEADLINE_S - UPDATE_TIME_S  # s by which the next call begins
BUSY = b"HTTP/1.1 %d Busy\r\nRetry-After: 30\r\nContent-Length: 0\r\n\r\n"
HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
WHOLE = json.dumps(endpoint_list(41, endpoint_entry("s-1", 1))).encode() + b"\n"


class Moody(FakeDiscovery):
    """Discovery whose next calls end as the test says; after these it answers, and then keeps silent."""

    def __init__(self, moods: list[str]) -> None:
        super().__init__()
        self.moods, self.never = moods, asyncio.Event()
        self.server: asyncio.Server | None = None

    async def open(self) -> None:
        if not (self.moods and self.moods[0] == "refused"):
            self.server = await asyncio.start_server(self.serve, LOOPBACK, self.port)
            self.port = self.server.sockets[0].getsockname()[1]

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        mood = self.moods.pop(0) if self.moods else "list"
        if self.moods and self.moods[0] == "refused" and self.server is not None:
            self.server.close()
        if mood == "reset":
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            writer.transport.abort()
        elif mood in ("429", "503"):
            writer.write(BUSY % int(mood))
        elif mood == "head":
            writer.write(HEAD)
        elif mood in ("list", "break", "silence"):
            writer.write(HEAD + b"%x\r\n%b\r\n" % (len(WHOLE), WHOLE))
        if mood in ("hung", "head", "silence", "list"):
            await self.never.wait()
        writer.close()


def waits_after(moods: list[str], monkeypatch: pytest.MonkeyPatch) -> list[float]:
    """What the watch waits after each of these, up to the list that comes behind them."""
    waits = fast(monkeypatch)
    monkeypatch.setattr(discovery_watch, "IDLE_TIMEOUT_S", 0.05)

    async def test() -> None:
        agent, told = Moody([*moods]), asyncio.Queue[EndpointUpdate]()
        if moods[0] == "refused":
            with socket.socket() as free:
                free.bind((LOOPBACK, 0))
                agent.port = free.getsockname()[1]
        await agent.open()
        watch = DiscoveryClient((LOOPBACK, agent.port), ZONES, KINDS, None, told.put_nowait)
        watch.start()
        for _ in range(sum(mood in ("break", "silence") for mood in moods)):
            await with_timeout(told.get())
        if "refused" in moods:
            while len(waits) < len(moods):
                await asyncio.get_running_loop().run_in_executor(None, bool)
            agent.moods.clear()
            await agent.open()
        await with_timeout(told.get())
        await watch.close()
        agent.never.set()
        if agent.server is not None:
            agent.server.close()

    run_on_loop(test)
    return waits


@pytest.mark.parametrize("before", [[], ["break"], ["silence"]])
@pytest.mark.parametrize("mood", ["refused", "reset", "hung", "head", "429", "503"])
def test_next_call_begins_in_time_whatever_came_of_those_before(
    before: list[str], mood: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The server's word of 30 s is heard, but a change binds before that."""
    waits = waits_after([*before, mood, mood, mood], monkeypatch)
    assert len(waits) >= len(before) + 3
    latest = LATEST if before else FIRST_LIST_DEADLINE_S - UPDATE_TIME_S
    assert max(waits[len(before) :]) <= latest
    assert waits[0] <= INITIAL_BACKOFF_S or not before
    if mood in ("429", "503"):
        assert min(waits[len(before) + 1 :]) >= OVERLOAD_MIN_WAIT_FRACTION * (latest - 0.5)


def test_without_any_list_a_crowded_discovery_is_called_three_times_within_the_time_to_be_ready() -> None:
    waits = [
        WatchSchedule(1.0, random.Random(seed)).delay_after_overload(0.0, 0.0, 30.0, FIRST_LIST_DEADLINE_S)
        for seed in range(99)
    ]
    assert 3 * max(waits) < 10.0 - 2 * UPDATE_TIME_S


Failure = tuple[str, float]
FAILURES: st.SearchStrategy[Failure] = st.one_of(
    st.tuples(st.just("busy"), st.floats(0.0, IDLE_TIMEOUT_S)),
    st.tuples(st.just("hung"), st.just(IDLE_TIMEOUT_S)),
    st.tuples(st.just("other"), st.floats(0.0, CONNECT_TIMEOUT_S)),
)


@given(
    st.lists(FAILURES, min_size=1, max_size=12),
    st.integers(0, 2**32),
    st.floats(0.0, IDLE_TIMEOUT_S),
    st.sampled_from([0.0, 1.0, 5.0, 30.0, 86400.0]),
    st.floats(0.05, 60.0),
)
@hypothesis_settings(max_examples=300, deadline=None, derandomize=True)
def test_calls_are_never_further_apart_than_a_change_may_wait(
    failures: list[Failure], seed: int, quiet: float, advice: float, grace: float
) -> None:
    """`quiet`: how long the watch had said nothing when it broke. Each failure takes its own time."""
    pacing = WatchSchedule(grace, random.Random(seed))
    pacing.on_up_to_date(0.0)
    now = quiet + pacing.delay_after_disconnect()
    first = True
    for what, lasts in failures:
        called_at, now = now, now + lasts
        if what == "busy":
            now += pacing.delay_after_overload(called_at, now, advice)
        else:
            now += pacing.delay_after_failure(called_at, now)
        assert now - called_at <= LATEST + 1e-6
        if first and called_at + lasts <= LATEST - INITIAL_BACKOFF_S:
            # A watch that fell silent binds by then, whether or not discovery could be reached meanwhile.
            assert now <= LATEST + 1e-6
        first = False


def test_hung_calls_are_given_up_in_time_for_the_next() -> None:
    pacing = WatchSchedule(60.0, random.Random(1))
    pacing.on_up_to_date(0.0)
    now = IDLE_TIMEOUT_S
    for _ in range(20):
        called_at, now = now, now + IDLE_TIMEOUT_S
        now += pacing.delay_after_failure(called_at, now)
        assert now - called_at <= LATEST


def test_after_a_move_the_first_call_again_is_in_time_for_what_counts_as_told_sooner() -> None:
    for seed in range(50):
        pacing = WatchSchedule(60.0, random.Random(seed))
        pacing.on_up_to_date(100.0, PROPAGATION_DEADLINE_AFTER_MOVE_S)
        assert (
            pacing.delay_after_overload(100.0, 100.01, 30.0)
            <= PROPAGATION_DEADLINE_AFTER_MOVE_S - UPDATE_TIME_S
        )


def calls_of(gateways: int, per_s: int, wait: Callable[[int, random.Random], float]) -> list[float]:
    """When a fleet that lost its watches together calls a discovery that serves so many calls a second,
    until each has been served; `wait` after the n-th call that was turned away."""
    rng, served, calls = random.Random(5), dict[int, int](), list[float]()
    due = [(rng.uniform(0.025, 0.05), gateway, 0) for gateway in range(gateways)]
    while due:
        due.sort()
        now, gateway, refused = due.pop(0)
        calls.append(now)
        second = int(now)
        if served.get(second, 0) < per_s:
            served[second] = served.get(second, 0) + 1
        else:
            due.append((now + wait(refused, rng), gateway, refused + 1))
    return calls


def doubling(refused: int, rng: random.Random) -> float:
    """The wait of the version before: up to 16 s, times its jitter."""
    return min(16.0, 2.0**refused) * rng.uniform(0.5, 1.5)


def paced(_refused: int, rng: random.Random) -> float:
    return WatchSchedule(1.0, rng).delay_after_overload(0.0, 0.0, 0.0)


@pytest.mark.parametrize(("gateways", "per_s"), [(40, 10), (200, 20), (200, 50), (480, 40), (480, 120)])
def test_a_fleet_costs_a_crowded_discovery_no_more_calls_than_doubling_waits_did_nor_comes_in_step(
    gateways: int, per_s: int
) -> None:
    calls, before = calls_of(gateways, per_s, paced), calls_of(gateways, per_s, doubling)
    assert len(calls) <= len(before)
    again = [at for at in calls if at > 0.1]
    most = max(sum(start <= at < start + 0.1 for at in again) for start in again)
    assert most <= 4 + 0.1 * gateways
