"""A customer's calls to the shared counter, and the amounts that they have not reported yet."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class CounterCall:
    """One call that adds to the counter of a customer's usage. Amounts are in units."""

    reservation: int  # number of the reservation that waits for the reply; 0 if none does
    amount: float  # includes the in-flight slot if one is taken or released
    is_correction: bool  # whether it counts refill that a full bucket lost as spent
    released: float  # in-flight slots that this call releases for earlier requests; 0 or less
    unreported: float  # units spent earlier without a call, reported by this one

    @property
    def total(self) -> float:
        """The amount that the call adds to the counter."""
        return self.amount + self.released + self.unreported


@dataclass(slots=True)
class CounterCalls:
    """State of one customer's counter calls. Amounts are in units."""

    key: int = 0  # counter key of the last reply that reported the bucket's state
    initial_deficit: float = 0.0  # units missing from a full bucket when the key's lifetime began
    pending_release: float = 0.0  # in-flight slots that the next call releases; 0 or less
    unconfirmed_correction: float = 0.0  # correction without a reply, which may be in the total twice
    unreported_units: float = 0.0  # units spent from the slice and not reported by a call

    @property
    def has_unsettled_amounts(self) -> bool:
        """Whether a later call has to report units, a release or a correction."""
        return bool(self.pending_release or self.unconfirmed_correction or self.unreported_units)

    def create_call(self, amount: float, reservation: int, is_correction: bool) -> CounterCall:
        """Return a call that also reports the pending releases and the unreported units, and clear both."""
        call = CounterCall(reservation, amount, is_correction, self.pending_release, self.unreported_units)
        self.pending_release = 0.0
        self.unreported_units = 0.0
        return call

    def record_not_added(self, call: CounterCall) -> None:
        """Handle a call that the counter has not added: the next one reports its releases and units."""
        self.unreported_units += call.unreported
        is_release = not call.reservation and not call.is_correction
        self.pending_release += call.released + call.amount * is_release

    def record_unconfirmed(self, call: CounterCall, in_flight_slot: float) -> None:
        """Handle a call without a reply, which the counter may have added; no request holds its slot."""
        self.pending_release -= in_flight_slot * (call.reservation > 0)
        self.unconfirmed_correction += call.amount * call.is_correction

    def take_unconfirmed_correction(self) -> float:
        """Return the unconfirmed correction and clear it."""
        unconfirmed = self.unconfirmed_correction
        self.unconfirmed_correction = 0.0
        return unconfirmed

    def begin_key(self, key: int, deficit: float) -> None:
        """Switch to a new counter key; `deficit` is what the bucket lacks when the key's lifetime begins."""
        self.key = key
        self.initial_deficit = deficit

    def add_unreported(self, units: float) -> None:
        """Add units that were spent without a call."""
        self.unreported_units += units

    def subtract_refilled(self, units: float) -> None:
        """Deduct units that the bucket has refilled from the unreported ones."""
        self.unreported_units = max(0.0, self.unreported_units - units)
