"""Quotas that gateways hold by messages to each other."""

from ... import peer_messages
from ...peer_messages import ReservationKind
from ...state.customer import CustomerAccount
from ...state.quota_decision import Charge, QuotaDecision, QuotaReply
from ...state.token_bucket import TokenBucket
from ...types import Action, PeerMessage, Settings
from ...units import SECOND
from ..queue_model import TICK
from .base import REPORT_FRESH_FOR, Quota

RESTART_MARGIN = 1 * SECOND  # ns by which a peer is older that shows a restart: a fleet starts within it
MAX_REORDERING_TENTHS = 50  # tenths of a second by which a newer message may overtake one on its way
OWNER_CEILING_FRACTION = 0.75  # of a ceiling, handed out by the owner; the rest is for when it is silent


def gossip_interval(settings: Settings) -> float:
    """Return the ns between two messages to all peers that use half of the messages allowed."""
    return 2 * (settings.gateway_count - 1) * SECOND / max(1.0, settings.messages_per_s)


class GossipQuota(Quota):
    """Each gateway keeps the whole bucket, and takes off what the others report."""

    uses_gossip = True

    def _slice(self, account: CustomerAccount, count: int, first: int) -> None:
        super()._slice(account, count, first)
        account.peers = self.other_members(first, count)
        account.tokens = self._restart_tokens(account) if self.restarted else account.tokens

    def _is_owner(self, account: CustomerAccount) -> bool:
        return True

    def _report_times(self, now: int, account: CustomerAccount) -> list[int]:
        never = self.started_at - REPORT_FRESH_FOR
        times = [self.peers[peer].heard_at if peer in self.peers else never for peer in account.peers]
        return times or [account.reported_at]

    def _bucket(self, now: int, account: CustomerAccount) -> TokenBucket:
        share = self.quota_share(now, account) * self.handover_fraction
        return super()._bucket(now, account).scaled(share)

    def gossip(self, now: int) -> list[Action]:
        """Return the totals that changed last, where a message is due."""
        if now - self.gossiped_at < gossip_interval(self.settings) - TICK // 2:
            return []
        self.gossiped_at = now
        changed = [account for account in self.accounts.values() if account.pending_gossip and account.peers]
        changed.sort(key=lambda account: (-account.pending_gossip, account.customer_id))
        for account in changed[: peer_messages.MAX_TOTALS]:
            account.pending_gossip -= 1
        return [self.totals_message(now, changed[: peer_messages.MAX_TOTALS])]

    def on_peer_message(self, now: int, event: PeerMessage) -> QuotaReply:
        """Take off what a peer spent since its last message."""
        message = peer_messages.decode_totals(event.data)
        if message is None or self.is_reordered(event.sender, message, MAX_REORDERING_TENTHS):
            return QuotaReply()
        continues = self.note_peer(now, event.sender, message)
        older = self.note_age(now, message.sender_age, RESTART_MARGIN)
        for total in message.totals:
            if account := self.accounts.get(total.customer_id):
                self.refill(now, account)
                account.apply_peer_total(event.sender, total.spent_quarter_units, continues, older)
        return QuotaReply()


class OwnerQuota(Quota):
    """One gateway owns a customer's bucket, and the others reserve units at it."""

    uses_owners = True
    sliced_ceiling_fraction = 1.0 - OWNER_CEILING_FRACTION

    def _prepare(self, account: CustomerAccount, spread: int) -> None:
        super()._prepare(account, spread)
        account.tokens = self._restart_tokens(account) if self.restarted else account.tokens
        account.ceiling_tokens = account.plan.ceiling_slack * OWNER_CEILING_FRACTION * self._is_owner(account)

    def _restart_tokens(self, account: CustomerAccount) -> float:
        return account.plan.burst / 2  # errs as little either way

    def _is_owner(self, account: CustomerAccount) -> bool:
        return account.owner == self.settings.position

    def _ceiling_bucket(self, now: int, account: CustomerAccount, even: float) -> TokenBucket:
        owned = OWNER_CEILING_FRACTION * self.handover_fraction * self._is_owner(account)
        return super()._ceiling_bucket(now, account, self.sliced_ceiling_fraction * even + owned)

    def _decide(self, now: int, charge: Charge) -> QuotaDecision:
        return super()._decide(now, charge) if self._is_owner(charge.account) else self._reserve(now, charge)

    def _reservation(self, now: int, charge: Charge, reservation: int) -> Action:
        account, kind = charge.account, ReservationKind.RESERVE
        return self.reservation_message(now, account.owner, account, kind, charge.units, reservation)

    def on_peer_message(self, now: int, event: PeerMessage) -> QuotaReply:
        """Take in an owner's reply, or reply as the owner."""
        message = peer_messages.decode_reservation(event.data)
        if message is None or message.plan_index >= len(self.settings.plans):
            return QuotaReply()
        self.note_age(now, message.sender_age, RESTART_MARGIN)
        if message.kind in (ReservationKind.RESERVE, ReservationKind.CONSUME):
            return self._on_request(now, event.sender, message)
        granted = message.kind == ReservationKind.GRANTED
        if account := self.accounts.get(message.customer_id):
            self.refill(now, account)
            self.record_report(now, account, message.units, granted)
        return QuotaReply(message.tag, granted)

    def _on_request(self, now: int, sender: int, message: peer_messages.Reservation) -> QuotaReply:
        account = self.account(now, message.customer_id, message.plan_index)
        if not self._is_owner(account):
            return QuotaReply()
        self.refill(now, account)
        account.last_request_at = now
        granted = self._debit(Charge(account, message.units, now, account.excess_pays))
        if message.kind == ReservationKind.CONSUME:
            return QuotaReply()
        kind = ReservationKind.GRANTED if granted else ReservationKind.DENIED
        reply = self.reservation_message(now, sender, account, kind, account.tokens, message.tag)
        return QuotaReply(actions=[reply])
