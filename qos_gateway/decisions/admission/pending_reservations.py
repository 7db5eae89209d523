"""Requests that are held until their reservation is answered."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from ..requests.request_state import RequestState
from ..statistics.time_constants import TICK_INTERVAL_NS

RESERVATION_TIMEOUT_NS = TICK_INTERVAL_NS // 2  # exceeds a round trip to a peer, far below any objective


@dataclass(slots=True)
class PendingReservation:
    """A held request, and the time (ns) at which its reservation expires."""

    request: RequestState
    expires_at: int


class PendingReservations:
    """Pending reservations by number, in sending order."""

    def __init__(self) -> None:
        self._pending: dict[int, PendingReservation] = {}

    def __len__(self) -> int:
        return len(self._pending)

    def __iter__(self) -> Iterator[int]:
        """Iterate over the reservation numbers."""
        return iter(self._pending)

    def add(self, now: int, number: int, request: RequestState) -> None:
        """Add a request whose reservation is sent at `now`."""
        self._pending[number] = PendingReservation(request, now + RESERVATION_TIMEOUT_NS)

    def remove(self, number: int) -> RequestState | None:
        """Remove a reservation and return its request; None if the number is unknown."""
        reservation = self._pending.pop(number, None)
        return None if reservation is None else reservation.request

    def expired(self, now: int) -> list[int]:
        """Return the numbers of reservations that expired without a reply."""
        return [number for number, reservation in self._pending.items() if now >= reservation.expires_at]
