"""The schedule of a run: overlapping faults, drawn from the seed."""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import Enum

FAULTS_PER_GROUP = (2, 3)
GROUP_INTERVAL_S = 1.6  # between the starts of two groups of overlapping faults
GROUP_SPREAD_S = 0.9  # within which the faults of a group begin
MIN_DURATION_S = 0.3
MAX_DURATION_S = 3.0
MAX_OUTAGE_S = 9.0  # of discovery; longer than the propagation deadlines
QUIET_START_S = 2.0
QUIET_END_S = 8.0  # without new faults, for recovery


class FaultKind(Enum):
    """A kind of fault. Its targets are numbers of gateways or of order servers."""

    # Gateways.
    RESTART = "restart"  # SIGTERM, then a new process
    KILL = "kill"  # SIGKILL, then a new process
    RELOAD = "reload"  # SIGHUP with new addresses of discovery and counter
    RELOAD_TORN = "reload_torn"  # SIGHUP on an incomplete file, then on the complete one
    RELOAD_SILENT = "reload_silent"  # SIGHUP to an agent whose first watch sends nothing
    RELOAD_LAGGING = "reload_lagging"  # SIGHUP to an agent that still has an older list
    RELOAD_SERIES = "reload_series"  # SIGHUPs in quick succession, each with a new configuration
    RESTART_SERIES = "restart_series"  # as restart, with further SIGTERMs and a SIGHUP before the end
    PAUSE = "pause"  # SIGSTOP for 0.14 s
    MAINTENANCE = "maintenance"  # operators disable an order server for a while
    # Discovery.
    WATCH_SILENT = "watch_silent"
    WATCH_RESET = "watch_reset"
    DISCOVERY_DOWN = "discovery_down"
    # Order servers.
    HANG = "hang"  # accepts commands and sends no response
    SLOW = "slow"
    RESET = "reset"  # resets connections with open commands
    BUSY = "busy"
    ERROR = "error"
    CRASH = "crash"  # stops, then starts as a new process
    DRAIN = "drain"  # drains, then starts as a new process
    REPLACE = "replace"  # one drains, and a new one joins
    LARGE = "large"  # sends large values, some of which stall, end early or trickle
    LOST_RESPONSE = "lost_response"  # sends no response to half of the commands
    MALFORMED = "malformed"  # sends malformed, incomplete or duplicate responses
    IDLE_CLOSE = "idle_close"  # closes idle connections early
    UNACCEPTING = "unaccepting"  # new connections are established late or never
    # Clients.
    PIPELINE = "pipeline"  # many commands at once on one connection
    LEAVE = "leave"  # clients close with open requests
    SLOW_READER = "slow_reader"  # sends several commands, and reads no response for a while
    IMPATIENT = "impatient"  # sends requests with very short deadlines
    HALF_COMMAND = "half_command"
    CROWD = "crowd"  # idle clients open all connections that the gateway allows
    GARBAGE = "garbage"
    FLOOD = "flood"  # sends megabytes of commands that are no requests
    HALF_COMMANDS = "half_commands"  # hundreds of clients stop half way through a large command
    SLOW_COMMANDS = "slow_commands"  # hundreds of clients write a large command in small pieces
    MANY_FIELDS = "many_fields"  # hundreds of clients write commands of very many short fields
    UNREAD_VALUES = "unread_values"  # hundreds of clients request values, and read none
    NEW_CUSTOMERS = "new_customers"  # one caller at full speed, each request for another customer
    COME_AGAIN = "come_again"  # clients leave, and send the same requests on a new connection
    # Clients that keep requests for large values open and read slowly, also while their process shuts down.
    SLOW_PIPELINE = "slow_pipeline"
    # The counter.
    COUNTER_DOWN = "counter_down"
    COUNTER_SLOW = "counter_slow"
    COUNTER_SILENT = "counter_silent"  # counts, and sends no reply
    COUNTER_MALFORMED = "counter_malformed"  # rejects calls, or replies without a number


