"""After any outcome of a call to discovery, the next call is in time for the propagation deadline."""

from __future__ import annotations

import asyncio
import json
import random
import socket
import struct
from collections.abc import Callable

import pytest
from hypothesis import given
from hypothesis import seed as hypothesis_seed
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from qos_gateway.server.discovery.client import CONNECT_TIMEOUT_S, DiscoveryClient
from qos_gateway.server.discovery.endpoint_list import EndpointUpdate
from qos_gateway.server.discovery.watch_connection import IDLE_TIMEOUT_S
from qos_gateway.server.discovery.watch_schedule import (
    FIRST_LIST_DEADLINE_S,
    INITIAL_BACKOFF_S,
    OVERLOAD_MIN_WAIT_FRACTION,
    PROPAGATION_DEADLINE_AFTER_AGENT_CHANGE_S,
    PROPAGATION_DEADLINE_S,
    UPDATE_TIME_S,
    WatchSchedule,
)
from tests.support.discovery import discovery_client, record_waits
from tests.support.event_loop import LOOPBACK, run_on_loop, with_timeout
from tests.support.fake_discovery import FakeDiscovery, endpoint_entry, endpoint_list

# Fixed so that the drawn examples stay the same when the text of the test is edited: without a seed,
# `derandomize` computes one from that text.
FAILED_CALLS_SEED = (
    0xE38A2AE84B12E9714DC59ECAC8431B2F33D94F298BE003DAE47FE53DE23D0252A6E3BF22712048B295AAA47B551C313D
)
LATEST = PROPAGATION_DEADLINE_S - UPDATE_TIME_S  # s: latest start of the next call
OVERLOADED_RESPONSE = b"HTTP/1.1 %d Busy\r\nRetry-After: 30\r\nContent-Length: 0\r\n\r\n"
RESPONSE_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
SILENT_OUTCOMES = ("hung", "head", "silence")
FULL_LIST = json.dumps(endpoint_list(41, endpoint_entry("s-1", 1))).encode() + b"\n"


class ScriptedDiscovery(FakeDiscovery):
    """Ends its first calls with the given outcomes; later calls receive a list and stay open."""

    def __init__(self, outcomes: list[str]) -> None:
        super().__init__()
        self.outcomes, self.finished = outcomes, asyncio.Event()
        self.silent_calls = asyncio.Queue[str]()  # outcomes of the calls that get no more data
        self.server: asyncio.Server | None = None

    async def open(self) -> None:
        if not (self.outcomes and self.outcomes[0] == "refused"):
            self.server = await asyncio.start_server(self.serve, LOOPBACK, self.port)
            self.port = self.server.sockets[0].getsockname()[1]

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        outcome = self.outcomes.pop(0) if self.outcomes else "list"
        if self.outcomes and self.outcomes[0] == "refused" and self.server is not None:
            self.server.close()
        if outcome == "reset":
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            writer.transport.abort()
        elif outcome in ("429", "503"):
            writer.write(OVERLOADED_RESPONSE % int(outcome))
        elif outcome == "head":
            writer.write(RESPONSE_HEAD)
        elif outcome in ("list", "break", "silence"):
            writer.write(RESPONSE_HEAD + b"%x\r\n%b\r\n" % (len(FULL_LIST), FULL_LIST))
        if outcome in SILENT_OUTCOMES:
            self.silent_calls.put_nowait(outcome)
        if outcome == "list" or outcome in SILENT_OUTCOMES:
            await self.finished.wait()
        writer.close()


async def expire_silent_watches(agent: ScriptedDiscovery, client: DiscoveryClient) -> None:
    """Have each silent watch reach its idle timeout once its data is read, however long that takes."""
    while True:
        outcome = await agent.silent_calls.get()
        watch = client._connection
        assert watch is not None
        while outcome == "silence" and watch.up_to_date_at_s is None:
            await asyncio.get_running_loop().run_in_executor(None, bool)
        watch._last_data_at_s -= IDLE_TIMEOUT_S
        watch._check_idle()


def waits_after(outcomes: list[str], monkeypatch: pytest.MonkeyPatch) -> list[float]:
    """Return the delays after calls with these outcomes, until a following call receives a list."""
    waits = record_waits(monkeypatch)

    async def test() -> None:
        agent, updates = ScriptedDiscovery([*outcomes]), asyncio.Queue[EndpointUpdate]()
        if outcomes[0] == "refused":
            with socket.socket() as free:
                free.bind((LOOPBACK, 0))
                agent.port = free.getsockname()[1]
        await agent.open()
        watch = discovery_client(agent, None, updates.put_nowait)
        watch.start()
        expiring = asyncio.ensure_future(expire_silent_watches(agent, watch))
        for _ in range(sum(outcome in ("break", "silence") for outcome in outcomes)):
            await with_timeout(updates.get())
        if "refused" in outcomes:
            while len(waits) < len(outcomes):
                await asyncio.get_running_loop().run_in_executor(None, bool)
            agent.outcomes.clear()
            await agent.open()
        await with_timeout(updates.get())
        await watch.close()
        expiring.cancel()
        agent.finished.set()
        if agent.server is not None:
            agent.server.close()

    run_on_loop(test)
    return waits


