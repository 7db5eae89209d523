"""The one decision module and the tables round it: happenings become its events, its actions become calls."""

from __future__ import annotations

import asyncio
import logging
from collections import Counter
from itertools import count
from typing import Any, cast

from ..decisions.engine import INCOMING_FRACTION, OUTGOING_FRACTION, DecisionEngine
from ..state import capture as heritage
from ..types import (
    Action,
    AddToCounter,
    Arrival,
    AttemptEnded,
    CancelAttempt,
    ClientDisconnected,
    CloseIdleConnections,
    CounterReplied,
    Event,
    Fail,
    Health,
    ListKind,
    LogLine,
    Outcome,
    PeerMessage,
    Probe,
    ProbeEnded,
    Reject,
    ResponseStarted,
    Send,
    SendPeerMessage,
    SetEndpointEnabled,
    SetTimer,
    TimerFired,
    Topology,
    WatchEndpoints,
)
from .admin import Door
from .backends import Attempt, Backends, Flow, ProbeAttempt, Report, monotonic_unix_ns
from .clients import BadCall, Call, Clients, Relay, Slot
from .config import Address, Config, needs_restart
from .counter import Counter as QuotaCounter
from .discovery import Discovery, ListError, Update, backend_id, parse_update
from .handover_channel import Succession
from .metrics import Ended, Figures, Standing, render
from .peers import Peers

log = logging.getLogger(__name__)

SECOND = 1_000_000_000
MILLISECOND = 1_000_000
MARGIN = 10 * MILLISECOND  # before a client's time ends: its way here and back, and a loop that lags
FAULT_RETRY = SECOND // 10  # until a timer whose event met a fault fires again: the beat must go on
FIRST_LIST = 0.5  # s to wait for discovery at the start before the door opens without a list
KNOWN_LIST = 0.15  # the same where a list last known can serve meanwhile: requests already come
LIST_LOOK = 0.01  # s in which the loop surely turns to its sockets once more
KILL_AFTER, KILL_DEADLINE = 7 * SECOND // 10, 3 * SECOND  # SIGKILL: so long after SIGTERM and this deadline
KILL_MARGIN = SECOND // 10  # before it, for answers on their way
TALLY = 10.0  # s between lines on how attempts ended
TELL_ON = 0.4  # s over the longest deadline that a stopping gateway still has word for its peers
USED_MOST = 60_000  # percent of a quota in use that the module is told at most
RESERVED = 64  # descriptors that are neither a client's nor a backend's: listener, peers, discovery, files
OLD_CLIENTS, OLD_BACKENDS = 4, 8  # connections that a process may still add once the next one starts
BACKEND_PART = 0.5  # of the other descriptors; each request needs one on either side at most


class Request:
    """A request that was taken, until its final answer and its last attempt's end."""

    __slots__ = ("attempts", "bound", "call", "closed", "out", "slot", "timer", "valid_until")

    def __init__(self, call: Call, slot: Slot, valid_until: int) -> None:
        self.call, self.slot, self.valid_until = call, slot, valid_until
        self.closed = False
        self.bound: Attempt | None = None  # whose large value is on its way to the client
        self.attempts = 0
        self.out: dict[int, Attempt] = {}
        self.timer: asyncio.TimerHandle | None = None


