"""Invalid commands and protocol errors of clients."""

from __future__ import annotations

import asyncio

import hiredis
import pytest

from tests.support.clients import CUSTOMER, PING, call_command
from tests.support.event_loop import run_on_loop, wait_until, with_timeout
from tests.support.fake_endpoint import success_reply
from tests.support.gateway_harness import gateway_harness
from tests.support.scripted_engine import reject, script_engine


@pytest.mark.parametrize(
    ("arguments", "reason"),
    [
        ((b"CALL.GET", CUSTOMER, b"1"), "wrong number of arguments"),
        ((b"CALL.GET", b"zz", b"1", b"c=look up,t=team,d=5"), "bad customer"),
        ((b"CALL.GET", b"0000000200000000", b"1", b"c=look up,t=team,d=5"), "bad customer"),
        ((b"CALL.GET", CUSTOMER, b"", b"c=look up,t=team,d=5"), "bad request id"),
        ((b"CALL.GET", CUSTOMER, b"1", b"c=none,t=team,d=5"), "unknown class"),
        ((b"CALL.GET", CUSTOMER, b"1", b"c=look up,t=none,d=5"), "unknown plan"),
        ((b"CALL.GET", CUSTOMER, b"1", b"c=charge,t=team,d=5"), "the class is not served by this command"),
        ((b"CALL.POST", CUSTOMER, b"1", b"c=submit,t=team,d=5"), "k missing"),
        ((b"CALL.GET", CUSTOMER, b"1", b"c=look up,t=team"), "d missing"),
        ((b"CALL.GET", CUSTOMER, b"1", b"c=look up,t=team,d=-5"), "bad or missing d"),
        ((b"CALL.GET", CUSTOMER, b"1", b"c=look up,t=team,d=5,d=6"), "a name stands twice"),
        ((b"CALL.GET", CUSTOMER, b"1", b"c=look up,t=team,d=5,units=nan,spread=1,first=0"), "bad units"),
        ((b"CALL.GET", CUSTOMER, b"1", b"c=look up,t=team,d=5,spread=9,first=0"), "bad or missing spread"),
        ((b"CALL.GET", CUSTOMER, b"1", b"c=look up,t=team,d=5,spread=1,first=2"), "bad or missing first"),
        *[
            ((b"CALL.GET", customer, b"1", b"c=look up,t=team,d=5"), "bad customer")
            for customer in (
                b"0x000000b4d65521",
                b"+0000000b4d65521",
                b"00000000b4d6_521",
                b" 0000000b4d65521",
                b"b4d65521",
            )
        ],
        *[
            ((b"CALL.GET", CUSTOMER, id_, b"c=look up,t=team,d=5"), "bad request id")
            for id_ in (b"a b", b"\xff", b"c=look", b"x" * 65)
        ],
        *[
            (
                (b"CALL.GET", CUSTOMER, b"1", b"c=look up,t=team,d=5,spread=1,first=0,units=" + units),
                "bad units",
            )
            for units in (b"", b"0", b"-1", b"+1", b"1_0", b" 1", b"1e0", b"inf", b"2", b"9" * 11, b"0x1")
        ],
        *[
            (
                (b"CALL.GET", CUSTOMER, b"1", b"c=look up,t=team,units=1,spread=1,first=0,d=" + d),
                "bad or missing d",
            )
            for d in (b"", b"1.5", b"+5", b"5_0", b"soon", b"99999999999999", "\u0665".encode())
        ],
        ((b"CALL.GET", CUSTOMER, b"1", b"c=look up,t=team,d=5,odd"), "name=value"),
        ((b"CALL.GET", CUSTOMER, b"1", b""), "name=value"),
        ((b"CALL.GET", CUSTOMER, b"1", b"c=look up,t=team,d=5", b"BODY"), "takes no value"),
        ((b"CALL.POST", CUSTOMER, b"1", b"c=submit,t=team,d=5,k=a b"), "k missing"),
        ((b"FLUSHALL",), "unknown command"),
    ],
)
def test_invalid_command_gets_a_reason_and_its_connection_stays_open(
    arguments: tuple[bytes, ...], reason: str
) -> None:
    async def test() -> None:
        async with gateway_harness() as harness:
            client = await harness.connect_client()
            client.send(hiredis.pack_command(arguments))  # type: ignore[arg-type]
            reply = await client.next_message()
            assert isinstance(reply, hiredis.ReplyError)
            assert reason in str(reply)
            client.send(PING)
            assert await client.next_message() == b"PONG"

    run_on_loop(test)


