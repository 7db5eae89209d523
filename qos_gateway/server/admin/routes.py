"""The routes of the admin API: method, path, and handler."""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Protocol, TypeAlias

from ...edge_names import AdminPath
from ..observability.logs import RateLimitFilter
from .http import AdminRequest, HttpError, HttpResponse, RequestHead

log = logging.getLogger(__name__)
log.addFilter(RateLimitFilter())


class AdminHandler(Protocol):
    """The operations that the routes call."""

    def accepts_clients(self) -> bool:
        """Return whether new client connections are served."""

    def render_metrics(self) -> bytes:
        """Return all metrics in their text format."""

    def set_endpoint_disabled(self, name: str, disabled: bool) -> Awaitable[bool]:
        """Disable or enable an endpoint; the result is False if the endpoint is unknown."""


RouteHandler: TypeAlias = Callable[[AdminHandler, AdminRequest], HttpResponse | Awaitable[HttpResponse]]
"""Returns the response, or an awaitable if the change is also forwarded to the gateway's other process."""


@dataclass(frozen=True, slots=True)
class Route:
    """The handler of a method and path."""

    method: str
    path: str
    handle: RouteHandler


def _get_readiness(handler: AdminHandler, _request: AdminRequest) -> HttpResponse:
    if handler.accepts_clients():
        return HttpResponse(200, b"ready\n")
    return HttpResponse(503, b"not taking clients\n")


def _get_metrics(handler: AdminHandler, _request: AdminRequest) -> HttpResponse:
    return HttpResponse(200, handler.render_metrics())


async def _disable_endpoint(handler: AdminHandler, request: AdminRequest) -> HttpResponse:
    return await _set_endpoint_disabled(handler, request.body, disabled=True)


async def _enable_endpoint(handler: AdminHandler, request: AdminRequest) -> HttpResponse:
    return await _set_endpoint_disabled(handler, request.body, disabled=False)


async def _set_endpoint_disabled(handler: AdminHandler, name: str, disabled: bool) -> HttpResponse:
    if not name:
        return HttpResponse(400, b"the body names no order server\n")
    try:
        is_known = await handler.set_endpoint_disabled(name, disabled)
    except Exception:
        log.exception("admin_endpoint_fault endpoint=%r disabled=%s", name, disabled)
        return HttpResponse(500, b"internal fault\n")
    if not is_known:
        log.warning("admin_endpoint_unknown endpoint=%.80r", name)
        return HttpResponse(404, b"no such order server\n")
    log.warning("admin_endpoint_changed endpoint=%.80r disabled=%s", name, disabled)
    return HttpResponse(200, b"done\n")


ROUTES = (
    Route("GET", AdminPath.READINESS, _get_readiness),
    Route("GET", AdminPath.METRICS, _get_metrics),
    Route("POST", AdminPath.DISABLE_ENDPOINT, _disable_endpoint),
    Route("POST", AdminPath.ENABLE_ENDPOINT, _enable_endpoint),
)
_ROUTES_BY_PATH = {route.path: route for route in ROUTES}


def find_route(head: RequestHead) -> Route:
    """Return the route of a request; raises `HttpError` with 404 or 405 if there is none."""
    route = _ROUTES_BY_PATH.get(head.path)
    if route is None:
        raise HttpError(404, "no such call")
    if head.method != route.method:
        raise HttpError(405, f"this call is a {route.method}", allowed_method=route.method)
    return route