@pytest.mark.parametrize("before", [[], ["break"], ["silence"]])
@pytest.mark.parametrize("outcome", ["refused", "reset", "hung", "head", "429", "503"])
def test_next_call_begins_in_time_after_any_outcome(
    before: list[str], outcome: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The propagation deadline takes precedence over a Retry-After of 30 s."""
    waits = waits_after([*before, outcome, outcome, outcome], monkeypatch)
    assert len(waits) >= len(before) + 3
    latest = LATEST if before else FIRST_LIST_DEADLINE_S - UPDATE_TIME_S
    assert max(waits[len(before) :]) <= latest
    assert waits[0] <= INITIAL_BACKOFF_S or not before
    if outcome in ("429", "503"):
        assert min(waits[len(before) + 1 :]) >= OVERLOAD_MIN_WAIT_FRACTION * (latest - 0.5)


def test_overloaded_discovery_is_called_three_times_within_the_startup_deadline_without_a_list() -> None:
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


@hypothesis_seed(FAILED_CALLS_SEED)
@given(
    st.lists(FAILURES, min_size=1, max_size=12),
    st.integers(0, 2**32),
    st.floats(0.0, IDLE_TIMEOUT_S),
    st.sampled_from([0.0, 1.0, 5.0, 30.0, 86400.0]),
    st.floats(0.05, 60.0),
)
@hypothesis_settings(max_examples=300, deadline=None, derandomize=True)
def test_each_call_starts_within_the_propagation_deadline_of_the_failed_call_before_it(
    failures: list[Failure], rng_seed: int, idle_s: float, retry_after_s: float, drain_grace_s: float
) -> None:
    """The watch breaks `idle_s` after its last line; each later call fails after its own duration."""
    schedule = WatchSchedule(drain_grace_s, random.Random(rng_seed))
    schedule.on_up_to_date(0.0)
    now = idle_s + schedule.delay_after_disconnect()
    is_first_call = True
    for kind, duration_s in failures:
        called_at, now = now, now + duration_s
        if kind == "busy":
            now += schedule.delay_after_overload(called_at, now, retry_after_s)
        else:
            now += schedule.delay_after_failure(called_at, now)
        assert now - called_at <= LATEST + 1e-6
        if is_first_call and called_at + duration_s <= LATEST - INITIAL_BACKOFF_S:
            # However the first call failed, the deadline still counts from the last line of the watch.
            assert now <= LATEST + 1e-6
        is_first_call = False


def test_hung_calls_time_out_in_time_for_the_next() -> None:
    schedule = WatchSchedule(60.0, random.Random(1))
    schedule.on_up_to_date(0.0)
    now = IDLE_TIMEOUT_S
    for _ in range(20):
        called_at, now = now, now + IDLE_TIMEOUT_S
        now += schedule.delay_after_failure(called_at, now)
        assert now - called_at <= LATEST


def test_first_retry_after_an_agent_change_meets_the_shorter_propagation_deadline() -> None:
    for seed in range(50):
        schedule = WatchSchedule(60.0, random.Random(seed))
        schedule.on_up_to_date(100.0, PROPAGATION_DEADLINE_AFTER_AGENT_CHANGE_S)
        assert (
            schedule.delay_after_overload(100.0, 100.01, 30.0)
            <= PROPAGATION_DEADLINE_AFTER_AGENT_CHANGE_S - UPDATE_TIME_S
        )


def test_second_agent_change_does_not_extend_the_deadline_of_the_first() -> None:
    schedule = WatchSchedule(60.0, random.Random(1))
    schedule.on_up_to_date(0.0)
    schedule.on_agent_changed(100.0)
    first = 100.0 + PROPAGATION_DEADLINE_AFTER_AGENT_CHANGE_S - UPDATE_TIME_S
    assert schedule.silence_deadline_s(100.0) == first
    schedule.on_agent_changed(102.0)
    assert schedule.silence_deadline_s(102.0) == first
    schedule.on_agent_changed(104.0)
    assert (
        schedule.silence_deadline_s(104.0)
        == 104.0 + PROPAGATION_DEADLINE_AFTER_AGENT_CHANGE_S - UPDATE_TIME_S
    )


def simulate_calls(gateways: int, per_s: int, wait: Callable[[int, random.Random], float]) -> list[float]:
    """Return the call times of a fleet that lost its watches together.

    Discovery serves `per_s` calls a second and rejects the rest. Each gateway retries until it is served;
    `wait` returns the delay after its n-th rejected call.
    """
    rng, served, calls = random.Random(5), dict[int, int](), list[float]()
    due = [(rng.uniform(0.025, 0.05), gateway, 0) for gateway in range(gateways)]
    while due:
        due.sort()
        now, gateway, rejected = due.pop(0)
        calls.append(now)
        second = int(now)
        if served.get(second, 0) < per_s:
            served[second] = served.get(second, 0) + 1
        else:
            due.append((now + wait(rejected, rng), gateway, rejected + 1))
    return calls


def exponential_backoff(rejected: int, rng: random.Random) -> float:
    """Return the delay of exponential backoff up to 16 s, with jitter."""
    return min(16.0, 2.0**rejected) * rng.uniform(0.5, 1.5)


def scheduled_wait(_rejected: int, rng: random.Random) -> float:
    return WatchSchedule(1.0, rng).delay_after_overload(0.0, 0.0, 0.0)


@pytest.mark.parametrize(("gateways", "per_s"), [(40, 10), (200, 20), (200, 50), (480, 40), (480, 120)])
def test_fleet_sends_an_overloaded_discovery_no_more_calls_than_exponential_backoff_and_no_bursts(
    gateways: int, per_s: int
) -> None:
    calls = simulate_calls(gateways, per_s, scheduled_wait)
    backoff_calls = simulate_calls(gateways, per_s, exponential_backoff)
    assert len(calls) <= len(backoff_calls)
    retries = [at for at in calls if at > 0.1]
    most = max(sum(start <= at < start + 0.1 for at in retries) for start in retries)
    assert most <= 4 + 0.1 * gateways
