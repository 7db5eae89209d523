"""Gateways that break the rules on retries: safe to repeat, limited in number, one attempt at a time."""

from __future__ import annotations

from typing import Any

from qos_gateway.decisions.load_balancing.endpoint_state import EndpointState
from qos_gateway.decisions.load_balancing.load_balancer import LoadBalancer
from qos_gateway.decisions.requests import retry_policy
from qos_gateway.decisions.requests.hedging import Hedging
from qos_gateway.decisions.requests.retry_budget import RetryBudget
from qos_gateway.types import RequestClass
from qos_gateway.units import SECOND
from soak.mutants.patching import always_true, change_settings, disable_guards, do_nothing, patch

HEDGE_AFTER_NS = SECOND // 20
EXTRA_ATTEMPTS = 20


def repeat_everything() -> None:
    """Retry requests that are not idempotent."""
    patch(RequestClass, "is_retryable_after_execution", property(always_true))
    patch(retry_policy, "allowed_endpoints", do_nothing)
    patch(RetryBudget, "allows", always_true)
    disable_guards()


def invite_every_repeat() -> None:
    """Reject requests that may have been executed."""
    patch(retry_policy, "may_client_retry", always_true)
    disable_guards()


def try_without_end() -> None:
    """Make more attempts than the settings allow."""
    change_settings(max_attempts=EXTRA_ATTEMPTS)
    patch(RetryBudget, "allows", always_true)

    def pick_any(self: LoadBalancer, *_: Any) -> EndpointState:
        return self.registry.endpoints[self.rng.choice(self.registry.ring)]

    patch(LoadBalancer, "pick", pick_any)


def hedge_always() -> None:
    """Send hedged requests although the settings forbid them."""
    change_settings(hedging=True)

    def send_hedges(self: Hedging, now: int) -> list[Any]:
        dispatcher = self._dispatcher
        waiting = [r for r in dispatcher.requests.open.values() if r.attempts_in_flight == 1]
        late = [r for r in waiting if now - r.last_attempt_at >= HEDGE_AFTER_NS]
        return [send for r in late if (send := dispatcher.send(now, r, untried_only=True)) is not None]

    patch(Hedging, "send_hedges", send_hedges)
