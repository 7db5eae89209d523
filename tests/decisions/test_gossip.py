"""Quotas kept by gossip: usage that peers report, reordered messages, and restarts."""

from __future__ import annotations

import pytest

from qos_gateway.decisions.engine import TICK_TIMER, DecisionEngine
from qos_gateway.decisions.quota.gossip_quota import GossipQuota
from qos_gateway.decisions.quota.peers.gossip import PeerStatus
from qos_gateway.decisions.quota.peers.peer_messages import CustomerTotal, encode_totals
from qos_gateway.decisions.statistics.time_constants import TICK_INTERVAL_NS
from qos_gateway.types import PeerMessage, SendPeerMessage, TimerFired
from tests.support.builders import MS, SECOND, arrival, ended, full_list, listed_endpoint, plan, settings
from tests.support.engines import engine_alone, sends


def gossip_message(spent_quarter_units: int, age_tenths: int, incarnation: int = 9) -> PeerMessage:
    return PeerMessage(1, encode_totals(incarnation, age_tenths, [CustomerTotal(1, spent_quarter_units, 0)]))


def test_slices_of_a_ceiling_never_exceed_it_in_total() -> None:
    plan_with_ceiling = plan(
        ceiling_rate=10.0, ceiling_burst=20.0, ceiling_slack=2.0, rate=1000.0, burst=1000.0
    )
    sent = 0
    for position in range(2):
        engine = DecisionEngine(settings(plans=(plan_with_ceiling,), position=position), 7, 0)
        engine.handle(0, full_list(listed_endpoint(1), listed_endpoint(2)))
        for i in range(1000):
            now = i * 10 * MS
            for send in sends(engine.handle(now, arrival(i, now))):
                sent += 1
                engine.handle(now, ended(i, send.endpoint))
    assert sent <= 10.0 * 10 + 2.0 + 2


def test_usage_reported_by_gossip_is_subtracted_from_the_bucket() -> None:
    receiver, sender = (DecisionEngine(settings(position=p), p + 7, 0) for p in range(2))
    for engine in (receiver, sender):
        engine.handle(0, full_list(listed_endpoint(1), listed_endpoint(2)))
        engine.handle(0, arrival(1000, 0))
    for i in range(19):
        sender.handle(MS, arrival(i, MS))
        sender.handle(MS, ended(i, 1))
    messages = [
        a for a in sender.handle(TICK_INTERVAL_NS, TimerFired(TICK_TIMER)) if isinstance(a, SendPeerMessage)
    ]
    receiver.handle(TICK_INTERVAL_NS, PeerMessage(1, messages[0].data))
    assert receiver.quota.accounts[1].buckets.tokens < 5.0


def test_reordered_gossip_is_ignored() -> None:
    engine = engine_alone()
    engine.handle(0, arrival(1, 0))
    engine.handle(MS, gossip_message(400, 10))
    tokens_before = engine.quota.accounts[1].buckets.tokens
    engine.handle(MS, gossip_message(380, 8))
    assert engine.quota.accounts[1].buckets.tokens == tokens_before
    engine.handle(MS, gossip_message(408, 12))
    assert engine.quota.accounts[1].buckets.tokens == pytest.approx(max(-20.0, tokens_before - 2.0))


def test_total_counts_from_zero_after_a_peer_pruned_the_account() -> None:
    engine = engine_alone()
    engine.handle(0, arrival(1, 0))
    engine.handle(MS, gossip_message(400, 10))
    now = 4 * SECOND
    engine.handle(now, gossip_message(400, 40))
    tokens_before = engine.quota.accounts[1].buckets.tokens
    engine.handle(now, gossip_message(8, 41))  # the peer pruned the account, then the customer returned
    assert engine.quota.accounts[1].buckets.tokens == pytest.approx(tokens_before - 2.0)


def test_totals_of_a_restarted_peer_count_from_zero_even_if_they_arrive_late() -> None:
    engine = engine_alone()
    engine.handle(0, arrival(1, 0))
    now = 4 * SECOND
    engine.handle(now, gossip_message(8, 40))
    # The first message after the restart, in which the customer has no total yet.
    engine.handle(now, PeerMessage(1, encode_totals(10, 0, [])))
    tokens_before = engine.quota.accounts[1].buckets.tokens
    engine.handle(now, gossip_message(12, 1, incarnation=10))
    assert engine.quota.accounts[1].buckets.tokens == pytest.approx(tokens_before - 3.0)


def test_gossip_with_an_implausible_age_does_not_block_later_gossip() -> None:
    engine = engine_alone()
    engine.handle(0, arrival(1, 0))
    engine.handle(MS, gossip_message(4, 0xFFFF))
    tokens_before = engine.quota.accounts[1].buckets.tokens
    engine.handle(MS, gossip_message(8, 10))
    assert engine.quota.accounts[1].buckets.tokens == pytest.approx(tokens_before - 1.0)


def test_malformed_peer_messages_are_ignored() -> None:
    engine = engine_alone()
    for data in (b"", b"x", b"abcdefg"):
        assert engine.handle(MS, PeerMessage(1, data)) == []


def test_silent_peer_regains_its_even_slice() -> None:
    engine = engine_alone()
    engine.handle(0, arrival(1, 0))
    account = engine.quota.accounts[1]
    assert isinstance(engine.quota, GossipQuota)
    engine.quota.peer_gossip.peers[1] = PeerStatus(0, 0, 0)
    assert engine.quota.quota_share(0, account) == 1.0
    assert engine.quota.quota_share(10 * SECOND, account) == 0.5


def test_restarted_gateway_reduces_its_buckets_to_a_slice() -> None:
    restarted, peer = engine_alone(), DecisionEngine(settings(position=1), 8, 0)
    peer.handle(0, full_list(listed_endpoint(1)))
    messages = [a for a in peer.handle(9 * SECOND, TimerFired(TICK_TIMER)) if isinstance(a, SendPeerMessage)]
    restarted.handle(MS, arrival(1, MS))
    assert restarted.quota.accounts[1].buckets.tokens == 19.0
    restarted.handle(MS, PeerMessage(1, messages[0].data))
    assert restarted.quota.accounts[1].buckets.tokens == 10.0
