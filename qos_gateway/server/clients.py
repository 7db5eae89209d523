"""The RESP server: commands to calls, answers back in the order of the commands."""

from __future__ import annotations

import asyncio
import fcntl
import logging
import re
import select
import struct
import termios
from collections import deque
from dataclasses import dataclass
from itertools import chain
from typing import Protocol, cast

import hiredis

from ..types import Idempotence
from .backends import FlowControl
from .config import Config
from .listener import Listener, bound_socket, inherited_socket
from .logs import RateLimitFilter
from .resp import CommandFrames, FrameError

log = logging.getLogger(__name__)
log.addFilter(RateLimitFilter())

MAX_PAIRS_BYTES = 1024  # bytes of a command's names and values
MAX_PIPELINED = 32  # commands of one connection without an answer; what comes behind them waits unread
MAX_WAIT_MS = 86_400_000  # ms: no client waits longer than a day
ACCEPT_DRAIN_QUIET_S = (
    0.5  # s without a new connection after which a stopping gateway closes its door; the front needs 0.4
)
ACCEPT_DRAIN_MAX_S = 0.9  # s after which it does so all the same: not all who connect heed the front
FIRST_COMMAND_GRACE_S = (
    0.5  # s in which whoever connected before the door closed may still say its first word
)
DRAIN_CHECK_INTERVAL_S = 0.02  # s between looks for connections that have come to rest, while stopping
CHECK_INTERVAL_S = 0.25  # s between looks at all connections for those that have had their time
DISCONNECT_CHECK_INTERVAL_S = (
    0.05  # s between looks whether a client whose input is not read has left: 0.3 s are granted
)
COMMAND_TIMEOUT_S = (
    2.6  # s without a whole command from connecting or its first byte on: slow clients need 2, 3 is late
)
WRITE_STALL_TIMEOUT_S = 2.0  # s in which a client takes nothing of what waits for it
LARGE_WRITE_STALL_TIMEOUT_S = (
    5.0  # the same while a large value is on its way: slow readers pause, and little is held
)
IDLE_TIMEOUT_S = 25.0  # s at rest after a command: under the usual half minute, and calm clients come sooner
CROWDED_IDLE_TIMEOUT_S = 2.0  # s at rest that every connection is granted where few are left
CROWDED_FRACTION = 0.75  # part of the bound on connections from which they count as few
MIN_IDLE_BEFORE_EVICTION_S = (
    0.1  # s at rest, or without a first word, before a connection makes room for another ...
)
MIN_PARTIAL_BEFORE_EVICTION_S = 0.25  # ... and the same in the middle of a command, where nobody rests
HALF_CLOSE_TIMEOUT_S = 0.75  # s that what a client still sends is read on and dropped, once all is answered
MAX_DISCARDED_BYTES = 1 << 20  # bytes of it; more is left unread
MIN_WRITE_BUFFER_BYTES = (
    96 << 10
)  # bytes, for each connection, of what a client has not taken: over a whole value
MIN_STREAM_BUFFER_BYTES = (
    16 << 10
)  # bytes of a large value that a client may leave untaken, however many come
BUFFER_MEMORY_FRACTION = (
    0.125  # of the memory, for what all clients together have not taken, and likewise not been read
)
SECOND = 1_000_000_000
RETRY_FLAG = 2  # bit of `options`: a client's repeat


# As the protocol has them; Python's own `int` and `float` take signs, underscores and spaces too.
_CUSTOMER = re.compile(rb"[0-9a-fA-F]{16}")
_ID = re.compile(rb"[0-9A-Za-z_.:-]{1,64}")
_KEY = re.compile(rb"[\x21-\x7e]{1,128}")
_UNITS = re.compile(rb"[0-9]{1,9}(?:\.[0-9]{1,9})?")


class InvalidCommandError(ValueError):
    """A command that cannot be taken; the text is the client's answer."""


@dataclass(slots=True)
class ClientRequest:
    """One request as a client put it; an attempt sends the same command with another deadline."""

    command_start: tuple[bytes, ...]  # name, customer and request id
    pairs_before_deadline: bytes
    pairs_after_deadline: bytes
    body: tuple[bytes, ...]
    class_index: int
    plan_index: int
    customer_id: int
    wait_ms: int  # for which the client waits
    units: float
    gateway_spread: int
    first_gateway: int
    options: int

    @property
    def request_id(self) -> bytes:
        """Return the client's own id of the request."""
        return self.command_start[2]


