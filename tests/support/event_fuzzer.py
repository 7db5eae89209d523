"""Unusual but legal orders of events, with a check of every action."""

from __future__ import annotations

from hypothesis import strategies as st

from qos_gateway.decisions.engine import TICK_TIMER, DecisionEngine
from qos_gateway.types import (
    NOT_EXECUTED,
    Action,
    ClientDisconnected,
    Event,
    Fail,
    Health,
    ListKind,
    Outcome,
    PeerMessage,
    Reject,
    Send,
    TimerFired,
)
from tests.support.builders import MS, SAFE, UNSAFE, arrival, ended, full_list, listed_endpoint, settings

EVENTS = st.lists(
    st.tuples(
        st.sampled_from(["arrive", "attempt ended", "disconnect", "tick", "endpoint list", "peer message"]),
        st.integers(0, 12),
        st.sampled_from(list(Outcome)),
        st.integers(0, 400),
        st.integers(0, 2),
    ),
    max_size=80,
)


class EventFuzzer:
    """Plays unusual but legal orders of events, and checks rule 1 and rule 2 on every action."""

    def __init__(self) -> None:
        self.gateway = DecisionEngine(settings(), 3, 0)
        self.classes: dict[int, int] = {}
        self.state: dict[int, str] = {}
        self.in_flight: dict[tuple[int, int], int] = {}
        self.count: dict[int, int] = {}
        self.may_have_executed: set[int] = set()
        self.log: list[Action] = []

    def feed(self, now: int, event: Event) -> None:
        for action in self.gateway.handle(now, event):
            self.log.append(action)
            if isinstance(action, Send):
                assert self.state[action.request_id] == "open"
                assert (
                    self.classes[action.request_id] != UNSAFE
                    or action.request_id not in self.may_have_executed
                )
                number = self.count.get(action.request_id, 0)
                self.count[action.request_id] = number + 1
                self.in_flight[action.request_id, number] = action.endpoint
            elif isinstance(action, Reject):
                assert self.state[action.request_id] == "open"
                assert (
                    self.classes[action.request_id] == SAFE or action.request_id not in self.may_have_executed
                )
                self.state[action.request_id] = "answered"
            elif isinstance(action, Fail):
                assert self.state[action.request_id] == "open"
                self.state[action.request_id] = "answered"

    def play(self, steps: list[tuple[str, int, Outcome, int, int]]) -> None:
        now = 0
        self.feed(now, full_list(*(listed_endpoint(i, cell=i % 2) for i in range(4)), kind=ListKind.CACHED))
        for number, (what, pick, outcome, wait, cls) in enumerate(steps):
            now += wait * MS
            if what == "arrive":
                self.classes[number], self.state[number] = cls, "open"
                self.feed(now, arrival(number, now, cls, customer_id=pick))
            elif what == "attempt ended" and self.in_flight:
                self.end(now, sorted(self.in_flight)[pick % len(self.in_flight)], outcome)
            elif what == "disconnect" and self.state:
                request = sorted(self.state)[pick % len(self.state)]
                if self.state[request] == "open":
                    self.state[request] = "disconnected"
                self.feed(now, ClientDisconnected(request))
            elif what == "tick":
                self.feed(now, TimerFired(TICK_TIMER))
            elif what == "endpoint list":
                health = list(Health)[pick % 3]
                self.feed(
                    now,
                    full_list(listed_endpoint(pick % 5, health, started_at=now * cls), kind=ListKind.DELTA),
                )
            elif what == "peer message":
                self.feed(now, PeerMessage(1, bytes([pick]) * (4 + 11 * (wait % 3))))
        while self.in_flight:
            self.end(now, min(self.in_flight), Outcome.TIMEOUT)
        assert "open" not in self.state.values()

    def end(self, now: int, attempt: tuple[int, int], outcome: Outcome) -> None:
        request, number = attempt
        endpoint = self.in_flight.pop(attempt)
        if outcome not in NOT_EXECUTED:
            self.may_have_executed.add(request)
        if outcome is Outcome.OK and self.state[request] == "open":
            self.state[request] = "served"
        finished = self.state[request] != "open"
        self.feed(now, ended(request, endpoint, outcome, number, finished=finished))
