"""Gateways that are broken on purpose, one for each rule: `python -m soak.mutants NAME` runs one.

The judge has to notice each of them, or its silence on the real gateway would say nothing.
"""

from __future__ import annotations

import asyncio
import os
import sys
from collections.abc import Callable
from dataclasses import replace
from itertools import count
from typing import Any

from qos_gateway import __main__ as program
from qos_gateway.decisions.load_balancing import load_balancer as load_balancer_module
from qos_gateway.decisions.load_balancing.endpoint_state import EndpointState
from qos_gateway.decisions.load_balancing.load_balancer import LoadBalancer
from qos_gateway.decisions.load_balancing.slow_start import SlowStart
from qos_gateway.decisions.quota.quota import Quota
from qos_gateway.decisions.quota.quota_decision import QuotaDecision
from qos_gateway.decisions.requests import retry_policy
from qos_gateway.decisions.requests.hedging import Hedging
from qos_gateway.decisions.requests.retry_budget import RetryBudget
from qos_gateway.server import gateway as gateway_module
from qos_gateway.server.admin.operations import AdminOperations
from qos_gateway.server.clients import timeouts as client_timeouts
from qos_gateway.server.clients.pending_replies import ReplyQueue
from qos_gateway.server.clients.socket_protocol import ClientSocketProtocol
from qos_gateway.server.config import load
from qos_gateway.server.discovery import endpoint_list, field_names
from qos_gateway.server.discovery.watched_list import WatchedList
from qos_gateway.server.endpoints.attempt import Attempt
from qos_gateway.server.endpoints.connection import EndpointConnection
from qos_gateway.server.endpoints.connection_pool import ConnectionPool
from qos_gateway.server.gateway import GatewayProcess
from qos_gateway.server.requests.attempt_results import AttemptResults
from qos_gateway.server.requests.client_requests import ClientRequests
from qos_gateway.server.requests.open_requests import OpenRequests
from qos_gateway.server.requests.repeat_guard import RepeatGuard
from qos_gateway.server.requests.send_guard import SendGuard
from qos_gateway.server.start_guard import check_start
from qos_gateway.types import Health, Outcome, RequestClass
from qos_gateway.units import SECOND

LOST_EVERY = 20
CRASH_AFTER_S = 3.0
FAIL_AFTER_S = 3.0
HEDGE_AFTER_NS = SECOND // 20
EXTRA_ATTEMPTS = 20


def _yes(*_: Any) -> bool:
    return True


def _nothing(*_: Any) -> None:
    return None


def _disable_guards() -> None:
    setattr(RepeatGuard, "allows_attempt", _yes)  # noqa: B010 - mypy forbids plain assignment to a method
    setattr(RepeatGuard, "allows_rejection", _yes)  # noqa: B010
    setattr(SendGuard, "allows", _yes)  # noqa: B010


def _patch(owner: object, name: str, value: object) -> None:
    if not hasattr(owner, name):
        raise AttributeError(f"{owner!r} has no {name}")
    setattr(owner, name, value)


def lose_answers() -> None:
    """Forget every twentieth answer."""
    answer = OpenRequests.answer
    numbers = count(1)

    def forget(self: OpenRequests, number: int, request: Any, *rest: Any) -> None:
        if next(numbers) % LOST_EVERY:
            answer(self, number, request, *rest)
        else:
            self.close(number, request)

    _patch(OpenRequests, "answer", forget)


def mix_values_up() -> None:
    """Give a client the value of the request before."""
    answer_with = AttemptResults._answer_with  # noqa: SLF001
    values = [b"none"]

    def mix(self: AttemptResults, request: Any, attempt: Attempt, outcome: Any, value: bytes | None) -> None:
        if value is not None:
            values.append(value)
            value = values.pop(0)
        answer_with(self, request, attempt, outcome, value)

    _patch(AttemptResults, "_answer_with", mix)


def ignore_leaving() -> None:
    """Go on for clients that have left."""
    _patch(ClientSocketProtocol, "has_hung_up", lambda _: False)
    _patch(ClientRequests, "client_disconnected", _nothing)
    _disable_guards()


def promise_too_much_time() -> None:
    """Tell order servers more time than the client has."""
    payload = Attempt.payload
    _patch(Attempt, "payload", lambda self, now_ns: payload(self, now_ns - SECOND))


def alter_commands() -> None:
    """Send order servers the customer's number in other letters."""
    payload = Attempt.payload

    def alter(self: Attempt, now_ns: int) -> bytes:
        customer = self.command.command_start[1]
        return payload(self, now_ns).replace(customer, customer.upper().replace(b"0", b"F"), 1)

    _patch(Attempt, "payload", alter)


def repeat_everything() -> None:
    """Send again what may not be repeated."""
    _patch(RequestClass, "is_repeatable", property(_yes))
    _patch(retry_policy, "allowed_endpoints", _nothing)
    _patch(RetryBudget, "allows", _yes)
    _disable_guards()


def invite_every_repeat() -> None:
    """Tell clients that a repeat is harmless, whatever has run."""
    _patch(retry_policy, "may_client_retry", _yes)
    _disable_guards()


