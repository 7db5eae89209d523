"""Layout of what one process hands over to the next: plain values and back. Nothing here decides anything."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from .decaying_mean import DecayingMean


@dataclass(frozen=True, slots=True)
class AccountSnapshot:
    """A customer's stores and what was told of it."""

    customer_id: int
    plan_index: int
    slice_count: int
    peers: tuple[int, ...]
    in_flight: int
    tokens: float
    local_tokens: float
    ceiling_tokens: float
    reported_at: int
    long_demand: DecayingMean
    grant_ratio: DecayingMean


@dataclass(frozen=True, slots=True)
class EndpointSnapshot:
    """A server as the old process saw it; it may have been started anew since."""

    endpoint: int
    started_at: int
    ejected_until: int
    ejection_time: int
    consecutive_failures: int
    slow_start_tokens: float
    disabled_at: int
    assumed_start: int
    slowness: DecayingMean


def encode_mean(mean: DecayingMean) -> list[float]:
    return [mean.updated_at, mean.time_constant, mean.weighted_sum, mean.weight]


def decode_mean(raw: Any) -> DecayingMean:
    at, memory, total, weight = raw
    made = DecayingMean(int(memory))
    made.updated_at, made.weighted_sum, made.weight = int(at), float(total), float(weight)
    return made


@dataclass(frozen=True, slots=True)
class EngineSnapshot:
    """All that is handed over, read and checked."""

    accounts: list[AccountSnapshot]
    endpoints: list[EndpointSnapshot]
    admin_disabled: dict[int, int]
    warm_completions: DecayingMean
    latency: list[DecayingMean]
    baseline_latency: list[float]
    call_rate: float
    retry_tokens: float
    lease_fractions: dict[int, dict[int, float]]  # by customer and term


def decode_snapshot(raw: dict[str, Any], plans: int, classes: int) -> EngineSnapshot:
    """Raises ValueError, with what is wrong, for what does not fit so many plans and classes."""
    try:
        stores = [
            AccountSnapshot(
                int(c),
                int(p),
                int(n),
                tuple(map(int, peers)),
                int(out),
                float(level),
                float(part),
                float(ceiling),
                int(told),
                decode_mean(seen),
                decode_mean(granted),
            )
            for c, p, n, peers, out, level, part, ceiling, told, seen, granted in raw["accounts"]
        ]
        if any(not 0 <= store.plan_index < plans for store in stores):
            raise ValueError("a plan that is not in the settings")
        servers = [
            EndpointSnapshot(
                int(s), int(b), int(su), int(pause), int(f), float(t), int(at), int(cold), decode_mean(slow)
            )
            for s, b, su, pause, f, t, at, cold, slow in raw["servers"]
        ]
        banned = {int(number): int(since) for number, since in raw["banned"]}
        sends = decode_mean(raw["sends"])
        latency = [decode_mean(each) for each in raw["latency"]]
        shortest = [float(each) for each in raw["shortest"]]
        if not len(latency) == len(shortest) == classes:
            raise ValueError("other classes than in the settings")
        pace, retries = float(raw["pace"]), float(raw["retries"])
        # Versions without leases neither tell nor read them.
        leases = {int(c): {int(t): float(part) for t, part in terms} for c, terms in raw.get("leases", [])}
    except (AttributeError, KeyError, TypeError, ValueError, OverflowError) as error:
        raise ValueError(f"heritage not readable: {type(error).__name__}: {error}") from None
    return EngineSnapshot(stores, servers, banned, sends, latency, shortest, pace, retries, leases)
