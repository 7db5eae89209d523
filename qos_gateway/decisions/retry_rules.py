"""What a request's class allows once an attempt may have executed."""

from __future__ import annotations

from collections.abc import Callable

from ..state.request import RequestState
from ..types import Endpoint, Idempotence, IdempotencyScope, RequestClass

EndpointFilter = Callable[[Endpoint], bool]


def retry_filter(now: int, cls: RequestClass, request: RequestState) -> EndpointFilter:
    """Rule 2: where another attempt of a keyed request that may have run may go."""
    first = request.first_keyed_endpoint
    if not request.may_have_executed or cls.idempotence is not Idempotence.KEYED or first is None:
        return lambda b: True
    if now - request.first_keyed_attempt_at >= cls.idempotency_window:
        return lambda b: False
    if cls.idempotency_scope is IdempotencyScope.ZONE:
        return lambda b: b.zone == first.zone
    return lambda b: cls.idempotency_scope is IdempotencyScope.ALL or b.cell == first.cell


def retry_deadline(cls: RequestClass, request: RequestState) -> int:
    """Rule 2: from when on a keyed request that may have run is not written any more; 0 for no such time."""
    return (
        request.first_keyed_attempt_at + cls.idempotency_window
        if request.may_have_executed and cls.idempotence is Idempotence.KEYED
        else 0
    )
