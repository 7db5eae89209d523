"""Responses from the zones as this gateway observes them."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass
from typing import Generic, Protocol, TypeVar


class AttemptedRequest(Protocol):
    """What the detection of unresponsive zones reads of an open request; times are in ns."""

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
    """Responses from one zone; times are in ns."""

    last_response_at: int = 0
    last_found_unresponsive_at: int = -1  # when it was last found unresponsive: -1 is before any attempt


@dataclass(slots=True)
class UnresponsiveZone(Generic[RequestT]):
    """A zone that has just been found unresponsive."""

    zone: int
    requests: list[RequestT]  # requests that wait for a response from this zone
    endpoints: list[int]  # ids of its endpoints in service, all ejected


class ZoneTable:
    """Responses from all zones."""

    def __init__(self) -> None:
        self._zones: defaultdict[int, ZoneState] = defaultdict(ZoneState)

    def record_response(self, now: int, zone: int) -> None:
        """Record that some endpoint of a zone responded."""
        self._zones[zone].last_response_at = now

    def record_unresponsive(self, now: int, zone: int) -> None:
        """Record that a zone was found unresponsive."""
        self._zones[zone].last_found_unresponsive_at = now

    def was_found_unresponsive_since(self, zone: int, sent_at: int) -> bool:
        """Return whether a zone was found unresponsive at `sent_at` or later."""
        return sent_at <= self._zones[zone].last_found_unresponsive_at

    def only_others_responded(self, zone: int, since: int) -> bool:
        """Return whether another zone responded after `since`, and this one did not.

        A zone that was found unresponsive at `since` or later does not count again.
        """
        own = self._zones[zone]
        if since <= max(own.last_response_at, own.last_found_unresponsive_at):
            return False
        return any(since < other.last_response_at for other in self._zones.values() if other is not own)
