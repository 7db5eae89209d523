"""The gateways of one customer with leased quotas, and their counter."""

from __future__ import annotations

import random
from collections import defaultdict
from dataclasses import dataclass, field

from qos_gateway.decisions.engine import DecisionEngine
from qos_gateway.types import Action, AddToCounter, CounterReplied, ListKind, Outcome, Reject, Send
from tests.support.builders import MS, SECOND, arrival, ended, full_list, listed_endpoint, plan, settings

LEASE_TERM_NS, GATEWAY_COUNT = 50 * SECOND, 10
LEASED_PLAN = plan(rate=10.0, burst=40.0, excess_cost=0.5)


def leasing_gateway(position: int, now: int = 0, seed: int = 0, **changes: object) -> DecisionEngine:
    """Return one of `GATEWAY_COUNT` gateways with eight endpoints; seed 0 means its default seed."""
    changes = {
        "gateway_count": GATEWAY_COUNT,
        "position": position,
        "plans": (LEASED_PLAN,),
        "lease_term": LEASE_TERM_NS,
        **changes,
    }
    made = DecisionEngine(settings(has_counter=True, may_message=False, **changes), seed or position + 7, now)
    made.handle(now, full_list(*map(listed_endpoint, range(1, 9)), kind=ListKind.CACHED))
    return made


@dataclass
class CustomerGateways:
    """The gateways of one customer, and the counter.

    `replies` scripts the counter's calls in order: ok, late, lost, twice, refused, busy or empty; then ok.
    """

    replies: list[str] = field(default_factory=list)
    totals: dict[int, float] = field(default_factory=lambda: defaultdict(float))
    calls: int = 0
    request: int = 0
    waited: int = 0  # requests without an action in their own event
    gateways: list[DecisionEngine] = field(
        default_factory=lambda: [leasing_gateway(i) for i in range(GATEWAY_COUNT)]
    )

    def send_request(self, now: int, position: int) -> bool:
        """Send one request, which is answered at once; return whether it was forwarded."""
        self.request += 1
        gateway = self.gateways[position]
        actions = gateway.handle(
            now, arrival(self.request, now, gateway_spread=GATEWAY_COUNT, first_gateway=0)
        )
        self.reply_to_calls(now, gateway, actions)
        forwarded = any(isinstance(a, Send) for a in actions)
        self.waited += not (forwarded or any(isinstance(a, Reject) for a in actions))
        for a in actions:
            if isinstance(a, Send):
                self.reply_to_calls(now, gateway, gateway.handle(now + MS, ended(a.request_id, a.endpoint)))
        return forwarded

    def reply_to_calls(self, now: int, gateway: DecisionEngine, actions: list[Action]) -> None:
        for a in actions:
            if isinstance(a, AddToCounter):
                self.calls += 1
                gateway.handle(now + 2 * MS, self.reply(a))

    def reply(self, call: AddToCounter) -> CounterReplied:
        scripted = self.replies.pop(0) if self.replies else "ok"
        if scripted in ("refused", "busy"):
            outcome = Outcome.CONNECT_FAILED if scripted == "refused" else Outcome.OVERLOADED
            return CounterReplied(2 * MS, outcome, call.key, 0.0)
        if scripted == "empty":
            self.totals.clear()
        if scripted != "lost":
            self.totals[call.key] += call.amount * (2 if scripted == "twice" else 1)
        if scripted in ("late", "lost"):
            return CounterReplied(80 * MS, Outcome.TIMEOUT, call.key, 0.0)
        return CounterReplied(2 * MS, Outcome.OK, call.key, self.totals[call.key])

    def shares(self, now: int) -> list[float]:
        """Return the part of the quota that each gateway with an account of the customer holds."""
        return [
            gateway.quota.leases.quota_share(now, gateway.quota.accounts[1])
            for gateway in self.gateways
            if gateway.quota.leases and 1 in gateway.quota.accounts
        ]

    def press(
        self, start_s: float, duration_s: float, per_s: int, rng: random.Random, skew: int = GATEWAY_COUNT
    ) -> int:
        """Send `per_s` requests per second; return how many were forwarded.

        Half of them go to the first `skew` gateways, the others to any.
        """
        interval = SECOND // per_s
        return sum(
            self.send_request(
                int(start_s * SECOND) + i * interval, rng.randrange(rng.choice((skew, GATEWAY_COUNT)))
            )
            for i in range(int(duration_s * per_s))
        )
