"""One endpoint as this gateway sees it."""

from __future__ import annotations

from dataclasses import dataclass, field

from ..types import Endpoint
from .decaying_mean import DecayingMean


@dataclass(slots=True)
class EndpointState:
    """One backend as this gateway sees it."""

    endpoint: Endpoint
    slowness: DecayingMean
    ejection_time: int
    in_service: bool = True
    listed: bool = True
    in_flight: int = 0
    consecutive_failures: int = 0
    ejected_until: int = 0
    last_response_at: int = 0  # when its last answer came
    latest_answered_send: int = 0  # when the newest was sent of the attempts that it answered
    overloaded_until: dict[tuple[int, int], int] = field(
        default_factory=dict
    )  # by class and plan, until when
    last_result_by_class: dict[int, tuple[int, float]] = field(
        default_factory=dict
    )  # by class: when, 1 if unanswered
    slow_start_tokens: float = 0.0
    slow_start_tokens_at: int = 0
    disabled_at: int = 0  # when the last ban of an operator's on it that has ended had begun
    assumed_start: int = 0  # when it counts as started where the list has not told of a start since then
