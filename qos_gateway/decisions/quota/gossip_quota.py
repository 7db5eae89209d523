"""Quotas replicated by gossip: each gateway keeps the whole bucket and broadcasts what it spent."""

from __future__ import annotations

import random

from ...types import Action, PeerMessage, Settings
from ...units import SECOND
from ..statistics.time_constants import TICK_INTERVAL_NS
from .account.bucket_reports import REPORT_FRESH_FOR_NS, share_by_report_age
from .account.customer_account import CustomerAccount
from .account.token_bucket import TokenBucket
from .peers.gossip import Gossip
from .peers.peer_messages import decode_totals
from .quota import Quota
from .quota_decision import QuotaReply


def message_interval(settings: Settings) -> float:
    """Return the interval of messages to all peers, in ns, that uses half of the message rate allowed."""
    return 2 * (settings.gateway_count - 1) * SECOND / max(1.0, settings.messages_per_s)


class GossipQuota(Quota):
    """Keeps the whole bucket of each customer, and subtracts what the peers report."""

    divides_bucket = True

    def __init__(self, settings: Settings, seed: int, now: int, rng: random.Random) -> None:
        super().__init__(settings, seed, now, rng)
        # Half a tick less, so that messages are sent at the nearest tick.
        interval = message_interval(settings) - TICK_INTERVAL_NS // 2
        self.peer_gossip = Gossip(self.incarnation, interval, self.age)

    def _is_owner(self, account: CustomerAccount) -> bool:  # noqa: ARG002
        return True

    def _assign_slice(self, account: CustomerAccount, count: int, first: int) -> None:
        super()._assign_slice(account, count, first)
        members = [(first + i) % self.settings.gateway_count for i in range(count)]
        account.peer_totals.set_peers(tuple(member for member in members if member != self.settings.position))
        if self.age.restarted:
            account.buckets.set_tokens(self._restart_tokens(account))

    def quota_share(self, now: int, account: CustomerAccount) -> float:
        """Return the fraction of the quota that this gateway may use; silent peers keep their slices."""
        not_received = self.age.started_at - REPORT_FRESH_FOR_NS
        peers = self.peer_gossip.peers
        reports = [peers[p].received_at if p in peers else not_received for p in account.peer_totals.peers]
        return share_by_report_age(now, account.buckets.slices, reports or [account.reports.reported_at])

    def _quota_bucket(self, now: int, account: CustomerAccount) -> TokenBucket:
        share = self.quota_share(now, account) * self.handover_fraction
        return TokenBucket(account.plan.rate * share, account.plan.burst * share)

    def gossip(self, now: int) -> list[Action]:
        """Return the message to all peers, if one is due."""
        return (
            [self.peer_gossip.message(now, self.accounts.values())]
            if self.peer_gossip.mark_sent_if_due(now)
            else []
        )

    def on_peer_message(self, now: int, event: PeerMessage) -> QuotaReply:
        """Subtract what a peer spent since its last message."""
        message = decode_totals(event.data)
        if message is None or self.peer_gossip.is_out_of_order(event.sender, message):
            return QuotaReply()
        continues = self.peer_gossip.record_message(now, event.sender, message, self.accounts.values())
        peer_is_older = self._detect_restart(now, message.sender_age)
        for total in message.totals:
            if account := self.accounts.get(total.customer_id):
                self.refill(now, account)
                account.apply_peer_total(event.sender, total.spent_quarter_units, continues, peer_is_older)
        return QuotaReply()
