"""What a gateway's decisions leave to the process that takes over from it, and how the two share.

Until the old process is gone both count as one gateway, so each keeps a part of the stores and their refill.
"""

from __future__ import annotations

from typing import Any

from .snapshot import pack_mean, read
from ..types import Health, Settings
from ..decisions.engine import NEW, OLD, Gateway


def bequeath(gateway: Gateway, now: int) -> dict[str, Any]:
    """All that the next process must know, as plain numbers; from here on this one keeps its part alone."""
    quota, fleet, model = gateway.quota, gateway.fleet, gateway.model
    accounts, servers = [], []
    for account in quota.accounts.values():
        quota.refill(now, account)
        accounts.append(
            [
                account.customer,
                account.index,
                account.slices,
                list(account.peers),
                account.open + account.others * (now - account.open_at < 10**9),
                account.level,
                account.part * NEW,
                account.ceiling * NEW,
                account.told_at,
                pack_mean(account.seen),
                pack_mean(account.granted),
            ]
        )
        account.part, account.ceiling = account.part * OLD, account.ceiling * OLD
        if quota.gossip:  # elsewhere the level is what home or counter told, and one over all processes
            accounts[-1][5], account.level = account.level * NEW, account.level * OLD
    for known, server in fleet.servers.items():
        servers.append(
            [
                known,
                server.entry.booted,
                server.suspended,
                server.pause,
                server.fails,
                server.tokens,
                server.banned_at,
                server.cold_from,
                pack_mean(server.slow),
            ]
        )
        server.tokens = 0.0
    quota.kept = fleet.kept = OLD
    return {
        "accounts": accounts,
        "servers": servers,
        "banned": sorted(fleet.banned.items()),
        "sends": pack_mean(fleet.worked),
        "latency": [pack_mean(mean) for mean in model.latency],
        "shortest": model.shortest,
        "pace": quota.pace,
        "retries": gateway.retries * NEW,
        "leases": [[c, sorted(a.leases.items())] for c, a in quota.accounts.items() if a.leases],
    }


def inherit(gateway: Gateway, now: int, raw: dict[str, Any], settings: Settings) -> None:
    """Takes over; raises ValueError, and changes nothing, where the word cannot be read."""
    word = read(raw, len(settings.plans), len(settings.classes))
    quota, fleet = gateway.quota, gateway.fleet
    for store in word.stores:
        account = quota.account(now, store.customer, store.plan)
        account.slices, account.peers = store.slices, store.peers
        account.level, account.part, account.ceiling = store.level, store.part, store.ceiling
        account.told_at, account.seen, account.granted = store.told_at, store.seen, store.granted
        account.open_at, account.others = now, store.out
    for customer, leases in word.leases.items():  # of both processes, each with its part
        if customer in quota.accounts:
            quota.accounts[customer].leases = leases
    for seen in word.servers:
        server = fleet.servers.get(seen.server)
        if server is None or server.entry.booted != seen.booted or server.entry.health is Health.GONE:
            continue
        server.suspended, server.pause, server.fails = seen.suspended, seen.pause, seen.fails
        server.tokens, server.tokens_at = seen.tokens, now
        server.banned_at, server.cold_from = seen.banned_at, seen.cold_from
        server.slow = seen.slow
    fleet.banned |= word.banned
    fleet.worked = word.sends
    for backend in fleet.banned.keys() | {seen.server for seen in word.servers}:
        fleet.place(backend)
    fleet.count(now)
    for mine, mean in zip(gateway.model.latency, word.latency, strict=True):
        mine.at, mine.memory, mine.total, mine.weight = mean.at, mean.memory, mean.total, mean.weight
    gateway.model.shortest = word.shortest
    quota.pace, gateway.retries = min(1.0, max(0.0, word.pace)), word.retries
    quota.kept = fleet.kept = NEW


def alone(gateway: Gateway) -> None:
    """The other process is gone: all of it is this one's."""
    gateway.quota.kept = gateway.fleet.kept = 1.0
