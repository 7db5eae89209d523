"""What the gateway reports of itself: counts since the process began, and how things stand now."""

from __future__ import annotations

import re
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

PREFIX = "edge_router"
_UNSAFE_IN_NAME = re.compile(r"[^0-9A-Za-z_-]")  # would be read as structure inside a figure's name


class RequestResult(Enum):
    """How a request ended: served, refused or failed."""

    SERVED = "passed"
    REJECTED = "dropped"
    FAILED = "bad_gateway"


class Metrics:
    """Each request is counted once, where its answer is given; each attempt once it is written whole."""

    def __init__(self, classes: Iterable[bytes]) -> None:
        self.classes = tuple(_UNSAFE_IN_NAME.sub("_", name.decode()) for name in classes)
        self.requests = [dict.fromkeys(RequestResult, 0) for _ in self.classes]
        self.attempts = 0

    def count_request(self, cls: int, how: RequestResult) -> None:
        self.requests[cls][how] += 1


@dataclass(frozen=True, slots=True)
class Gauges:
    """How things stand at the time of the call."""

    open_requests: int
    listed_endpoints: int
    excluded_endpoints: int


def render(figures: Metrics, standing: Gauges) -> bytes:
    """The figures as lines of `name:value|kind`."""
    lines = [
        f"{PREFIX}.handled.{name}.{how.value}:{n}|c"
        for name, ends in zip(figures.classes, figures.requests, strict=True)
        for how, n in ends.items()
    ]
    lines.append(f"{PREFIX}.upstream_tries:{figures.attempts}|c")
    lines += [
        f"{PREFIX}.in_progress:{standing.open_requests}|g",
        f"{PREFIX}.known_order_servers:{standing.listed_endpoints}|g",
        f"{PREFIX}.skipped_order_servers:{standing.excluded_endpoints}|g",
    ]
    return "\n".join([*lines, ""]).encode()