def try_without_end() -> None:
    """Make more attempts than are allowed."""
    _change_settings(max_attempts=EXTRA_ATTEMPTS)
    _patch(RetryBudget, "allows", _yes)

    def pick_any(self: LoadBalancer, *_: Any) -> EndpointState:
        return self.registry.endpoints[self.rng.choice(self.registry.ring)]

    _patch(LoadBalancer, "pick", pick_any)


def hedge_always() -> None:
    """Make second attempts where they are not allowed."""
    _change_settings(hedging=True)

    def send_hedges(self: Hedging, now: int) -> list[Any]:
        dispatcher = self._dispatcher
        waiting = [r for r in dispatcher.requests.open.values() if r.attempts_in_flight == 1]
        late = [r for r in waiting if now - r.last_attempt_at >= HEDGE_AFTER_NS]
        return [send for r in late if (send := dispatcher.send(now, r, untried_only=True)) is not None]

    _patch(Hedging, "send_hedges", send_hedges)


def _change_settings(**changes: Any) -> None:
    def load_changed(environment: Any) -> Any:
        config = load(environment)
        return replace(config, settings=replace(config.settings, **changes))

    _patch(program, "load_at_start", load_changed)


def ignore_drains() -> None:
    """Take endpoints that drain for ready ones."""
    names = (field_names.HEALTH_READY, field_names.HEALTH_DRAINING, field_names.HEALTH_REMOVED)
    _patch(endpoint_list, "_HEALTH_BY_NAME", dict.fromkeys(names, Health.READY))


def ignore_reloads() -> None:
    """Stay at the old discovery after SIGHUP."""
    _patch(GatewayProcess, "reconfigure", _nothing)


def skip_slow_start() -> None:
    """Send to cold endpoints first of all."""
    _patch(SlowStart, "has_token", _yes)
    _patch(load_balancer_module, "SLOW_START_COST_FACTOR", 0.001)


def ignore_ceilings() -> None:
    """Let every request of every customer in."""
    _patch(Quota, "decide", lambda *_: QuotaDecision.immediate(True))


def pass_values_on_at_once() -> None:
    """Let large values flow though other commands wait behind them."""
    start = ReplyQueue.start_first_stream
    _patch(ReplyQueue, "start_first_stream", lambda self, _: start(self, False))


def wait_for_slow_values() -> None:
    """Wait for a large value that has begun, however long its client's time is over."""
    _patch(EndpointConnection, "limit_overtime", _nothing)


def believe_older_lists() -> None:
    """Take an agent that lags at its word."""
    _patch(WatchedList, "reconcile", lambda _, update: update)


def forget_maintenance() -> None:
    """Agree to the operators' calls, and do nothing."""

    async def agree(*_: Any) -> bool:
        return True

    _patch(AdminOperations, "set_endpoint_disabled", agree)


def crash() -> None:
    """End with an error after some seconds."""
    start = GatewayProcess.start

    async def start_and_crash(self: GatewayProcess) -> None:
        await start(self)
        asyncio.get_running_loop().call_later(CRASH_AFTER_S, os._exit, 3)

    _patch(GatewayProcess, "start", start_and_crash)


def stop_at_once() -> None:
    """Close everything on SIGTERM."""

    async def stop(self: GatewayProcess) -> None:
        self.parts.clients.abort()

    _patch(GatewayProcess, "stop", stop)


def wait_for_bad_clients() -> None:
    """Never give up on an incomplete command."""
    _patch(client_timeouts, "COMMAND_TIMEOUT_S", 3600.0)


def stop_serving() -> None:
    """Send nothing on after some seconds."""
    start = ConnectionPool.start

    def fail(self: ConnectionPool, attempt: Attempt, now_ns: int) -> None:
        if asyncio.get_running_loop().time() - STARTED_AT_S[0] < FAIL_AFTER_S:
            start(self, attempt, now_ns)
        else:
            self._reporter.finish_later(attempt, Outcome.CONNECT_FAILED)

    _patch(ConnectionPool, "start", fail)
    start_process = GatewayProcess.start

    async def note_start(self: GatewayProcess) -> None:
        STARTED_AT_S[0] = asyncio.get_running_loop().time()
        await start_process(self)

    _patch(GatewayProcess, "start", note_start)


def serve_without_a_list() -> None:
    """Accept clients before the engine has any list: the gateway's own guard has to tell."""
    _patch(gateway_module, "check_start", lambda monitor, *_: check_start(monitor, False, False))


STARTED_AT_S = [0.0]
MUTANTS: dict[str, Callable[[], None]] = {
    mutant.__name__: mutant
    for mutant in (
        lose_answers,
        mix_values_up,
        ignore_leaving,
        promise_too_much_time,
        alter_commands,
        repeat_everything,
        invite_every_repeat,
        try_without_end,
        hedge_always,
        ignore_drains,
        ignore_reloads,
        skip_slow_start,
        ignore_ceilings,
        pass_values_on_at_once,
        wait_for_slow_values,
        believe_older_lists,
        forget_maintenance,
        crash,
        stop_at_once,
        wait_for_bad_clients,
        stop_serving,
        serve_without_a_list,
    )
}


def main() -> int:
    """Run the gateway with one mutant in place."""
    MUTANTS[sys.argv[1]]()
    return program.main()


if __name__ == "__main__":
    sys.exit(main())
