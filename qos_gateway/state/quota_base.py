"""State and bookkeeping that all ways of holding quotas share; what is decided is left to their classes."""

from __future__ import annotations

import random
from collections.abc import Iterable

from ..peer_messages import GossipMessage, Reservation, ReservationKind, encode_reservation, encode_totals
from ..types import Action, AddToCounter, CounterReplied, PeerMessage, SendPeerMessage, Settings
from ..units import SECOND
from .counter_total import COUNTER_KEY_LIFETIME, counter_key
from .customer import CustomerAccount, DecayTimes
from .decaying_mean import DecayingMean
from .peer_totals import PeerStatus
from .pending_calls import CounterCall, PendingCalls
from .quota_decision import QuotaReply
from .token_bucket import TokenBucket


class QuotaBase:
    """Accounts, peers and calls without a reply. Times are in ns, amounts in units.

    Gateways that neither report to each other nor to a counter leave the calls for these as they are here.
    """

    uses_gossip = False
    uses_owners = False
    uses_counter = False

    def __init__(
        self, settings: Settings, seed: int, now: int, rng: random.Random, decay: DecayTimes
    ) -> None:
        self.settings = settings
        self.rng = rng  # shared with the engine: the order of draws is part of the behaviour
        self.decay = decay
        self.incarnation = seed & 0xFFFF
        self.started_at = now
        self.gossiped_at = now
        self.accounts: dict[int, CustomerAccount] = {}
        self.peers: dict[int, PeerStatus] = {}
        self.pending_calls: PendingCalls[CounterCall] = PendingCalls()
        self.plan_grant_ratio = [DecayingMean(decay.plan_grant_ratio) for _ in settings.plans]
        self.last_reservation = 0
        self.call_rate = 1.0  # how many of the calls to the counter are made, 0 to 1
        self.restarted = False  # whether this process was started later than its peers
        self.handover_fraction = 1.0  # of the buckets that is this process's while another one shares them

    def account(self, now: int, customer: int, plan: int, spread: int = 0, first: int = 0) -> CustomerAccount:
        """Return the customer's account; `spread` is 0 when a peer asks, and no request of it came here."""
        gateways = self.settings.gateway_count
        account = self.accounts.get(customer)
        if account is None:
            figures = self.settings.plans[plan]
            account = CustomerAccount.create(customer, figures, plan, customer % gateways, now, self.decay)
            self._prepare(account, spread)
            self.accounts[customer] = account
        if spread >= 1 and not account.slice_count:
            self._slice(account, min(int(spread), gateways), int(first))
        return account

    def _prepare(self, account: CustomerAccount, spread: int) -> None:
        """Adapt a new account to the way of holding quotas."""

    def _slice(self, account: CustomerAccount, count: int, first: int) -> None:
        """Slice the quota evenly among `count` gateways from position `first` on."""
        account.rank = (self.settings.position - first) % self.settings.gateway_count
        account.slice_count = count + (account.rank >= count)

    def other_members(self, first: int, count: int) -> tuple[int, ...]:
        """Return the positions of `count` gateways from `first` on, without this one."""
        members = [(first + i) % self.settings.gateway_count for i in range(count)]
        return tuple(member for member in members if member != self.settings.position)

    def refill(self, now: int, account: CustomerAccount) -> None:
        """Refill the customer's buckets up to `now`; call it before any decision on the customer."""
        elapsed_s = (now - account.refilled_at) / SECOND
        account.refilled_at = now
        even = self.handover_fraction / account.slice_count if account.slice_count else 0.0
        if elapsed_s:
            account.tokens = self._bucket(now, account).refilled(account.tokens, elapsed_s)
        account.local_tokens = self._local_bucket(now, account, even).refilled(
            account.local_tokens, elapsed_s
        )
        ceiling = self._ceiling_bucket(now, account, even)
        account.ceiling_tokens = ceiling.refilled(account.ceiling_tokens, elapsed_s)
        self._refill_unreported(now, account, elapsed_s)

    def _bucket(self, now: int, account: CustomerAccount) -> TokenBucket:
        return TokenBucket(account.plan.rate, account.plan.burst)

    def _local_bucket(self, now: int, account: CustomerAccount, even: float) -> TokenBucket:
        return self.local_bucket(account, even, even)

    def local_bucket(self, account: CustomerAccount, share: float, saved: float) -> TokenBucket:
        """Return the slice with that share of the rate and `saved` of the burst; it can hold any request."""
        capacity = max(account.plan.burst * saved, self.settings.largest_request_units)
        return TokenBucket(account.plan.rate * share, capacity)

    def _ceiling_bucket(self, now: int, account: CustomerAccount, even: float) -> TokenBucket:
        return TokenBucket(account.plan.ceiling_rate, account.plan.ceiling_burst).scaled(even)

    def _refill_unreported(self, now: int, account: CustomerAccount, elapsed_s: float) -> None:
        """Forget unreported units that the bucket has refilled."""

    def record_usage(self, now: int, account: CustomerAccount, percent: int) -> None:
        """Take in a backend's report of how much of its quota the customer used, in percent."""
        account.usage_reported_at = now
        account.reported_usage = percent / 100
        account.usage.add(now, percent / 100, account.plan.rate * self.settings.usage_period / SECOND)

    def record_report(self, now: int, account: CustomerAccount, tokens: float, granted: bool) -> None:
        """Take over a bucket's state as its owner or the counter reported it."""
        account.record_report(now, tokens, granted)
        self.plan_grant_ratio[account.plan_index].add(now, float(granted))

    def next_reservation(self) -> int:
        """Return the number of a new reservation, of 32 bits."""
        self.last_reservation = self.last_reservation + 1 & 0xFFFFFFFF
        return self.last_reservation

    def report_consumed(self, now: int, account: CustomerAccount, units: float) -> Action:
        """Report units whose request was sent; called only where the decision asked for it."""
        raise NotImplementedError

    def release(self, now: int, account: CustomerAccount) -> list[Action]:
        """Give back the in-flight slot of a request that has no attempt in flight any more."""
        return []

    def resend_releases(self, now: int, accounts: Iterable[CustomerAccount]) -> list[Action]:
        """Report again slots that are still counted though nobody holds them."""
        return []

    def call_counter(
        self,
        now: int,
        account: CustomerAccount,
        amount: float,
        reservation: int = 0,
        correction: bool = False,
    ) -> Action:
        """Return a call that adds an amount, and what was not reported before, to the customer's counter."""
        key = counter_key(account.customer_id, now // COUNTER_KEY_LIFETIME)
        call = account.take_unsent(amount, reservation, correction)
        self.pending_calls.push(key, call)
        return AddToCounter(key, COUNTER_KEY_LIFETIME, call.total)

    def on_counter_reply(self, now: int, event: CounterReplied) -> QuotaReply:
        """Take in a reply of the counter."""
        return QuotaReply()

    def gossip(self, now: int) -> list[Action]:
        """Return the message to all peers, where one is due."""
        return []

    def on_peer_message(self, now: int, event: PeerMessage) -> QuotaReply:
        """Take in a message of a peer."""
        return QuotaReply()

    def age_tenths(self, now: int) -> int:
        """Return the tenths of a second for which this process has been running."""
        return (now - self.started_at) * 10 // SECOND

    def totals_message(self, now: int, accounts: Iterable[CustomerAccount]) -> Action:
        """Return a message to all peers with the accounts' running totals."""
        totals = [account.total() for account in accounts]
        return SendPeerMessage(None, encode_totals(self.incarnation, self.age_tenths(now), totals))

    def reservation_message(
        self, now: int, to: int, account: CustomerAccount, kind: ReservationKind, units: float, tag: int
    ) -> Action:
        """Return a message between a gateway and the owner of the customer's bucket."""
        age = self.age_tenths(now)
        message = Reservation(kind, account.customer_id, account.plan_index, units, tag, age)
        return SendPeerMessage(to, encode_reservation(message))

    def is_reordered(self, sender: int, message: GossipMessage, window_tenths: int) -> bool:
        """Return whether a newer message of the same process came first, by at most `window_tenths`."""
        last = self.peers.get(sender)
        if last is None or last.incarnation != message.incarnation:
            return False
        return 0 < last.age_tenths - message.sender_age <= window_tenths

    def note_peer(self, now: int, sender: int, message: GossipMessage) -> bool:
        """Record a peer's message, and return whether its totals continue those that are known."""
        last = self.peers.get(sender)
        self.peers[sender] = PeerStatus(message.incarnation, now, message.sender_age)
        if last is not None and last.incarnation == message.incarnation:
            return True
        for account in self.accounts.values():
            account.peer_totals.pop(sender, None)
        return False

    def note_age(self, now: int, age_tenths: int, margin: int) -> bool:
        """Return whether a peer is older by more than `margin`, which shows that this gateway was restarted.

        What was spent before the restart isn't known: each bucket then holds what was likely left.
        """
        older = age_tenths * SECOND // 10 > now - self.started_at + margin
        if older and not self.restarted:
            self.restarted = True
            for account in self.accounts.values():
                account.tokens = min(account.tokens, self._restart_tokens(account))
        return older

    def _restart_tokens(self, account: CustomerAccount) -> float:
        return account.plan.burst / account.slices
