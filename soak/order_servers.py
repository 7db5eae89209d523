"""Order servers: RESP over TCP, reached by each gateway at an address of its own, with faults on demand."""

from __future__ import annotations

import asyncio
import errno
import random
import socket
from collections.abc import Callable
from typing import cast

import hiredis

from soak.observations import AttemptSeen, Record, content_of
from soak.schedule import FaultKind
from soak.settings import LOCALHOST, Deployment

BACKLOG = 256
FILLERS = 3  # connections that fill the queue of a listener which accepts none
FAULT_PROBABILITY = 0.5  # that one command meets its server's fault, where only some do
SLOW_FACTOR = 20.0
IDLE_CLOSE_S = 0.3
MAX_REPEAT_DELAY_S = 0.003  # of a response that comes twice
LATE_RESPONSE_S = 0.05  # after the end of a hang
MIN_LARGE_BYTES, MAX_LARGE_BYTES = 66_000, 600_000
PADDING = b"."
PIECE_BYTES = 48_000
PIECE_INTERVAL_S = 0.002
TRICKLE_BYTES, TRICKLE_INTERVAL_S, TRICKLED_PIECES = 100, 0.1, 10

PONG_REPLY = b"+PONG\r\n"
OK_REPLY = b"+OK\r\n"
BUSY_REPLY = b"-BUSY\r\n"
ERROR_REPLY = b"-ERR failed\r\n"
UNKNOWN_REPLY = b"-ERR unknown command\r\n"
MALFORMED_REPLIES = (b"*3\r\n$5\r\nval", b"*2\r\n$1\r\nx\r\n$-1\r\n", b"$-7\r\n", b"hello\r\n")
REQUEST_COMMANDS = (b"CALL.GET", b"CALL.POST")


def response_value(request_id: str, server: int) -> bytes:
    """Return the value that an order server makes for a request: no other gets the same."""
    return f"{request_id}/{server}".encode()


def without_padding(value: bytes) -> bytes:
    """Return the part of a large value that tells who made it for which request; others as they are."""
    head, _, padding = value.rpartition(b"/")
    return head if padding and not padding.strip(PADDING) else value


def _success_reply(value: bytes) -> bytes:
    report = b"load_share=0.5,concurrent=3"
    return b"*3\r\n$%d\r\n%b\r\n$-1\r\n$%d\r\n%b\r\n" % (len(value), value, len(report), report)


class ServerConnection(asyncio.Protocol):
    """One connection of a gateway."""

    def __init__(self, server: OrderServer, gateway: int) -> None:
        self._server = server
        self._gateway = gateway
        self._reader = hiredis.Reader()
        self._command_began_at: float | None = None
        self._open_attempts: list[AttemptSeen] = []
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Join the server's connections."""
        self.transport = cast(asyncio.Transport, transport)
        self._server.connections.add(self)

    def data_received(self, data: bytes) -> None:
        """Take the commands that are complete."""
        now = self._server.time()
        if self._command_began_at is None:
            self._command_began_at = now
        self._reader.feed(data)
        while (command := self._reader.gets()) is not False:
            began_at, self._command_began_at = self._command_began_at or now, None
            self._server.on_command(self, command, began_at, now)
        if self._reader.has_data() and self._command_began_at is None:
            self._command_began_at = now

    def attempt(self, words: list[bytes], began_at: float, now: float) -> AttemptSeen:
        """Record a request's command."""
        pairs = dict(pair.partition(b"=")[::2] for pair in words[3].split(b","))
        seen = AttemptSeen(
            request_id=words[2].decode(),
            gateway=self._gateway,
            server=self._server.number,
            first_byte_at=began_at,
            last_byte_at=now,
            wait_ms=int(pairs[b"d"]),
            content=content_of(words),
        )
        self._open_attempts.append(seen)
        return seen

    def reply(self, seen: AttemptSeen | None, data: bytes) -> None:
        """Write a response, if the connection is still open."""
        if self.transport is None or self.transport.is_closing():
            return
        self.transport.write(data)
        if seen is not None and seen.ended_at is None:
            seen.ended_at = self._server.time()
            self._open_attempts.remove(seen)
        if self._server.has_fault(FaultKind.IDLE_CLOSE):
            self._server.loop.call_later(IDLE_CLOSE_S, self._close_if_idle)

    def _close_if_idle(self) -> None:
        if self.transport is not None and not self._open_attempts:
            self.transport.close()

    def abort(self) -> None:
        """Reset the connection."""
        if self.transport is not None:
            self.transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:  # noqa: ARG002 - asyncio names it
        """End what was open."""
        now = self._server.time()
        for seen in self._open_attempts:
            seen.ended_at = now
        self._open_attempts.clear()
        self._server.connections.discard(self)


