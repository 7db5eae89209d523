"""Dependencies shared by the classes that handle requests."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from ...types import Settings
from ..event_dispatcher import EventDispatcher
from ..observability.metrics import Metrics
from .open_requests import OpenRequests


@dataclass(frozen=True, slots=True, kw_only=True, eq=False, repr=False)
class RequestContext:
    """The table of open requests, and the settings, clock, dispatcher and metrics used with it."""

    settings: Settings
    clock: Callable[[], int]  # ns
    requests: OpenRequests
    dispatcher: EventDispatcher
    metrics: Metrics
