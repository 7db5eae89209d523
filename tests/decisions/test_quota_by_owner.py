"""Quotas and ceilings of many gateways whose buckets have an owner."""

from __future__ import annotations

from collections.abc import Iterator

import pytest

from qos_gateway.decisions.admission.pending_reservations import RESERVATION_TIMEOUT_NS
from qos_gateway.decisions.engine import TICK_TIMER, DecisionEngine
from qos_gateway.decisions.quota.peers.peer_messages import (
    Reservation,
    ReservationKind,
    decode_reservation,
    encode_reservation,
)
from qos_gateway.types import PeerMessage, Reject, Send, SendPeerMessage, TimerFired
from tests.support.builders import MS, SECOND, arrival, ended, full_list, listed_endpoint, plan, settings
from tests.support.fleet import MANY, Fleet

QUOTA_OF_20_S = 220  # units: a burst of 20, and 10 per second


def test_quota_holds_over_all_gateways() -> None:
    fleet = Fleet()
    fleet.send_load(20.0, 100)
    assert 0.85 * QUOTA_OF_20_S <= len(fleet.sent) <= 1.1 * QUOTA_OF_20_S


def test_quota_is_mostly_used_if_messages_are_lost() -> None:
    fleet = Fleet()
    fleet.message_loss = 0.3
    fleet.send_load(20.0, 100)
    assert 0.7 * QUOTA_OF_20_S <= len(fleet.sent) <= 4 * QUOTA_OF_20_S


def test_gateways_without_messages_stay_within_the_quota() -> None:
    fleet = Fleet()
    fleet.message_loss = 1.0
    fleet.send_load(20.0, 100)
    assert 0 < len(fleet.sent) <= 1.5 * QUOTA_OF_20_S


PLAN_WITH_CEILING = plan(rate=30.0, burst=60.0, ceiling_rate=20.0, ceiling_burst=40.0, ceiling_slack=4.0)


@pytest.mark.parametrize("message_loss", [0.0, 0.3, 1.0])
def test_ceiling_holds_over_all_gateways_despite_lost_messages_and_restarts(message_loss: float) -> None:
    fleet = Fleet(plans=(PLAN_WITH_CEILING,))
    fleet.message_loss = message_loss
    for second in range(10):
        fleet.send_load(1.0, 200, start=second * SECOND, gateway_spread=20)
        for position in fleet.rng.sample(range(MANY), MANY // 4):
            fleet.gateways[position] = fleet.start_gateway(position, second * SECOND + SECOND)
    tokens, refilled_at = PLAN_WITH_CEILING.ceiling_burst, 0
    for now, _ in fleet.sent:
        refilled = tokens + 20.0 * (now - refilled_at) / SECOND
        tokens, refilled_at = min(PLAN_WITH_CEILING.ceiling_burst, refilled) - 1.0, now
        assert tokens >= -PLAN_WITH_CEILING.ceiling_slack
    assert fleet.sent


def test_owner_grants_more_of_a_ceiling_than_even_slices_would() -> None:
    fleet = Fleet(plans=(PLAN_WITH_CEILING,))
    for i in range(100):
        sent_before = len(fleet.sent)
        fleet.deliver(i * 50 * MS, 3, arrival(i, i * 50 * MS, gateway_spread=20))
        for _, send in fleet.sent[sent_before:]:
            fleet.deliver(i * 50 * MS, 3, ended(send.request_id, send.endpoint))
    assert len(fleet.sent) >= 0.6 * 100


def test_requests_are_answered_after_the_timeout_of_an_unresponsive_owner() -> None:
    engine = DecisionEngine(settings(gateway_count=MANY, messages_per_s=40.0), 7, 0)
    engine.handle(0, full_list(listed_endpoint(1)))
    actions = [
        a for i in range(5) for a in engine.handle(MS, arrival(i, MS, customer_id=i, gateway_spread=MANY))
    ]
    waiting = len(engine.admission.pending_reservations)
    assert waiting == sum(isinstance(a, SendPeerMessage) for a in actions) > 0
    actions_after_timeout = engine.handle(MS + RESERVATION_TIMEOUT_NS, TimerFired(TICK_TIMER))
    assert sum(isinstance(a, Send | Reject) for a in actions_after_timeout) == waiting
    assert not engine.admission.pending_reservations


def malformed_messages() -> Iterator[bytes]:
    yield from (b"", b"x", b"\xff" * 18, b"\x00" * 18, b"\x01" * 64)
    yield encode_reservation(
        Reservation(
            kind=ReservationKind.RESERVE, customer_id=1, plan_index=99, units=1.0, tag=1, sender_age=0
        )
    )
    yield encode_reservation(
        Reservation(
            kind=ReservationKind.GRANTED, customer_id=77, plan_index=0, units=1.0, tag=12345, sender_age=0
        )
    )
    yield encode_reservation(
        Reservation(
            kind=ReservationKind.DENIED, customer_id=1, plan_index=0, units=-5.0, tag=1, sender_age=10**9
        )
    )


def test_malformed_messages_to_an_owner_are_ignored() -> None:
    for position in range(3):
        engine = DecisionEngine(settings(gateway_count=MANY, messages_per_s=1.0, position=position), 7, 0)
        for data in malformed_messages():
            assert not any(isinstance(a, Send) for a in engine.handle(MS, PeerMessage(5000, data)))


def test_reservations_are_decoded_as_they_were_encoded() -> None:
    reservation = Reservation(
        kind=ReservationKind.RESERVE,
        customer_id=2**33 - 1,
        plan_index=3,
        units=2.5,
        tag=2**32 - 1,
        sender_age=17,
    )
    assert decode_reservation(encode_reservation(reservation)) == reservation


@pytest.mark.parametrize(("spread", "first"), [(0, 0), (MANY + 50, 3), (1, 17), (3, MANY - 1), (-4, -9)])
def test_implausible_spreads_neither_raise_nor_admit_everything(spread: int, first: int) -> None:
    engine = DecisionEngine(settings(gateway_count=MANY, may_message=False), 7, 0)
    engine.handle(0, full_list(listed_endpoint(1)))
    sent = 0
    for i in range(200):
        actions = engine.handle(MS + i, arrival(i, MS, gateway_spread=spread, first_gateway=first))
        sent += any(isinstance(a, Send) for a in actions)
        engine.handle(MS + i, ended(i, 1))
    assert sent <= 30
