"""Schedules calls to discovery so that changes are applied within the propagation deadline."""

from __future__ import annotations

import random
from math import inf

INITIAL_BACKOFF_S = 0.05  # doubled after each failed watch
MAX_BACKOFF_S = 2.0
# Limits the backoff to a fraction of the drain grace, because a drain may begin while no watch is open.
MAX_BACKOFF_GRACE_FRACTION = 0.5
PROPAGATION_DEADLINE_S = 6.0  # a change must be in effect by then, even if calls have failed
PROPAGATION_DEADLINE_AFTER_AGENT_CHANGE_S = 4.0
FIRST_LIST_DEADLINE_S = 3.0  # shorter, because no request is served before the first list
UPDATE_TIME_S = 0.6  # allowance for the call and for applying the largest list
# After an overload response, the next call waits for a random fraction of the time left until it is due, at
# least OVERLOAD_MIN_WAIT_FRACTION. A longer Retry-After raises this minimum, but not beyond
# OVERLOAD_MAX_ADVISED_FRACTION, so that calls stay spread out.
OVERLOAD_MIN_WAIT_FRACTION = 2 / 3
OVERLOAD_MAX_ADVISED_FRACTION = 0.85


class WatchSchedule:
    """Computes the delay before each call to discovery.

    Every call begins early enough that, if it succeeds, a change takes effect before its propagation
    deadline. The deadline counts from when the list was last up to date, or from the start of a failed call.
    Times are in seconds on the event loop's clock, delays in seconds.
    """

    __slots__ = ("_backoff_s", "_call_due_at_s", "_max_backoff_s", "_rng")

    def __init__(self, drain_grace_s: float, rng: random.Random) -> None:
        self._backoff_s = INITIAL_BACKOFF_S
        self._max_backoff_s = min(MAX_BACKOFF_S, MAX_BACKOFF_GRACE_FRACTION * drain_grace_s)
        # The latest start of the first call after the list was up to date; None once used.
        self._call_due_at_s: float | None = None
        self._rng = rng

    def on_up_to_date(self, at_s: float, deadline_s: float = PROPAGATION_DEADLINE_S) -> None:
        """Record that the list was up to date at `at_s`."""
        self._backoff_s = INITIAL_BACKOFF_S
        self._call_due_at_s = at_s + deadline_s - UPDATE_TIME_S

    def on_agent_changed(self, at_s: float) -> None:
        """Record a change of agent, which shortens the deadline; a further change does not extend it."""
        due_before_s = self._call_due_at_s
        self.on_up_to_date(at_s, PROPAGATION_DEADLINE_AFTER_AGENT_CHANGE_S)
        if due_before_s is not None and due_before_s > at_s and self._call_due_at_s is not None:
            self._call_due_at_s = min(due_before_s, self._call_due_at_s)

    def silence_deadline_s(self, now_s: float) -> float:
        """Return when a silent call that begins now must end, so that the next begins in time."""
        if self._call_due_at_s is None:
            return inf
        return max(now_s + INITIAL_BACKOFF_S, self._call_due_at_s)

    def delay_after_disconnect(self) -> float:
        """Return the delay after a watch during which the list was up to date."""
        # Jitter keeps gateways whose agents failed together from reconnecting together.
        return INITIAL_BACKOFF_S * self._rng.uniform(0.5, 1.0)

    def delay_after_failure(
        self, called_at_s: float, now_s: float, deadline_s: float = PROPAGATION_DEADLINE_S
    ) -> float:
        """Return the delay after a call that was refused, reset, unanswered or had an invalid response."""
        time_left_s = self._consume_time_left(called_at_s, now_s, deadline_s)
        backoff_s = min(self._backoff_s, self._max_backoff_s, time_left_s)
        self._backoff_s = min(MAX_BACKOFF_S, 2 * self._backoff_s)
        return backoff_s * self._rng.uniform(0.5, 1.0)

    def delay_after_overload(
        self,
        called_at_s: float,
        now_s: float,
        retry_after_s: float,
        deadline_s: float = PROPAGATION_DEADLINE_S,
    ) -> float:
        """Return the delay after a call that discovery rejected with status 429 or 503.

        It is most of the time left: a fleet that retries sooner keeps discovery from serving any gateway.
        """
        time_left_s = self._consume_time_left(called_at_s, now_s, deadline_s)
        advised_fraction = max(OVERLOAD_MIN_WAIT_FRACTION, retry_after_s / time_left_s)
        min_fraction = min(OVERLOAD_MAX_ADVISED_FRACTION, advised_fraction)
        return time_left_s * self._rng.uniform(min_fraction, 1.0)

    def _consume_time_left(self, called_at_s: float, now_s: float, deadline_s: float) -> float:
        """Return the time until the next call must begin, at least the initial backoff.

        The time at which the list was last up to date limits only the first call after it: changes that
        later calls receive cannot be older than the call that failed.
        """
        due_at_s = self._call_due_at_s
        self._call_due_at_s = None
        if due_at_s is None or due_at_s - now_s < INITIAL_BACKOFF_S:
            due_at_s = called_at_s + deadline_s - UPDATE_TIME_S
        return max(INITIAL_BACKOFF_S, due_at_s - now_s)
