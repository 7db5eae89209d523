"""Parsing of endpoint responses: outcome, value and load report."""

from __future__ import annotations

import asyncio

import pytest

from qos_gateway.server.endpoints import response_receiver
from qos_gateway.server.endpoints.connection import EndpointConnection
from qos_gateway.server.endpoints.responses import AttemptResult, LoadReport, read_load_report, read_response
from qos_gateway.server.networking import message_parser
from qos_gateway.server.networking.resp import ResponseFrames
from qos_gateway.types import Outcome
from tests.support.endpoint_harness import endpoint_harness
from tests.support.event_loop import run_on_loop, wait_until
from tests.support.fake_endpoint import FakeEndpoint, success_reply


@pytest.mark.parametrize(
    ("answer", "outcome", "value", "report"),
    [
        (success_reply(b"\x00\r\n\xff"), Outcome.OK, b"\x00\r\n\xff", {"load_share": 0.5, "concurrent": 3.0}),
        (success_reply(b"", None), Outcome.OK, b"", {}),
        (success_reply(b"x" * (64 << 10), None), Outcome.OK, b"x" * (64 << 10), {}),
        (b"-ERR failed\r\n", Outcome.ERROR, None, {}),
        (b"-ERR failed util=0.9,inflight=2\r\n", Outcome.ERROR, None, {"util": 0.9, "inflight": 2.0}),
        (b"-ERR failed used=37 util=0.9\r\n", Outcome.ERROR, None, {"used": 37.0, "util": 0.9}),
        (b"*3\r\n$1\r\nv\r\n$14\r\nused=37,cost=4\r\n$-1\r\n", Outcome.OK, b"v", {"used": 37.0, "cost": 4.0}),
        (b"-BUSY used=0\r\n", Outcome.OVERLOADED, None, {"used": 0.0}),
        (b"-BUSY\r\n", Outcome.OVERLOADED, None, {}),
        (b"-BUSY util=1\r\n", Outcome.OVERLOADED, None, {"util": 1.0}),
        # A malformed report is ignored and does not fail the request.
        (success_reply(b"v", b"load_share=much"), Outcome.OK, b"v", {}),
        (success_reply(b"v", b"\xff\x00,="), Outcome.OK, b"v", {}),
        (b"*3\r\n$1\r\nv\r\n*2\r\n:1\r\n$1\r\nx\r\n$-1\r\n", Outcome.OK, b"v", {}),
        (b"*3\r\n$1\r\nv\r\n-odd\r\n+odd\r\n", Outcome.OK, b"v", {}),
    ],
)
def test_outcome_of_each_response(
    answer: bytes, outcome: Outcome, value: bytes | None, report: LoadReport
) -> None:
    async def test() -> None:
        endpoint = FakeEndpoint()
        async with endpoint_harness(endpoint) as harness:
            harness.start(1)
            connection, words = await endpoint.next_command()
            assert words[:3] == [b"CALL.POST", b"c", b"i"]
            assert words[4] == b"B"
            time_left_ms = words[3].removeprefix(b"c=x,d=").removesuffix(b",k=y")
            assert 0 < int(time_left_ms) <= 3000
            connection.send(answer)
            assert await harness.end() == (1, outcome, value, report)

    run_on_loop(test)


