"""Quotas, ceilings and limits on open attempts, over all gateways."""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Iterable
from math import ceil

from ..peer_messages import (
    MAX_TOTALS,
    Reservation,
    ReservationKind,
    decode_reservation,
    decode_totals,
    encode_reservation,
    encode_totals,
)
from ..state.customer import CustomerAccount
from ..state.decaying_mean import DecayingMean
from ..state.quota_decision import QuotaDecision, QuotaReply, Verdict
from ..types import Action, AddToCounter, CounterReplied, Outcome, PeerMessage, SendPeerMessage, Settings
from ..units import SECOND
from .lease import EVEN_FRACTION, MAX_SAVED_FRACTION, Leases
from .queue_model import TICK
from .time_constants import LONG_MEMORY, SHORT_MEMORY

# Tuned values, as in engine.py.
EVALUATION_INTERVAL = (
    2 * SECOND
)  # a commitment's cap is looked at anew; long enough for a fit, short for a burst
MAX_REORDERING_TENTHS = (
    50  # tenths of a second by which word of a peer may be overtaken by newer word on its way
)
REPORT_FRESH_FOR = 1 * SECOND  # word of others' use counts in full until this old ...
REPORT_EXPIRES_AFTER = 3 * SECOND  # ... and not at all from here on: their even slices are theirs again
CALL_RATE_INCREASE, CALL_RATE_DECREASE, MIN_CALL_RATE = (
    0.01,
    0.7,
    0.05,
)  # chance of a call to the counter: steps for an answer, none
UNREPORTED_SLOT_PROBABILITY = (
    0.4  # chance that a place is free where even slices of a limit on open attempts are under one
)
LIGHT_USAGE = 0.75  # of a quota, by the meter, up to which a customer's store is surely not pressed
TYPICAL_USAGE = 0.4  # of its quota: what a customer of which little was seen is taken to use ...
DOUBTFUL_USAGE = 0.75  # ... and from where, with what was seen, its store is in doubt
COUNTER_KEY_LIFETIME = (
    60 * SECOND
)  # a counter name lives this long, the most that may be asked; then names change
COUNTER_LAG_FRACTION = (
    0.125  # part of a burst by which a counter's number may lag behind a full store before it is put right
)
IN_FLIGHT_UNIT = (
    10_000.0  # one attempt out, in a counter's number: above all units that a name's life can hold
)
OWNER_CEILING_FRACTION = (
    0.75  # part of a ceiling that the home hands out; the rest is in even slices for its silence
)
USAGE_GRANT_SPAN = 0.5  # of a quota, around all used: the meter's word goes from surely room to surely none

ADMITTED, REJECTED = QuotaDecision(Verdict.ADMITTED), QuotaDecision(Verdict.REJECTED)