class RequestParser:
    """Names of classes and plans, for reading calls."""

    def __init__(self, config: Config) -> None:
        self._classes = {
            name: (i, c.idempotence)
            for i, (name, c) in enumerate(zip(config.classes, config.settings.classes, strict=True))
        }
        self._plans = {name: i for i, name in enumerate(config.plans)}
        self._gateways, self._largest = (
            config.settings.gateway_count,
            max(1.0, config.settings.largest_request_units),
        )

    def parse(self, args: list[bytes]) -> ClientRequest:
        """A call from a command's words; raises `BadCall` with a plain reason."""
        if len(args) not in (4, 5):
            raise InvalidCommandError("wrong number of arguments")
        customer = _customer(args[1])
        if not _ID.fullmatch(args[2]):
            raise InvalidCommandError("bad request id")
        if len(args[3]) > MAX_PAIRS_BYTES:
            raise InvalidCommandError("list of names and values too long")
        items = args[3].split(b",")
        pairs = [item.partition(b"=") for item in items]
        named = {name: value for name, _, value in pairs}
        if len(named) != len(pairs):
            raise InvalidCommandError("a name stands twice")
        if not all(name and equals for name, equals, _ in pairs):
            raise InvalidCommandError("expected a list of name=value")
        cls, repeat = self._classes.get(named.get(b"c", b""), (-1, Idempotence.IDEMPOTENT))
        if cls < 0:
            raise InvalidCommandError("unknown class")
        plan = self._plans.get(named.get(b"t", b""), -1)
        if plan < 0:
            raise InvalidCommandError("unknown plan")
        if (args[0].upper() == b"CALL.GET") != (repeat is Idempotence.IDEMPOTENT):
            raise InvalidCommandError("the class is not served by this command")
        if repeat is Idempotence.IDEMPOTENT and len(args) == 5:
            raise InvalidCommandError("the class takes no value")
        if repeat is Idempotence.KEYED and not _KEY.fullmatch(named.get(b"k", b"")):
            raise InvalidCommandError("k missing: the class wants an idempotency key")
        if b"d" not in named:
            raise InvalidCommandError("d missing")
        at = next(i for i, pair in enumerate(pairs) if pair[0] == b"d")
        before, after = b",".join(items[:at]), b",".join(items[at + 1 :])
        return ClientRequest(
            command_start=(args[0], args[1], args[2]),
            pairs_before_deadline=before + b"," if before else b"",
            pairs_after_deadline=b"," + after if after else b"",
            body=tuple(args[4:]),
            class_index=cls,
            plan_index=plan,
            customer_id=customer,
            wait_ms=_whole(named, b"d", 0, MAX_WAIT_MS),
            units=_units(named, self._largest),
            gateway_spread=_whole(named, b"spread", 1, self._gateways),
            first_gateway=_whole(named, b"first", 0, self._gateways - 1),
            options=RETRY_FLAG if named.get(b"r") == b"1" else 0,
        )


def _customer(word: bytes) -> int:
    number = int(word, 16) if _CUSTOMER.fullmatch(word) else -1
    if not 0 <= number < 1 << 33:
        raise InvalidCommandError("bad customer")
    return number


def _whole(named: dict[bytes, bytes], key: bytes, least: int, most: int) -> int:
    word = named.get(key, b"")
    if not (word.isdigit() and len(word) < 12 and least <= int(word) <= most):
        raise InvalidCommandError(f"bad or missing {key.decode()}")
    return int(word)


def _units(named: dict[bytes, bytes], most: float) -> float:
    word = named.get(b"units", b"1")
    units = float(word) if _UNITS.fullmatch(word) else -1.0
    if not 0.0 < units <= most:
        raise InvalidCommandError("bad units")
    return units


class PendingReply:
    """The place of one answer in its connection's order."""

    __slots__ = ("client", "reply", "request_number", "stream")

    def __init__(self, client: ClientConnection, request: int = -1) -> None:
        self.client, self.request_number = client, request
        self.reply: bytes | None = None
        self.stream: StreamedReply | None = None


