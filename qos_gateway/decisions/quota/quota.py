"""Base class of all quota strategies; used directly, it enforces quotas by even local slices."""

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
from .account.bucket_reports import REPORT_CURRENT_FOR_NS, share_by_report_age
from .account.customer_account import CustomerAccount
from .account.token_bucket import TokenBucket
from .counter.counter_client import CounterClient
from .leases.leases import Leases
from .peers.peer_messages import Reservation, ReservationKind, decode_reservation
from .peers.process_age import ProcessAge
from .peers.reservations import ReservationClient
from .quota_decision import Charge, QuotaDecision, QuotaReply, Verdict

USAGE_GRANT_SPAN = 0.5  # grants go from certain to impossible over this part of a quota, around full use
MIN_RESERVATION_TIME_NS = 4 * TICK_INTERVAL_NS  # a request with less time to its deadline waits for no reply
# Probability that a slot is free where even slices of the in-flight limit are below one.
UNCOUNTED_SLOT_PROBABILITY = 0.4
PLAN_PRIOR_WEIGHT = 0.1  # samples of denial; small, as a plan's first reports are representative
CUSTOMER_PRIOR_WEIGHT = 0.5  # samples of its plan's ratio; a single report on the customer outweighs them


class Quota:
    """Enforces quotas by even local slices; subclasses coordinate with peers or a shared counter.

    Times are in ns, amounts in units. The engine shares the random generator, so the order of draws matters.
    """

    uses_counter = False  # whether a counter shared by all gateways holds the buckets
    divides_bucket = False  # whether a handover divides the bucket's tokens between both processes
    sliced_ceiling_fraction = 1.0  # the part of a ceiling that is divided into even slices
    leases: Leases | None = None

    def __init__(self, settings: Settings, seed: int, now: int, rng: random.Random) -> None:
        self.settings = settings
        self.rng = rng
        self.incarnation = seed & 0xFFFF
        self.age = ProcessAge(now)
        self.accounts = AccountTable(settings.max_customers)
        self.counter = CounterClient(self.uses_counter)
        self.reservations = ReservationClient(settings.gateway_count, self.age)
        self.plan_grant_ratio = [DecayingMean(LONG_TIME_CONSTANT_NS) for _ in settings.plans]
        self.last_reservation = 0
        self.handover_fraction = 1.0  # the part of the buckets that this process uses during a handover

    def account_for(self, now: int, arrival: Arrival) -> CustomerAccount | None:
        """Return the account of a request's customer, None where the table has no room for a new one."""
        return self.account(
            now, arrival.customer_id, arrival.plan_index, arrival.gateway_spread, arrival.first_gateway
        )

    def account(
        self, now: int, customer_id: int, plan_index: int, spread: int = 0, first: int = 0
    ) -> CustomerAccount | None:
        """Return the customer's account, and create it if there is none and the table has room for it."""
        # `spread` gateways, from position `first` on, serve the customer; 0 if no request of it arrived here.
        account = self.accounts.get(customer_id)
        if account is None:
            if not self.accounts.ensure_capacity(now):
                return None
            # Nothing of a new customer's slices was spent, so they have been refilling since the start.
            refilled_at = self.age.started_at if self.uses_counter and spread else now
            plan = self.settings.plans[plan_index]
            account = CustomerAccount.create(customer_id, plan, plan_index, now, refilled_at)
            self._prepare_account(account)
            self.accounts.add(account)
        if spread >= 1 and not account.buckets.slice_count:
            self._assign_slice(account, min(int(spread), self.settings.gateway_count), int(first))
        return account

    def prune(self, now: int) -> list[int]:
        """Remove the accounts of inactive customers, and return the customers' ids."""
        return self.accounts.prune(now)

    def _prepare_account(self, account: CustomerAccount) -> None:
        """Set the strategy's initial state of a new account; no-op by default."""

    def _assign_slice(self, account: CustomerAccount, count: int, first: int) -> None:
        """Assign this gateway its even slice among the `count` gateways from position `first` on.

        The quota's slices start with one burst in total on average: a slice of less than the largest request
        starts with the units of one or with none, at random. The ceiling's slices start with only its slack,
        as a restarted gateway cannot know what was spent.
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
        """Return whether this gateway holds the customer's whole bucket."""
        return account.buckets.slice_count == 1

    def quota_share(self, now: int, account: CustomerAccount) -> float:
        """Return the fraction of the quota that this gateway may plan with; 1 while reports are fresh."""
        return (
            1.0
            if self._is_owner(account)
            else share_by_report_age(now, account.buckets.slices, [account.reports.reported_at])
        )

    def refill(self, now: int, account: CustomerAccount) -> None:
        """Refill the customer's buckets up to `now`; must be called before each decision on the customer."""
        buckets = account.buckets
        elapsed_s = (now - buckets.refilled_at) / SECOND
        even_fraction = self.handover_fraction / buckets.slice_count if buckets.slice_count else 0.0
        buckets.refill(
            now,
            self._quota_bucket(now, account) if elapsed_s else None,
            self._quota_slice(now, account, even_fraction),
            self._ceiling_slice(now, account, even_fraction),
        )
        if account.counter_calls.unreported_units:
            self._refill_unreported(now, account, elapsed_s)

    def _quota_bucket(self, now: int, account: CustomerAccount) -> TokenBucket:  # noqa: ARG002
        return TokenBucket(account.plan.rate, account.plan.burst)

    def _quota_slice(self, now: int, account: CustomerAccount, share: float) -> TokenBucket:  # noqa: ARG002
        """Return this gateway's slice of the quota; its capacity is at least the largest request."""
        plan = account.plan
        return TokenBucket(plan.rate * share, max(plan.burst * share, self.settings.largest_request_units))

    def _ceiling_slice(self, now: int, account: CustomerAccount, share: float) -> TokenBucket:  # noqa: ARG002
        plan = account.plan
        return TokenBucket(plan.ceiling_rate * share, plan.ceiling_burst * share)

    def _refill_unreported(self, now: int, account: CustomerAccount, elapsed_s: float) -> None:
        """Reduce the unreported units by those refilled since; no-op without a counter."""

    def record_usage(self, now: int, account: CustomerAccount, percent: int) -> None:
        """Record an endpoint's report of the customer's quota usage, in percent."""
        period_units = account.plan.rate * self.settings.usage_period / SECOND
        account.usage.record(now, percent / 100, period_units)
        grant = min(1.0, max(0.0, 0.5 + (1.01 - (percent + 1) / 100) / USAGE_GRANT_SPAN))
        account.reports.record_grant(now, grant)

    def _record_report(self, now: int, account: CustomerAccount, tokens: float, granted: bool) -> None:
        """Record the bucket's tokens and the decision, as reported by its owner or the counter."""
        account.record_report(now, tokens, granted)
        self.plan_grant_ratio[account.plan_index].add(now, float(granted))

    def decide(self, now: int, account: CustomerAccount, request: Arrival, congested: bool) -> QuotaDecision:
        """Decide on a request and charge it; if `report_usage` is set, call `report_consumed` once sent."""
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
        """Return whether the ceiling and the in-flight limit permit a request."""
        limit = account.plan.max_in_flight
        reports = account.reports
        # Without a current report on requests in flight elsewhere, an even slice of the limit applies.
        fresh = now - reports.in_flight_elsewhere_at < REPORT_CURRENT_FOR_NS
        local_limit = ceil(limit / (1 if fresh else account.buckets.slices))
        has_slot = not limit or account.in_flight + fresh * reports.in_flight_elsewhere < local_limit
        return has_slot and account.buckets.below_ceiling(units)

    def decide_locally(self, now: int, account: CustomerAccount, units: float) -> bool:
        """Decide without the bucket's state: from the local slice, else at random by the grant ratio."""
        from_slice = account.buckets.local_tokens >= units
        passes = from_slice or self.rng.random() < self._grant_probability(now, account, units)
        if not passes or not self._permits(now, account, units):
            return False
        account.buckets.spend_locally(units, from_slice)
        return True

    def _grant_probability(self, now: int, account: CustomerAccount, units: float) -> float:
        """Return how likely a grant is, by recent grants and by the demand at this gateway."""
        plan_ratio = self.plan_grant_ratio[account.plan_index].mean_with_prior(now, 0.0, PLAN_PRIOR_WEIGHT)
        probability = account.fraction_within_slice(now, units)
        probability *= UNCOUNTED_SLOT_PROBABILITY if self.counter.in_flight_slot(account.plan) else 1.0
        return (
            account.reports.grant_ratio.mean_with_prior(now, plan_ratio, CUSTOMER_PRIOR_WEIGHT) * probability
        )

    def _reserve(self, now: int, charge: Charge) -> QuotaDecision:
        """Request the units; the request waits for the reply only if its deadline leaves time for it."""
        if charge.may_exceed and not charge.account.plan.ceiling_rate:
            return QuotaDecision.immediate(True)
        reservation = self._next_reservation()
        action = self._request_units(now, charge.account, charge.units, reservation)
        if charge.deadline - now >= MIN_RESERVATION_TIME_NS:
            return QuotaDecision(Verdict.RESERVED, [action], reservation=reservation)
        return QuotaDecision.immediate(self.decide_locally(now, charge.account, charge.units), [action])

    def _next_reservation(self) -> int:
        """Return a new reservation number, modulo 2**32."""
        self.last_reservation = self.last_reservation + 1 & 0xFFFFFFFF
        return self.last_reservation

    def _request_units(self, now: int, account: CustomerAccount, units: float, reservation: int) -> Action:
        """Return the message or call that requests units; with reservation 0 it only reports units spent."""
        return self.reservations.request(now, account, units, reservation)

    def report_consumed(self, now: int, account: CustomerAccount, units: float) -> Action:
        """Report the units of a sent request; only for decisions with `report_usage`."""
        self._next_reservation()
        return self._request_units(now, account, units, 0)

    def release_slot(self, now: int, account: CustomerAccount) -> list[Action]:  # noqa: ARG002
        """Release the counted slot of a request with no attempts in flight; no-op without a counter."""
        return []

    def resend_releases(self, now: int, accounts: Iterable[CustomerAccount]) -> list[Action]:  # noqa: ARG002
        """Release slots that are counted without a request; no-op without a counter."""
        return []

    def gossip(self, now: int) -> list[Action]:  # noqa: ARG002 - subclasses use it
        """Return the message to all peers if one is due; none by default."""
        return []

    def on_counter_reply(self, now: int, event: CounterReplied) -> QuotaReply:  # noqa: ARG002
        """Process the reply to a counter call, or its failure; no-op without a counter."""
        return QuotaReply()

    def on_peer_message(self, now: int, event: PeerMessage) -> QuotaReply:
        """Process the reply of a bucket's owner, or a request to this gateway as the owner."""
        message = decode_reservation(event.data)
        if message is None or message.plan_index >= len(self.settings.plans):
            return QuotaReply()
        self._detect_restart(now, message.sender_age)
        if message.kind in (ReservationKind.RESERVE, ReservationKind.CONSUME):
            return self._on_request(now, event.sender, message)
        granted = message.kind == ReservationKind.GRANTED
        if account := self.accounts.get(message.customer_id):
            self.refill(now, account)
            self._record_report(now, account, message.units, granted)
        return QuotaReply(message.tag, granted)

    def _on_request(self, now: int, sender: int, request: Reservation) -> QuotaReply:
        account = self.account(now, request.customer_id, request.plan_index)
        if account is None or not self._is_owner(account):
            return QuotaReply()
        self.refill(now, account)
        account.record_peer_request(now)
        granted = account.take(request.units, account.excess_pays)
        if request.kind == ReservationKind.CONSUME:
            return QuotaReply()
        reply = self.reservations.reply(now, sender, account, request.tag, granted)
        return QuotaReply(actions=[reply])

    def _detect_restart(self, now: int, age_tenths: int) -> bool:
        """Return whether a peer is older than this process, which shows that this gateway was restarted."""
        peer_is_older = self.age.is_older(now, age_tenths)
        # The first such peer limits each bucket to the tokens likely left: earlier spending is unknown.
        if peer_is_older and self.age.record_restart():
            for account in self.accounts.values():
                account.buckets.limit_tokens(self._restart_tokens(account))
        return peer_is_older

    def _restart_tokens(self, account: CustomerAccount) -> float:
        """Return the tokens assumed in a customer's bucket after a restart."""
        return account.plan.burst / account.buckets.slices

    def capture_accounts(
        self, now: int, incoming_fraction: float, outgoing_fraction: float
    ) -> tuple[AccountSnapshot, ...]:
        """Return the accounts for the next process; this one keeps the outgoing fraction of the buckets."""
        # Only gossip divides the quota's bucket. Tokens reported by an owner or the counter stay with both.
        captured = []
        for account in self.accounts.values():
            self.refill(now, account)
            captured.append(account.capture(now, incoming_fraction, outgoing_fraction, self.divides_bucket))
        self.handover_fraction = outgoing_fraction
        return tuple(captured)

    def restore(self, now: int, snapshot: EngineSnapshot, incoming_fraction: float) -> None:
        """Restore accounts, leases and call rate from a snapshot, and take over a fraction of the buckets."""
        for captured in snapshot.accounts:
            account = self.account(now, captured.customer_id, captured.plan_index)
            if account is not None:
                account.restore(now, captured)
        self.accounts.restore_leases(snapshot.lease_fractions)
        self.counter.restore(snapshot.call_rate)
        self.handover_fraction = incoming_fraction

    def complete_handover(self) -> None:
        """Use the whole of all buckets again, as the other process has ended."""
        self.handover_fraction = 1.0
