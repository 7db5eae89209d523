"""Timeouts of attempts, and the age from which an attempt may be hedged."""

from ...types import Settings
from ..congestion.queue_model import QueueModel
from ..load_balancing.load_balancer import LoadBalancer
from .request_state import RequestState

MIN_UNANSWERED_RATIO = 0.05  # timeouts are set once this ratio of recent attempts is unanswered
UNANSWERED_PRIOR_SAMPLES = 3.0  # answered attempts assumed before the first observation
TIMEOUT_LATENCIES = 3  # mean latencies of the class
HEDGE_AFTER_LATENCIES = 6  # mean latencies of the class


class AttemptTimeouts:
    """Derives the time limits of attempts from the mean latency of their class."""

    def __init__(self, settings: Settings, model: QueueModel, load_balancer: LoadBalancer) -> None:
        self._settings = settings
        self._model = model
        self._load_balancer = load_balancer

    def hedge_after(self, request: RequestState, expected_latency: int) -> int:
        """Return the age (ns) from which an attempt may be hedged, at least half the latency objective."""
        half_objective = request.request_class.latency_objective // 2
        return max(half_objective, HEDGE_AFTER_LATENCIES * expected_latency)

    def timeout(self, now: int, request: RequestState) -> int:
        """Return the timeout (ns) of an attempt that is sent now; 0 for none.

        Timeouts guard against lost responses and hung endpoints. Under congestion none is set: all responses
        are late then, and timeouts would add load.
        """
        cls = request.request_class
        may_retry = cls.is_retryable_after_execution and request.attempts_sent < self._settings.max_attempts
        if not may_retry or self._model.congested:
            return 0
        class_index = request.arrival.class_index
        unanswered = self._load_balancer.response_statistics.unanswered_ratio[class_index]
        if unanswered.mean_with_prior(now, 0.0, UNANSWERED_PRIOR_SAMPLES) < MIN_UNANSWERED_RATIO:
            return 0
        latency = self._model.class_latency[class_index].mean.value
        return max(cls.latency_objective // 2, int(TIMEOUT_LATENCIES * latency))
