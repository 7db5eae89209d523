"""Many things at once: a zone lost, gateways restarted together, and who holds connections to whom."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, replace
from statistics import mean, median

from benchmarks.common import (
    DESIGN,
    SECOND,
    START,
    ZONES,
    change,
    cpu,
    line,
    progress,
    servers,
    table,
    timed,
    whole,
)
from benchmarks.counter import SIZES, Result, simulate
from benchmarks.lists import instance, read
from qos_gateway.decisions.engine import DecisionEngine
from qos_gateway.types import Health, ListKind, Topology
from tests.support.builders import settings

DAY = 86_400  # s
REPEATS = 3
RESTART_S = 60.0  # in which all gateways restart


@dataclass(frozen=True)
class Zone:
    """A lost zone as told to one gateway."""

    entries: int
    objects: int
    size: int  # bytes
    cpu_ms: float  # JSON, parsing and the decision module


def lost_zone(n: int, singly: bool, repeats: int = REPEATS) -> Zone:
    hosts = servers(n)
    lost = [host for host in hosts if host["site"] == ZONES[0]]
    told = (
        [change([host], "terminated", 2 + i) for i, host in enumerate(lost)]
        if singly
        else [change(lost, "terminated")]
    )
    lines, full = [line(update) for update in told], read(line(whole(hosts))).topology
    gateways = [instance(seed) for seed in range(repeats)]
    for gateway in gateways:
        gateway.handle(START, full)
    fresh = iter(gateways)

    def learn() -> None:
        gateway = next(fresh)
        for data in lines:
            gateway.handle(START + SECOND, read(data).topology)

    return Zone(len(lost), len(lines), sum(map(len, lines)), 1000 * cpu(learn, repeats))


@dataclass(frozen=True)
class Held:
    """Order servers that each gateway holds, and gateways that hold each order server."""

    by_gateway: list[int]
    by_server: list[int]


def held(gateways: int, n: int, without: str | None = None) -> Held:
    """`without`: a zone that is lost, so that the rest of the ring is dealt out anew."""
    lost = ZONES.index(without) if without else -1
    entries = tuple(
        replace(entry, health=Health.REMOVED) if entry.zone == lost else entry
        for entry in read(line(whole(servers(n)))).topology.entries
    )
    made = DecisionEngine(settings(gateway_count=gateways, may_message=False), 7, START)
    made.handle(START, Topology(ListKind.FULL, 1, entries))
    by_gateway, by_server = [], dict.fromkeys(made.load_balancer.ring, 0)
    for position in range(gateways):
        # The ring is the same at every gateway; only the place on it differs.
        made.load_balancer.settings = replace(made.load_balancer.settings, position=position)
        mine = made.load_balancer.subset(START)
        by_gateway.append(len(mine))
        for server in mine:
            by_server[server.endpoint.id] += 1
    return Held(by_gateway, list(by_server.values()))


@dataclass(frozen=True)
class Wave:
    """Gateways that restart within a time."""

    label: str
    gateways: int
    seconds: float


WAVES = (
    Wave("1,300 a day, evenly", DESIGN.restarts_per_day, DAY),
    Wave("a tenth at once (1 s)", DESIGN.gateways // 10, 1.0),
    Wave("all within 60 s", DESIGN.gateways, RESTART_S),
)


@dataclass(frozen=True)
class Fresh:
    """Counter calls of gateways that have just started, against those of before."""

    before: Result
    after: Result


def restarted(
    gateways: int,
    n_tenants: int,
    requests_per_s: float,
    part: float,
    capacity: float | None,
    seconds: float = 6.0,
    seed: int = 1,
) -> Fresh:
    """Counts of the 2 s before and the 2 s after this part of the gateways starts anew, at 4 s."""
    at = seconds - 2.0
    down = range(int(gateways * part))
    before = simulate(gateways, n_tenants, requests_per_s, capacity, seconds=at, after=at - 2.0, seed=seed)
    after = simulate(
        gateways,
        n_tenants,
        requests_per_s,
        capacity,
        seconds=seconds,
        after=at,
        seed=seed,
        restarts=[(at, position) for position in down],
    )
    return Fresh(before, after)


def change_rows(length: int) -> list[list[object]]:
    rows: list[list[object]] = []
    for singly in (False, True):
        z = lost_zone(length, singly)
        rows.append(
            [
                length,
                "one by one" if singly else "one object",
                z.entries,
                z.objects,
                z.size,
                z.size / DESIGN.bytes_per_s,
                z.cpu_ms,
                z.cpu_ms / 1000 / DESIGN.core_part,
            ]
        )
    return rows


def main(lengths: Sequence[int] = (800, DESIGN.order_servers)) -> None:
    rows: list[list[object]] = []
    for length in lengths:
        progress(f"waves: a zone of {length:,} order servers lost")
        rows += change_rows(length)
    timed(
        "A lost zone as told to one gateway",
        (
            "order servers",
            "told",
            "entries",
            "objects",
            "size (B)",
            "at 14 KB/s (s)",
            "cpu (ms)",
            "at 3.8% of a core (s)",
        ),
        rows,
    )
    rows = []
    for gateways, length in ((3, 12), (48, 710), (DESIGN.gateways, DESIGN.order_servers)):
        for lost in (None, ZONES[0]):
            progress(f"waves: connections of {gateways} gateways to {length:,} order servers")
            h = held(gateways, length, lost)
            rows.append(
                [
                    gateways,
                    length,
                    lost or "none",
                    min(h.by_gateway),
                    mean(h.by_gateway),
                    max(h.by_gateway),
                    min(h.by_server),
                    mean(h.by_server),
                    max(h.by_server),
                    sum(h.by_gateway),
                ]
            )
    table(
        "Who holds connections to whom (order servers among which a gateway chooses)",
        (
            "gateways",
            "order servers",
            "zone lost",
            "a gateway's: min",
            "mean",
            "max",
            "gateways of one server: min",
            "mean",
            "max",
            "pairs in all",
        ),
        rows,
    )
    size = len(line(whole(servers(DESIGN.order_servers))))
    each = median(held(DESIGN.gateways, DESIGN.order_servers).by_gateway)
    rows = []
    for wave in WAVES:
        rate = wave.gateways / wave.seconds
        rows.append(
            [
                wave.label,
                wave.gateways,
                wave.seconds,
                rate,
                size * wave.gateways / 1e6,
                rate * size / 1e6,
                each * wave.gateways,
                rate * each,
            ]
        )
    table(
        "Restart waves: the whole list to each, and a connection at least to each order server held",
        (
            "wave",
            "gateways",
            "within (s)",
            "restarts/s",
            "list bytes (MB)",
            "list (MB/s)",
            "connections opened",
            "connections/s",
        ),
        rows,
    )
    gateways, n, requests_per_s = SIZES[-1]
    rows = []
    for part in (0.1, 1.0):
        for capacity in (None, 750.0 * gateways / DESIGN.gateways):
            progress(f"waves: {part:.0%} of {gateways} gateways restarted")
            f = restarted(gateways, n, requests_per_s, part, capacity)
            rows += [
                [
                    "unlimited" if capacity is None else f"{capacity:g}/s",
                    f"{part:.0%}",
                    when,
                    r.rate(r.calls),
                    r.per_request,
                    r.rate(r.answered),
                    r.rate(r.turned_away),
                    r.granted,
                    r.price,
                ]
                for when, r in (("2 s before", f.before), ("2 s after", f.after))
            ]
    table(
        f"Counter calls where part of {gateways} gateways start anew at once",
        (
            "counter",
            "restarted",
            "counted",
            "calls/s",
            "calls/request",
            "answered/s",
            "turned away/s",
            "granted (part)",
            "over-quota price (part)",
        ),
        rows,
    )


if __name__ == "__main__":
    main()
