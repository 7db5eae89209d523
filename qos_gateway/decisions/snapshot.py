"""Snapshots of the decision engine's state for the next process of the gateway. Times are in ns."""

from __future__ import annotations

from dataclasses import dataclass, replace

from .statistics.decaying_mean import DecayingMean


@dataclass(frozen=True, slots=True)
class MeanSnapshot:
    """The state of a decaying mean."""

    updated_at: int
    time_constant: int
    weighted_sum: float
    weight: float

    @classmethod
    def of(cls, mean: DecayingMean) -> MeanSnapshot:
        """Return the state of a mean."""
        return cls(mean.updated_at, mean.time_constant, mean.weighted_sum, mean.weight)

    def to_mean(self) -> DecayingMean:
        """Return a mean with this state."""
        mean = DecayingMean(self.time_constant)
        self.copy_to(mean)
        return mean

    def shifted(self, offset: int) -> MeanSnapshot:
        """Return the state with its time shifted by `offset` (ns)."""
        return replace(self, updated_at=self.updated_at + offset)

    def copy_to(self, mean: DecayingMean) -> None:
        """Overwrite the state of a mean with this one."""
        mean.updated_at = self.updated_at
        mean.time_constant = self.time_constant
        mean.weighted_sum = self.weighted_sum
        mean.weight = self.weight


@dataclass(frozen=True, slots=True)
class AccountSnapshot:
    """A customer's token buckets, and the last report on them by the owner or the counter."""

    customer_id: int
    plan_index: int
    slice_count: int
    peers: tuple[int, ...]
    in_flight: int
    tokens: float
    local_tokens: float
    ceiling_tokens: float
    reported_at: int
    long_demand: MeanSnapshot
    grant_ratio: MeanSnapshot

    def shifted(self, offset: int) -> AccountSnapshot:
        """Return the account with its times shifted by `offset` (ns)."""
        return replace(
            self,
            reported_at=_shifted(self.reported_at, offset),
            long_demand=self.long_demand.shifted(offset),
            grant_ratio=self.grant_ratio.shifted(offset),
        )


@dataclass(frozen=True, slots=True)
class EndpointSnapshot:
    """State of an endpoint in the old process; the endpoint may have restarted since."""

    endpoint: int
    started_at: int
    ejected_until: int
    ejection_time: int
    consecutive_failures: int
    slow_start_tokens: float
    disabled_at: int
    assumed_start: int
    relative_latency: MeanSnapshot

    def shifted(self, offset: int) -> EndpointSnapshot:
        """Return the endpoint with its times shifted by `offset` (ns), except for the reported start."""
        return replace(
            self,
            ejected_until=_shifted(self.ejected_until, offset),
            disabled_at=_shifted(self.disabled_at, offset),
            assumed_start=_shifted(self.assumed_start, offset),
            relative_latency=self.relative_latency.shifted(offset),
        )


@dataclass(frozen=True, slots=True)
class LoadBalancerSnapshot:
    """State of each endpoint, and the statistics over all endpoints that slow start uses."""

    endpoints: tuple[EndpointSnapshot, ...]
    admin_disabled: dict[int, int]  # endpoint id to the time since which it is disabled
    warm_completions: MeanSnapshot

    def shifted(self, offset: int) -> LoadBalancerSnapshot:
        """Return the state with its times shifted by `offset` (ns)."""
        return LoadBalancerSnapshot(
            endpoints=tuple(endpoint.shifted(offset) for endpoint in self.endpoints),
            admin_disabled={endpoint: _shifted(at, offset) for endpoint, at in self.admin_disabled.items()},
            warm_completions=self.warm_completions.shifted(offset),
        )


@dataclass(frozen=True, slots=True)
class EngineSnapshot:
    """The state of the decision engine that the next process restores."""

    accounts: tuple[AccountSnapshot, ...]
    load_balancer: LoadBalancerSnapshot
    latency_by_class: tuple[MeanSnapshot, ...]
    baseline_latency_by_class: tuple[float, ...]
    call_rate: float
    retry_tokens: float
    lease_fractions: dict[int, dict[int, float]]  # customer id to leased fractions by term

    def adjusted_to_clock(self, now: int) -> EngineSnapshot:
        """Return the snapshot shifted so that no update is later than `now` (ns) of the next process.

        Each process reads the wall clock once, at its start. If the clock was stepped back in between, all
        times of the snapshot are too late by that step; the latest update is then taken to be at `now`.
        """
        offset = now - self._latest_update()
        if offset >= 0:
            return self
        return replace(
            self,
            accounts=tuple(account.shifted(offset) for account in self.accounts),
            load_balancer=self.load_balancer.shifted(offset),
            latency_by_class=tuple(mean.shifted(offset) for mean in self.latency_by_class),
        )

    def _latest_update(self) -> int:
        """Return the time of the latest update of any mean."""
        means = [self.load_balancer.warm_completions, *self.latency_by_class]
        means += [endpoint.relative_latency for endpoint in self.load_balancer.endpoints]
        means += [account.long_demand for account in self.accounts]
        means += [account.grant_ratio for account in self.accounts]
        return max(mean.updated_at for mean in means)


def _shifted(time: int, offset: int) -> int:
    """Return a time shifted by `offset`; values up to 0 mean never and do not change."""
    return time + offset if time > 0 else time
