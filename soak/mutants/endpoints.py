"""Gateways that break the rules on endpoints: drains, maintenance, reloads of the list, and slow start."""

from __future__ import annotations

from typing import Any

from qos_gateway.decisions.load_balancing import load_balancer as load_balancer_module
from qos_gateway.decisions.load_balancing.slow_start import SlowStart
from qos_gateway.server.admin.operations import AdminOperations
from qos_gateway.server.discovery import endpoint_list, field_names
from qos_gateway.server.discovery.watched_list import WatchedList
from qos_gateway.server.gateway import GatewayProcess
from qos_gateway.types import Health
from soak.mutants.patching import always_true, do_nothing, patch


def ignore_drains() -> None:
    """Use draining endpoints as if they were ready."""
    names = (field_names.HEALTH_READY, field_names.HEALTH_DRAINING, field_names.HEALTH_REMOVED)
    patch(endpoint_list, "_HEALTH_BY_NAME", dict.fromkeys(names, Health.READY))


def ignore_reloads() -> None:
    """Keep the old configuration after SIGHUP."""
    patch(GatewayProcess, "reconfigure", do_nothing)


def skip_slow_start() -> None:
    """Prefer endpoints that are warming up, without a limit."""
    patch(SlowStart, "refill_and_check_token", always_true)
    patch(load_balancer_module, "SLOW_START_COST_FACTOR", 0.001)


def forget_capacity_without_warm_endpoints() -> None:
    """Count no completions while every endpoint is in slow start."""
    record_capacity = SlowStart.record_capacity

    def record_warm_only(self: SlowStart, now: int, endpoints: float, *_: Any) -> None:
        record_capacity(self, now, endpoints, all_warming_up=False, gateways_per_endpoint=1.0)

    patch(SlowStart, "record_capacity", record_warm_only)


def believe_older_lists() -> None:
    """Use the list of a lagging agent in place of a newer known one."""
    patch(WatchedList, "reconcile", lambda _, update: update)


def forget_maintenance() -> None:
    """Confirm the operators' calls without disabling the endpoint."""

    async def agree(*_: Any) -> bool:
        return True

    patch(AdminOperations, "set_endpoint_disabled", agree)
