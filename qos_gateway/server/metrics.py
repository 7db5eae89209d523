"""Metrics for the operators: counters since the start of the process, gauges, and their text form."""

from __future__ import annotations

import re
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

PREFIX = "edge_router"
_UNSAFE_IN_NAME = re.compile(r"[^0-9A-Za-z_-]")  # would be read as structure inside a metric's name


class RequestResult(Enum):
    """How a request ended; the values are parts of the metrics' names."""

    SERVED = "passed"
    REJECTED = "dropped"
    FAILED = "bad_gateway"


class Metrics:
    """Counters: each request once, where it is answered, and each attempt once it is wholly written."""

    def __init__(self, classes: Iterable[bytes]) -> None:
        """Take the names of the request classes, in the order of their indices."""
        self.classes = tuple(_UNSAFE_IN_NAME.sub("_", name.decode()) for name in classes)
        self.requests = [dict.fromkeys(RequestResult, 0) for _ in self.classes]
        self.attempts = 0

    def count_request(self, class_index: int, result: RequestResult) -> None:
        """Count one answered request."""
        self.requests[class_index][result] += 1


@dataclass(frozen=True, slots=True)
class Gauges:
    """Values at the time of the call."""

    open_requests: int
    listed_endpoints: int
    excluded_endpoints: int


def render(metrics: Metrics, gauges: Gauges) -> bytes:
    """Return one line for each metric, in the form `name:value|kind`."""
    lines = [
        f"{PREFIX}.handled.{name}.{result.value}:{count}|c"
        for name, counts in zip(metrics.classes, metrics.requests, strict=True)
        for result, count in counts.items()
    ]
    lines += [
        f"{PREFIX}.upstream_tries:{metrics.attempts}|c",
        f"{PREFIX}.in_progress:{gauges.open_requests}|g",
        f"{PREFIX}.known_order_servers:{gauges.listed_endpoints}|g",
        f"{PREFIX}.skipped_order_servers:{gauges.excluded_endpoints}|g",
        "",
    ]
    return "\n".join(lines).encode()
