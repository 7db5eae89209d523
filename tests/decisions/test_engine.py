"""The decision engine: one final response per request, bounded memory, and the cost of an event."""

from __future__ import annotations

import sys
from typing import Any

from hypothesis import given, seed
from hypothesis import settings as hypothesis_settings

from qos_gateway.decisions.engine import TICK_TIMER, DecisionEngine
from qos_gateway.decisions.quota.owner_quota import OwnerQuota
from qos_gateway.decisions.quota.peers.peer_messages import Reservation, ReservationKind, encode_reservation
from qos_gateway.types import CounterReplied, Event, Health, ListKind, Outcome, PeerMessage, TimerFired
from tests.support.builders import MS, SECOND, arrival, ended, full_list, listed_endpoint, settings
from tests.support.engines import engine_alone, sends
from tests.support.event_fuzzer import EVENTS, EventFuzzer
from tests.support.fleet import MANY

# Hypothesis derives the examples of derandomized tests from their source unless they have seeds of their own.
# These are the seeds of their first version, so that edits of the text do not change the examples.
EVENT_ORDER_SEED = (
    0x17F8EDDA6400AD5EA6992C230EA793E16F2A7E86E65957FCD24F45F97F13CB871588539604C0C0735A0FCB7D822E74D7
)
REMOTE_QUOTA_SEED = (
    0xDB26E83080F71BA5DE921B34BB13A92CF986093E4B3AFB20BF8A592BDCC5A0EC75620CDCA53C459D096F7F70058E3F3
)


def test_memory_is_bounded_with_short_lived_customers_and_endpoints() -> None:
    engine = engine_alone()
    sizes = []
    for second in range(240):
        now = second * SECOND
        update = full_list(
            listed_endpoint(100 + second), listed_endpoint(99 + second, Health.REMOVED), kind=ListKind.DELTA
        )
        engine.handle(now, update)
        for i in range(20):
            number = second * 20 + i
            for send in sends(engine.handle(now, arrival(number, now, customer_id=number))):
                engine.handle(now, ended(number, send.endpoint))
        engine.handle(now, TimerFired(TICK_TIMER))
        sizes.append(
            (
                len(engine.quota.accounts),
                len(engine.load_balancer.registry.endpoints),
                len(engine.commitments.active),
            )
        )
    assert max(sizes[120:]) <= max(sizes[60:120])
    assert sizes[-1][1] <= 6
    assert engine.commitments.by_customer.keys() <= engine.quota.accounts.keys()
    assert not engine.request_table.open
    assert not engine.request_table.attempts
    assert engine.request_table.in_flight == 0


@seed(EVENT_ORDER_SEED)
@hypothesis_settings(derandomize=True, deadline=None, max_examples=150)
@given(EVENTS)
def test_each_request_gets_one_final_response_in_any_order_of_events(
    events: list[tuple[str, int, Outcome, int, int]],
) -> None:
    """The fuzzer checks the responses; a second run shows that the same events cause the same actions."""
    fuzzer, repeated = EventFuzzer(), EventFuzzer()
    fuzzer.play(events)
    repeated.play(events)
    assert fuzzer.log == repeated.log


class RemoteQuotaFuzzer(EventFuzzer):
    """Plays events with quotas held by an owner or the counter, and sends the replies of both."""

    def __init__(self, **changed_settings: Any) -> None:
        super().__init__()
        self.gateway = DecisionEngine(
            settings(gateway_count=MANY, messages_per_s=1.0, **changed_settings), 3, 0
        )

    def feed(self, now: int, event: Event) -> None:
        super().feed(now, event)
        for tag in list(self.gateway.admission.pending_reservations):
            # One reservation in three stays without a reply.
            reply_kind = self.log and tag % 3
            if reply_kind:
                message = encode_reservation(
                    Reservation(
                        kind=ReservationKind.GRANTED if reply_kind == 1 else ReservationKind.DENIED,
                        customer_id=1,
                        plan_index=0,
                        units=5.0,
                        tag=tag,
                        sender_age=0,
                    )
                )
                super().feed(now, PeerMessage(1, message))
        if not isinstance(self.gateway.quota, OwnerQuota):
            for key, calls in list(self.gateway.quota.counter.pending_calls.items()):
                if calls:
                    super().feed(now, CounterReplied(MS, Outcome(1 + len(self.log) % 3), key, 2.0))

    def end(self, now: int, attempt: tuple[int, int], outcome: Outcome) -> None:
        super().end(now, attempt, outcome)
        if outcome is Outcome.TIMEOUT:
            self.feed(now + SECOND, TimerFired(TICK_TIMER))

    def play(self, steps: list[tuple[str, int, Outcome, int, int]]) -> None:
        super().play([*steps, ("tick", 0, Outcome.OK, 400, 0)])


@seed(REMOTE_QUOTA_SEED)
@hypothesis_settings(derandomize=True, deadline=None, max_examples=100)
@given(EVENTS)
def test_each_request_gets_one_final_response_with_quotas_at_an_owner_or_the_counter(
    events: list[tuple[str, int, Outcome, int, int]],
) -> None:
    RemoteQuotaFuzzer().play(events)
    RemoteQuotaFuzzer(may_message=False, has_counter=True).play(events)


def test_cost_of_an_event_does_not_grow_with_the_gateway_count() -> None:
    def count_calls(gateway_count: int) -> int:
        engine = DecisionEngine(settings(gateway_count=gateway_count, messages_per_s=1.0), 7, 0)
        engine.handle(0, full_list(*(listed_endpoint(i) for i in range(1, 9))))
        call_count = 0

        def count_call(_frame: object, event: str, _arg: object) -> None:
            nonlocal call_count
            call_count += event in ("call", "c_call")

        sys.setprofile(count_call)
        try:
            for i in range(300):
                engine.handle(
                    i * 10 * MS, arrival(i, i * 10 * MS, customer_id=i % 40, gateway_spread=gateway_count)
                )
                if i % 10 == 0:
                    engine.handle(i * 10 * MS, TimerFired(TICK_TIMER))
        finally:
            sys.setprofile(None)
        return call_count

    assert count_calls(1000) <= 1.1 * count_calls(100)