@pytest.mark.parametrize(
    "answer",
    [
        b"-SYNTAX\r\n",
        b"-ERRfailed\r\n",
        b"-BUSYBODY\r\n",
        b"-\r\n",
        b"-\xff\xfe\r\n",
        b"*3\r\n$-1\r\n$-1\r\n$-1\r\n",
        b"*3\r\n:1\r\n$-1\r\n$-1\r\n",
        b"*3\r\n*1\r\n$1\r\nv\r\n",
        b"*0\r\n",
        b"*-1\r\n",
        b"*2\r\n$1\r\nv\r\n$-1\r\n",
        b"*4\r\n$1\r\nv\r\n",
        b"*100000000\r\n",
        b"$1\r\nx\r\n",
        b"$-1\r\n",
        b"+OK\r\n",
        b":7\r\n",
        b"_\r\n",
        b"%1\r\n+a\r\n:1\r\n",
        b">3\r\n",
        b"!not resp\r\n",
        b"x" * 4096,
        b"-" + b"e" * 4096,
        b"*3\r\n$3000000000\r\n" + b"x" * 90_000,
        b"*3\r\n$4194305\r\n",
        b"*3\r\n$+1\r\nv\r\n",
        b"*3\r\n$1\r\nvXX$-1\r\n$-1\r\n",
        b"*3\r\n$4\r\nv\r\n$-1\r\n$-1\r\n",
        b"*3\n$1\nv\n$-1\n$-1\n",
        b"*3\r\n$1\r\nv\r\n*100000000\r\n",
        b"*3\r\n$1\r\nv\r\n*1\r\n*1\r\n*1\r\n",
        b"*3\r\n$1\r\nv\r\n$-1\r\n$70000\r\n",
        b"*3\r\n$5\r\nhal",
    ],
)
@pytest.mark.parametrize("pieces", [False, True])
def test_malformed_response_counts_as_possibly_executed_and_closes_the_connection(
    answer: bytes, pieces: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    # An incomplete response counts as malformed after the stall timeout.
    monkeypatch.setattr(response_receiver, "RESPONSE_STALL_TIMEOUT_S", 0.05)

    async def test() -> None:
        endpoint = FakeEndpoint()
        async with endpoint_harness(endpoint) as harness:
            harness.start(1)
            connection, _ = await endpoint.next_command()
            head = answer[:3] if pieces else b""
            connection.send(head)
            await asyncio.sleep(0)
            connection.send(answer[len(head) :])
            assert await harness.end() == (1, Outcome.RESET, None, {})
            await wait_until(lambda: endpoint.closed_connections == 1)
            assert harness.pools.open_connections == 0
            assert harness.ends.empty()

    run_on_loop(test)


def test_reset_within_a_response_ends_the_attempt_once(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(response_receiver, "RESPONSE_STALL_TIMEOUT_S", 0.02)

    async def test() -> None:
        faults: list[object] = []
        asyncio.get_running_loop().set_exception_handler(lambda _loop, context: faults.append(context))
        endpoint = FakeEndpoint()
        async with endpoint_harness(endpoint) as harness:
            attempt = harness.start(1)
            connection, _ = await endpoint.next_command()
            connection.send(b"*3\r\n$5\r\nhal")
            pooled = attempt.connection
            assert isinstance(pooled, EndpointConnection)
            await wait_until(lambda: pooled.timer is not None)
            connection.abort()
            assert (await harness.end())[:2] == (1, Outcome.RESET)
            assert pooled.timer is None
            # A timer that was not cancelled would fire in this time.
            await asyncio.sleep(2 * response_receiver.RESPONSE_STALL_TIMEOUT_S)
            assert faults == []
            assert harness.ends.empty()

    run_on_loop(test)


@pytest.mark.parametrize("size", [1, 2, 3, 7])
def test_response_in_pieces_is_read_completely(size: int) -> None:
    async def test() -> None:
        frames, whole = ResponseFrames(), success_reply(b"\r\n$1\r\n" * 20)
        ends = [frames.scan(whole[at : at + size], 0) for at in range(0, len(whole), size)]
        assert ends[:-1] == [-1] * (len(ends) - 1)
        assert ends[-1] == (len(whole) - 1) % size + 1
        assert not frames.is_midway

    run_on_loop(test)


def test_no_array_is_allocated_before_its_elements_have_arrived(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """hiredis allocates an array at its header; 100 million elements stall each garbage collection."""
    fed: list[bytes] = []

    class FeedRecorder:
        def feed(self, data: bytes) -> None:
            fed.append(data)

    async def test() -> None:
        endpoint = FakeEndpoint()
        async with endpoint_harness(endpoint) as harness:
            harness.start(1)
            connection, _ = await endpoint.next_command()
            monkeypatch.setattr(message_parser, "_reader", FeedRecorder())
            connection.send(b"*3\r\n$1\r\nv\r\n*100000000\r\n")
            assert (await harness.end()).outcome is Outcome.RESET
            assert not any(b"00000" in data for data in fed)

    run_on_loop(test)


@pytest.mark.parametrize("number", [b"much", b"nan", b"inf", b"-1", b"+1", b"1_0", b" 1", b"1e999", b""])
def test_load_report_numbers_must_be_finite_and_not_negative(number: bytes) -> None:
    assert read_response([b"v", None, b"util=" + number]) == AttemptResult(Outcome.OK, b"v", {})


def test_load_report_accepts_each_number_format_of_the_protocol() -> None:
    assert read_load_report(b"inflight=7,util=0.61,tiny=1e-05") == {
        "inflight": 7.0,
        "util": 0.61,
        "tiny": 1e-05,
    }
