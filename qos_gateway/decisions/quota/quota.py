"""The local quota, by even slices, and the base of the quotas that other gateways or a counter share."""

from __future__ import annotations

import random
from collections.abc import Iterable
from math import ceil

from ...types import Action, Arrival, CounterReplied, PeerMessage, Settings
from ...units import SECOND
from ..snapshot import AccountSnapshot, EngineSnapshot
from ..statistics.decaying_mean import DecayingMean
from ..statistics.time_constants import LONG_TIME_CONSTANT_NS, TICK_INTERVAL_NS
from .account.account_table import AccountTable
from .account.bucket_reports import CURRENT_REPORT_NS, fresh_share
from .account.customer_account import CustomerAccount
from .account.token_bucket import TokenBucket
from .counter.counter_client import CounterClient
from .leases.leases import Leases
from .peers.peer_messages import Reservation, ReservationKind, decode_reservation
from .peers.process_age import ProcessAge
from .peers.reservations import ReservationClient
from .quota_decision import Charge, QuotaDecision, QuotaReply, Verdict

USAGE_GRANT_SPAN = 0.5  # of a quota, around full use: from a certain grant to a certain denial
MIN_RESERVATION_TIME_NS = 4 * TICK_INTERVAL_NS  # to the deadline, or the request cannot wait for a reply
UNCOUNTED_SLOT_PROBABILITY = 0.4  # that a slot is free where even slices of an in-flight limit are under one
PLAN_PRIOR_WEIGHT = 0.1  # samples of no grant, as a plan's first reports are representative
CUSTOMER_PRIOR_WEIGHT = 0.5  # samples of its plan's grants, less than one report on the customer itself


