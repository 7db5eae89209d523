"""A model of the shared quota counter, with limited capacity and scripted faults."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum

from benchmarks.token_bucket import TokenBucket
from qos_gateway.types import AddToCounter, CounterReplied, Outcome
from qos_gateway.units import MILLISECOND, SECOND

REPLY_TIME_NS = 2 * MILLISECOND  # until a call is answered
CALL_TIMEOUT_NS = 80 * MILLISECOND  # after which a gateway cancels a call
CONNECTION_REFUSAL_TIME_NS = MILLISECOND // 5  # until a connection is refused
BURST_WINDOW_S = 0.05  # capacity of this time is accepted in one burst
ALL_GATEWAYS = 1 << 30  # above every gateway's position


class Fault(Enum):
    """Fault of calls to the counter."""

    CONNECTION_REFUSED = "connections refused, nothing added"
    REQUEST_DROPPED = "no answer in time, nothing added"
    REPLY_DROPPED = "no answer in time, though the amount was added"
    DUPLICATED = "the amount added twice"
    DATA_RESET = "all numbers gone, once, at the start of the fault"


@dataclass(frozen=True)
class FaultWindow:
    """A fault from `start_s` to `end_s`, at the gateways from `first_gateway` up to before `end_gateway`."""

    fault: Fault
    start_s: float
    end_s: float
    first_gateway: int = 0
    end_gateway: int = ALL_GATEWAYS

    def has_started(self, now: int) -> bool:
        """Return whether `now` (ns) is at or after the window's start."""
        return now >= self.start_s * SECOND

    def affects(self, now: int, gateway: int) -> bool:
        """Return whether this fault affects a gateway's call at `now` (ns)."""
        is_active = self.has_started(now) and now < self.end_s * SECOND
        return is_active and self.first_gateway <= gateway < self.end_gateway


def partition_half(gateways: int, start_s: float, end_s: float) -> FaultWindow:
    """Return a network partition in which half of the gateways, one region, cannot reach the counter."""
    return FaultWindow(
        Fault.REQUEST_DROPPED,
        start_s=start_s,
        end_s=end_s,
        first_gateway=gateways // 2,
        end_gateway=gateways,
    )


@dataclass(frozen=True)
class FaultCase:
    """A labelled script of faults."""

    label: str
    fault_windows: tuple[FaultWindow, ...] = ()


def fault_cases(gateways: int, start_s: float, end_s: float) -> list[FaultCase]:
    """Return a case for every fault in this time, and one for the partition of half of the gateways."""
    cases = [FaultCase(fault.value, (FaultWindow(fault, start_s, end_s),)) for fault in Fault]
    partition = partition_half(gateways, start_s, end_s)
    return [*cases, FaultCase("half of the gateways partitioned", (partition,))]


class QuotaCounter:
    """Totals by key; `capacity` is in calls per second, None means unlimited."""

    def __init__(self, capacity: float | None = None, fault_windows: Sequence[FaultWindow] = ()) -> None:
        self._fault_windows = fault_windows
        self._pending_data_resets = [window for window in fault_windows if window.fault is Fault.DATA_RESET]
        self._totals: dict[int, float] = defaultdict(float)
        self._accepted_calls: TokenBucket | None = None
        if capacity is not None:
            self._accepted_calls = TokenBucket(capacity, max(1.0, BURST_WINDOW_S * capacity))

    def call(self, now: int, gateway: int, action: AddToCounter) -> CounterReplied:
        """Return the gateway's result of its call at `now` (ns), with the duration of the call."""
        faults = {window.fault for window in self._fault_windows if window.affects(now, gateway)}
        self._reset_data(now)
        if Fault.CONNECTION_REFUSED in faults:
            return CounterReplied(CONNECTION_REFUSAL_TIME_NS, Outcome.CONNECT_FAILED, action.key, 0.0)
        if Fault.REQUEST_DROPPED in faults:
            return CounterReplied(CALL_TIMEOUT_NS, Outcome.TIMEOUT, action.key, 0.0)
        if self._accepted_calls is not None and not self._accepted_calls.take(now):
            return CounterReplied(REPLY_TIME_NS, Outcome.OVERLOADED, action.key, 0.0)
        self._totals[action.key] += action.amount * (2 if Fault.DUPLICATED in faults else 1)
        if Fault.REPLY_DROPPED in faults:
            return CounterReplied(CALL_TIMEOUT_NS, Outcome.TIMEOUT, action.key, 0.0)
        return CounterReplied(REPLY_TIME_NS, Outcome.OK, action.key, self._totals[action.key])

    def _reset_data(self, now: int) -> None:
        """Clear the totals once for every data reset that is due."""
        for window in [window for window in self._pending_data_resets if window.has_started(now)]:
            self._pending_data_resets.remove(window)
            self._totals.clear()
