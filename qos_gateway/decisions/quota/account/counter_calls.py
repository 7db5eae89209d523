"""What a customer's calls to the counter have reported, and what they have still to report."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class CounterCall:
    """One addition to the counter of a customer's usage."""

    reservation: int  # number of the reservation that waits for the reply; 0 where none does
    amount: float  # units, with the in-flight slot if one is taken or released
    is_correction: bool  # whether it subtracts units that the bucket has refilled
    released: float  # in-flight slots of earlier requests that the same call releases; 0 or less
    unreported: float  # units spent without a call before, which the same call reports

    @property
    def total(self) -> float:
        """What the call adds to the counter."""
        return self.amount + self.released + self.unreported


@dataclass(slots=True)
class CounterCalls:
    """One customer's state at the counter, in units."""

    key: int = 0  # of the counter that last reported the bucket's state
    initial_deficit: float = 0.0  # units that the bucket lacked when the lifetime of the key began
    pending_release: float = 0.0  # in-flight slots to release with the next call; 0 or less
    unconfirmed_correction: float = 0.0  # a correction without a reply, which may have been made twice
    unreported_units: float = 0.0  # units spent from the slice that no call has reported

    def create_call(self, amount: float, reservation: int, is_correction: bool) -> CounterCall:
        """Return a call that also reports what is unreported."""
        call = CounterCall(reservation, amount, is_correction, self.pending_release, self.unreported_units)
        self.pending_release = 0.0
        self.unreported_units = 0.0
        return call

    def record_not_added(self, call: CounterCall) -> None:
        """Account for a call that was not added to the counter."""
        self.unreported_units += call.unreported
        is_release = not call.reservation and not call.is_correction
        self.pending_release += call.released + call.amount * is_release

    def record_unconfirmed(self, call: CounterCall, in_flight_slot: float) -> None:
        """Account for a call without a reply, which may have been added; no request holds its slot."""
        self.pending_release -= in_flight_slot * (call.reservation > 0)
        self.unconfirmed_correction += call.amount * call.is_correction

    def take_unconfirmed_correction(self) -> float:
        """Return the unconfirmed correction, and forget it."""
        unconfirmed = self.unconfirmed_correction
        self.unconfirmed_correction = 0.0
        return unconfirmed

    def begin_key(self, key: int, deficit: float) -> None:
        """Change to the counter of another key, in whose lifetime the bucket began with a deficit."""
        self.key = key
        self.initial_deficit = deficit

    def add_unreported(self, units: float) -> None:
        """Record units that were spent without a call."""
        self.unreported_units += units

    def subtract_refilled(self, units: float) -> None:
        """Forget unreported units that the bucket has refilled."""
        self.unreported_units = max(0.0, self.unreported_units - units)
