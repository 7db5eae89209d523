"""What a list of order servers costs a gateway: bytes, processor time and memory, by its length."""

from __future__ import annotations

import json
import subprocess
import sys
from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace
from itertools import count

from benchmarks.common import (
    DESIGN,
    KINDS,
    MS,
    START,
    ZONES,
    change,
    cpu,
    line,
    progress,
    rss_kb,
    servers,
    table,
    timed,
    whole,
)
from qos_gateway.decisions.engine import TICK_TIMER, DecisionEngine
from qos_gateway.server.discovery import Update, parse_update
from qos_gateway.types import AttemptEnded, ListKind, Outcome, Send, TimerFired, Topology
from tests.support.builders import arrival, plan, settings

LENGTHS = (200, 800, 1_800, 3_500, 7_100)
GATEWAYS = DESIGN.gateways
REPEATS = 3
REQUESTS = 200  # arrivals and ends for one timing
PLAN = plan(rate=1e6, burst=1e6)  # no quota binds here


def read(data: bytes) -> Update:
    return parse_update(json.loads(data), ZONES, KINDS)


def instance(position: int = 0, gateways: int = GATEWAYS) -> DecisionEngine:
    """A hollow instance: the decisions without sockets."""
    return DecisionEngine(
        settings(gateway_count=gateways, position=position, may_message=False, plans=(PLAN,)), 7, START
    )


@dataclass(frozen=True)
class Bytes:
    """As discovery writes them, without HTTP's chunk heads."""

    whole: int
    change: int  # of one order server
    zone: int  # one zone's, in one object
    zone_singly: int  # the same as one object for each


def sizes(n: int) -> Bytes:
    hosts = servers(n)
    lost = [host for host in hosts if host["site"] == ZONES[0]]
    singly = sum(len(line(change([host], "terminated"))) for host in lost)
    one = len(line(change(hosts[:1])))
    return Bytes(len(line(whole(hosts))), one, len(line(change(lost, "terminated"))), singly)


@dataclass(frozen=True)
class Times:
    """Processor milliseconds, each the median of three."""

    read_json: float
    parse: float
    learn_whole: float
    read_change: float  # JSON, parsing and all
    learn_change: float
    learn_zone: float  # one object
    request: float  # an arrival and its end
    tick: float


def requests(gateway: DecisionEngine, n: int, now: int, numbers: count[int]) -> int:
    """So many requests that arrive and are answered, 5 ms apart; when the last was over (ns)."""
    for number in (next(numbers) for _ in range(n)):
        now += 5 * MS
        a = arrival(number, now, customer_id=number % 23 + 1, gateway_spread=10)
        (sent,) = (action for action in gateway.handle(now, a) if isinstance(action, Send))
        end = AttemptEnded(number, True, 0, sent.endpoint, 0, Outcome.OK, MS, 0, ())
        gateway.handle(now + MS, end)
    return now


def times(n: int, repeats: int = REPEATS) -> Times:
    hosts = servers(n)
    data = line(whole(hosts))
    one, zone = line(change(hosts[:1])), line(change([h for h in hosts if h["site"] == ZONES[0]]))
    raw, update, changed, lost = json.loads(data), read(data), read(one), read(zone)
    gateway, numbers, now = instance(), count(1), START
    gateway.handle(now, update.topology)

    def learn(what: Topology) -> float:
        return cpu(lambda: gateway.handle(now, what), repeats)

    learn_whole = learn(update.topology)
    changes = []
    for _ in range(repeats):  # to and fro, or the second time would change nothing
        changes.append((learn(changed.topology), learn(replace(update.topology, kind=ListKind.FULL))))
    learn_zone = learn(lost.topology)
    gateway.handle(now, update.topology)
    now = requests(gateway, REQUESTS, now, numbers)

    def some() -> None:
        nonlocal now
        now = requests(gateway, REQUESTS, now, numbers)

    request = cpu(some, repeats) / REQUESTS

    def ticks() -> None:
        for _ in range(10):
            gateway.handle(now, TimerFired(TICK_TIMER))

    return Times(
        *(
            1000 * seconds
            for seconds in (
                cpu(lambda: json.loads(data), repeats),
                cpu(lambda: parse_update(raw, ZONES, KINDS), repeats),
                learn_whole,
                cpu(lambda: read(one), repeats),
                sorted(c for c, _ in changes)[repeats // 2],
                learn_zone,
                request,
                cpu(ticks, repeats) / 10,
            )
        )
    )


def grown_kb(n: int) -> int:
    """Growth of this process's resident memory by a list that is read, told and kept as a gateway does."""
    gateway, before = instance(), rss_kb()
    raw = json.loads(line(whole(servers(n))))
    update = parse_update(raw, ZONES, KINDS)
    gateway.handle(START, update.topology)
    kept = {host["host"]: host for host in raw["hosts"]}, update.addresses, gateway
    return rss_kb() - before if kept else 0


def grown(n: int) -> int:
    """The same in a fresh process: kB."""
    code = f"from benchmarks.lists import grown_kb; print(grown_kb({n}))"
    done = subprocess.run([sys.executable, "-c", code], check=True, capture_output=True, text=True)
    return int(done.stdout)


def main(lengths: Sequence[int] = LENGTHS, memory: Callable[[int], int] = grown) -> None:
    written, spent = [], []
    for n in lengths:
        progress(f"lists: {n:,} order servers")
        b, t = sizes(n), times(n)
        taken = (t.read_json + t.parse + t.learn_whole) / 1000
        written.append(
            [
                n,
                b.whole,
                b.whole / n,
                b.change,
                b.zone,
                b.whole / DESIGN.bytes_per_s,
                b.zone / DESIGN.bytes_per_s,
                taken / DESIGN.core_part,
                memory(n) / 1024,
            ]
        )
        spent.append(
            [
                n,
                t.read_json,
                t.parse,
                t.learn_whole,
                t.read_change,
                t.learn_change,
                t.learn_zone,
                1000 * t.request,
                t.tick,
                t.tick,  # ten a second: ms each are percent
            ]
        )
    table(
        "Lists: bytes as discovery writes them, and the budgets of a gateway (14 KB/s, 3.8% of a core)",
        (
            "order servers",
            "whole list (B)",
            "an entry (B)",
            "one change (B)",
            "a zone lost (B)",
            "whole at 14 KB/s (s)",
            "zone at 14 KB/s (s)",
            "whole at 3.8% core (s)",
            "memory (MB)",
        ),
        written,
    )
    timed(
        "Lists: processor time (ms unless told otherwise; at 480 gateways)",
        (
            "order servers",
            "read JSON",
            "parse_update",
            "learn whole",
            "read a change",
            "learn a change",
            "learn a lost zone",
            "a request (us)",
            "a tick",
            "ticks (% of a core)",
        ),
        spent,
    )


if __name__ == "__main__":
    main()
