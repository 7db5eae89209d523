"""What a gateway's decisions leave to the process that takes over from it, and how the two share.

Until the old process is gone both count as one gateway, so each keeps a part of the stores and their refill.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from .interface import Health, Settings
from .logic import Gateway
from .state import Mean

OLD, NEW = 0.25, 0.75  # parts while both live: the old one only finishes what clients still send it


@dataclass(frozen=True, slots=True)
class _Store:
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
class _Seen:
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


def _pack(mean: Mean) -> list[float]:
    return [mean.at, mean.memory, mean.total, mean.weight]


def _mean(raw: Any) -> Mean:
    at, memory, total, weight = raw
    made = Mean(int(memory))
    made.at, made.total, made.weight = int(at), float(total), float(weight)
    return made


def bequeath(gateway: Gateway, now: int) -> dict[str, Any]:
    """All that the next process must know, as plain numbers; from here on this one keeps its part alone."""
    quota, fleet, model = gateway.quota, gateway.fleet, gateway.model
    accounts, servers = [], []
    for account in quota.accounts.values():
        quota.refill(now, account)
        accounts.append([
            account.customer, account.index, account.slices, list(account.peers),
            account.open + account.others * (now - account.open_at < 10**9), account.level,
            account.part * NEW, account.ceiling * NEW, account.told_at, _pack(account.seen),
            _pack(account.granted),
        ])
        account.part, account.ceiling = account.part * OLD, account.ceiling * OLD
        if quota.gossip:  # elsewhere the level is what home or counter told, and one over all processes
            accounts[-1][5], account.level = account.level * NEW, account.level * OLD
    for known, server in fleet.servers.items():
        servers.append([known, server.entry.booted, server.suspended, server.pause, server.fails,
                        server.tokens, server.banned_at, server.cold_from, _pack(server.slow)])
        server.tokens = 0.0
    quota.kept = fleet.kept = OLD
    return {
        "accounts": accounts, "servers": servers, "banned": sorted(fleet.banned.items()),
        "sends": _pack(fleet.worked),
        "latency": [_pack(mean) for mean in model.latency], "shortest": model.shortest, "pace": quota.pace,
        "retries": gateway.retries * NEW,
    }


def inherit(gateway: Gateway, now: int, raw: dict[str, Any], settings: Settings) -> None:
    """Takes over; raises ValueError, and changes nothing, where the word cannot be read."""
    try:
        stores = [
            _Store(int(c), int(p), int(n), tuple(map(int, peers)), int(out), float(level), float(part),
                   float(ceiling), int(told), _mean(seen), _mean(granted))
            for c, p, n, peers, out, level, part, ceiling, told, seen, granted in raw["accounts"]
        ]
        if any(not 0 <= store.plan < len(settings.plans) for store in stores):
            raise ValueError("a plan that is not in the settings")
        servers = [_Seen(int(s), int(b), int(su), int(pause), int(f), float(t), int(at), int(cold),
                         _mean(slow))
                   for s, b, su, pause, f, t, at, cold, slow in raw["servers"]]
        banned = {int(number): int(since) for number, since in raw["banned"]}
        sends = _mean(raw["sends"])
        latency = [_mean(each) for each in raw["latency"]]
        shortest = [float(each) for each in raw["shortest"]]
        if not len(latency) == len(shortest) == len(settings.classes):
            raise ValueError("other classes than in the settings")
        pace, retries = float(raw["pace"]), float(raw["retries"])
    except (AttributeError, KeyError, TypeError, ValueError, OverflowError) as error:
        raise ValueError(f"heritage not readable: {type(error).__name__}: {error}") from None
    quota, fleet = gateway.quota, gateway.fleet
    for store in stores:
        account = quota.account(now, store.customer, store.plan)
        account.slices, account.peers = store.slices, store.peers
        account.level, account.part, account.ceiling = store.level, store.part, store.ceiling
        account.told_at, account.seen, account.granted = store.told_at, store.seen, store.granted
        account.open_at, account.others = now, store.out
    for seen in servers:
        server = fleet.servers.get(seen.server)
        if server is None or server.entry.booted != seen.booted or server.entry.health is Health.GONE:
            continue
        server.suspended, server.pause, server.fails = seen.suspended, seen.pause, seen.fails
        server.tokens, server.tokens_at = seen.tokens, now
        server.banned_at, server.cold_from = seen.banned_at, seen.cold_from
        server.slow = seen.slow
    fleet.banned |= banned
    fleet.worked = sends
    fleet.count(now)
    for mine, mean in zip(gateway.model.latency, latency, strict=True):
        mine.at, mine.memory, mine.total, mine.weight = mean.at, mean.memory, mean.total, mean.weight
    gateway.model.shortest = shortest
    quota.pace, gateway.retries = min(1.0, max(0.0, pace)), retries
    quota.kept = fleet.kept = NEW


def alone(gateway: Gateway) -> None:
    """The other process is gone: all of it is this one's."""
    gateway.quota.kept = gateway.fleet.kept = 1.0
