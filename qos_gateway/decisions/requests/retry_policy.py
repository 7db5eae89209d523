"""Retry policy: who may retry a request that may have been executed, where, and until when.

This is rule 2 of the protocol page. A request that was certainly not executed may be retried by the gateway
or by the client, at any endpoint.
"""

from ...types import Idempotence, IdempotencyScope
from ..load_balancing.load_balancer import EndpointFilter
from .request_state import RequestState


def may_gateway_retry(request: RequestState) -> bool:
    """Return whether the gateway may send another attempt at an endpoint that the policy allows."""
    return not request.execution.may_have_executed or request.request_class.is_retryable_after_execution


def may_client_retry(request: RequestState) -> bool:
    """Return whether the client may retry the request, whichever endpoint its retry reaches."""
    cls = request.request_class
    if not request.execution.may_have_executed or cls.idempotence is Idempotence.IDEMPOTENT:
        return True
    return cls.idempotence is Idempotence.KEYED and cls.idempotency_scope is IdempotencyScope.ALL


def allowed_endpoints(now: int, request: RequestState) -> EndpointFilter:
    """Return the endpoints allowed for another attempt at `now` (ns).

    A request with an idempotency key is retried only at endpoints that know the key, and within its window.
    """
    cls = request.request_class
    execution = request.execution
    first = execution.first_keyed_endpoint
    if not execution.may_have_executed or cls.idempotence is not Idempotence.KEYED or first is None:
        return None
    if now - execution.first_keyed_attempt_at >= cls.idempotency_window:
        return lambda _: False
    if cls.idempotency_scope is IdempotencyScope.ZONE:
        return lambda endpoint: endpoint.zone == first.zone
    if cls.idempotency_scope is IdempotencyScope.ALL:
        return None
    return lambda endpoint: endpoint.cell == first.cell


def send_deadline(request: RequestState) -> int:
    """Return the time (ns) from which a retry with a key must not be written; 0 without such a time."""
    cls = request.request_class
    if request.execution.may_have_executed and cls.idempotence is Idempotence.KEYED:
        return request.execution.first_keyed_attempt_at + cls.idempotency_window
    return 0
