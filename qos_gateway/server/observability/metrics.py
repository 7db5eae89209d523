"""Metrics for operators: counters since the start of the process, gauges, and their text format."""

from __future__ import annotations

import re
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from enum import Enum, StrEnum
from typing import TypeVar

from ...edge_names import MetricName
from ...types import RejectReason
from .close_reasons import CloseReason
from .invariants import Invariant
from .memory_uses import MemoryUse
from .retry_causes import RetryCause

LabelT = TypeVar("LabelT", bound=Enum)
# The text format reserves characters such as `.`, `:` and `|`.
_UNSAFE_IN_METRIC_NAME = re.compile(r"[^0-9A-Za-z_-]")


class RequestResult(StrEnum):
    """How a request ended; the values are parts of the metrics' names."""

    SERVED = MetricName.SERVED
    REJECTED = MetricName.REJECTED
    FAILED = MetricName.FAILED


class Metrics:
    """Counters; a request is counted when it is answered, an attempt when its last byte is written."""

    def __init__(
        self, class_names: Iterable[bytes], violations: Mapping[Invariant, int] | None = None
    ) -> None:
        """`class_names` is in the order of the class indices; `violations` is read at each rendering."""
        self.class_names = tuple(_UNSAFE_IN_METRIC_NAME.sub("_", name.decode()) for name in class_names)
        self.requests = [dict.fromkeys(RequestResult, 0) for _ in self.class_names]
        self.attempts = 0
        self.rejections = dict.fromkeys(RejectReason, 0)
        self.retries = dict.fromkeys(RetryCause, 0)
        self.client_closes = dict.fromkeys(CloseReason, 0)
        # Those with written bytes that the client had not acknowledged, or with unread ones.
        self.undelivered_client_closes = dict.fromkeys(CloseReason, 0)
        self.violations: Mapping[Invariant, int] = {} if violations is None else violations

    def count_request(self, class_index: int, result: RequestResult) -> None:
        """Count one answered request."""
        self.requests[class_index][result] += 1


@dataclass(frozen=True, slots=True)
class Gauges:
    """Current values, sampled for each rendering."""

    open_requests: int
    listed_endpoints: int
    excluded_endpoints: int
    memory_held: Mapping[MemoryUse, int]  # bytes
    memory_capacity: int  # bytes
    memory_waiting: int  # connections
    memory_resident: int  # bytes; 0 where it is not measured


def render(metrics: Metrics, gauges: Gauges) -> bytes:
    """Return one line for each metric, in the form `name:value|kind`."""
    lines = [
        f"{MetricName.PREFIX}.{MetricName.REQUESTS}.{name}.{result.value}:{count}|c"
        for name, counts in zip(metrics.class_names, metrics.requests, strict=True)
        for result, count in counts.items()
    ]
    lines += [
        f"{MetricName.PREFIX}.{MetricName.ATTEMPTS}:{metrics.attempts}|c",
        f"{MetricName.PREFIX}.{MetricName.OPEN_REQUESTS}:{gauges.open_requests}|g",
        f"{MetricName.PREFIX}.{MetricName.LISTED_ENDPOINTS}:{gauges.listed_endpoints}|g",
        f"{MetricName.PREFIX}.{MetricName.EXCLUDED_ENDPOINTS}:{gauges.excluded_endpoints}|g",
    ]
    lines += [
        f"{MetricName.PREFIX}.{MetricName.MEMORY_RESIDENT}:{gauges.memory_resident}|g",
        f"{MetricName.PREFIX}.{MetricName.MEMORY_CAPACITY}:{gauges.memory_capacity}|g",
        f"{MetricName.PREFIX}.{MetricName.MEMORY_WAITING}:{gauges.memory_waiting}|g",
    ]
    lines += [
        f"{MetricName.PREFIX}.{MetricName.MEMORY_HELD}.{use.value}:{size}|g"
        for use, size in gauges.memory_held.items()
    ]
    lines += _render_counters(MetricName.REJECTIONS, metrics.rejections)
    lines += _render_counters(MetricName.RETRIES, metrics.retries)
    lines += _render_counters(MetricName.CLIENT_CLOSES, metrics.client_closes)
    lines += _render_counters(MetricName.UNDELIVERED_CLIENT_CLOSES, metrics.undelivered_client_closes)
    lines += _render_counters(
        MetricName.VIOLATIONS, {label: metrics.violations.get(label, 0) for label in Invariant}
    )
    lines.append("")
    return "\n".join(lines).encode()


def _render_counters(name: str, counts: Mapping[LabelT, int]) -> list[str]:
    return [f"{MetricName.PREFIX}.{name}.{label.value}:{count}|c" for label, count in counts.items()]