class Quota:
    """Quotas held in local slices; subclasses add who else is asked. Times are in ns, amounts in units.

    The random generator is shared with the engine: the order of draws is part of the behaviour.
    """

    uses_counter = False  # a counter that all gateways share keeps the buckets
    divides_bucket = False  # at a handover both processes keep a part of the bucket's tokens
    sliced_ceiling_fraction = 1.0  # part of a ceiling that is held in even slices
    leases: Leases | None = None

    def __init__(self, settings: Settings, seed: int, now: int, rng: random.Random) -> None:
        self.settings = settings
        self.rng = rng
        self.incarnation = seed & 0xFFFF
        self.age = ProcessAge(now)
        self.accounts = AccountTable()
        self.counter = CounterClient(self.uses_counter)
        self.reservations = ReservationClient(settings.gateway_count, self.age)
        self.plan_grant_ratio = [DecayingMean(LONG_TIME_CONSTANT_NS) for _ in settings.plans]
        self.last_reservation = 0
        self.handover_fraction = 1.0  # of the buckets that this process keeps during a handover

    def account_for(self, now: int, arrival: Arrival) -> CustomerAccount:
        """Return the account of a request's customer."""
        return self.account(
            now, arrival.customer_id, arrival.plan_index, arrival.gateway_spread, arrival.first_gateway
        )

    def account(
        self, now: int, customer_id: int, plan_index: int, spread: int = 0, first: int = 0
    ) -> CustomerAccount:
        """Return the customer's account; `spread` is 0 until a request of the customer arrives here."""
        account = self.accounts.get(customer_id)
        if account is None:
            # The slices of a new customer have been refilled since the start, as nothing of them was spent.
            refilled_at = self.age.started_at if self.uses_counter and spread else now
            plan = self.settings.plans[plan_index]
            account = CustomerAccount.create(customer_id, plan, plan_index, now, refilled_at)
            self._prepare(account)
            self.accounts[customer_id] = account
        if spread >= 1 and not account.buckets.slice_count:
            self._slice(account, min(int(spread), self.settings.gateway_count), int(first))
        return account

    def prune(self, now: int) -> list[int]:
        """Remove the accounts of inactive customers, and return the ids of these customers."""
        return self.accounts.prune(now)

    def _prepare(self, account: CustomerAccount) -> None:
        """Adapt a new account to the strategy."""

    def _slice(self, account: CustomerAccount, count: int, first: int) -> None:
        """Slice the quota evenly among `count` gateways from position `first` on.

        All slices of the quota together start with one burst on average. The slices of the ceiling start
        with its slack only, as a restarted gateway cannot know what was spent.
        """
        buckets = account.buckets
        buckets.set_slice((self.settings.position - first) % self.settings.gateway_count, count)
        tokens = account.plan.burst / buckets.slice_count
        largest = self.settings.largest_request_units
        chance = tokens / max(largest, 1e-9)
        local_tokens = tokens if chance >= 1.0 else largest * (self.rng.random() < chance)
        slack = account.plan.ceiling_slack * self.sliced_ceiling_fraction
        buckets.start_slices(local_tokens, slack / buckets.slice_count)

    def _is_owner(self, account: CustomerAccount) -> bool:
        """Return whether the bucket kept here is the customer's whole bucket."""
        return account.buckets.slice_count == 1

    def quota_share(self, now: int, account: CustomerAccount) -> float:
        """Return the fraction of the quota that counts as this gateway's, 1 while reports are fresh."""
        return (
            1.0
            if self._is_owner(account)
            else fresh_share(now, account.buckets.slices, [account.reports.reported_at])
        )

    def refill(self, now: int, account: CustomerAccount) -> None:
        """Refill the customer's buckets up to `now`; call it before any decision on the customer."""
        buckets = account.buckets
        elapsed_s = (now - buckets.refilled_at) / SECOND
        even = self.handover_fraction / buckets.slice_count if buckets.slice_count else 0.0
        buckets.refill(
            now,
            self._bucket(now, account) if elapsed_s else None,
            self._local_bucket(now, account, even),
            self._ceiling_bucket(now, account, even),
        )
        if account.counter_calls.unreported_units:
            self._refill_unreported(now, account, elapsed_s)

    def _bucket(self, now: int, account: CustomerAccount) -> TokenBucket:  # noqa: ARG002 - subclasses use it
        return TokenBucket(account.plan.rate, account.plan.burst)

    def _local_bucket(self, now: int, account: CustomerAccount, even: float) -> TokenBucket:  # noqa: ARG002
        """Return the slice of the quota's bucket; it can hold any request."""
        plan = account.plan
        return TokenBucket(plan.rate * even, max(plan.burst * even, self.settings.largest_request_units))

    def _ceiling_bucket(self, now: int, account: CustomerAccount, even: float) -> TokenBucket:  # noqa: ARG002
        plan = account.plan
        return TokenBucket(plan.ceiling_rate * even, plan.ceiling_burst * even)

    def _refill_unreported(self, now: int, account: CustomerAccount, elapsed_s: float) -> None:
        """Forget unreported units that the bucket has refilled."""

    def record_usage(self, now: int, account: CustomerAccount, percent: int) -> None:
        """Record an endpoint's report of how much of its quota the customer used, in percent."""
        period_units = account.plan.rate * self.settings.usage_period / SECOND
        account.usage.record(now, percent / 100, period_units)
        grant = min(1.0, max(0.0, 0.5 + (1.01 - (percent + 1) / 100) / USAGE_GRANT_SPAN))
        account.reports.record_grant(now, grant)

    def _record_report(self, now: int, account: CustomerAccount, tokens: float, granted: bool) -> None:
        """Set the bucket's tokens to what its owner or the counter reported."""
        account.record_report(now, tokens, granted)
        self.plan_grant_ratio[account.plan_index].add(now, float(granted))

    def decide(self, now: int, account: CustomerAccount, request: Arrival, congested: bool) -> QuotaDecision:
        """Charge a request to its customer's quota; it is reported only after the request is sent."""
        may_exceed = account.excess_pays and not congested
        return self._decide(now, Charge(account, request.units, request.deadline, may_exceed))

    def _decide(self, now: int, charge: Charge) -> QuotaDecision:
        if self._is_owner(charge.account):
            return QuotaDecision.immediate(self._take_from_bucket(now, charge))
        return QuotaDecision.immediate(self.decide_locally(now, charge.account, charge.units))

    def _take_from_bucket(self, now: int, charge: Charge) -> bool:
        if not (charge.may_exceed or self._permits(now, charge.account, charge.units)):
            return False
        return charge.account.take(charge.units, charge.may_exceed)

    def _permits(self, now: int, account: CustomerAccount, units: float) -> bool:
        """Return whether ceiling and in-flight limit permit a request; without a report, its even slice."""
        limit = account.plan.max_in_flight
        reports = account.reports
        fresh = now - reports.in_flight_elsewhere_at < CURRENT_REPORT_NS
        most = ceil(limit / (1 if fresh else account.buckets.slices))
        has_slot = not limit or account.in_flight + fresh * reports.in_flight_elsewhere < most
        return has_slot and account.buckets.below_ceiling(units)

    def decide_locally(self, now: int, account: CustomerAccount, units: float) -> bool:
        """Decide without the bucket's state: by the even slice, else at random by the ratio of grants."""
        from_slice = account.buckets.local_tokens >= units
        drawn = from_slice or self.rng.random() < self._grant_probability(now, account, units)
        if not drawn or not self._permits(now, account, units):
            return False
        account.buckets.spend_locally(units, from_slice)
        return True

    def _grant_probability(self, now: int, account: CustomerAccount, units: float) -> float:
        plan_ratio = self.plan_grant_ratio[account.plan_index].mean_with_prior(now, 0.0, PLAN_PRIOR_WEIGHT)
        fits = account.fraction_within_slice(now, units)
        fits *= UNCOUNTED_SLOT_PROBABILITY if self.counter.in_flight_slot(account.plan) else 1.0
        return account.reports.grant_ratio.mean_with_prior(now, plan_ratio, CUSTOMER_PRIOR_WEIGHT) * fits

    def _reserve(self, now: int, charge: Charge) -> QuotaDecision:
        """Request the units, and hold the request if its deadline leaves time for the reply."""
        if charge.may_exceed and not charge.account.plan.ceiling_rate:
            return QuotaDecision.immediate(True)
        reservation = self._next_reservation()
        action = self._request_units(now, charge.account, charge.units, reservation)
        if charge.deadline - now >= MIN_RESERVATION_TIME_NS:
            return QuotaDecision(Verdict.RESERVED, [action], reservation=reservation)
        return QuotaDecision.immediate(self.decide_locally(now, charge.account, charge.units), [action])

    def _next_reservation(self) -> int:
        """Return the number of a new reservation, of 32 bits."""
        self.last_reservation = self.last_reservation + 1 & 0xFFFFFFFF
        return self.last_reservation

    def _request_units(self, now: int, account: CustomerAccount, units: float, reservation: int) -> Action:
        """Return the message or call that requests units; with reservation 0 it only reports them."""
        return self.reservations.request(now, account, units, reservation)

    def report_consumed(self, now: int, account: CustomerAccount, units: float) -> Action:
        """Report units whose request was sent; call it only if the decision says so."""
        self._next_reservation()
        return self._request_units(now, account, units, 0)

    def release_slot(self, now: int, account: CustomerAccount) -> list[Action]:  # noqa: ARG002
        """Release the in-flight slot of a request without attempts in flight; no-op without a counter."""
        return []

    def resend_releases(self, now: int, accounts: Iterable[CustomerAccount]) -> list[Action]:  # noqa: ARG002
        """Release slots that are still counted though no request holds them; no-op without a counter."""
        return []

    def gossip(self, now: int) -> list[Action]:  # noqa: ARG002 - subclasses use it
        """Return the message to all peers, if one is due."""
        return []

    def on_counter_reply(self, now: int, event: CounterReplied) -> QuotaReply:  # noqa: ARG002
        """Record the bucket's state, or account for a call that failed."""
        return QuotaReply()

    def on_peer_message(self, now: int, event: PeerMessage) -> QuotaReply:
        """Process an owner's reply, or reply as the owner."""
        message = decode_reservation(event.data)
        if message is None or message.plan_index >= len(self.settings.plans):
            return QuotaReply()
        self._note_peer_age(now, message.sender_age)
        if message.kind in (ReservationKind.RESERVE, ReservationKind.CONSUME):
            return self._on_request(now, event.sender, message)
        granted = message.kind == ReservationKind.GRANTED
        if account := self.accounts.get(message.customer_id):
            self.refill(now, account)
            self._record_report(now, account, message.units, granted)
        return QuotaReply(message.tag, granted)

    def _on_request(self, now: int, sender: int, request: Reservation) -> QuotaReply:
        account = self.account(now, request.customer_id, request.plan_index)
        if not self._is_owner(account):
            return QuotaReply()
        self.refill(now, account)
        account.requested_by_peer(now)
        granted = account.take(request.units, account.excess_pays)
        if request.kind == ReservationKind.CONSUME:
            return QuotaReply()
        reply = self.reservations.reply(now, sender, account, request.tag, granted)
        return QuotaReply(actions=[reply])

    def _note_peer_age(self, now: int, age_tenths: int) -> bool:
        """Return whether a peer is older, so that its totals are from before the restart.

        What was spent before the restart is unknown: each bucket then holds what was likely left.
        """
        older = self.age.is_older(now, age_tenths)
        if older and self.age.note_restart():
            for account in self.accounts.values():
                account.buckets.limit_tokens(self._restart_tokens(account))
        return older

    def _restart_tokens(self, account: CustomerAccount) -> float:
        return account.plan.burst / account.buckets.slices

    def capture_accounts(
        self, now: int, incoming_fraction: float, outgoing_fraction: float
    ) -> tuple[AccountSnapshot, ...]:
        """Return the accounts for the next process; keep the outgoing fraction of the buckets here.

        Without gossip a bucket's tokens are what the owner or the counter reported, and both processes
        keep them.
        """
        captured = []
        for account in self.accounts.values():
            self.refill(now, account)
            captured.append(account.capture(now, incoming_fraction, outgoing_fraction, self.divides_bucket))
        self.handover_fraction = outgoing_fraction
        return tuple(captured)

    def restore(self, now: int, snapshot: EngineSnapshot, incoming_fraction: float) -> None:
        """Continue with the accounts, leases and call rate of a snapshot, and a fraction of the buckets."""
        for captured in snapshot.accounts:
            account = self.account(now, captured.customer_id, captured.plan_index)
            account.restore(now, captured)
        self.accounts.restore_leases(snapshot.lease_fractions)
        self.counter.restore(snapshot.call_rate)
        self.handover_fraction = incoming_fraction

    def complete_handover(self) -> None:
        """Keep the whole of all buckets: the other process has ended."""
        self.handover_fraction = 1.0
