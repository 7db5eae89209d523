"""The schedule of a run: which faults come when, all drawn from the seed, and made to overlap."""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import Enum

FAULTS_PER_GROUP = (2, 3)
GROUP_INTERVAL_S = 1.6  # between two moments at which several faults meet
GROUP_SPREAD_S = 0.9  # by which those of one moment lie apart
MIN_DURATION_S = 0.3
MAX_DURATION_S = 3.0
MAX_OUTAGE_S = 9.0  # of discovery, longer than any deadline of propagation
QUIET_START_S = 2.0
QUIET_END_S = 8.0  # without new faults, in which service must come back


class FaultKind(Enum):
    """What happens. A target is the number of a gateway or an order server."""

    # Gateways.
    RESTART = "restart"  # SIGTERM, and a new process at once
    KILL = "kill"  # SIGKILL, and a new process at once
    RELOAD = "reload"  # SIGHUP: discovery and counter have moved
    RELOAD_TORN = "reload_torn"  # SIGHUP on half a file, then on the whole one
    RELOAD_SILENT = "reload_silent"  # SIGHUP to an agent whose first watch says nothing
    RELOAD_LAGGING = "reload_lagging"  # SIGHUP to an agent that still has the list of some seconds before
    PAUSE = "pause"  # held up for 0.14 s
    MAINTENANCE = "maintenance"  # operators take an order server out of use for a while
    # Discovery.
    WATCH_SILENT = "watch_silent"
    WATCH_RESET = "watch_reset"
    DISCOVERY_DOWN = "discovery_down"
    # Order servers.
    HANG = "hang"  # takes commands and answers none
    SLOW = "slow"
    RESET = "reset"  # resets connections under commands
    BUSY = "busy"
    ERROR = "error"
    CRASH = "crash"  # dies, and is back cold
    DRAIN = "drain"  # drains, and is back later
    REPLACE = "replace"  # one drains, and a new one joins cold
    LARGE = "large"  # answers with large values, some of which stall, break off or trickle
    LOST_RESPONSE = "lost_response"  # answers no command of about two, on open connections
    MALFORMED = "malformed"  # malformed, broken off, repeated responses
    IDLE_CLOSE = "idle_close"  # closes idle connections early
    UNACCEPTING = "unaccepting"  # new connections come up late or never
    # Clients.
    PIPELINE = "pipeline"  # many commands at once
    LEAVE = "leave"  # clients close under their requests
    SLOW_READER = "slow_reader"  # sends several commands, and reads no answer for a while
    IMPATIENT = "impatient"  # sends requests with very little time
    HALF_COMMAND = "half_command"
    CROWD = "crowd"  # idle clients take all connections that there are
    GARBAGE = "garbage"
    # The counter.
    COUNTER_DOWN = "counter_down"
    COUNTER_SLOW = "counter_slow"
    COUNTER_SILENT = "counter_silent"  # counts, and answers nothing
    COUNTER_MALFORMED = "counter_malformed"  # turns calls away, or answers no number


OF_GATEWAYS = frozenset(
    {
        FaultKind.RESTART,
        FaultKind.KILL,
        FaultKind.RELOAD,
        FaultKind.RELOAD_TORN,
        FaultKind.RELOAD_SILENT,
        FaultKind.RELOAD_LAGGING,
        FaultKind.PAUSE,
        FaultKind.MAINTENANCE,
        FaultKind.WATCH_SILENT,
        FaultKind.WATCH_RESET,
        FaultKind.DISCOVERY_DOWN,
        FaultKind.PIPELINE,
        FaultKind.LEAVE,
        FaultKind.SLOW_READER,
        FaultKind.IMPATIENT,
        FaultKind.HALF_COMMAND,
        FaultKind.CROWD,
        FaultKind.GARBAGE,
    }
)
OF_COUNTER = frozenset(
    {
        FaultKind.COUNTER_DOWN,
        FaultKind.COUNTER_SLOW,
        FaultKind.COUNTER_SILENT,
        FaultKind.COUNTER_MALFORMED,
    }
)


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault."""

    kind: FaultKind
    at: float  # s after the clients' start
    duration_s: float
    targets: tuple[int, ...]


def draw_schedule(
    seed: int,
    duration_s: float,
    gateways: int,
    order_servers: int,
    kinds: tuple[FaultKind, ...] = tuple(FaultKind),
) -> list[Fault]:
    """Draw the faults of a run, in the order of their times."""
    rng = random.Random(f"schedule {seed}")
    faults: list[Fault] = []
    moment = QUIET_START_S
    while moment < duration_s - QUIET_END_S:
        for _ in range(rng.randint(*FAULTS_PER_GROUP)):
            at = moment + rng.uniform(0.0, GROUP_SPREAD_S)
            faults.append(_draw_fault(rng, rng.choice(kinds), at, gateways, order_servers))
        moment += GROUP_INTERVAL_S
    return sorted(faults, key=lambda fault: fault.at)


def _draw_fault(rng: random.Random, kind: FaultKind, at: float, gateways: int, order_servers: int) -> Fault:
    if kind in OF_COUNTER:
        return Fault(kind, at, rng.uniform(MIN_DURATION_S, MAX_DURATION_S), ())
    population = gateways if kind in OF_GATEWAYS else order_servers
    most = max(1, population // 3)
    targets = tuple(rng.sample(range(population), rng.randint(1, most)))
    longest_s = MAX_OUTAGE_S if kind is FaultKind.DISCOVERY_DOWN else MAX_DURATION_S
    return Fault(kind, at, rng.uniform(MIN_DURATION_S, longest_s), targets)
