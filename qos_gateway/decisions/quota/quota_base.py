"""State and bookkeeping that all ways of holding quotas share; what is decided is left to their classes."""

from __future__ import annotations

import random
from dataclasses import dataclass
from math import inf

from ...types import Action, Arrival, Plan, Settings
from ...units import SECOND
from ..statistics.decaying_mean import DecayingMean
from .account import CustomerAccount, DecayTimes, RetentionTimes
from .peer_totals import PeerStatus
from .pending_calls import CounterCall, PendingCalls
from .token_bucket import TokenBucket


@dataclass(frozen=True, slots=True)
class QuotaTuning:
    """Values that the bookkeeping of quotas is given; times are in ns."""

    decay: DecayTimes
    retention: RetentionTimes
    report_fresh_for: int  # age up to which a report of usage elsewhere counts in full ...
    report_expires_after: int  # ... and from which on it does not count at all
    gossip_repeats: int  # messages in which a changed total is repeated
    restart_margin: int  # by which an older peer shows that this process was restarted
    max_reordering_tenths: int  # tenths of a second by which a newer message may overtake one on its way


class QuotaBase:
    """Accounts and what was reported of them. Times are in ns, amounts in units."""

    uses_gossip = False  # each gateway keeps the whole bucket, and reports to all others
    uses_owners = False  # one gateway keeps the bucket, and grants reservations
    uses_counter = False  # a counter that all gateways share stands for the bucket
    sliced_ceiling_fraction = 1.0  # part of a ceiling that is held in even slices
    gossip_interval = inf  # between two messages to all peers
    tuning: QuotaTuning

    def __init__(self, settings: Settings, seed: int, now: int, rng: random.Random) -> None:
        self.settings = settings
        self.rng = rng  # shared with the engine: the order of draws is part of the behaviour
        self.incarnation = seed & 0xFFFF
        self.started_at = now
        self.gossiped_at = now
        self.accounts: dict[int, CustomerAccount] = {}
        self.peers: dict[int, PeerStatus] = {}
        self.pending_calls: PendingCalls[CounterCall] = PendingCalls()
        self.plan_grant_ratio = [DecayingMean(self.tuning.decay.long) for _ in settings.plans]
        self.last_reservation = 0
        self.call_rate = 1.0  # how many of the calls to the counter are made, 0 to 1
        self.restarted = False  # whether this process was started later than its peers
        self.handover_fraction = 1.0  # of the buckets that is this process's while another one shares them

    def account_for(self, now: int, arrival: Arrival) -> CustomerAccount:
        """Return the account of a request's customer."""
        return self.account(
            now, arrival.customer_id, arrival.plan_index, arrival.gateway_spread, arrival.first_gateway
        )

    def account(
        self, now: int, customer_id: int, plan_index: int, spread: int = 0, first: int = 0
    ) -> CustomerAccount:
        """Return the customer's account; `spread` is 0 when a peer asks, and no request of it came here."""
        gateways = self.settings.gateway_count
        account = self.accounts.get(customer_id)
        if account is None:
            plan = self.settings.plans[plan_index]
            owner = customer_id % gateways
            account = CustomerAccount.create(customer_id, plan, plan_index, owner, now, self.tuning.decay)
            account.reported_at = -self.tuning.report_expires_after
            if self.uses_counter and spread:  # nothing was spent of its slices, which filled since the start
                account.refilled_at = self.started_at
            self._prepare(account)
            self.accounts[customer_id] = account
        if spread >= 1 and not account.slice_count:
            self._slice(account, min(int(spread), gateways), int(first))
        return account

    def prune(self, now: int) -> list[int]:
        """Drop the accounts of customers that send nothing, and return the ids of these customers."""
        kept = {
            customer: account
            for customer, account in self.accounts.items()
            if account.in_flight or now - account.last_request_at <= account.retention(self.tuning.retention)
        }
        dropped = [customer for customer in self.accounts if customer not in kept]
        self.accounts = kept
        return dropped

    def _prepare(self, account: CustomerAccount) -> None:
        """Adapt a new account to the way of holding quotas."""

    def _slice(self, account: CustomerAccount, count: int, first: int) -> None:
        """Slice the quota evenly among `count` gateways from position `first` on.

        All slices together start with the whole on average; a ceiling's with its slack alone, as a restarted
        gateway can't know that it is one.
        """
        account.rank = (self.settings.position - first) % self.settings.gateway_count
        account.slice_count = count + (account.rank >= count)
        tokens = account.plan.burst / account.slice_count
        largest = self.settings.largest_request_units
        chance = tokens / max(largest, 1e-9)
        account.local_tokens = tokens if chance >= 1.0 else largest * (self.rng.random() < chance)
        slack = account.plan.ceiling_slack * self.sliced_ceiling_fraction
        account.ceiling_tokens += slack / account.slice_count

    def _is_owner(self, account: CustomerAccount) -> bool:
        """Return whether the bucket kept here is the customer's whole one."""
        return self.uses_gossip or account.slice_count == 1

    def quota_share(self, now: int, account: CustomerAccount) -> float:
        """Return the fraction of the quota that counts as this gateway's, 1 while reports are fresh."""
        return 1.0 if self._is_owner(account) else self.fresh_share(now, account, [account.reported_at])

    def fresh_share(self, now: int, account: CustomerAccount, reports: list[int]) -> float:
        """Return the even slice, and of the others' as much as the times of the reports are fresh."""
        expires_after = self.tuning.report_expires_after
        span = expires_after - self.tuning.report_fresh_for
        freshness = [min(1.0, max(0.0, (expires_after - now + at) / span)) for at in reports]
        slices = account.slices
        return (1.0 + sum(freshness) / len(reports) * (slices - 1)) / slices

    def refill(self, now: int, account: CustomerAccount) -> None:
        """Refill the customer's buckets up to `now`; call it before any decision on the customer."""
        elapsed_s = (now - account.refilled_at) / SECOND
        account.refilled_at = now
        even = self.handover_fraction / account.slice_count if account.slice_count else 0.0
        if elapsed_s:
            account.tokens = self._bucket(account).refilled(account.tokens, elapsed_s)
        account.local_tokens = self._local_bucket(account, even).refilled(account.local_tokens, elapsed_s)
        account.ceiling_tokens = self._ceiling_bucket(account, even).refilled(
            account.ceiling_tokens, elapsed_s
        )
        if account.unreported_units:
            self._refill_unreported(now, account, elapsed_s)

    def _bucket(self, account: CustomerAccount) -> TokenBucket:
        return TokenBucket(account.plan.rate, account.plan.burst)

    def _local_bucket(self, account: CustomerAccount, even: float) -> TokenBucket:
        return self.local_bucket(account.plan, even, even)

    def local_bucket(self, plan: Plan, share: float, saved: float) -> TokenBucket:
        """Return the slice with that share of the rate and `saved` of the burst; it can hold any request."""
        return TokenBucket(plan.rate * share, max(plan.burst * saved, self.settings.largest_request_units))

    def _ceiling_bucket(self, account: CustomerAccount, even: float) -> TokenBucket:
        plan = account.plan
        return TokenBucket(plan.ceiling_rate * even, plan.ceiling_burst * even)

    def _refill_unreported(self, now: int, account: CustomerAccount, elapsed_s: float) -> None:
        """Forget unreported units that the bucket has refilled."""

    def record_usage(self, now: int, account: CustomerAccount, percent: int) -> None:
        """Take in a backend's report of how much of its quota the customer used, in percent."""
        account.usage_reported_at = now
        account.reported_usage = percent / 100
        account.usage.add(now, percent / 100, account.plan.rate * self.settings.usage_period / SECOND)
        account.grant_ratio.add(now, self._usage_grant(percent))

    def _usage_grant(self, percent: int) -> float:
        """Return the grant, 0 to 1, for which a report of usage stands."""
        raise NotImplementedError

    def record_report(self, now: int, account: CustomerAccount, tokens: float, granted: bool) -> None:
        """Take over a bucket's state as its owner or the counter reported it."""
        account.record_report(now, tokens, granted)
        self.plan_grant_ratio[account.plan_index].add(now, float(granted))

    def next_reservation(self) -> int:
        """Return the number of a new reservation, of 32 bits."""
        self.last_reservation = self.last_reservation + 1 & 0xFFFFFFFF
        return self.last_reservation

    def _ask(self, now: int, account: CustomerAccount, units: float, reservation: int) -> Action:
        """Return the message or call that asks for units; with reservation 0 it only reports them."""
        raise NotImplementedError

    def report_consumed(self, now: int, account: CustomerAccount, units: float) -> Action:
        """Report units whose request was sent; called only where the decision asked for it."""
        self.next_reservation()
        return self._ask(now, account, units, 0)

    def gossip(self, now: int) -> list[Action]:
        """Return the message to all peers, where one is due."""
        if now - self.gossiped_at < self.gossip_interval:
            return []
        self.gossiped_at = now
        return [self._totals_message(now)]

    def _totals_message(self, now: int) -> Action:
        raise NotImplementedError
