"""Many engines with messages and a counter between them."""

from __future__ import annotations

import random
from typing import Any

from qos_gateway.decisions.admission.pending_reservations import RESERVATION_TIMEOUT_NS
from qos_gateway.decisions.engine import TICK_TIMER, DecisionEngine
from qos_gateway.types import (
    Action,
    AddToCounter,
    CounterReplied,
    Event,
    Fail,
    ListKind,
    Outcome,
    PeerMessage,
    Reject,
    Send,
    SendPeerMessage,
    TimerFired,
)
from tests.support.builders import SECOND, arrival, ended, full_list, listed_endpoint, settings

MANY = 200


class Fleet:
    """Many gateways with a counter; messages between them may be lost, and the counter may time out."""

    def __init__(self, seed: int = 1, **changes: Any) -> None:
        self.changes = {"gateway_count": MANY, "messages_per_s": 40.0, **changes}
        self.rng = random.Random(seed)
        self.totals: dict[int, float] = {}
        self.sent: list[tuple[int, Send]] = []
        self.rejected = 0
        self.message_loss = 0.0
        self.counter_responds = True
        self.endpoints = [listed_endpoint(i) for i in range(1, 9)]
        self.gateways = [self.start_gateway(p, 0) for p in range(self.changes["gateway_count"])]

    def start_gateway(self, position: int, now: int) -> DecisionEngine:
        made = DecisionEngine(settings(position=position, **self.changes), position + 7, now)
        self.execute(now, position, made.handle(now, full_list(*self.endpoints, kind=ListKind.CACHED)))
        return made

    def deliver(self, now: int, position: int, event: Event) -> None:
        self.execute(now, position, self.gateways[position].handle(now, event))

    def execute(self, now: int, position: int, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, Send):
                self.sent.append((now, action))
            elif isinstance(action, Reject | Fail):
                self.rejected += 1
            elif (
                isinstance(action, SendPeerMessage)
                and action.recipient is not None
                and self.rng.random() >= self.message_loss
            ):
                self.deliver(now, action.recipient, PeerMessage(position, action.data))
            elif isinstance(action, AddToCounter):
                self.add_to_counter(now, position, action)

    def add_to_counter(self, now: int, position: int, call: AddToCounter) -> None:
        if not self.counter_responds:
            self.deliver(now, position, CounterReplied(0, Outcome.TIMEOUT, call.key, 0.0))
            return
        self.totals[call.key] = self.totals.get(call.key, 0.0) + call.amount
        self.deliver(now, position, CounterReplied(0, Outcome.OK, call.key, self.totals[call.key]))

    def send_load(self, seconds: float, per_s: int, start: int = 0, **changes: Any) -> None:
        """Send one customer's requests through any gateway; attempts end after two reservation time-outs."""
        for i in range(int(seconds * per_s)):
            now = start + i * SECOND // per_s
            position = self.rng.randrange(len(self.gateways))
            request, before = start + i, len(self.sent)
            spread = {"gateway_spread": len(self.gateways), **changes}
            self.deliver(now, position, arrival(request, now, **spread))
            late = now + 2 * RESERVATION_TIMEOUT_NS
            if request in self.gateways[position].request_table.open and len(self.sent) == before:
                self.deliver(late, position, TimerFired(TICK_TIMER))
            for _, send in self.sent[before:]:
                self.deliver(late, position, ended(send.request_id, send.endpoint))