class StreamedReply:
    """A large value on its way to a client: goes out as it comes once it is its turn, and the order server
    is read no faster than the client takes it.
    """

    __slots__ = ("_buffered", "_flow_control", "_head", "slot", "started")

    def __init__(self, slot: PendingReply, length: int, flow: FlowControl) -> None:
        self.slot, self._flow_control = slot, flow
        self._head = b"$%d\r\n" % length
        self._buffered: list[bytes] = []  # until its turn comes
        self.started = False

    def write(self, data: bytes) -> None:
        if self.started:
            self.slot.client.write(data)
        else:
            self._buffered.append(data)
            self._flow_control.pause()

    def start(self) -> None:
        self.started, kept, self._buffered = True, self._buffered, []
        self.slot.client.write(b"".join((self._head, *kept)))
        self.set_paused(self.slot.client.blocked)

    def set_paused(self, stop: bool) -> None:
        (self._flow_control.pause if stop else self._flow_control.resume)()

    def finish(self) -> bytes:
        """What is still to be written once the whole value has come."""
        return b"\r\n" if self.started else b"".join((self._head, *self._buffered, b"\r\n"))


class RequestHandler(Protocol):
    """What the server needs of the gateway."""

    def is_ready(self) -> bool: ...

    def submit(self, call: ClientRequest, slot: PendingReply, waited: float) -> None: ...

    def client_disconnected(self, number: int) -> None: ...