GATEWAY_FAULTS = frozenset(
    {
        FaultKind.RESTART,
        FaultKind.KILL,
        FaultKind.RELOAD,
        FaultKind.RELOAD_TORN,
        FaultKind.RELOAD_SILENT,
        FaultKind.RELOAD_LAGGING,
        FaultKind.RELOAD_SERIES,
        FaultKind.RESTART_SERIES,
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
        FaultKind.FLOOD,
        FaultKind.HALF_COMMANDS,
        FaultKind.SLOW_COMMANDS,
        FaultKind.MANY_FIELDS,
        FaultKind.UNREAD_VALUES,
        FaultKind.NEW_CUSTOMERS,
        FaultKind.COME_AGAIN,
        FaultKind.SLOW_PIPELINE,
    }
)
SHUTDOWNS = frozenset({FaultKind.RESTART, FaultKind.RESTART_SERIES})
# Faults that accompany each shutdown instead of being drawn by themselves.
ACCOMPANYING_FAULTS = frozenset({FaultKind.SLOW_PIPELINE})
SLOW_PIPELINE_LEAD_S = 1.0  # before the shutdown that it accompanies
SLOW_PIPELINE_DURATION_S = 4.0
# Faults that are injected at one gateway, as they keep the soak itself busy.
SINGLE_GATEWAY_FAULTS = frozenset(
    {
        FaultKind.HALF_COMMANDS,
        FaultKind.SLOW_COMMANDS,
        FaultKind.MANY_FIELDS,
        FaultKind.UNREAD_VALUES,
        FaultKind.NEW_CUSTOMERS,
    }
)
COUNTER_FAULTS = frozenset(
    {
        FaultKind.COUNTER_DOWN,
        FaultKind.COUNTER_SLOW,
        FaultKind.COUNTER_SILENT,
        FaultKind.COUNTER_MALFORMED,
    }
)


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault of a schedule."""

    kind: FaultKind
    at: float  # from the clients' start
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
    drawn_kinds = tuple(kind for kind in kinds if kind not in ACCOMPANYING_FAULTS) or kinds
    faults: list[Fault] = []
    moment = QUIET_START_S
    while moment < duration_s - QUIET_END_S:
        for _ in range(rng.randint(*FAULTS_PER_GROUP)):
            at = moment + rng.uniform(0.0, GROUP_SPREAD_S)
            faults.append(_draw_fault(rng, rng.choice(drawn_kinds), at, gateways, order_servers))
        moment += GROUP_INTERVAL_S
    if FaultKind.SLOW_PIPELINE in kinds:
        faults += [_slow_pipeline(fault) for fault in faults if fault.kind in SHUTDOWNS]
    return sorted(faults, key=lambda fault: fault.at)


def _slow_pipeline(shutdown: Fault) -> Fault:
    """Return the slow readers at the gateways that shut down."""
    at = max(0.0, shutdown.at - SLOW_PIPELINE_LEAD_S)
    return Fault(FaultKind.SLOW_PIPELINE, at, SLOW_PIPELINE_DURATION_S, shutdown.targets)


def _draw_fault(rng: random.Random, kind: FaultKind, at: float, gateways: int, order_servers: int) -> Fault:
    if kind in COUNTER_FAULTS:
        return Fault(kind, at, rng.uniform(MIN_DURATION_S, MAX_DURATION_S), ())
    population = gateways if kind in GATEWAY_FAULTS else order_servers
    most = 1 if kind in SINGLE_GATEWAY_FAULTS else max(1, population // 3)
    targets = tuple(rng.sample(range(population), rng.randint(1, most)))
    longest_s = MAX_OUTAGE_S if kind is FaultKind.DISCOVERY_DOWN else MAX_DURATION_S
    return Fault(kind, at, rng.uniform(MIN_DURATION_S, longest_s), targets)