class Node:
    """One running gateway."""

    def __init__(self, config: Config) -> None:
        self.config = config
        self._loop = asyncio.get_running_loop()
        self.now = monotonic_unix_ns()
        self.module = DecisionEngine(config.settings, config.seed, self.now())
        self._numbers = count(1)
        self._requests: dict[int, Request] = {}
        self._ids: set[bytes] = set()  # of the requests that still owe an answer
        self._seen: set[int] = set()  # backends in the list, for what a whole list no longer names
        self._addresses: dict[int, Address] = {}  # of those that are ready
        self._out: set[int] = set()  # backends that operators have left out, as the module was told
        self._figures = Figures(config.classes)
        self._told = asyncio.Event()
        self._end_by = 1 << 62  # no request lasts longer: far off, until the gateway stops
        self._ends: Counter[Outcome] = Counter()  # attempts since the last line on them
        self._counts: Counter[Outcome] = Counter()  # likewise calls to the quota counter
        self._teller: asyncio.TimerHandle | None = None
        spare = max(16, config.sockets - RESERVED)
        settings = config.settings
        self.backends = Backends(
            int(spare * BACKEND_PART),
            config.connect_timeout / SECOND,
            config.connection_idle / SECOND,
            settings.drain_grace / SECOND,
            self.now,
            self._attempt_ended,
            self._figures,
            self._begun,
            self._wanted,
        )
        self.clients = Clients(config, self, spare - int(spare * BACKEND_PART))
        self.peers = Peers(config.peers, config.peers_all, settings.position, self.heard)
        self.counter = (
            None
            if config.counter is None
            else QuotaCounter(
                config.counter, config.counter_timeout / SECOND, config.connect_timeout / SECOND, self.counted
            )
        )
        index = None
        if config.known is not None:
            try:
                cached = parse_update(config.known, config.zones, config.kinds, cached=True)
                self._learn(cached)
                index = cached.topology.version
            except ListError as error:
                log.warning("known list passed over: %s", error)
        if index is None:
            self._handle(Topology(ListKind.CACHED, 0, ()))
        folder = config.folder if config.passed is not None else None
        self.succession = None if folder is None else Succession(folder, config.name, self)
        self.door = None if config.operator is None else Door(config.operator, self)
        self.discovery = Discovery(
            config.discovery, config.zones, config.kinds, index, self._listed, settings.drain_grace / SECOND
        )

    async def start(self) -> None:
        """Open the sockets; the clients' comes last, when requests can be served."""
        if self.config.peer_listen is not None and self.config.settings.may_message:
            await self._loop.create_datagram_endpoint(lambda: self.peers, local_addr=self.config.peer_listen)
        if self.door is not None:
            await self.door.start()
        self.discovery.start()
        if self.counter is not None:
            self.counter.start()
        self._teller = self._loop.call_later(TALLY, self._tally)
        try:
            # An old list breaks no rule, but the agent next door tells the new one within milliseconds.
            async with asyncio.timeout(KNOWN_LIST if self.backends.usable() else FIRST_LIST):
                await self._told.wait()
        except TimeoutError:
            # A loop that lagged wakes with its timer due and the word unread in the socket, which binds.
            await asyncio.sleep(LIST_LOOK)
            if not self._told.is_set():
                log.warning("no word from discovery yet, starting with the list last known")
        if self.succession is not None and (state := await self.succession.inherit()) is not None:
            self._inherit(state)
        await self.clients.start()
        if self.succession is not None:
            await self.succession.serve()
        log.info("%s listening on %s:%d", self.config.name, self.config.listen[0], self.clients.port)

    def _tally(self) -> None:
        """One line for the operators, which shows trouble that no single attempt does."""
        ends = ", ".join(f"{outcome.name} {n}" for outcome, n in sorted(self._ends.items()))
        counts = ", ".join(f"{outcome.name} {n}" for outcome, n in sorted(self._counts.items()))
        log.info(
            "attempts: %s; counter: %s; requests %d, connections of clients %d, to backends %d, "
            "of these idle %d",
            ends or "none",
            counts or "none",
            len(self._requests),
            self.clients.count(),
            self.backends.open,
            self.backends.idle(),
        )
        self._ends.clear()
        self._counts.clear()
        self._teller = self._loop.call_later(TALLY, self._tally)

    async def stop(self) -> None:
        """End in good order: all that was taken is answered first."""
        settings = self.config.settings
        longest = max(c.deadline for c in settings.classes)
        end = self._loop.time() + longest / SECOND + TELL_ON
        # What comes from now on has its answer before the platform may kill this process.
        self._end_by = self.now() + min(longest, KILL_DEADLINE) + KILL_AFTER - KILL_MARGIN
        await self.clients.drain()
        if self._teller is not None:
            self._teller.cancel()
        await self.discovery.close()
        self.backends.close()
        if settings.may_message and settings.gateway_count > 1:
            # The module's beat goes on telling that nothing is used here. Its peers, on which the customers
            # now lean, would hold this gateway's slices of the quotas back for one that fell silent.
            await asyncio.sleep(max(0.0, end - self._loop.time()))
        self.peers.close()
        if self.counter is not None:
            self.counter.close()
        if self.door is not None:
            self.door.close()
        if self.succession is not None:
            self.succession.close()

    def reconfigure(self, fresh: Config) -> None:
        """Follow discovery and counter to where they are now; all else stays as it is."""
        changed = needs_restart(self.config, fresh)
        if changed:
            log.warning("configuration: a restart is needed for %s", ", ".join(changed))
        self.discovery.move(fresh.discovery)
        if self.counter is not None and fresh.counter is not None:
            self.counter.move(fresh.counter)

    # From the list, the peers and the counter.

    def _listed(self, update: Update) -> None:
        self._learn(update)
        self._told.set()

    def _learn(self, update: Update) -> None:
        named = {entry.id for entry in update.topology.entries}
        if update.topology.kind is not ListKind.DELTA:
            for backend in self._seen - named:
                self._addresses.pop(backend, None)
                self.backends.learn(backend, None)
            self._seen = set()
        for entry in update.topology.entries:
            if entry.health is Health.READY:
                self._addresses[entry.id] = update.addresses[entry.id]
            else:
                self._addresses.pop(entry.id, None)
            self._reach(entry.id)
            (self._seen.discard if entry.health is Health.REMOVED else self._seen.add)(entry.id)
        self._handle(update.topology)

    def _reach(self, backend: int) -> None:
        """New connections to it go where the list says, unless operators have left it out."""
        self.backends.learn(backend, None if backend in self._out else self._addresses.get(backend))

    # From the operators.

    def taking(self) -> bool:
        return self.clients.taking()

    def figures(self) -> bytes:
        skipped = self.module.excluded_endpoints(self.now())
        return render(self._figures, Standing(len(self._ids), len(self._seen), skipped))

    async def leave_out(self, name: str, out: bool) -> bool:
        backend = backend_id(name)
        if backend not in self._seen and backend not in self._out:
            return False
        self.told(backend, out)
        if self.succession is not None:
            await self.succession.agree(backend, out)
        return True

    def told(self, backend: int, out: bool) -> None:
        (self._out.add if out else self._out.discard)(backend)
        self._handle(SetEndpointEnabled(backend, not out))
        self._reach(backend)

    # Upgrades.

    def bequeath(self) -> dict[str, Any]:
        """For the process that takes over; what this one holds open stays its own until it ends."""
        clients, backends = self.clients.count() + OLD_CLIENTS, self.backends.open + OLD_BACKENDS
        self.clients.share(clients, OUTGOING_FRACTION)
        self.backends.share(backends)
        return {
            "list": self.discovery.known(),
            "clients": clients,
            "backends": backends,
            "decisions": heritage.capture(self.module, self.now()),
        }

    def _inherit(self, state: dict[str, Any]) -> None:
        try:
            if not self._told.is_set() and state["list"] is not None:
                self._learn(self.discovery.adopt(state["list"]))
            clients, backends = int(state["clients"]), int(state["backends"])
            heritage.restore(self.module, self.now(), state["decisions"], self.config.settings)
        except (KeyError, TypeError, ValueError) as error:
            log.error("upgrade: starting without the state of the process before: %s", error)
            return
        self.clients.share(self.clients.bound - clients, INCOMING_FRACTION)
        self.backends.share(self.backends.most - backends)
        for backend in self.module.load_balancer.admin_disabled:
            self._out.add(backend)
            self._reach(backend)
        log.info("upgrade: taken over, %d order servers left out", len(self._out))

    def alone(self) -> None:
        self.clients.share(None, 1.0)
        self.backends.share(None)
        heritage.complete(self.module)

    def heard(self, sender: int, data: bytes) -> None:
        self._handle(PeerMessage(sender, data))

    def counted(self, event: CounterReplied) -> None:
        self._counts[event.outcome] += 1
        self._handle(event)

    # From the clients.

    def ready(self) -> bool:
        return self.backends.usable()

    def take(self, call: Call, slot: Slot, waited: float) -> None:
        """`waited`: seconds that the command lay here already. Raises `BadCall`."""
        if call.id in self._ids:
            raise BadCall("a request with this id is open")
        now, number = self.now(), next(self._numbers)
        wait = min(call.wait_ms * MILLISECOND, self.config.settings.classes[call.cls].deadline)
        valid_until = min(now + max(0, wait - int(waited * SECOND) - MARGIN), self._end_by)
        request = Request(call, slot, valid_until)
        self._ids.add(call.id)
        slot.request = number
        self._requests[number] = request
        self._handle(
            Arrival(
                number,
                call.cls,
                call.plan,
                call.customer,
                valid_until,
                call.units,
                call.spread,
                call.first,
                call.options,
            ),
            number,
        )
        if number in self._requests:
            delay = (valid_until - self.now()) / SECOND
            request.timer = self._loop.call_later(max(0.0, delay), self.time_is_up, number)

    def left(self, number: int) -> None:
        request = self._requests.get(number)
        if request is not None and not request.closed:
            self._close(number, request)
            self._handle(ClientDisconnected(number))
            if request.bound is not None:
                self.backends.cancel(request.bound)
            # What still connects would be written long after its client went.
            for attempt in list(request.out.values()):
                self.backends.spare(attempt)

    def time_is_up(self, number: int) -> None:
        """The client's time is up: attempts still out end, and the request gets an answer come what may."""
        request = self._requests[number]
        if request.bound is not None:
            return  # its first bytes came in time; the value's own flow says when it has broken off
        left = request.valid_until - self.now()
        if left > 0:  # timers count in milliseconds and may come early
            request.timer = self._loop.call_later(left / SECOND, self.time_is_up, number)
            return
        for attempt in list(request.out.values()):
            self.backends.expire(attempt)
        if not request.closed:
            # The module left it open, perhaps after a fault: a failure promises nothing.
            self._answer(number, request, b"-ERR out of time\r\n", Ended.FAILED)
            self._handle(ClientDisconnected(number))

    # Answers.

    def _close(self, number: int, request: Request) -> None:
        """The final answer is given, or nobody is there for it: no other follows."""
        if not request.closed:
            request.closed = True
            self._ids.discard(request.call.id)
        self._forget(number, request)

    def _forget(self, number: int, request: Request) -> None:
        """Once its last attempt is over too. Until then the timer stays: a silent backend would hold the
        connection of an attempt that nobody waits for, and its place in the module's count, for good.
        """
        if request.closed and not request.out:
            if request.timer is not None:
                request.timer.cancel()
            self._requests.pop(number, None)

    def _answer(self, number: int, request: Request, answer: bytes, how: Ended) -> None:
        self._figures.end(request.call.cls, how)
        self._close(number, request)
        if request.bound is not None and how is not Ended.PASSED:
            request.slot.client.cut(request.slot, answer)
        else:
            request.slot.client.answer(request.slot, answer)

    # From the backends.

    def _begun(self, attempt: Attempt, length: int, flow: Flow) -> Relay | None:
        """A large value has begun to come; None where nobody waits for it, or another one is on its way."""
        number, request = attempt.request, self._requests[attempt.request]
        if request.closed or request.bound is not None:
            return None
        request.bound = attempt
        if attempt.timer is not None:
            attempt.timer.cancel()
        relay = request.slot.client.relay(request.slot, length, flow)
        elapsed = max(0, attempt.begun - attempt.started)
        self._handle(ResponseStarted(number, elapsed, attempt.index, attempt.backend), number)
        return None if request.closed else relay

    def _attempt_ended(self, attempt: Attempt, outcome: Outcome, value: bytes | None, report: Report) -> None:
        elapsed = max(0, self.now() - attempt.started)
        names = self.config.settings.report_names
        load = tuple(report[name] for name in names) if report and report.keys() >= set(names) else ()
        if isinstance(attempt, ProbeAttempt):
            self._handle(ProbeEnded(outcome, attempt.backend, elapsed, load))
            return
        self._ends[outcome] += 1
        number = attempt.request
        request = self._requests[number]
        request.out.pop(attempt.index, None)
        if request.bound is attempt:
            elapsed = max(0, attempt.begun - attempt.started)  # what came after it was the network's time
            if not request.closed and outcome is Outcome.OK:
                relay = cast(Relay, request.slot.relay)
                self._answer(number, request, relay.end(), Ended.PASSED)
            elif not request.closed:
                self._answer(number, request, b"-ERR failed\r\n", Ended.FAILED)
        elif outcome is Outcome.OK and value is not None and not request.closed:
            self._answer(number, request, b"$%d\r\n%b\r\n" % (len(value), value), Ended.PASSED)
        # The module's figure is one more than the percentage; 0 says that none was told.
        used = 1 + min(USED_MOST, int(report["used"])) if "used" in report else 0
        over = request.closed or request.bound is not None
        event = AttemptEnded(number, over, 0, attempt.backend, used, outcome, elapsed, attempt.index, load)
        self._handle(event, number)
        self._forget(number, request)

    # The module.

    def _handle(self, event: Event, number: int = 0) -> None:
        """One event in, its actions out; a fault costs one request a failure, never the process."""
        try:
            actions = self.module.handle(self.now(), event)
        except Exception:
            log.exception("fault in handling %s", type(event).__name__)
            self._fault(number)
            if isinstance(event, TimerFired):
                self._act(SetTimer(FAULT_RETRY, event.token))
            if isinstance(event, Topology):
                # A lost notice of a drain would break rule 3: the watch is taken up again before it.
                raise ListError("not taken in by the module") from None
            return
        for action in actions:
            # Each by itself: one that can't be carried out must not take the module's next beat with it.
            try:
                self._act(action)
            except Exception:
                log.exception("fault in carrying out %s", type(action).__name__)
                self._fault(getattr(action, "request", 0))

    def _fault(self, number: int) -> None:
        """The request that a fault hit still gets its one answer, and the module need not keep it."""
        request = self._requests.get(number)
        if request is not None and not request.closed:
            self._answer(number, request, b"-ERR internal fault\r\n", Ended.FAILED)
            self._handle(ClientDisconnected(number))

    def _act(self, action: Action) -> None:
        match action:
            case Send():
                self._send(action)
            case Reject(number, retry_in):
                if (request := self._requests.get(number)) is not None and not request.closed:
                    wait = -(-retry_in // MILLISECOND)
                    answer = b"-BUSY %d\r\n" % wait if wait else b"-BUSY\r\n"
                    self._answer(number, request, answer, Ended.DROPPED)
            case Fail(number):
                if (request := self._requests.get(number)) is not None and not request.closed:
                    self._answer(number, request, b"-ERR failed\r\n", Ended.FAILED)
            case SetTimer(after, token):
                self._loop.call_later(after / SECOND, self._handle, TimerFired(token))
            case SendPeerMessage(to, data):
                self.peers.tell(to, data)
            case AddToCounter(name, lifetime, amount) if self.counter is not None:
                self.counter.call(name, lifetime, amount)
            case CancelAttempt(number, index):
                request = self._requests.get(number)
                if request is not None and (attempt := request.out.get(index)) is not None:
                    self._loop.call_soon(self._cancel, attempt)
            case CloseIdleConnections(backend):
                self.backends.close_idle(backend)
            case LogLine(text):
                log.info("%s", text)
            case Probe(backend) if self.config.settings.may_probe:
                now, wait = self.now(), self.config.connect_timeout
                self.backends.start(ProbeAttempt(backend, now, now + wait), wait / SECOND)
            case WatchEndpoints():
                pass  # the watch is open from the start
            case _:
                log.error("%s is not possible on sockets", type(action).__name__)

    def _send(self, action: Send) -> None:
        request, now = self._requests.get(action.request_id), self.now()
        if request is None:
            # The module counts it as out all the same, until it is told that it is not.
            log.error("attempt for a request that is over")
            self._moot(action, 0, True)
            return
        index = request.attempts
        request.attempts += 1
        over = request.closed or self._left_unseen(request)
        if over or now >= request.valid_until:
            self._moot(action, index, over)
            return
        left = request.valid_until - now
        timeout = action.timeout / SECOND if 0 < action.timeout < left else None
        expires = now + (action.timeout if timeout is not None else left)
        call = request.call
        attempt = Attempt(
            action.request_id,
            index,
            action.endpoint,
            now,
            expires,
            (call.front, call.head, call.tail, call.body),
            action.send_deadline,
        )
        request.out[index] = attempt
        self.backends.start(attempt, timeout)

    def _left_unseen(self, request: Request) -> bool:
        """Whether the client has closed its connection, though the loop may not have come to read that yet:
        asked before each attempt, as one that begins more than 0.1 s after the close is a break.
        """
        client = request.slot.client
        if not client.gone():
            return False
        self._loop.call_soon(client.abort)  # its requests end where all do whose client has left
        return True

    def _wanted(self, attempt: Attempt) -> bool:
        request = self._requests.get(attempt.request)
        return request is None or not self._left_unseen(request)

    def _moot(self, action: Send, index: int, finished: bool) -> None:
        event = AttemptEnded(
            action.request_id, finished, 0, action.endpoint, 0, Outcome.NOT_SENT, 0, index, ()
        )
        self._loop.call_soon(self._handle, event, action.request_id)

    def _cancel(self, attempt: Attempt) -> None:
        """Not within the module's own turn: its outcome is an event of its own."""
        request = self._requests.get(attempt.request)
        if request is not None and attempt.index in request.out:
            self.backends.cancel(attempt)
