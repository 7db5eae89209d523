"""A planned restart while a client that sends requests ahead still reads earlier answers."""

from __future__ import annotations

import asyncio
import signal
import socket
from pathlib import Path

from review.standins2.case import CannotRunError, has_trouble, play
from review.standins2.clients import request
from review.standins2.orderserver import OrderServer, served
from review.standins2.record import Record
from review.standins2.resp import read_answer
from review.standins2.world import free_address, servers_and_discovery, serving

SERVERS = 2
WORK_S = 0.01
VALUE_BYTES = 60_000  # under the 64 KiB of the protocol page
RECEIVE_BUFFER_BYTES = 65_536
READ_BYTES = 8192
READ_PAUSE_S = 0.02  # so a client reads some 400 KB a second
CLIENTS = 6
AHEAD = 6  # requests that a client sends before it waits for an answer
WAIT_MS = 5000
RUN_S = 3.0  # before the restart
LAST_ANSWERS_S = 20.0
AFTER_S = 4.5  # for which clients go on after SIGTERM, as connections stay open


class SlowClient:
    """Sends requests ahead on one connection, and reads the answers slowly."""

    def __init__(self, number: int, record: Record) -> None:
        self.sent: list[bytes] = []
        self.answered = 0
        self.ended_by = ""
        self._number = number
        self._record = record
        self._reader = asyncio.StreamReader()
        self._loop = asyncio.get_running_loop()

    async def run(self, host: str, port: int, stop: asyncio.Event) -> None:
        """Send and read until the gateway ends the connection, or until told to stop."""
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        sock.setblocking(False)
        await self._loop.sock_connect(sock, (host, port))
        reading = asyncio.create_task(self._read(sock))
        try:
            for _ in range(AHEAD):
                await self._send(sock)
            while True:
                kind, _ = await read_answer(self._reader)
                self._record.note(f"answered {self.sent[self.answered].decode()} {kind}")
                self.answered += 1
                if not stop.is_set():
                    await self._send(sock)
                elif self.answered == len(self.sent):
                    return
        except asyncio.IncompleteReadError as error:
            self.ended_by = self.ended_by or "end"
            self._record.note(
                f"client {self._number}: {self.ended_by} with {len(self.sent) - self.answered} open, "
                f"{len(error.partial)} bytes of an answer"
            )
        finally:
            reading.cancel()
            sock.close()

    async def _send(self, sock: socket.socket) -> None:
        request_id = b"%08x%08x" % (self._number, len(self.sent))
        try:
            await self._loop.sock_sendall(sock, request(request_id, "stock-check", WAIT_MS))
        except OSError as error:
            self.ended_by = self.ended_by or type(error).__name__
            return
        self.sent.append(request_id)
        self._record.note(f"sent {request_id.decode()}")

    async def _read(self, sock: socket.socket) -> None:
        try:
            while data := await self._loop.sock_recv(sock, READ_BYTES):
                self._reader.feed_data(data)
                await asyncio.sleep(READ_PAUSE_S)
        except OSError as error:
            self.ended_by = type(error).__name__
        self._reader.feed_eof()


async def case(record: Record, folder: Path) -> bool:
    """Return whether each request that an order server had served got its whole answer."""
    written: set[bytes] = set()

    async def handle(server: OrderServer, words: list[bytes], writer: asyncio.StreamWriter) -> None:
        record.note(f"ran {words[2].decode()} at {server.host}")
        await asyncio.sleep(WORK_S)
        writer.write(served((words[2] + b" ").ljust(VALUE_BYTES, b".")))
        written.add(words[2])

    stop = asyncio.Event()
    clients = [SlowClient(number, record) for number in range(CLIENTS)]
    async with (
        servers_and_discovery(record, folder, handle, SERVERS) as world,
        serving(world.gateway(free_address())) as gateway,
    ):
        tasks = [asyncio.create_task(client.run(gateway.host, gateway.port, stop)) for client in clients]
        await asyncio.sleep(RUN_S)
        if has_trouble():
            record.say("SIGTERM")
            gateway.signal(signal.SIGTERM)
        await asyncio.sleep(AFTER_S)
        stop.set()
        await asyncio.wait_for(asyncio.gather(*tasks), LAST_ANSWERS_S)
        record.say(f"gateway's exit status: {await gateway.exit_status(0.1)}")
    unanswered = [name for client in clients for name in client.sent[client.answered :]]
    lost = [name for name in unanswered if name in written]
    for name in lost:
        record.note(f"lost {name.decode()}")
    answered = sum(client.answered for client in clients)
    record.say(
        f"answered {answered}, served by an order server and without a whole answer: {len(lost)}, "
        f"never forwarded: {len(unanswered) - len(lost)}"
    )
    if not answered:
        raise CannotRunError("no request was answered")
    return not lost


if __name__ == "__main__":
    play(__file__, case)
