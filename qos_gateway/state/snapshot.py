"""Layout of what one process hands over to the next: plain values and back. Nothing here decides anything."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from .entities import Mean


@dataclass(frozen=True, slots=True)
class Store:
    """A customer's stores and what was told of it."""

    customer: int
    plan: int
    slices: int
    peers: tuple[int, ...]
    out: int
    level: float
    part: float
    ceiling: float
    told_at: int
    seen: Mean
    granted: Mean


@dataclass(frozen=True, slots=True)
class Seen:
    """A server as the old process saw it; it may have been started anew since."""

    server: int
    booted: int
    suspended: int
    pause: int
    fails: int
    tokens: float
    banned_at: int
    cold_from: int
    slow: Mean


def pack_mean(mean: Mean) -> list[float]:
    return [mean.at, mean.memory, mean.total, mean.weight]


def read_mean(raw: Any) -> Mean:
    at, memory, total, weight = raw
    made = Mean(int(memory))
    made.at, made.total, made.weight = int(at), float(total), float(weight)
    return made


@dataclass(frozen=True, slots=True)
class Handover:
    """All that is handed over, read and checked."""

    stores: list[Store]
    servers: list[Seen]
    banned: dict[int, int]
    sends: Mean
    latency: list[Mean]
    shortest: list[float]
    pace: float
    retries: float
    leases: dict[int, dict[int, float]]  # by customer and term


def read(raw: dict[str, Any], plans: int, classes: int) -> Handover:
    """Raises ValueError, with what is wrong, for what does not fit so many plans and classes."""
    try:
        stores = [
            Store(
                int(c),
                int(p),
                int(n),
                tuple(map(int, peers)),
                int(out),
                float(level),
                float(part),
                float(ceiling),
                int(told),
                read_mean(seen),
                read_mean(granted),
            )
            for c, p, n, peers, out, level, part, ceiling, told, seen, granted in raw["accounts"]
        ]
        if any(not 0 <= store.plan < plans for store in stores):
            raise ValueError("a plan that is not in the settings")
        servers = [
            Seen(int(s), int(b), int(su), int(pause), int(f), float(t), int(at), int(cold), read_mean(slow))
            for s, b, su, pause, f, t, at, cold, slow in raw["servers"]
        ]
        banned = {int(number): int(since) for number, since in raw["banned"]}
        sends = read_mean(raw["sends"])
        latency = [read_mean(each) for each in raw["latency"]]
        shortest = [float(each) for each in raw["shortest"]]
        if not len(latency) == len(shortest) == classes:
            raise ValueError("other classes than in the settings")
        pace, retries = float(raw["pace"]), float(raw["retries"])
        # Versions without leases neither tell nor read them.
        leases = {int(c): {int(t): float(part) for t, part in terms} for c, terms in raw.get("leases", [])}
    except (AttributeError, KeyError, TypeError, ValueError, OverflowError) as error:
        raise ValueError(f"heritage not readable: {type(error).__name__}: {error}") from None
    return Handover(stores, servers, banned, sends, latency, shortest, pace, retries, leases)
