"""Responsiveness of each zone as observed by this gateway."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass
from typing import Generic, Protocol, TypeVar


class AttemptedRequest(Protocol):
    """Fields of an open request that the detection of unresponsive zones reads; times are in ns."""

    @property
    def attempts_in_flight(self) -> int:
        """Number of attempts in flight."""

    @property
    def last_attempt_at(self) -> int:
        """When the last attempt was sent."""

    @property
    def last_endpoint(self) -> int:
        """Id of the endpoint of the last attempt."""

    @property
    def expected_latency(self) -> int:
        """Mean latency of the request's class when the last attempt was sent."""


RequestT = TypeVar("RequestT", bound=AttemptedRequest)


@dataclass(slots=True)
class ZoneState:
    """When a zone last responded and was last found unresponsive; times are in ns."""

    last_response_at: int = 0
    last_found_unresponsive_at: int = -1  # -1: never, before any attempt


@dataclass(slots=True)
class UnresponsiveZone(Generic[RequestT]):
    """A zone that has just been found unresponsive."""

    zone: int
    requests: list[RequestT]  # requests waiting for a response from this zone
    endpoints: list[int]  # ids of its in-service endpoints, all ejected


class ZoneTable:
    """Tracks when each zone responded and when it was found unresponsive."""

    def __init__(self) -> None:
        self._zones: defaultdict[int, ZoneState] = defaultdict(ZoneState)

    def record_response(self, now: int, zone: int) -> None:
        """Record that an endpoint of a zone responded."""
        self._zones[zone].last_response_at = now

    def record_unresponsive(self, now: int, zone: int) -> None:
        """Record that a zone was found unresponsive."""
        self._zones[zone].last_found_unresponsive_at = now

    def was_found_unresponsive_since(self, zone: int, sent_at: int) -> bool:
        """Return whether a zone was found unresponsive at `sent_at` or later."""
        return sent_at <= self._zones[zone].last_found_unresponsive_at

    def only_others_responded(self, zone: int, since: int) -> bool:
        """Return whether another zone responded after `since` and this one did not.

        Returns False if this zone was already found unresponsive at `since` or later.
        """
        own = self._zones[zone]
        if since <= max(own.last_response_at, own.last_found_unresponsive_at):
            return False
        return any(since < other.last_response_at for other in self._zones.values() if other is not own)