class ClientConnection(asyncio.Protocol):
    """One client's connection."""

    __slots__ = (
        "_blocked_since",
        "_closing",
        "_discarded_bytes",
        "_frames",
        "_half_close_ends_at",
        "_hangup_poll",
        "_is_parsing",
        "_is_reading",
        "_owner",
        "_partial_command_at",
        "_reader",
        "_transport",
        "_unparsed",
        "_unparsed_since",
        "_untaken_bytes",
        "has_sent_command",
        "idle_since",
        "pending_replies",
    )

    def __init__(self, owner: ClientConnections) -> None:
        self._owner = owner
        self._reader, self._frames = hiredis.Reader(), CommandFrames()
        self._transport: asyncio.Transport | None = None
        self._hangup_poll: select.poll | None = None  # tells of the client's end, read or not
        self._closing = False  # nothing more is taken; closed once all that was taken is answered
        self._half_close_ends_at = 0.0  # when reading on ends, once the last answer is written
        self._discarded_bytes = 0  # bytes read on since then
        self._partial_command_at = 0.0  # when the first byte of a command came whose last has not; 0 for none
        self._unparsed, self._unparsed_since = b"", 0.0  # read, but not taken yet, and since when
        self._blocked_since = (
            0.0  # since when what waits for the client has not grown less; 0 if nothing waits
        )
        self._untaken_bytes = 0  # bytes of it at that time
        self._is_reading = True
        self._is_parsing = False  # more may lie behind the command that is being taken
        self.has_sent_command = False  # whether a whole command ever came
        self.idle_since = owner.time()  # when it last came to rest
        self.pending_replies: deque[PendingReply] = deque()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        self._transport.set_write_buffer_limits(high=self._owner.write_buffer_bytes)
        self._owner.connection_opened(self)

    def data_received(self, data: bytes) -> None:
        if self._closing:
            self._discarded_bytes += len(data)
            if self._discarded_bytes > MAX_DISCARDED_BYTES:
                self._update_reading()
        elif self._unparsed:
            self._defer(self._unparsed + data)
        else:
            self._parse(data, 0.0)

    def _parse(self, data: bytes, waited: float) -> None:
        """Command by command, as far as they may be taken now; `waited` counts in for each."""
        self._is_parsing = True
        try:
            self._parse_commands(data, waited)
        finally:
            self._is_parsing = False
        if self._owner.closing and self.is_idle():
            self.close()

    def _parse_commands(self, data: bytes, waited: float) -> None:
        at = 0
        while at < len(data) and not self._closing:
            if len(self.pending_replies) >= MAX_PIPELINED or self._blocked_since:
                return self._defer(data[at:])
            try:
                end = self._frames.scan(data, at)
                self._reader.feed(data[at:end] if end >= 0 else data[at:])
                if end < 0:
                    self._partial_command_at = self._partial_command_at or self._owner.time()
                    return None
                words = self._reader.gets()
            except (FrameError, hiredis.ProtocolError) as error:
                return self._protocol_error(str(error))
            at, self._partial_command_at = end, 0.0
            self._handle_command(words, waited)

    def _defer(self, rest: bytes) -> None:
        """Backpressure: more commands than are worked on at once stay where they are."""
        if not self._unparsed:
            self._unparsed_since = self._owner.time()
        self._owner.deferred_bytes += len(rest) - len(self._unparsed)
        self._unparsed = rest
        if self._owner.deferred_bytes > self._owner.buffer_memory:
            self._take_deferred()
            return self._protocol_error("too many commands at once")
        self._update_reading()

    def _take_deferred(self) -> bytes:
        rest, self._unparsed = self._unparsed, b""
        self._owner.deferred_bytes -= len(rest)
        return rest

    def _resume_parsing(self) -> None:
        if self._unparsed and not self._closing and not cast(asyncio.Transport, self._transport).is_closing():
            waited = self._owner.time() - self._unparsed_since
            self._parse(self._take_deferred(), waited)
        self._update_reading()

    def _update_reading(self) -> None:
        """Read only what can be taken."""
        read_on = (
            self._discarded_bytes <= MAX_DISCARDED_BYTES
            if self._closing
            else not (self._unparsed or self._blocked_since)
        )
        if read_on is not self._is_reading:
            self._is_reading, transport = read_on, cast(asyncio.Transport, self._transport)
            if not transport.is_closing():
                (transport.resume_reading if read_on else transport.pause_reading)()
                self._owner.watch_for_hangup(self, not read_on)

    def partial_command_age(self, now: float) -> float:
        """Seconds since the first byte of a command whose last has not come; 0 where something is owed."""
        return (
            now - self._partial_command_at
            if self._partial_command_at and not (self.pending_replies or self._closing)
            else 0.0
        )

    def is_closing(self) -> bool:
        return cast(asyncio.Transport, self._transport).is_closing()

    def has_hung_up(self) -> bool:
        """Whether the client has ended its sending, told by the system itself: unread input hides that from
        whoever does not read, and a loop that lags has not read it yet.
        """
        if self.is_closing():
            return True
        if self._hangup_poll is None:
            transport = cast(asyncio.Transport, self._transport)
            self._hangup_poll = select.poll()
            self._hangup_poll.register(transport.get_extra_info("socket").fileno(), select.POLLRDHUP)
        return bool(self._hangup_poll.poll(0))

    def pause_writing(self) -> None:
        self._blocked_since = self._owner.time()
        self._untaken_bytes = self._unacknowledged_bytes()
        self._update_reading()
        self._pause_stream()

    def resume_writing(self) -> None:
        self._blocked_since = 0.0
        self._pause_stream()
        self._resume_parsing()

    @property
    def blocked(self) -> bool:
        return self._blocked_since > 0.0

    def _pause_stream(self) -> None:
        if self.pending_replies and (relay := self.pending_replies[0].stream) is not None and relay.started:
            relay.set_paused(self.blocked)

    def _unacknowledged_bytes(self) -> int:
        """Bytes that the client has not taken, here and in the system: a slow reader empties that first."""
        transport = cast(asyncio.Transport, self._transport)
        if transport.is_closing():
            return transport.get_write_buffer_size()
        queued = fcntl.ioctl(transport.get_extra_info("socket").fileno(), termios.TIOCOUTQ, b"\0" * 4)
        return transport.get_write_buffer_size() + int(struct.unpack("i", queued)[0])

    def write(self, data: bytes) -> None:
        """Part of the answer whose turn it is."""
        transport = cast(asyncio.Transport, self._transport)
        if not transport.is_closing():
            transport.write(data)

    def start_stream(self, slot: PendingReply, length: int, flow: FlowControl) -> StreamedReply:
        """Begins the answer of that slot with a large value."""
        slot.stream = StreamedReply(slot, length, flow)
        self._start_next_stream()
        return slot.stream

    def _start_next_stream(self) -> None:
        if (
            self.pending_replies
            and (relay := self.pending_replies[0].stream) is not None
            and not relay.started
        ):
            transport = cast(asyncio.Transport, self._transport)
            transport.set_write_buffer_limits(high=self._owner.stream_started())
            relay.start()

    def abort_stream(self, slot: PendingReply, answer: bytes) -> None:
        """A large value breaks off. Where part of it is out, the connection's end shows that it is not whole;
        what was taken behind it can't be answered any more.
        """
        relay, slot.stream = slot.stream, None
        if relay is None or not relay.started:
            return self.reply(slot, answer)
        log.warning("large value broke off: its client's connection is closed")
        self._closing = True
        self._owner.active_streams -= 1
        self.close()

    def _protocol_error(self, reason: str) -> None:
        """Where the next command begins can't be known any more; what was taken before is still answered,
        or closing at once would lose it (rule 1).
        """
        log.warning("client sent broken RESP: %s", reason)
        self._reply_and_close(b"-ERR Protocol error: %b\r\n" % _one_line(reason))

    def _reply_and_close(self, answer: bytes) -> None:
        """Nothing more is taken; this stands behind the answers to what was."""
        self._partial_command_at, self._closing = 0.0, True
        slot = PendingReply(self)
        self.pending_replies.append(slot)
        self._update_reading()
        self.reply(slot, answer)

    def _handle_command(self, words: list[bytes], waited: float) -> None:
        slot, name = PendingReply(self), words[0].upper()
        self.pending_replies.append(slot)
        self._owner.command_received(self)
        if name in (b"CALL.GET", b"CALL.POST"):
            try:
                self._owner.requests.submit(self._owner.parser.parse(words), slot, waited)
            except InvalidCommandError as error:
                self.reply(slot, b"-ERR %b\r\n" % _one_line(str(error)))
        elif name == b"PING" and len(words) == 1:
            # The front takes a gateway in on this word.
            ready = self._owner.requests.is_ready()
            self.reply(slot, b"+PONG\r\n" if ready else b"-LOADING no list of backends yet\r\n")
        else:
            self.reply(slot, b"-ERR unknown command\r\n")

    def reply(self, slot: PendingReply, answer: bytes) -> None:
        """Kept until all before it on this connection are answered."""
        slot.reply = answer
        if slot.stream is not None:
            self._owner.active_streams -= slot.stream.started
            slot.stream = None
            cast(asyncio.Transport, self._transport).set_write_buffer_limits(
                high=self._owner.write_buffer_bytes
            )
        slots, transport = self.pending_replies, cast(asyncio.Transport, self._transport)
        if slots[0] is not slot:
            return
        if len(slots) == 1:
            slots.popleft()
            transport.write(answer)
        else:
            out = []
            while slots and slots[0].reply is not None:
                out.append(slots.popleft().reply or b"")
            transport.write(b"".join(out))
        if slots:
            self._start_next_stream()
            if self._unparsed and len(slots) < MAX_PIPELINED:
                self._owner.call_soon(self._resume_parsing)
            return
        self.idle_since = self._owner.time()
        if self._closing:
            self._half_close()
        elif self._unparsed:
            self._owner.call_soon(self._resume_parsing)
        elif self._owner.closing and self.is_idle():
            # A client in a hurry would never be found at rest by a look now and then.
            self.close()

    def _half_close(self) -> None:
        """Half-close: to close on bytes that came unread is to reset, and a reset may take answers along that
        the client has not read yet.
        """
        transport = cast(asyncio.Transport, self._transport)
        if not self._half_close_ends_at and not transport.is_closing():
            self._half_close_ends_at = self._owner.time() + HALF_CLOSE_TIMEOUT_S
            transport.write_eof()

    def check_timeouts(self, now: float, crowded: bool) -> None:
        """Whether this connection has had its time."""
        if self._blocked_since:
            unsent, large = (
                self._unacknowledged_bytes(),
                self.pending_replies and self.pending_replies[0].stream is not None,
            )
            if unsent < self._untaken_bytes:
                self._blocked_since, self._untaken_bytes = now, unsent
            elif now - self._blocked_since >= (
                LARGE_WRITE_STALL_TIMEOUT_S if large else WRITE_STALL_TIMEOUT_S
            ):
                log.warning("client does not read its answers")
                self.abort()
        elif self._half_close_ends_at:
            if now >= self._half_close_ends_at:
                self.abort()
        elif self._partial_command_at:
            # Whoever has said nothing yet has had its time from connecting on.
            if (
                now - (self._partial_command_at if self.has_sent_command else self.idle_since)
                >= COMMAND_TIMEOUT_S
            ):
                self._protocol_error("command without end")
        elif not self.pending_replies and not self._unparsed:
            idle = (
                COMMAND_TIMEOUT_S
                if not self.has_sent_command
                else CROWDED_IDLE_TIMEOUT_S
                if crowded
                else IDLE_TIMEOUT_S
            )
            if now - self.idle_since >= idle and self.is_idle():
                self.close()

    def connection_lost(self, exc: Exception | None) -> None:
        self._owner.connection_closed(self)
        self._take_deferred()
        slots, self.pending_replies = self.pending_replies, deque()
        for slot in slots:
            self._owner.active_streams -= slot.stream is not None and slot.stream.started
            slot.stream = None
            if slot.reply is None:
                self._owner.requests.client_disconnected(slot.request_number)

    def finish(self) -> None:
        """The gateway stops: half a command, or one in the socket, gets its answer unheard. Whoever is owed
        one comes to rest by itself, as requests end with their time.
        """
        owed = self.pending_replies or self._unparsed or self._closing
        if not (owed or cast(asyncio.Transport, self._transport).is_closing()):
            self._reply_and_close(b"-BUSY\r\n")

    def is_idle(self) -> bool:
        """Between requests, with nothing unread in the socket; what is unwritten goes out before a close."""
        transport = cast(asyncio.Transport, self._transport)
        busy = (
            self.pending_replies or self._unparsed or self._is_parsing or self._frames.midway or self._closing
        )
        if busy or transport.is_closing():
            return False
        waiting = fcntl.ioctl(transport.get_extra_info("socket").fileno(), termios.FIONREAD, b"\0" * 4)
        return bool(struct.unpack("i", waiting)[0] == 0)

    def close(self) -> None:
        cast(asyncio.Transport, self._transport).close()

    def abort(self) -> None:
        cast(asyncio.Transport, self._transport).abort()