@pytest.mark.parametrize("preceding", [b"", call_command()])
@pytest.mark.parametrize(
    "data",
    [
        b"GET / HTTP/1.1\r\n\r\n",
        b"*1\r\n:5\r\n",
        b"*x\r\n",
        b"$4\r\nPING\r\n",
        b"*1000000\r\n",
        b"*-1\r\n",
        b"*0\r\n",
        b"*" + b"1" * 4096,
        b"x" * 4096,
        b"*1\r\n$-1\r\n",
        b"*1\r\n$3\r\nPING\r\n",
        b"*+1\r\n",
        b"*1\r\n$-9223372036854775808\r\n",
        b"*1\r\n*1\r\n",
        b"*1\r\n_\r\n",
        b"PING\r\n",
        b"*2\r\n$65536\r\n" + b"x" * 65536 + b"\r\n$65536\r\n",
        b"*2\r\n$4\r\nPING\r\n$60000000\r\n" + b"x" * 300_000,
    ],
)
def test_protocol_error_is_answered_and_closes_only_its_connection(data: bytes, preceding: bytes) -> None:
    async def test() -> None:
        async with gateway_harness() as harness:
            script_engine(harness, reject)
            other_client, client = await harness.connect_client(), await harness.connect_client()
            # After another command if there is one, and with the header split over two reads.
            client.send(preceding + data[:2])
            await asyncio.sleep(0)
            client.send(data[2:])
            if preceding:
                assert str(await client.next_message()) == "BUSY"
            assert str(await client.next_message()).startswith("ERR Protocol error")
            assert await client.next_message() is None
            other_client.send(PING)
            assert await other_client.next_message() == b"PONG"

    run_on_loop(test)


def test_close_with_unread_bytes_loses_no_reply() -> None:
    """The gateway half-closes, because closing a socket with unread bytes resets it and can lose replies."""

    async def test() -> None:
        async with gateway_harness() as harness:
            client = await harness.connect_client()
            client.send(call_command() + b"?" + b"x" * 200_000)
            value = b"v" * 60_000
            await harness.endpoint.reply_to_next_command(success_reply(value))
            await wait_until(lambda: harness.gateway.endpoint_connections.idle_count() == 1)
            for _ in range(20):
                client.send(b"x" * 10_000)
                await asyncio.sleep(0)
            assert await client.next_message() == value
            assert str(await client.next_message()).startswith("ERR Protocol error")
            assert await client.next_message() is None

    run_on_loop(test)


def test_protocol_error_behind_a_request_does_not_lose_it() -> None:
    async def test() -> None:
        async with gateway_harness() as harness:
            client = await harness.connect_client()
            client.send(call_command() + b"?\r\n")
            await harness.endpoint.reply_to_next_command(success_reply(b"v"))
            assert await client.next_message() == b"v"
            assert str(await client.next_message()).startswith("ERR Protocol error")
            assert await client.next_message() is None

    run_on_loop(test)


def test_command_in_pieces_is_assembled() -> None:
    async def test() -> None:
        async with gateway_harness() as harness:
            script_engine(harness, reject)
            client = await harness.connect_client()
            data = call_command("charge", body=b"y" * 2000)
            for at in range(0, len(data), 700):
                client.send(data[at : at + 700])
                await with_timeout(client.writer.drain())
                await asyncio.sleep(0)
            assert str(await client.next_message()) == "BUSY"

    run_on_loop(test)
