"""Requests that are held until the reply to their reservation."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from ..requests.request_state import RequestState
from ..statistics.time_constants import TICK_INTERVAL_NS

RESERVATION_TIMEOUT_NS = TICK_INTERVAL_NS // 2  # over a round trip between gateways, far below an objective


@dataclass(slots=True)
class HeldRequest:
    """A held request, and when (ns) its reservation expires."""

    request: RequestState
    expires_at: int


class HeldReservations:
    """Held requests by the number of their reservation, in the order in which they were sent."""

    def __init__(self) -> None:
        self._held: dict[int, HeldRequest] = {}

    def __len__(self) -> int:
        return len(self._held)

    def __iter__(self) -> Iterator[int]:
        """Iterate over the numbers."""
        return iter(self._held)

    def hold(self, now: int, number: int, request: RequestState) -> None:
        """Hold a request whose reservation is sent at `now`."""
        self._held[number] = HeldRequest(request, now + RESERVATION_TIMEOUT_NS)

    def release(self, number: int) -> RequestState | None:
        """Stop holding a reservation's request and return it; None for a number without one."""
        held = self._held.pop(number, None)
        return None if held is None else held.request

    def expired(self, now: int) -> list[int]:
        """Return the numbers of the reservations without a reply in time."""
        return [number for number, held in self._held.items() if now >= held.expires_at]