class GatewayListener:
    """Where one gateway reaches a server; it can stop accepting so that connections come up late."""

    def __init__(self, factory: Callable[[], asyncio.Protocol]) -> None:
        self._loop = asyncio.get_running_loop()
        self._factory = factory
        self._tasks: set[asyncio.Task[None]] = set()
        self._fillers: list[socket.socket] = []
        self._sock = socket.socket()
        self._sock.setblocking(False)
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.port = self._bind()

    def _bind(self) -> int:
        """Bind to a free port by its number: only such a port stays taken while nothing listens."""
        while True:
            with socket.socket() as probe:
                probe.bind((LOCALHOST, 0))
                port = int(probe.getsockname()[1])
            try:
                self._sock.bind((LOCALHOST, port))
            except OSError:
                continue  # taken in between
            return port

    def listen(self) -> None:
        """Accept connections, for the first time or again."""
        self._sock.listen(BACKLOG)
        self._loop.add_reader(self._sock.fileno(), self._accept)

    def _accept(self) -> None:
        """Accept all that wait: one a turn of the loop would make the last of many late."""
        while True:
            try:
                sock, _ = self._sock.accept()
            except OSError:
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            sock.setblocking(False)
            task = self._loop.create_task(self._connect(sock))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _connect(self, sock: socket.socket) -> None:
        try:
            await self._loop.connect_accepted_socket(self._factory, sock)
        except OSError:
            sock.close()

    def stop_accepting(self) -> None:
        """Let new connections wait: the queue is made short, and filled."""
        if self._fillers:
            return
        self._loop.remove_reader(self._sock.fileno())
        self._sock.listen(0)
        for _ in range(FILLERS):
            filler = socket.socket()
            filler.setblocking(False)
            result = filler.connect_ex((LOCALHOST, self.port))
            if result not in (0, errno.EINPROGRESS):
                filler.close()
            else:
                self._fillers.append(filler)

    def resume_accepting(self) -> None:
        """Accept what waits, and all that comes."""
        if not self._fillers:
            return
        for filler in self._fillers:
            filler.close()
        self._fillers.clear()
        self._sock.listen(BACKLOG)
        self._loop.add_reader(self._sock.fileno(), self._accept)

    def refuse(self) -> None:
        """Refuse connections until it listens again; the port stays taken meanwhile."""
        self.resume_accepting()
        self._loop.remove_reader(self._sock.fileno())
        self._sock.shutdown(socket.SHUT_RDWR)

    def close(self) -> None:
        """Give the port back."""
        self._sock.close()


