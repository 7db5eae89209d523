"""Requests whose client leaves, and whose ids come again on a new connection, on a real process."""

from __future__ import annotations

import asyncio
from collections import Counter
from pathlib import Path

import pytest

from tests.support.crowded_gateway import Commands, crowded_gateway
from tests.support.event_loop import LOOPBACK, run_on_loop

REQUESTS = 200
SERVICE_TIME_S = 0.004
LEAVES_AFTER_S = 0.25
RETURNS_AFTER_S = 0.15
REPEATED_WAIT_S = 1.5
MAX_DELAY_S = 0.1  # from the client's close, after which no attempt may begin


@pytest.mark.parametrize("body_bytes", [10, 20_000])
def test_id_that_comes_again_after_its_client_left_runs_no_second_time(
    tmp_path: Path, body_bytes: int
) -> None:
    async def test() -> None:
        async with crowded_gateway(tmp_path, 64, service_time_s=SERVICE_TIME_S) as gateway:
            commands = Commands("p")
            ids = [commands.next_id() for _ in range(REQUESTS)]
            payments = [commands.command(each, body=bytes(body_bytes), cls="charge") for each in ids]
            reader, writer = await asyncio.open_connection(LOOPBACK, gateway.port)
            writer.write(b"".join(payments))
            await asyncio.sleep(LEAVES_AFTER_S)
            writer.transport.abort()
            await asyncio.sleep(MAX_DELAY_S)
            begun = Counter(gateway.attempts)
            await asyncio.sleep(RETURNS_AFTER_S - MAX_DELAY_S)
            assert begun
            assert Counter(gateway.attempts) == begun, "attempts began after the client had left"
            reader, writer = await asyncio.open_connection(LOOPBACK, gateway.port)
            writer.write(b"".join(payments))
            answers = 0
            async with asyncio.timeout(2 * REPEATED_WAIT_S):
                while answers < REQUESTS:
                    line = await reader.readline()
                    assert line, "closed without an answer"
                    answers += line[:1] in (b"$", b"-")
            writer.close()
            runs = Counter(gateway.attempts)
            assert {each: count for each, count in runs.items() if count > 1} == {}

    run_on_loop(test)
