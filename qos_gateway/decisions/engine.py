"""Every decision of a gateway: which requests are forwarded, to which endpoint, and which are rejected.

Read the package `types` first, for events and actions. The mechanism is a QoS broker's: a table of
commitments, a closed queuing model and seven cases that grant each customer a cap on its requests in flight.
The way of a request: `admission` (cap, limit, quota), `dispatch` (an endpoint by `load_balancer`, retries,
its end), and at each tick `stalled_requests` and `commitments`.
"""

import random

from ..types import events
from ..types.actions import Action, LogLine, SetTimer, WatchEndpoints
from ..types.settings import Settings
from ..units import SECOND
from .admission.admission_controller import LOWEST_PRIORITY_FRACTION, AdmissionController
from .admission.commitments import COMMITMENT_IDLE_TIME_NS, CommitmentTable
from .congestion.queue_model import QueueModel
from .load_balancing.load_balancer import LoadBalancer
from .quota import create_quota
from .requests.dispatcher import Dispatcher
from .requests.hedging import Hedging
from .requests.stalled_requests import StalledRequestMonitor
from .statistics.time_constants import LONG_MEMORY_NS, TICK_INTERVAL_NS

TICK_TIMER = 1  # token of the timer for the next tick ...
LIST_RETRY_TIMER = 2  # ... and of the one for another call for the endpoint list
LIST_RETRY_DELAY_NS = 1 * SECOND
OUTGOING_FRACTION = 0.25  # of shared budgets during a handover: the old process only ends what it has
INCOMING_FRACTION = 0.75  # ... and the rest, for the process that takes over


class DecisionEngine:
    """One gateway's decisions: hand it every event in order and carry out the actions it returns."""

    def __init__(self, settings: Settings, seed: int, now: int) -> None:
        """Start with nothing known; `seed` is for all random draws, `now` in ns like all times."""
        rng = random.Random(seed)
        self.settings = settings
        self.model = QueueModel(settings)
        self.quota = create_quota(settings, seed, now, rng)
        self.load_balancer = LoadBalancer(settings, rng)
        self.dispatcher = Dispatcher(settings, self.model, self.load_balancer, self.quota)
        self.request_table = self.dispatcher.requests
        self.hedging = Hedging(self.dispatcher, self.model, self.load_balancer)
        self.stalled_requests = StalledRequestMonitor(self.dispatcher, self.model, self.load_balancer)
        self.commitments = CommitmentTable(self.model, self.quota)
        self.admission = AdmissionController(self.dispatcher, self.commitments)
        self.started = False
        self.pruned_at = now
        self.congestion_logged_at = now - LONG_MEMORY_NS

    def handle(self, now: int, event: events.Event) -> list[Action]:
        """Take in one event; the actions take effect at `now`."""
        if self.started:
            return self._handle(now, event)
        self.started = True
        first: list[Action] = [SetTimer(TICK_INTERVAL_NS, TICK_TIMER)]
        if self.settings.polls_discovery:
            first.append(WatchEndpoints(True))
        return first + self._handle(now, event)

    def _handle(self, now: int, event: events.Event) -> list[Action]:  # noqa: C901 - one case an event
        match event:
            case events.Arrival():
                return self.admission.on_arrival(now, event)
            case events.AttemptEnded():
                return self.dispatcher.attempt_ended(now, event)
            case events.ResponseStarted(request_id, _, attempt):
                return self.dispatcher.response_started(request_id, attempt)
            case events.ClientDisconnected(request_id):
                self.request_table.close(request_id)
            case events.TimerFired(token):
                return self._tick(now) if token == TICK_TIMER else [WatchEndpoints(True)]
            case events.PeerMessage():
                return self.admission.on_reply(now, self.quota.on_peer_message(now, event))
            case events.CounterReplied():
                return self.admission.on_reply(now, self.quota.on_counter_reply(now, event))
            case events.Topology():
                self.load_balancer.update_list(now, event)
                if event.kind is events.ListKind.FAILED:
                    return [SetTimer(LIST_RETRY_DELAY_NS, LIST_RETRY_TIMER)]
            case events.SetEndpointEnabled(endpoint, enabled):
                self.load_balancer.set_enabled(now, endpoint, enabled)
        return []

    def _tick(self, now: int) -> list[Action]:
        """Look after all that is open, refit the model, and evaluate the commitments that are due."""
        table = self.request_table
        actions: list[Action] = [SetTimer(TICK_INTERVAL_NS, TICK_TIMER)]
        actions += self.admission.expire_reservations(now)
        actions += self.quota.resend_releases(now, self.commitments.active.values())
        actions += self.stalled_requests.cancel_in_unresponsive_zones(now)
        outstanding = self.stalled_requests.outstanding_attempts(now)
        table.presume_lost(len(self.admission.awaiting_reservation), len(outstanding))
        self.model.fit(now, table.working, outstanding)
        actions += self.hedging.send_hedges(now)
        actions += self.stalled_requests.end_late_requests(now)
        self.load_balancer.refresh(now)
        self.commitments.evaluate_due(now)
        if now - self.pruned_at >= COMMITMENT_IDLE_TIME_NS:
            self.pruned_at = now
            self.quota.prune(now)
        return actions + self.quota.gossip(now) + self._log_congestion(now)

    def _log_congestion(self, now: int) -> list[Action]:
        limit = self.model.concurrency_limit
        in_flight = self.request_table.in_flight
        recently = now - self.congestion_logged_at < LONG_MEMORY_NS
        if limit is None or in_flight < LOWEST_PRIORITY_FRACTION * limit or recently:
            return []
        self.congestion_logged_at = now
        return [LogLine(f"congested in_flight={in_flight} limit={limit}")]