def _one_line(text: str) -> bytes:
    return text.encode().replace(b"\r", b" ").replace(b"\n", b" ")


class ClientConnections:
    """The listening socket and the connections that came through it."""

    def __init__(self, config: Config, requests: RequestHandler, most: int) -> None:
        self.parser, self.requests = RequestParser(config), requests
        loop = asyncio.get_running_loop()
        self.time, self.call_soon, self._later = loop.time, loop.call_soon, loop.call_later
        self.max_connections = self._configured_max = most
        self.buffer_memory = self._configured_buffer_memory = int(
            config.memory_bytes * BUFFER_MEMORY_FRACTION
        )  # bytes that all rests may hold
        self.write_buffer_bytes = max(
            MIN_WRITE_BUFFER_BYTES, self.buffer_memory // most
        )  # bytes that one client may leave untaken
        self.deferred_bytes = 0  # bytes of all rests
        self.active_streams = 0  # large values on their way to clients
        self._address, self._inherited_descriptor = config.listen, config.inherited_descriptor
        # Both have whoever came to rest longest ago first.
        self._connections: dict[ClientConnection, None] = {}  # those that have sent a whole command
        self._new_connections: dict[ClientConnection, None] = {}  # those that have not
        self._paused_connections: set[ClientConnection] = set()  # whose input is not read just now
        self._listener: Listener | None = None
        self._check_timer: asyncio.TimerHandle | None = None
        self._hangup_timer: asyncio.TimerHandle | None = None
        self._last_connected_at = 0.0
        self.closing = self._stopping = False
        # Every request has ended by then, but for large values that still flow; half a command may be left.
        self._max_drain_time = (
            max(c.deadline for c in config.settings.classes) / SECOND + ACCEPT_DRAIN_QUIET_S
        )

    async def start(self) -> None:
        """Open the door; raises OSError where the address is taken."""
        sock = None if self._inherited_descriptor is None else inherited_socket(self._inherited_descriptor)
        if sock is None:
            self._inherited_descriptor, sock = None, bound_socket(self._address)
        self._listener = Listener(sock, lambda: ClientConnection(self), self._has_capacity)
        self._check_timer = self._later(CHECK_INTERVAL_S, self._check_all)

    def limit(self, bound: int | None, part: float) -> None:
        """So many connections at most, and that part of the memory, while another process has the rest."""
        self.max_connections = (
            self._configured_max if bound is None else min(self._configured_max, max(1, bound))
        )
        self.buffer_memory = int(self._configured_buffer_memory * part)

    def _check_all(self) -> None:
        now, crowded = self.time(), self.connection_count() > CROWDED_FRACTION * self.max_connections
        for client in [*self._new_connections, *self._connections]:
            client.check_timeouts(now, crowded)
        self._check_timer = self._later(CHECK_INTERVAL_S, self._check_all)

    @property
    def port(self) -> int:
        return cast(Listener, self._listener).port

    def connection_opened(self, client: ClientConnection) -> None:
        self._last_connected_at = self.time()
        self._new_connections[client] = None

    def _has_capacity(self) -> bool:
        """Whether one more connection can be kept. Descriptors are few: whoever never said anything, or else
        rests longest, makes room, as a gateway may close between requests; then who is in the middle of a
        command for long. None of them at once, or clients that come again and again would leave nobody the
        time for a word.
        """
        if self.connection_count() + cast(Listener, self._listener).connecting_count < self.max_connections:
            return True
        now = self.time()
        oldest = [*self._new_connections, *self._connections]
        resting = (c for c in oldest if now - c.idle_since >= MIN_IDLE_BEFORE_EVICTION_S and c.is_idle())
        midway = (c for c in oldest if c.partial_command_age(now) >= MIN_PARTIAL_BEFORE_EVICTION_S)
        other = next(chain(resting, midway), None)
        if other is None:
            return False
        other.close()
        self.connection_closed(other)
        return True

    def stream_started(self) -> int:
        """One more large value is on its way; bytes of it that its client may leave untaken."""
        self.active_streams += 1
        return max(
            MIN_STREAM_BUFFER_BYTES, min(self.write_buffer_bytes, self.buffer_memory // self.active_streams)
        )

    def command_received(self, client: ClientConnection) -> None:
        """A whole command came from it: the last to be closed."""
        (self._connections if client.has_sent_command else self._new_connections).pop(client, None)
        client.has_sent_command = True
        self._connections[client] = None

    def connection_count(self) -> int:
        return len(self._connections) + len(self._new_connections)

    def watch_for_hangup(self, client: ClientConnection, unread: bool) -> None:
        """A client that leaves while its input is not read has to be looked for."""
        (self._paused_connections.add if unread else self._paused_connections.discard)(client)
        if self._paused_connections and self._hangup_timer is None:
            self._hangup_timer = self._later(DISCONNECT_CHECK_INTERVAL_S, self._check_hangups)

    def _check_hangups(self) -> None:
        self._hangup_timer = None
        for client in list(self._paused_connections):
            if not client.is_closing() and client.has_hung_up():
                client.abort()
        if self._paused_connections:
            self._hangup_timer = self._later(DISCONNECT_CHECK_INTERVAL_S, self._check_hangups)

    def connection_closed(self, client: ClientConnection) -> None:
        self._paused_connections.discard(client)
        self._new_connections.pop(client, None)
        self._connections.pop(client, None)

    def is_accepting(self) -> bool:
        """Whether clients that connect are taken in."""
        return self._listener is not None and not self._stopping and not self.closing

    async def drain(self) -> None:
        """Take what comes until new connections cease, answer all of it, close what rests. Where the
        platform holds the listening socket, what is not accepted yet is the next process's. Whoever is
        still owed an answer is waited for: each request ends with its own time, and the rest soon after.
        """
        own, start = self._inherited_descriptor is None, self.time()
        self._stopping, self._last_connected_at = True, start
        rest_from = start + ACCEPT_DRAIN_QUIET_S * own
        while self.is_listening() or self.connection_count():
            now = self.time()
            if (
                self.is_listening()
                and now
                >= min(start + ACCEPT_DRAIN_MAX_S, self._last_connected_at + ACCEPT_DRAIN_QUIET_S) * own
            ):
                self._stop_listening(own)
            self.closing = now >= rest_from
            for client in [*self._new_connections, *self._connections] if self.closing else []:
                if (
                    client.has_sent_command or client.idle_since < now - FIRST_COMMAND_GRACE_S
                ) and client.is_idle():
                    client.close()
                elif now >= rest_from + self._max_drain_time:
                    client.finish()
            await asyncio.sleep(DRAIN_CHECK_INTERVAL_S)
        self.abort()

    def is_listening(self) -> bool:
        return self._listener is not None

    def _stop_listening(self, own: bool) -> None:
        """Not while somebody stands before it: who is in the accept queue would be reset, unread."""
        listener = cast(Listener, self._listener)
        if not (own and listener.has_waiting()):
            listener.close()
            self._listener = None

    def abort(self) -> None:
        """Close everything as it stands."""
        for timer in (self._check_timer, self._hangup_timer):
            if timer is not None:
                timer.cancel()
        if self._listener is not None:
            self._listener.close()
            self._listener = None
        for client in [*self._new_connections, *self._connections]:
            client.abort()
