"""Calls to the shared counter, and what their replies mean."""

from __future__ import annotations

from collections.abc import Iterable

from ...types import Action, AddToCounter, CounterReplied, Outcome
from ..requests.request_state import RequestState
from .account import CustomerAccount
from .counter_reading import CounterReading, read_counter
from .counter_total import COUNTER_KEY_LIFETIME_NS, IN_FLIGHT_UNIT, counter_key, customer_of
from .quota_base import QuotaBase
from .quota_decision import QuotaReply


class CounterProtocol(QuotaBase):
    """Bookkeeping of calls to the counter; without a counter there are none, and nothing to give back."""

    def _in_flight_slot(self, account: CustomerAccount) -> float:
        """Return what a request in flight adds to the shared count; 0 where none is kept."""
        return IN_FLIGHT_UNIT * (self.uses_counter and account.plan.max_in_flight > 0)

    def call_counter(
        self,
        now: int,
        account: CustomerAccount,
        amount: float,
        reservation: int = 0,
        correction: bool = False,
    ) -> Action:
        """Return a call that adds an amount, and what was not reported before, to the customer's counter."""
        key = counter_key(account.customer_id, now // COUNTER_KEY_LIFETIME_NS)
        call = account.take_unsent(amount, reservation, correction)
        self.pending_calls.push(key, call)
        return AddToCounter(key, COUNTER_KEY_LIFETIME_NS, call.total)

    def release_slot(self, now: int, request: RequestState) -> list[Action]:
        """Give back the in-flight slot that a request holds, once it has no attempt in flight any more."""
        slot = self._in_flight_slot(request.account)
        if request.attempts_in_flight or not (slot and request.holds_in_flight_slot):
            return []
        request.holds_in_flight_slot = False
        return [self.call_counter(now, request.account, -slot)]

    def resend_releases(self, now: int, accounts: Iterable[CustomerAccount]) -> list[Action]:
        """Give back slots that are still counted though nobody holds them, or customers would be shut out."""
        late = [account for account in accounts if account.pending_release <= -IN_FLIGHT_UNIT / 2]
        return [self.call_counter(now, account, 0.0) for account in late if self._may_call()]

    def _may_call(self) -> bool:
        """Return whether a call may be made that no request waits for."""
        raise NotImplementedError

    def on_counter_reply(self, now: int, event: CounterReplied) -> QuotaReply:
        """Take in the bucket's state, or account for a call that failed."""
        account = self.accounts.get(customer_of(event.key))
        call = self.pending_calls.pop_oldest(event.key) if account else None
        if account is None or call is None:
            return QuotaReply()
        self._adapt_call_rate(event.outcome)
        slot = self._in_flight_slot(account)
        if event.outcome is Outcome.OK:
            self.refill(now, account)
            reading = read_counter(now, account, call, event, slot, self.tuning.decay.long)
            return self._on_reading(now, reading)
        if event.outcome in (Outcome.TIMEOUT, Outcome.RESET):
            account.record_unknown(call, slot)
        else:
            account.restore_unsent(call)
        return QuotaReply(call.reservation)

    def _adapt_call_rate(self, outcome: Outcome) -> None:
        raise NotImplementedError

    def _on_reading(self, now: int, reading: CounterReading) -> QuotaReply:
        """Decide on the request that waits for the reply, and on corrections of the counter."""
        raise NotImplementedError
