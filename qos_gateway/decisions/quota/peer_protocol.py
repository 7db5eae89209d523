"""Messages between gateways, and what they mean for a quota."""

from __future__ import annotations

from collections.abc import Iterable

from ...types import Action, PeerMessage, SendPeerMessage
from ...units import SECOND
from . import peer_messages
from .account import CustomerAccount
from .peer_messages import GossipMessage, Reservation, ReservationKind
from .peer_totals import PeerStatus
from .quota_base import QuotaBase
from .quota_decision import QuotaReply


class PeerProtocol(QuotaBase):
    """The age of peers, told with each message: an older one shows that this gateway was restarted."""

    def age_tenths(self, now: int) -> int:
        """Return the tenths of a second for which this process has been running."""
        return (now - self.started_at) * 10 // SECOND

    def note_age(self, now: int, age_tenths: int) -> bool:
        """Return whether a peer is older, so that its totals are from before the restart.

        What was spent before the restart isn't known: each bucket then holds what was likely left.
        """
        older = age_tenths * SECOND // 10 > now - self.started_at + self.tuning.restart_margin
        if older and not self.restarted:
            self.restarted = True
            for account in self.accounts.values():
                account.tokens = min(account.tokens, self._restart_tokens(account))
        return older

    def _restart_tokens(self, account: CustomerAccount) -> float:
        return account.plan.burst / account.slices


class ReservationProtocol(PeerProtocol):
    """Reservations of units at the gateway that keeps a customer's whole bucket."""

    def _ask(self, now: int, account: CustomerAccount, units: float, reservation: int) -> Action:
        kind = ReservationKind.RESERVE if reservation else ReservationKind.CONSUME
        return self._message(now, account.owner, account, kind, units, reservation)

    def _message(
        self, now: int, to: int, account: CustomerAccount, kind: ReservationKind, units: float, tag: int
    ) -> Action:
        age = self.age_tenths(now)
        message = Reservation(kind, account.customer_id, account.plan_index, units, tag, age)
        return SendPeerMessage(to, peer_messages.encode_reservation(message))

    def on_peer_message(self, now: int, event: PeerMessage) -> QuotaReply:
        """Take in an owner's reply, or reply as the owner."""
        message = peer_messages.decode_reservation(event.data)
        if message is None or message.plan_index >= len(self.settings.plans):
            return QuotaReply()
        self.note_age(now, message.sender_age)
        if message.kind in (ReservationKind.RESERVE, ReservationKind.CONSUME):
            return self._on_request(now, event.sender, message)
        granted = message.kind == ReservationKind.GRANTED
        if account := self.accounts.get(message.customer_id):
            self.refill(now, account)
            self.record_report(now, account, message.units, granted)
        return QuotaReply(message.tag, granted)

    def _on_request(self, now: int, sender: int, message: Reservation) -> QuotaReply:
        account = self.account(now, message.customer_id, message.plan_index)
        if not self._is_owner(account):
            return QuotaReply()
        self.refill(now, account)
        account.last_request_at = now
        granted = account.take(message.units, account.excess_pays, self.tuning.gossip_repeats)
        if message.kind == ReservationKind.CONSUME:
            return QuotaReply()
        kind = ReservationKind.GRANTED if granted else ReservationKind.DENIED
        reply = self._message(now, sender, account, kind, account.tokens, message.tag)
        return QuotaReply(actions=[reply])


class GossipProtocol(PeerProtocol):
    """Running totals to all peers, so that a lost message costs nothing once the next one comes."""

    uses_gossip = True

    def _slice(self, account: CustomerAccount, count: int, first: int) -> None:
        super()._slice(account, count, first)
        members = [(first + i) % self.settings.gateway_count for i in range(count)]
        account.peers = tuple(member for member in members if member != self.settings.position)
        if self.restarted:
            account.tokens = self._restart_tokens(account)

    def quota_share(self, now: int, account: CustomerAccount) -> float:
        """Return the fraction of the quota that counts as this gateway's: silent peers have their slices."""
        never = self.started_at - self.tuning.report_fresh_for
        reports = [self.peers[peer].received_at if peer in self.peers else never for peer in account.peers]
        return self.fresh_share(now, account, reports or [account.reported_at])

    def encode_totals(self, now: int, accounts: Iterable[CustomerAccount]) -> Action:
        """Return a message to all peers with the accounts' running totals."""
        totals = [account.total() for account in accounts]
        data = peer_messages.encode_totals(self.incarnation, self.age_tenths(now), totals)
        return SendPeerMessage(None, data)

    def on_peer_message(self, now: int, event: PeerMessage) -> QuotaReply:
        """Take off what a peer spent since its last message."""
        message = peer_messages.decode_totals(event.data)
        if message is None or self._is_overtaken(event.sender, message):
            return QuotaReply()
        continues = self._note_peer(now, event.sender, message)
        older = self.note_age(now, message.sender_age)
        for total in message.totals:
            if account := self.accounts.get(total.customer_id):
                self.refill(now, account)
                account.apply_peer_total(event.sender, total.spent_quarter_units, continues, older)
        return QuotaReply()

    def _is_overtaken(self, sender: int, message: GossipMessage) -> bool:
        last = self.peers.get(sender)
        if last is None or last.incarnation != message.incarnation:
            return False
        return 0 < last.age_tenths - message.sender_age <= self.tuning.max_reordering_tenths

    def _note_peer(self, now: int, sender: int, message: GossipMessage) -> bool:
        """Record a peer's message, and return whether its totals continue those that are known."""
        last = self.peers.get(sender)
        self.peers[sender] = PeerStatus(message.incarnation, now, message.sender_age)
        if last is not None and last.incarnation == message.incarnation:
            return True
        for account in self.accounts.values():
            account.peer_totals.pop(sender, None)
        return False
