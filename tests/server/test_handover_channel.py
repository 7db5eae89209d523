"""The handover channel, with a client of the test in place of the other process."""

from __future__ import annotations

import asyncio
import json
import logging
import socket
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest

from qos_gateway.decisions.snapshot_format import decode_snapshot
from qos_gateway.server.handover import connection as handover_connection
from qos_gateway.server.handover import open_connections
from qos_gateway.server.handover.channel import HandoverChannel
from qos_gateway.server.handover.messages import HandoverState
from tests.support.event_loop import run_on_loop, wait_until, with_timeout

FIXTURES = Path(__file__).parent.parent / "fixtures"
ENGINE: dict[str, Any] = json.loads((FIXTURES / "handover_state.json").read_text())["written"]


class FakeDelegate:
    """Records the calls that the gateway would receive from the channel."""

    def __init__(self) -> None:
        self.disabled: list[tuple[int, bool]] = []
        self.ended_count = 0

    def capture_state(self) -> HandoverState:
        return HandoverState(None, 5, 9, decode_snapshot(ENGINE, 2, len(ENGINE["latency"])))

    def apply_admin_disabled(self, endpoint: int, disabled: bool) -> None:
        self.disabled.append((endpoint, disabled))

    def on_other_process_ended(self) -> None:
        self.ended_count += 1


class OtherProcess:
    """A client of the channel that exchanges raw lines, in place of the next process."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer

    async def next_message(self) -> Any:
        return json.loads(await with_timeout(self.reader.readline()))

    def send(self, line: bytes) -> None:
        self.writer.write(line)


async def connect(folder: Path) -> OtherProcess:
    streams = asyncio.open_unix_connection(folder / "upgrade-n%2F0.sock", limit=1 << 20)
    return OtherProcess(*await with_timeout(streams))


async def listening_channel(folder: Path, delegate: FakeDelegate) -> HandoverChannel:
    channel = HandoverChannel(str(folder), "n/0", delegate)
    assert await channel.request_state() is None  # no process is listening yet
    await channel.listen()
    return channel


def test_state_is_handed_over_and_admin_calls_are_forwarded_until_the_other_process_ends(
    tmp_path: Path,
) -> None:
    async def test() -> None:
        delegate = FakeDelegate()
        channel = await listening_channel(tmp_path, delegate)
        other = await connect(tmp_path)
        other.send(b'{"v": 1, "want": "state"}\n')
        state = (await other.next_message())["state"]
        assert list(state) == ["list", "clients", "backends", "decisions"]
        assert (state["clients"], state["backends"]) == (5, 9)
        other.send(b'{"v": 1, "backend": 7, "out": true, "n": 3}\n')
        assert await other.next_message() == {"v": 1, "done": 3}
        assert delegate.disabled == [(7, True)]
        broadcast = asyncio.create_task(channel.broadcast_admin_disabled(8, False))
        assert await other.next_message() == {"v": 1, "backend": 8, "out": False, "n": 1}
        assert not broadcast.done()
        other.send(b'{"v": 1, "done": 1}\n')
        await with_timeout(broadcast)
        assert delegate.ended_count == 0
        other.writer.close()
        await wait_until(lambda: delegate.ended_count == 1)
        await channel.close()

    run_on_loop(test)


def test_unacknowledged_admin_call_is_logged_and_completes(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    monkeypatch.setattr(open_connections, "ACKNOWLEDGEMENT_TIMEOUT_S", 0.01)

    async def test() -> None:
        channel = await listening_channel(tmp_path, FakeDelegate())
        other = await connect(tmp_path)
        other.send(b'{"v": 1, "want": "state"}\n')
        await other.next_message()
        with caplog.at_level(logging.ERROR):
            await with_timeout(channel.broadcast_admin_disabled(8, True))
        assert "handover_call_unacknowledged endpoint=8 disabled=True" in caplog.text
        await channel.close()

    run_on_loop(test)


@pytest.mark.parametrize("line", [b"{\n", b'{"v": 2, "want": "state"}\n', b"x" * 70_000])
def test_invalid_message_closes_the_connection(
    line: bytes, tmp_path: Path, monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    monkeypatch.setattr(handover_connection, "MAX_LINE_BYTES", 1 << 16)

    async def test() -> None:
        delegate = FakeDelegate()
        channel = await listening_channel(tmp_path, delegate)
        other = await connect(tmp_path)
        other.send(line)
        with pytest.raises((ConnectionError, json.JSONDecodeError)):
            await other.next_message()
        assert "handover_message_invalid" in caplog.text
        await wait_until(lambda: not channel._open.connections)
        assert delegate.ended_count == 0  # the connection transferred no state
        await channel.close()

    run_on_loop(test)


class LargeStateDelegate(FakeDelegate):
    """Has a state that is larger than the buffers of the socket."""

    def capture_state(self) -> HandoverState:
        return replace(super().capture_state(), endpoint_list={"hosts": ["s" * 100] * 20_000})


def test_state_that_is_being_sent_arrives_whole_although_the_old_process_ends(tmp_path: Path) -> None:
    """It was cut off, and the new process served without it."""

    async def test() -> None:
        channel = await listening_channel(tmp_path, LargeStateDelegate())
        loop = asyncio.get_running_loop()
        with socket.socket(socket.AF_UNIX) as sock:
            sock.setblocking(False)
            await loop.sock_connect(sock, str(tmp_path / "upgrade-n%2F0.sock"))
            await loop.sock_sendall(sock, b'{"v": 1, "want": "state"}\n')
            received = bytearray(await with_timeout(loop.sock_recv(sock, 1)))
            closing = asyncio.create_task(channel.close())
            await asyncio.sleep(0.05)  # for as long as an immediate close needs
            while part := await with_timeout(loop.sock_recv(sock, 1 << 16)):
                received += part
            assert len(json.loads(received)["state"]["list"]["hosts"]) == 20_000
            await with_timeout(closing)

    run_on_loop(test)