class OrderServer:
    """One order server; `born_at` is on the wall clock, all else on the loop's."""

    def __init__(
        self, number: int, deployment: Deployment, record: Record, rng: random.Random, born_at: float
    ) -> None:
        self.loop = asyncio.get_running_loop()
        self.time = self.loop.time
        self.number = number
        self.name = f"s-{number:08x}"
        self.zone = deployment.zones[number % len(deployment.zones)]
        self.cell = number // 4
        self.born_at = born_at  # Unix time, 0 for long ago
        self.began_at = 0.0  # the same on the loop's clock
        self.connections: set[ServerConnection] = set()
        self._deployment = deployment
        self._record = record
        self._rng = rng
        self._faults: dict[FaultKind, float] = {}  # until when
        self._listeners = [
            GatewayListener(lambda gateway=gateway: ServerConnection(self, gateway))  # type: ignore[misc]
            for gateway in range(deployment.gateways)
        ]
        self._held: list[Callable[[], None]] = []  # responses that a hang keeps back
        self.is_up = False

    # The process.

    def start(self) -> None:
        """Listen at the same addresses as before."""
        for listener in self._listeners:
            listener.listen()
        self.is_up = True

    def stop(self) -> None:
        """End at once: connections are reset, and new ones refused."""
        if not self.is_up:
            return
        self.is_up = False
        for listener in self._listeners:
            listener.refuse()
        for connection in list(self.connections):
            connection.abort()
        self._held.clear()
        self._faults.clear()

    def close(self) -> None:
        """End for good."""
        self.stop()
        for listener in self._listeners:
            listener.close()

    def address(self, gateway: int) -> str:
        """Return where a gateway reaches it."""
        return f"{LOCALHOST}:{self._listeners[gateway].port}"

    # Faults.

    def begin_fault(self, kind: FaultKind, duration_s: float) -> None:
        """Show a fault for a while."""
        if not self.is_up:
            return
        self._faults[kind] = max(self._faults.get(kind, 0.0), self.time() + duration_s)
        if kind is FaultKind.UNACCEPTING:
            for listener in self._listeners:
                listener.stop_accepting()
        self.loop.call_later(duration_s, self._end_fault, kind)

    def _end_fault(self, kind: FaultKind) -> None:
        if self.has_fault(kind):
            return
        self._faults.pop(kind, None)
        if kind is FaultKind.UNACCEPTING:
            for listener in self._listeners:
                listener.resume_accepting()
        if kind is FaultKind.HANG:
            held, self._held = self._held, []
            for respond in held:
                if self._rng.random() < FAULT_PROBABILITY:
                    self.loop.call_later(self._rng.uniform(0.0, LATE_RESPONSE_S), respond)

    def has_fault(self, kind: FaultKind) -> bool:
        """Return whether a fault is on."""
        return self._faults.get(kind, 0.0) > self.time()

    # Commands.

    def on_command(
        self, connection: ServerConnection, words: list[bytes], began_at: float, now: float
    ) -> None:
        """Answer a command, or let it meet a fault."""
        name = words[0].upper()
        if name not in REQUEST_COMMANDS:
            connection.reply(None, {b"PING": PONG_REPLY}.get(name, UNKNOWN_REPLY))
            return
        seen = connection.attempt(words, began_at, now)
        self._record.attempts.append(seen)
        if self._rejects(seen):
            connection.reply(seen, BUSY_REPLY)
            return
        if self._meets(FaultKind.RESET):
            self.loop.call_later(self._rng.uniform(0.0, self._deployment.work_s), connection.abort)
            return
        work_s = self._deployment.work_s * self._rng.expovariate(1.0)
        if self.has_fault(FaultKind.SLOW):
            work_s *= SLOW_FACTOR
        self.loop.call_later(work_s, self._finish, connection, seen)

    def _rejects(self, seen: AttemptSeen) -> bool:
        if not self._meets(FaultKind.BUSY):
            return False
        seen.may_have_executed = False
        return True

    def _meets(self, kind: FaultKind) -> bool:
        return self.has_fault(kind) and self._rng.random() < FAULT_PROBABILITY

    def _finish(self, connection: ServerConnection, seen: AttemptSeen) -> None:
        if self.time() - seen.last_byte_at > seen.wait_ms / 1000 and self._rng.random() < FAULT_PROBABILITY:
            return  # over by now, and dropped without a word
        value = response_value(seen.request_id, self.number)
        if self._meets(FaultKind.LARGE):
            self._reply_large(connection, seen, value)
            return
        reply = _success_reply(value)
        if self._meets(FaultKind.ERROR):
            reply = ERROR_REPLY
        if self.has_fault(FaultKind.HANG):
            self._held.append(lambda: connection.reply(seen, reply))
        elif self._meets(FaultKind.LOST_RESPONSE):
            return
        elif self._meets(FaultKind.MALFORMED):
            self._reply_malformed(connection, seen, reply)
        else:
            connection.reply(seen, reply)

    def _reply_large(self, connection: ServerConnection, seen: AttemptSeen, value: bytes) -> None:
        """Answer with a large value in pieces, which may stall, break off or trickle in the middle."""
        size = self._rng.randint(MIN_LARGE_BYTES, MAX_LARGE_BYTES)
        reply = _success_reply(value + b"/" + PADDING * (size - len(value) - 1))
        what = self._rng.choices(("whole", "stall", "break", "trickle"), (5, 1, 1, 1))[0]
        if what == "whole":
            self._reply_in_pieces(connection, seen, reply, 0.0)
            return
        middle = self._rng.randint(100, len(reply) - 2 * TRICKLE_BYTES * TRICKLED_PIECES)
        self._reply_in_pieces(connection, None, reply[:middle], 0.0)
        if what == "break":
            self.loop.call_later(self._rng.uniform(0.0, 0.1), connection.abort)
        elif what == "trickle":
            for n in range(TRICKLED_PIECES):
                at = middle + n * TRICKLE_BYTES
                piece = reply[at : at + TRICKLE_BYTES]
                self.loop.call_later((n + 1) * TRICKLE_INTERVAL_S, connection.reply, None, piece)
            rest = reply[middle + TRICKLED_PIECES * TRICKLE_BYTES :]
            delay_s = (TRICKLED_PIECES + 1) * TRICKLE_INTERVAL_S
            self._reply_in_pieces(connection, seen, rest, delay_s)

    def _reply_in_pieces(
        self, connection: ServerConnection, seen: AttemptSeen | None, reply: bytes, delay_s: float
    ) -> None:
        """Write a reply piece by piece; the attempt is over with the last of them, None for a part."""
        for at in range(0, len(reply), PIECE_BYTES):
            is_last = at + PIECE_BYTES >= len(reply)
            piece = reply[at : at + PIECE_BYTES]
            piece_delay_s = delay_s + at / PIECE_BYTES * PIECE_INTERVAL_S
            self.loop.call_later(piece_delay_s, connection.reply, seen if is_last else None, piece)

    def _reply_malformed(self, connection: ServerConnection, seen: AttemptSeen, reply: bytes) -> None:
        what = self._rng.randrange(4)
        if what == 0:
            connection.reply(seen, self._rng.choice(MALFORMED_REPLIES))
        elif what == 1:  # the first half, then nothing or a reset
            connection.reply(None, reply[: len(reply) // 2])
            if self._rng.random() < FAULT_PROBABILITY:
                self.loop.call_later(self._deployment.work_s, connection.abort)
        elif what == 2:  # twice
            connection.reply(seen, reply)
            self.loop.call_later(self._rng.uniform(0.0, MAX_REPEAT_DELAY_S), connection.reply, None, reply)
        else:  # in pieces
            for index in range(0, len(reply), 16):
                piece = reply[index : index + 16]
                last = index + 16 >= len(reply)
                self.loop.call_later(index * 0.0005, connection.reply, seen if last else None, piece)
