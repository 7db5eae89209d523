"""What a request's class allows once an attempt may have executed (rule 2 of the protocol page)."""

from collections.abc import Callable

from ...types import Endpoint, Idempotence, IdempotencyScope
from .request_state import RequestState

EndpointFilter = Callable[[Endpoint], bool] | None  # None: any endpoint


def is_retry_harmless(request: RequestState) -> bool:
    """Tell whether the client may send the request again, which can reach any endpoint."""
    cls = request.request_class
    if not request.execution.may_have_executed or cls.idempotence is Idempotence.IDEMPOTENT:
        return True
    return cls.idempotence is Idempotence.KEYED and cls.idempotency_scope is IdempotencyScope.ALL


def retry_filter(now: int, request: RequestState) -> EndpointFilter:
    """Return where another attempt may go: with a key, only where it is known, and while it is."""
    cls = request.request_class
    first = request.execution.first_keyed_endpoint
    if not request.execution.may_have_executed or cls.idempotence is not Idempotence.KEYED or first is None:
        return None
    if now - request.execution.first_keyed_attempt_at >= cls.idempotency_window:
        return lambda _: False
    if cls.idempotency_scope is IdempotencyScope.ZONE:
        return lambda endpoint: endpoint.zone == first.zone
    if cls.idempotency_scope is IdempotencyScope.ALL:
        return None
    return lambda endpoint: endpoint.cell == first.cell


def retry_deadline(request: RequestState) -> int:
    """Return from when on a retry with a key must not be written any more (ns); 0 for no such time."""
    cls = request.request_class
    if request.execution.may_have_executed and cls.idempotence is Idempotence.KEYED:
        return request.execution.first_keyed_attempt_at + cls.idempotency_window
    return 0
