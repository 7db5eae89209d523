"""Requests that wait for the reply to their reservation."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from ..requests.request_state import RequestState
from ..statistics.time_constants import TICK_INTERVAL_NS

RESERVATION_TIMEOUT_NS = TICK_INTERVAL_NS // 2  # over a round trip between gateways, far below an objective


@dataclass(slots=True)
class PendingReservation:
    """A request that waits, and when (ns) its reservation expires."""

    request: RequestState
    expires_at: int


class PendingReservations:
    """Pending reservations by number, in the order in which they were sent."""

    def __init__(self) -> None:
        self._pending: dict[int, PendingReservation] = {}

    def __len__(self) -> int:
        return len(self._pending)

    def __iter__(self) -> Iterator[int]:
        """Iterate over the numbers."""
        return iter(self._pending)

    def add(self, now: int, number: int, request: RequestState) -> None:
        """Add a request whose reservation is sent at `now`."""
        self._pending[number] = PendingReservation(request, now + RESERVATION_TIMEOUT_NS)

    def remove(self, number: int) -> RequestState | None:
        """Remove a reservation and return its request; None for a number without one."""
        reservation = self._pending.pop(number, None)
        return None if reservation is None else reservation.request

    def expired(self, now: int) -> list[int]:
        """Return the numbers of the reservations without a reply in time."""
        return [number for number, reservation in self._pending.items() if now >= reservation.expires_at]
