"""Gossip: running totals to all peers, so that the next message makes up for a lost one."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from ....types import Action, SendPeerMessage
from ..account.customer_account import CustomerAccount
from .peer_messages import MAX_TOTALS, CustomerTotal, GossipMessage, encode_totals
from .process_age import ProcessAge

MAX_REORDERING_TENTHS = 50  # tenths of a second; a peer whose age decreases by more was restarted


@dataclass(frozen=True, slots=True)
class PeerStatus:
    """The last message of another gateway."""

    incarnation: int  # changes when the gateway restarts
    received_at: int  # in ns
    age_tenths: int  # tenths of a second for which the gateway had been running


class Gossip:
    """Messages to all peers at intervals, and the last message of each peer."""

    def __init__(self, incarnation: int, interval: float, age: ProcessAge) -> None:
        self.incarnation = incarnation
        self.interval = interval  # in ns
        self.age = age
        self.sent_at = age.started_at  # in ns
        self.peers: dict[int, PeerStatus] = {}  # by position

    def mark_sent_if_due(self, now: int) -> bool:
        """Return whether the next message is due, and count it as sent."""
        if now - self.sent_at < self.interval:
            return False
        self.sent_at = now
        return True

    def message(self, now: int, accounts: Iterable[CustomerAccount]) -> Action:
        """Return a message with the totals that the fewest messages repeated."""
        changed = [a for a in accounts if a.peer_totals.pending_messages and a.peer_totals.peers]
        changed.sort(key=lambda account: (-account.peer_totals.pending_messages, account.customer_id))
        included = changed[:MAX_TOTALS]
        for account in included:
            account.peer_totals.message_sent()
        totals = [
            CustomerTotal(account.customer_id, account.peer_totals.spent_quarter_units, account.in_flight)
            for account in included
        ]
        return SendPeerMessage(None, encode_totals(self.incarnation, self.age.tenths(now), totals))

    def is_out_of_order(self, sender: int, message: GossipMessage) -> bool:
        """Return whether a newer message of the same process arrived before."""
        last = self.peers.get(sender)
        if last is None or last.incarnation != message.incarnation:
            return False
        return 0 < last.age_tenths - message.sender_age <= MAX_REORDERING_TENTHS

    def record_message(
        self, now: int, sender: int, message: GossipMessage, accounts: Iterable[CustomerAccount]
    ) -> bool:
        """Record a peer's message, and return whether its totals continue those that are known.

        If they do not, all accounts forget the totals of that peer.
        """
        last = self.peers.get(sender)
        self.peers[sender] = PeerStatus(message.incarnation, now, message.sender_age)
        if last is not None and last.incarnation == message.incarnation:
            return True
        for account in accounts:
            account.peer_totals.forget(sender)
        return False
