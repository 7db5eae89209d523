"""Gossip of running totals to all peers; as totals are cumulative, a later message replaces a lost one."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from ....types import Action, SendPeerMessage
from ..account.customer_account import CustomerAccount
from .peer_messages import MAX_TOTALS_PER_MESSAGE, CustomerTotal, GossipMessage, encode_totals
from .process_age import ProcessAge

MAX_REORDERING_TENTHS = 50  # tenths of a second; a larger decrease of a peer's age means a restart


@dataclass(frozen=True, slots=True)
class PeerStatus:
    """What the last message of another gateway said of it."""

    incarnation: int  # identifies the process; a restart changes it
    received_at: int  # in ns
    age_tenths: int  # age of the process when it sent the message, in tenths of a second


class Gossip:
    """Builds the periodic message to all peers, and tracks the last message of each peer. Times are in ns."""

    def __init__(self, incarnation: int, interval: float, age: ProcessAge) -> None:
        self.incarnation = incarnation
        self.interval = interval
        self.age = age
        self.sent_at = age.started_at
        self.peers: dict[int, PeerStatus] = {}  # keys are positions of gateways

    def mark_sent_if_due(self, now: int) -> bool:
        """Return whether the next message is due; if so, mark it as sent."""
        if now - self.sent_at < self.interval:
            return False
        self.sent_at = now
        return True

    def message(self, now: int, accounts: Iterable[CustomerAccount]) -> Action:
        """Return a message with pending totals, those that were repeated least first."""
        changed = [a for a in accounts if a.peer_totals.pending_messages and a.peer_totals.peers]
        changed.sort(key=lambda account: (-account.peer_totals.pending_messages, account.customer_id))
        included = changed[:MAX_TOTALS_PER_MESSAGE]
        for account in included:
            account.peer_totals.message_sent()
        totals = [
            CustomerTotal(account.customer_id, account.peer_totals.spent_quarter_units, account.in_flight)
            for account in included
        ]
        return SendPeerMessage(None, encode_totals(self.incarnation, self.age.tenths(now), totals))

    def is_out_of_order(self, sender: int, message: GossipMessage) -> bool:
        """Return whether a newer message of the same process has already arrived."""
        last = self.peers.get(sender)
        if last is None or last.incarnation != message.incarnation:
            return False
        return 0 < last.age_tenths - message.sender_age <= MAX_REORDERING_TENTHS

    def record_message(
        self, now: int, sender: int, message: GossipMessage, accounts: Iterable[CustomerAccount]
    ) -> bool:
        """Record a peer's message, and return whether its totals continue the earlier ones.

        They do not if the peer is new or was restarted; all accounts then forget its totals.
        """
        last = self.peers.get(sender)
        self.peers[sender] = PeerStatus(message.incarnation, now, message.sender_age)
        if last is not None and last.incarnation == message.incarnation:
            return True
        for account in accounts:
            account.peer_totals.forget(sender)
        return False
