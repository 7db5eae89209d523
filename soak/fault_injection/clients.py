"""Clients that behave badly, or in an unusual way."""

from __future__ import annotations

from collections.abc import Callable, Collection, Coroutine
from typing import Any

from soak.background_tasks import BackgroundTasks
from soak.clients import GARBAGE, HALF_COMMAND, Traffic
from soak.clients.crowds import CrowdBehavior
from soak.schedule import Fault, FaultKind

CROWD_BEHAVIORS = {
    FaultKind.HALF_COMMANDS: CrowdBehavior.HALF_COMMANDS,
    FaultKind.SLOW_COMMANDS: CrowdBehavior.SLOW_COMMANDS,
    FaultKind.MANY_FIELDS: CrowdBehavior.MANY_FIELDS,
}
ClientAction = Callable[[int, float], Coroutine[Any, Any, None]]


def _crowd(traffic: Traffic, behavior: CrowdBehavior) -> ClientAction:
    return lambda gateway, duration_s: traffic.hold_memory(gateway, duration_s, behavior)


class ClientFaults:
    """Injects clients at the gateways that a fault targets."""

    def __init__(self, traffic: Traffic, tasks: BackgroundTasks) -> None:
        self._tasks = tasks
        self._actions: dict[FaultKind, ClientAction] = {
            FaultKind.PIPELINE: lambda gateway, _: traffic.pipeline(gateway),
            FaultKind.LEAVE: lambda gateway, _: traffic.leave(gateway),
            FaultKind.SLOW_READER: lambda gateway, _: traffic.read_slowly(gateway),
            FaultKind.IMPATIENT: lambda gateway, _: traffic.be_impatient(gateway),
            FaultKind.HALF_COMMAND: lambda gateway, _: traffic.misbehave(gateway, HALF_COMMAND),
            FaultKind.CROWD: traffic.crowd,
            FaultKind.GARBAGE: lambda gateway, _: traffic.misbehave(gateway, GARBAGE),
            FaultKind.FLOOD: traffic.flood,
            FaultKind.UNREAD_VALUES: traffic.leave_values_unread,
            FaultKind.NEW_CUSTOMERS: traffic.bring_new_customers,
            FaultKind.COME_AGAIN: lambda gateway, _: traffic.come_again(gateway),
            FaultKind.SLOW_PIPELINE: traffic.pipeline_slowly,
            **{kind: _crowd(traffic, behavior) for kind, behavior in CROWD_BEHAVIORS.items()},
        }

    @property
    def kinds(self) -> Collection[FaultKind]:
        """Return the kinds of faults of clients."""
        return self._actions.keys()

    def inject(self, fault: Fault) -> None:
        """Start the clients of a fault at each gateway that it targets."""
        for position in fault.targets:
            self._tasks.spawn(self._actions[fault.kind](position, fault.duration_s))