class Quota:
    """The companion bucket, limits on open attempts and ceilings, over all gateways: where word of all peers
    is fresh each keeps the store; else one home for each customer does, or the counter.
    """

    def __init__(self, settings: Settings, seed: int, now: int, rng: random.Random) -> None:
        self.settings, self.rng, self.incarnation, self.started_at = settings, rng, seed & 0xFFFF, now
        self.accounts: dict[int, CustomerAccount] = {}
        self.peers: dict[int, tuple[int, int, int]] = {}  # incarnation, when last heard, the age told then
        self.gossip_interval = 2 * (settings.gateway_count - 1) * SECOND / max(1.0, settings.messages_per_s)
        self.uses_gossip = settings.may_message and self.gossip_interval <= REPORT_FRESH_FOR // 4
        self.uses_owners = settings.may_message and not self.uses_gossip
        self.uses_counter = settings.has_counter and not settings.may_message and settings.gateway_count > 1
        self.plan_grant_ratio = [DecayingMean(LONG_MEMORY) for _ in settings.plans]
        # By name: ask, amount, whether it puts the number right, owed, untold.
        self.pending_calls: dict[int, deque[tuple[int, float, bool, float, float]]] = {}
        self.last_tag, self.call_rate, self.restarted = 0, 1.0, False
        self.gossiped_at = now
        self.leases = (
            Leases(settings.lease_term, self.incarnation, rng)
            if self.uses_counter and settings.lease_term
            else None
        )
        self.handover_fraction = 1.0  # part of the stores that is this process's while another shares them

    def account(
        self, now: int, customer: int, index: int, spread: int = 0, first: int = 0
    ) -> CustomerAccount:
        """The customer's account; `spread` is 0 when a peer asks and no request of it came here."""
        account, plan, n = (
            self.accounts.get(customer),
            self.settings.plans[index],
            self.settings.gateway_count,
        )
        if account is None:
            # A restarted home knows no store: half of it errs as little either way.
            level = plan.burst * (0.5 if self.restarted and self.uses_owners else 1.0)
            # Of a customer that never came here nothing was spent: its slices filled since the start.
            times = (
                self.started_at if self.uses_counter and spread else now,
                now,
                -EVALUATION_INTERVAL,
                -REPORT_EXPIRES_AFTER,
                -REPORT_EXPIRES_AFTER,
            )
            means = (
                DecayingMean(SHORT_MEMORY),
                DecayingMean(SHORT_MEMORY),
                DecayingMean(3 * LONG_MEMORY),
                DecayingMean(LONG_MEMORY),
                DecayingMean(3 * LONG_MEMORY),
            )
            account = CustomerAccount(customer, plan, index, customer % n, level, *times, *means)
            account.ceiling_tokens = (
                plan.ceiling_slack * OWNER_CEILING_FRACTION * (self.uses_owners and self.is_owner(account))
            )
            self.accounts[customer] = account
        if spread >= 1 and not account.slice_count:
            self._slice(account, min(int(spread), n), int(first))
        return account

    def _slice(self, account: CustomerAccount, n: int, first: int) -> None:
        """Even slices, started so that all together have no more than the whole, on average. A ceiling's
        starts with its part of the slack alone: a restarted gateway cannot know that it is one.
        """
        named = [(first + i) % self.settings.gateway_count for i in range(n)] if self.uses_gossip else []
        account.peers = tuple(p for p in named if p != self.settings.position)
        account.rank = (self.settings.position - first) % self.settings.gateway_count
        account.slice_count = n + (account.rank >= n)
        plan, even = account.plan, account.plan.burst / account.slice_count
        account.tokens = even if self.uses_gossip and self.restarted else account.tokens
        chance = even / max(self.settings.largest_request_units, 1e-9)
        account.local_tokens = (
            even if chance >= 1.0 else self.settings.largest_request_units * (self.rng.random() < chance)
        )
        account.ceiling_tokens += (
            plan.ceiling_slack
            * (1.0 - OWNER_CEILING_FRACTION if self.uses_owners else 1.0)
            / account.slice_count
        )

    def quota_share(self, now: int, account: CustomerAccount) -> float:
        """Part of the quota that counts as here: the whole while word of others' use is fresh, as that is
        taken off when told. The slice of whoever is silent ages back to him.
        """
        slices = max(1, account.slice_count)
        if self.is_owner(account) and not self.uses_gossip:
            return 1.0
        told = [self.peers.get(p, (0, self.started_at - REPORT_FRESH_FOR, 0))[1] for p in account.peers] or [
            account.reported_at
        ]
        fresh = sum(
            min(1.0, max(0.0, (REPORT_EXPIRES_AFTER - now + at) / (REPORT_EXPIRES_AFTER - REPORT_FRESH_FOR)))
            for at in told
        ) / len(told)
        return (1.0 + fresh * (slices - 1)) / slices

    def is_owner(self, account: CustomerAccount) -> bool:
        return (
            account.owner == self.settings.position
            if self.uses_owners
            else self.uses_gossip or account.slice_count == 1
        )

    def refill(self, now: int, account: CustomerAccount) -> None:
        dt, account.refilled_at = (now - account.refilled_at) / SECOND, now
        plan, share = (
            account.plan,
            self.quota_share(now, account) * self.handover_fraction if self.uses_gossip else 1.0,
        )
        even = self.handover_fraction / account.slice_count if account.slice_count else 0.0
        if dt:
            account.tokens = min(plan.burst * share, account.tokens + plan.rate * share * dt)
        lease = (
            self.leases.quota_share(now, account) * self.handover_fraction
            if self.leases and self.is_leased(account)
            else 0.0
        )
        part, most = (lease, min(1.0, MAX_SAVED_FRACTION * lease)) if lease else (even, even)
        account.local_tokens = min(
            max(plan.burst * most, self.settings.largest_request_units),
            account.local_tokens + plan.rate * part * dt,
        )
        if account.unreported_units and self.likely_has_tokens(now, account):
            # What a store that is not pressed has filled up again needs no word.
            account.unreported_units = max(0.0, account.unreported_units - plan.rate * dt)
        rate, burst = plan.ceiling_rate, plan.ceiling_burst
        if lease:  # the quota's part, and an even slice of what the ceiling has beyond it
            rate, burst = plan.rate * lease + (rate - plan.rate) * even, self._ceiling(account, lease, even)
            even = 1.0
        elif self.uses_owners:
            even = (
                1.0 - OWNER_CEILING_FRACTION
            ) * even + OWNER_CEILING_FRACTION * self.handover_fraction * self.is_owner(account)
        elif self.uses_counter and account.slice_count > 1:
            # What the counter grants comes on top. Where an even slice is less than a request, nobody could
            # ever spend it: it is in as many whole ones, with the first of the customer's set.
            rate, burst = max(0.0, rate - plan.rate), max(0.0, burst - plan.burst)
            whole = int(burst / self.settings.largest_request_units)
            even = (
                even
                if whole >= account.slice_count
                else self.handover_fraction * (account.rank < whole) / max(1, whole)
            )
        account.ceiling_tokens = min(burst * even, account.ceiling_tokens + rate * even * dt)

    def _ceiling(self, account: CustomerAccount, share: float, even: float) -> float:
        """The most that a slice of the ceiling holds."""
        return account.plan.burst * share + (account.plan.ceiling_burst - account.plan.burst) * even

    def is_leased(self, account: CustomerAccount) -> bool:
        """Whether the quota is leased: alike at all gateways of the customer's set, or it would be counted by
        some and leased by others. A floor that can't hold a request of the ceiling's is no use.
        """
        plan, n = account.plan, account.slice_count
        if self.leases is None or n < 2 or not plan.rate:
            return False
        return (
            not plan.ceiling_rate
            or self._ceiling(account, EVEN_FRACTION / n, 1.0 / n) >= self.settings.largest_request_units
        )

    def decide(
        self, now: int, account: CustomerAccount, units: float, deadline: int, congested: bool
    ) -> QuotaDecision:
        """Charge a request to the store kept here, or ask whoever keeps it and hold the request a moment.

        Random draws come before the caller's own; nothing is reported before the request was sent.
        """
        plan = account.plan
        pays = plan.excess_weight > plan.excess_cost and not congested
        if self.leases and self.is_leased(account):
            claims = self.leases.claim(now, account, self.settings.largest_request_units, self.call_rate)
            within = self.spend_leased(now, account, units, pays)
            return QuotaDecision(Verdict.ADMITTED if within else Verdict.REJECTED, claims)
        if self.uses_counter and not self.is_owner(account) and (pays or not plan.max_in_flight):
            if self.spend_from_slice(now, account, units) or (pays and not plan.ceiling_rate):
                return ADMITTED
            if account.tokens < units:
                return REJECTED  # the most that the store can hold by now
        # Word this fresh is acted on at once, and the use told afterwards: no wait where gateways are few.
        knows = self.uses_counter and now - account.reported_at < REPORT_FRESH_FOR // 4
        if knows and account.tokens >= units and not self.below_ceiling(account, units):
            knows = False  # there is room, though not in this slice of the ceiling: the counter may grant it
        if knows or self.is_owner(account):
            may = pays or self.permits(now, account, units)
            if not may or not self.debit(account, units, pays):
                return REJECTED
            return QuotaDecision(Verdict.ADMITTED, report_usage=knows)
        return self._decide_remotely(now, account, units, deadline, pays)

    def _decide_remotely(
        self, now: int, account: CustomerAccount, units: float, deadline: int, pays: bool
    ) -> QuotaDecision:
        """Ask whoever keeps the store, where there is one, a call to spare and time to wait."""
        trusted = self.call_rate < 1.0 and self.may_spend_unreported(now, account, units)
        if not (
            self.uses_owners or (self.uses_counter and self.rng.random() < self.call_probability(trusted))
        ):
            return ADMITTED if self.decide_locally(now, account, units, trusted) else REJECTED
        if pays and not account.plan.ceiling_rate:
            return ADMITTED
        tag, action = self.reserve(now, account, units, ReservationKind.RESERVE, trusted)
        if deadline - now >= 4 * TICK:
            return QuotaDecision(Verdict.RESERVED, [action], reservation=tag)
        within = self.decide_locally(now, account, units, trusted)
        return QuotaDecision(Verdict.ADMITTED if within else Verdict.REJECTED, [action])

    def report_consumed(self, now: int, account: CustomerAccount, units: float) -> Action:
        """Report units whose request was sent; called only where the decision asked for it."""
        return self.reserve(now, account, units, ReservationKind.CONSUME)[1]

    def release(self, now: int, account: CustomerAccount) -> list[Action]:
        """Give back the in-flight slot of a request that has no attempt out any more."""
        if not self.in_flight_slot(account):
            return []
        return [self.add_to_counter(now, account, -IN_FLIGHT_UNIT)]

    def resend_releases(self, now: int, accounts: Iterable[CustomerAccount]) -> list[Action]:
        """Report again slots that are still counted though nobody holds them, or customers would be shut out."""
        late = [a for a in accounts if a.pending_release <= -IN_FLIGHT_UNIT / 2]
        return [self.add_to_counter(now, a, 0.0) for a in late if self.rng.random() < self.call_rate]

    def record_usage(self, now: int, account: CustomerAccount, percent: int) -> None:
        """Take in a backend's report of how much of its quota the customer used, in percent."""
        account.usage_reported_at, account.reported_usage = now, percent / 100
        weight = account.plan.rate * self.settings.usage_period / SECOND
        account.usage.add(now, account.reported_usage, weight)
        room = 0.5 + (1.01 - (percent + 1) / 100) / USAGE_GRANT_SPAN
        account.grant_ratio.add(now, min(1.0, max(0.0, room)))

    def spend_leased(self, now: int, account: CustomerAccount, units: float, pays: bool) -> bool:
        """By the local bucket alone: nobody is asked, and no request waits."""
        few = (
            account.in_flight < ceil(account.plan.max_in_flight / account.slice_count)
            or not account.plan.max_in_flight
        )
        within = few and account.local_tokens >= units
        if not (within or pays) or not self.below_ceiling(account, units):
            return False
        account.local_tokens -= units * within
        account.ceiling_tokens -= units
        account.spent_quarter_units += round(4 * units)
        return True

    def permits(self, now: int, account: CustomerAccount, units: float) -> bool:
        """The ceiling's slice, and open attempts: others' count while word is new, else an even slice."""
        limit, told = account.plan.max_in_flight, now - account.in_flight_elsewhere_at < REPORT_FRESH_FOR // 4
        most = ceil(limit / (1 if told else max(1, account.slice_count)))
        few = not limit or account.in_flight + told * account.in_flight_elsewhere < most
        return few and self.below_ceiling(account, units)

    def below_ceiling(self, account: CustomerAccount, units: float) -> bool:
        return not account.plan.ceiling_rate or account.ceiling_tokens >= units

    def debit(self, account: CustomerAccount, units: float, pays: bool) -> bool:
        within = not account.plan.rate or account.tokens >= units
        if not (within or pays) or not self.below_ceiling(account, units):
            return False
        account.ceiling_tokens -= units
        if within and account.plan.rate:
            account.tokens, account.pending_gossip = account.tokens - units, 3
            account.spent_quarter_units += round(4 * units)
        return True

    def is_lightly_used(self, now: int, account: CustomerAccount) -> bool:
        """Whether the customer stays well inside its quota, by the meter's word and by what was seen here."""
        new, seen = (
            now - account.usage_reported_at < REPORT_EXPIRES_AFTER,
            account.long_demand.rate(now) * account.long_demand.value,
        )
        return (
            new
            and account.reported_usage < LIGHT_USAGE
            and seen < LIGHT_USAGE * account.plan.rate / max(1, account.slice_count)
        )

    def likely_has_tokens(self, now: int, account: CustomerAccount) -> bool:
        """Whether the store likely has room, where word is too rare to be sure: a usual customer, corrected
        by what was seen here and told by the meter, each weighed by the quota of the time it covers.
        """
        usual, rate = TYPICAL_USAGE * self.settings.largest_request_units, account.plan.rate
        told = account.usage.mean_with_prior(now, TYPICAL_USAGE, self.settings.largest_request_units)
        # The one request that is decided on says nothing.
        seen = max(
            0.0,
            account.long_demand.rate(now) * account.long_demand.value * LONG_MEMORY / SECOND
            - self.settings.largest_request_units,
        )
        here = rate * LONG_MEMORY / SECOND / max(1, account.slice_count)
        return max(told, (usual + seen) / (self.settings.largest_request_units + here)) < DOUBTFUL_USAGE

    def may_spend_unreported(self, now: int, account: CustomerAccount, units: float) -> bool:
        """Without a call to spare, a little of a store that likely has room needs nobody's word."""
        little = account.unreported_units + units <= max(
            self.settings.largest_request_units, COUNTER_LAG_FRACTION * account.plan.burst
        )
        room = self.uses_counter and little and account.tokens >= units and self.permits(now, account, units)
        return room and self.likely_has_tokens(now, account)

    def call_probability(self, trusted: bool) -> float:
        """Of a call: a crowded counter is asked where there is doubt before it is where there is none."""
        return min(1.0, max(0.0, 2.0 * self.call_rate - trusted))

    def spend_unreported(self, account: CustomerAccount, units: float) -> None:
        """From the slices, and the store is to be told later."""
        account.local_tokens = max(0.0, account.local_tokens - units)
        account.ceiling_tokens -= units
        account.tokens -= units
        account.unreported_units += units

    def spend_from_slice(self, now: int, account: CustomerAccount, units: float) -> bool:
        """While the meter finds the store unpressed, a little of the even slice needs nobody's word."""
        little = (
            account.unreported_units + units
            <= max(self.settings.largest_request_units, COUNTER_LAG_FRACTION * account.plan.burst)
            <= account.local_tokens
        )
        if not (little and self.is_lightly_used(now, account) and self.permits(now, account, units)):
            return False
        self.spend_unreported(account, units)
        return True

    def decide_locally(self, now: int, account: CustomerAccount, units: float, sure: bool = False) -> bool:
        """Without the store's word: by the even slice, else by chance, as home, counter or meter lately said
        of this customer, or else of its plan. That ages away, and even slices are left.
        """
        if sure or self.may_spend_unreported(now, account, units):
            self.spend_unreported(account, units)
            return True
        usual, even = (
            self.plan_grant_ratio[account.plan_index].mean_with_prior(now, 0.0, 0.1),
            account.local_tokens >= units,
        )
        # Seen here more than its even slice, beyond the one request that says nothing, a customer is busy.
        seen, one = account.long_demand.rate(now) * account.long_demand.value, units * SECOND / LONG_MEMORY
        fits = min(1.0, (account.plan.rate / max(1, account.slice_count) + 2 * one) / (seen + one))
        fits *= UNREPORTED_SLOT_PROBABILITY if self.in_flight_slot(account) else 1.0
        lucky = even or self.rng.random() < account.grant_ratio.mean_with_prior(now, usual, 0.5) * fits
        if not lucky or not self.permits(now, account, units):
            return False
        account.local_tokens -= units * even
        account.ceiling_tokens -= units
        return True

    def record_report(self, now: int, account: CustomerAccount, level: float, granted: bool) -> None:
        account.tokens, account.reported_tokens, account.reported_at = level, level, now
        account.grant_ratio.add(now, float(granted))
        self.plan_grant_ratio[account.plan_index].add(now, float(granted))

    def reserve(
        self, now: int, who: CustomerAccount, units: float, kind: ReservationKind, sure: bool = False
    ) -> tuple[int, Action]:
        self.last_tag = self.last_tag + 1 & 0xFFFFFFFF
        if self.uses_owners:
            return self.last_tag, self._tell(now, who.owner, who, kind, units, self.last_tag)
        # While not all are counted, each that is stands for those that are not.
        part = self.call_probability(False)
        amount = units / (1.0 if part >= 1.0 or sure or self.may_spend_unreported(now, who, units) else part)
        return self.last_tag, self.add_to_counter(
            now, who, amount + self.in_flight_slot(who), self.last_tag * (kind == ReservationKind.RESERVE)
        )

    def _tell(
        self, now: int, to: int, account: CustomerAccount, kind: ReservationKind, units: float, tag: int
    ) -> Action:
        age = (now - self.started_at) * 10 // SECOND
        return SendPeerMessage(
            to,
            encode_reservation(Reservation(kind, account.customer_id, account.plan_index, units, tag, age)),
        )

    def on_peer_message(self, now: int, event: PeerMessage) -> QuotaReply:
        """Take in a message of a peer: totals where they are gossiped, else one about a reservation."""
        if self.uses_gossip:
            self.on_gossip(now, event)
            return QuotaReply()
        return self.on_reservation_message(now, event)

    def on_reservation_message(self, now: int, event: PeerMessage) -> QuotaReply:
        """Word with a home, either way: the number of the ask it answers, the answer, what to send."""
        if (draw := decode_reservation(event.data)) is None or draw.plan_index >= len(self.settings.plans):
            return QuotaReply()
        self._note_age(now, draw.sender_age)
        if draw.kind in (ReservationKind.GRANTED, ReservationKind.DENIED):
            if mine := self.accounts.get(draw.customer_id):
                self.refill(now, mine)
                self.record_report(now, mine, draw.units, draw.kind == ReservationKind.GRANTED)
            return QuotaReply(draw.tag, draw.kind == ReservationKind.GRANTED)
        account = self.account(now, draw.customer_id, draw.plan_index)
        if not self.is_owner(account):
            return QuotaReply()
        self.refill(now, account)
        account.last_request_at = now
        pays = account.plan.excess_weight > account.plan.excess_cost
        kind = ReservationKind.GRANTED if self.debit(account, draw.units, pays) else ReservationKind.DENIED
        word = self._tell(now, event.sender, account, kind, account.tokens, draw.tag)
        return QuotaReply(actions=[word] * (draw.kind == ReservationKind.RESERVE))

    def add_to_counter(
        self, now: int, account: CustomerAccount, amount: float, tag: int = 0, fix: bool = False
    ) -> Action:
        name = account.customer_id << 16 | (now // COUNTER_KEY_LIFETIME) & 0xFFFF
        self.pending_calls.setdefault(name, deque()).append(
            (tag, amount, fix, account.pending_release, account.unreported_units)
        )
        amount, account.pending_release, account.unreported_units = (
            amount + account.pending_release + account.unreported_units,
            0.0,
            0.0,
        )
        return AddToCounter(name, COUNTER_KEY_LIFETIME, amount)

    def in_flight_slot(self, account: CustomerAccount) -> float:
        """What an attempt out adds to the counter's number where a plan limits how many may be."""
        return IN_FLIGHT_UNIT * (self.uses_counter and account.plan.max_in_flight > 0)

    def on_counter_reply(self, now: int, event: CounterReplied) -> QuotaReply:
        """The counter's answer. Its number stands for a store: what was taken since its name began, and the
        attempts out. When the store was full for a while (the number lags behind the fill) it is put right;
        who finds that another did so first takes it back.
        """
        queue, account = self.pending_calls.get(event.key), self.accounts.get(event.key >> 16)
        if self.leases and event.key in self.leases.pending_claims:
            self._adapt_call_rate(event.outcome)
            self.leases.on_counter_reply(now, event, account)
            return QuotaReply()
        if not queue or account is None:
            return QuotaReply()
        tag, amount, fix, owed, untold = queue.popleft()
        self._adapt_call_rate(event.outcome)
        if event.outcome is not Outcome.OK:
            if event.outcome in (Outcome.TIMEOUT, Outcome.RESET):
                account.pending_release -= self.in_flight_slot(account) * (
                    tag > 0
                )  # surely added late, and nobody holds it
                account.unconfirmed_correction += amount * fix
            else:
                account.unreported_units += untold
                account.pending_release += owed + amount * (
                    not tag and not fix
                )  # known not to have been added
            return QuotaReply(tag)
        plan, place, before = account.plan, self.in_flight_slot(account), event.total - amount - untold
        out = (before + IN_FLIGHT_UNIT / 2) // IN_FLIGHT_UNIT if place else 0.0
        surplus = plan.rate * ((now - event.elapsed) % COUNTER_KEY_LIFETIME) / SECOND - (
            before - out * IN_FLIGHT_UNIT
        )
        self.refill(now, account)
        if account.counter_key != event.key:
            # A name begins with a full store; the customer's goes on as it was, where that was told of late.
            known = account.reported_tokens if now - account.reported_at < LONG_MEMORY else plan.burst
            account.counter_key, account.initial_deficit = (
                event.key,
                plan.burst - min(plan.burst, max(0.0, known)),
            )
        surplus -= account.initial_deficit
        level, units = min(plan.burst, plan.burst + surplus) - untold, max(0.0, amount - place)
        if fix or amount < 0:
            doubled = fix and surplus < amount / 2
            return QuotaReply(actions=[self.add_to_counter(now, account, -amount)] if doubled else [])
        room = not plan.rate or level >= min(units, plan.burst / 2)
        granted, calls = room and (not place or out < plan.max_in_flight), []
        account.in_flight_elsewhere_at, account.in_flight_elsewhere = (
            now,
            max(0, int(out) - account.in_flight),
        )
        if account.unconfirmed_correction:
            # Nobody told whether another put the number right too: far below an empty store, one did.
            doubled = surplus < -plan.burst - account.unconfirmed_correction / 2
            calls += [self.add_to_counter(now, account, -account.unconfirmed_correction)] * doubled
            account.unconfirmed_correction = 0.0
        if amount and not granted and (tag or plan.excess_weight > plan.excess_cost):
            calls.append(self.add_to_counter(now, account, -amount))
        elif surplus * self.call_rate > plan.burst * COUNTER_LAG_FRACTION:
            calls.append(self.add_to_counter(now, account, surplus, 0, True))
        # A number that is wrong for a moment must not shut the customer out for longer than word is new.
        least, level = (
            -plan.rate * REPORT_FRESH_FOR / (4 * SECOND),
            level - units * granted - account.unreported_units,
        )
        self.record_report(now, account, max(least, level), granted)
        return QuotaReply(tag, granted, calls)

    def _adapt_call_rate(self, outcome: Outcome) -> None:
        """A crowded counter answers nobody: fewer calls from here, and slowly more once it answers."""
        if outcome is Outcome.OK:
            self.call_rate = min(1.0, self.call_rate + CALL_RATE_INCREASE)
        elif outcome is not Outcome.RESET:
            self.call_rate = max(MIN_CALL_RATE, self.call_rate * CALL_RATE_DECREASE)

    def gossip(self, now: int) -> list[Action]:
        """The message to all peers, where it is due."""
        if not self.uses_gossip or now - self.gossiped_at < self.gossip_interval - TICK // 2:
            return []
        self.gossiped_at = now
        return [SendPeerMessage(None, self.gossip_message(now))]

    def gossip_message(self, now: int) -> bytes:
        """Running totals, so that a lost message costs nothing once the next one comes."""
        telling = [a for a in self.accounts.values() if a.pending_gossip and a.peers]
        telling.sort(key=lambda a: (-a.pending_gossip, a.customer_id))
        for account in telling[:MAX_TOTALS]:
            account.pending_gossip -= 1
        totals = ((a.customer_id, a.spent_quarter_units, a.in_flight) for a in telling[:MAX_TOTALS])
        return encode_totals(self.incarnation, (now - self.started_at) * 10 // SECOND, totals)

    def _note_age(self, now: int, age: int) -> bool:
        """An older peer shows that this gateway came back: the stores are not full as on a first day."""
        older = age * SECOND // 10 > now - self.started_at + SECOND
        if older and not self.restarted:
            self.restarted = True
            for mine in self.accounts.values():
                mine.tokens = min(
                    mine.tokens, mine.plan.burst / (2 if self.uses_owners else max(1, mine.slice_count))
                )
        return older

    def on_gossip(self, now: int, event: PeerMessage) -> None:
        if (word := decode_totals(event.data)) is None:
            return
        last_word = self.peers.get(event.sender, (-1, 0, 0))
        known = last_word[0] == word[0]
        if known and 0 < last_word[2] - word[1] <= MAX_REORDERING_TENTHS:
            return  # newer word came before it: its totals are older than those that are known
        self.peers[event.sender] = word[0], now, word[1]
        if not known:  # restarted: it counts from nothing, for each customer whenever first told
            for each in self.accounts.values():
                each.peer_totals.pop(event.sender, None)
        older = self._note_age(now, word[1])
        for customer, sent, _ in word[2]:
            account = self.accounts.get(customer)
            if account is None:
                continue
            last = account.peer_totals.get(event.sender) if known else None
            self.refill(now, account)
            used = min(sent / 4, account.plan.burst) * (not older)
            grown = 0x8000 if last is None else (sent - last) & 0xFFFF
            # A total that went back was begun anew, after the peer had forgotten the account.
            used = used if grown >= 0x8000 else grown / 4
            # Below nothing too, or two gateways would both spend the same refill.
            account.tokens = min(account.tokens, max(-account.plan.burst, account.tokens - used))
            account.peer_totals[event.sender] = sent
