"""Client of the shared counter: creates calls, tracks pending ones and adapts the call rate."""

from __future__ import annotations

from ....types import Action, AddToCounter, Outcome, Plan
from ..account.counter_calls import CounterCall
from ..account.customer_account import CustomerAccount
from .counter_total import COUNTER_KEY_LIFETIME_NS, IN_FLIGHT_UNIT, counter_key
from .pending_calls import PendingCalls

CALL_RATE_INCREASE = 0.01  # added with each reply; slow, so that an overloaded counter recovers
CALL_RATE_FACTOR = 0.7  # multiplies the call rate with each failed call
MIN_CALL_RATE = 0.05  # enough calls to detect that the counter has recovered


class CounterClient:
    """Creates calls to the counter; it is not `enabled` for quotas without a counter."""

    def __init__(self, enabled: bool) -> None:
        self.enabled = enabled
        self.call_rate = 1.0  # fraction of the calls that are made, 0 to 1
        self.pending_calls: PendingCalls[CounterCall] = PendingCalls()

    def in_flight_slot(self, plan: Plan) -> float:
        """Return what one request in flight adds to the total; 0 if the plan or the quota counts none."""
        return IN_FLIGHT_UNIT * (self.enabled and plan.max_in_flight > 0)

    def call(
        self,
        now: int,
        account: CustomerAccount,
        amount: float,
        reservation: int = 0,
        is_correction: bool = False,
    ) -> Action:
        """Return a call that adds an amount and the unreported units to the customer's counter."""
        key = counter_key(account.customer_id, now // COUNTER_KEY_LIFETIME_NS)
        call = account.counter_calls.create_call(amount, reservation, is_correction)
        self.pending_calls.push(key, call)
        return AddToCounter(key, COUNTER_KEY_LIFETIME_NS, call.total)

    def record_failed_call(self, account: CustomerAccount, call: CounterCall, outcome: Outcome) -> None:
        """Handle a failed call; after a time-out or a reset, the counter may have added it."""
        if outcome in (Outcome.TIMEOUT, Outcome.RESET):
            account.counter_calls.record_unconfirmed(call, self.in_flight_slot(account.plan))
        else:
            account.counter_calls.record_not_added(call)

    def adapt_call_rate(self, outcome: Outcome) -> None:
        """Reduce the call rate when a call fails, and raise it with each reply.

        A reset leaves it unchanged, as it does not indicate overload.
        """
        if outcome is Outcome.OK:
            self.call_rate = min(1.0, self.call_rate + CALL_RATE_INCREASE)
        elif outcome is not Outcome.RESET:
            self.call_rate = max(MIN_CALL_RATE, self.call_rate * CALL_RATE_FACTOR)

    def restore(self, call_rate: float) -> None:
        """Restore the call rate of the previous process."""
        self.call_rate = min(1.0, max(0.0, call_rate))
