"""The decision engine: creates the components and passes events and ticks to them in order.

The package `types` defines its interface, events and actions. The design is that of a QoS broker: a
commitment table, a closed queueing model and seven cases that grant each customer a cap on its requests in
flight. A request passes `admission` (customer cap, limit on all requests in flight, quota) and then the
dispatcher of `requests`, which picks endpoints through `load_balancing`, retries failed attempts and ends
the request. Each tick checks the open requests, refits the model and evaluates the commitments.
"""

import random

from ..types import events
from ..types.actions import Action, SetTimer, WatchEndpoints
from ..types.settings import Settings
from ..units import SECOND
from .admission.admission_controller import AdmissionController
from .admission.commitment_table import CommitmentTable
from .admission.load_shedding import CongestionLog
from .congestion.queue_model import QueueModel
from .load_balancing.load_balancer import LoadBalancer
from .quota import create_quota
from .requests.dispatcher import Dispatcher
from .requests.hedging import Hedging
from .requests.stalled_requests import StalledRequestMonitor
from .statistics.time_constants import TICK_INTERVAL_NS

# Timer tokens.
TICK_TIMER = 1
LIST_RETRY_TIMER = 2  # requests the endpoint list again after a failure
LIST_RETRY_DELAY_NS = 1 * SECOND
# Fractions of the shared limits that the two processes of a handover keep.
OUTGOING_FRACTION = 0.25  # the old process only finishes its open requests
INCOMING_FRACTION = 0.75


class DecisionEngine:
    """Makes the decisions of one gateway, which passes in every event and executes the returned actions."""

    def __init__(self, settings: Settings, seed: int, now: int) -> None:
        """Create an engine without endpoints or customers; `seed` is for random numbers, `now` is in ns."""
        rng = random.Random(seed)
        self.settings = settings
        self.model = QueueModel(settings)
        self.quota = create_quota(settings, seed, now, rng)
        self.load_balancer = LoadBalancer(settings, rng)
        self.dispatcher = Dispatcher(settings, self.model, self.load_balancer, self.quota)
        self.request_table = self.dispatcher.requests
        self.hedging = Hedging(self.dispatcher, self.model, self.load_balancer)
        self.stalled_requests = StalledRequestMonitor(self.dispatcher, self.model, self.load_balancer)
        self.commitments = CommitmentTable(self.model, self.quota, now)
        self.admission = AdmissionController(
            settings, self.model, self.quota, self.dispatcher, self.commitments
        )
        self.congestion_log = CongestionLog(self.model, self.request_table, now)
        self.started = False

    def handle(self, now: int, event: events.Event) -> list[Action]:
        """Handle one event; the actions take effect at `now`."""
        if self.started:
            return self._handle(now, event)
        self.started = True
        return self._start() + self._handle(now, event)

    def _start(self) -> list[Action]:
        """Return the initial actions, which precede those of the first event."""
        actions: list[Action] = [SetTimer(TICK_INTERVAL_NS, TICK_TIMER)]
        if self.settings.polls_discovery:
            actions.append(WatchEndpoints(True))
        return actions

    def _handle(self, now: int, event: events.Event) -> list[Action]:
        match event:
            case events.Arrival():
                return self.admission.on_arrival(now, event)
            case events.AttemptEnded():
                return self.dispatcher.attempt_ended(now, event)
            case events.ResponseStarted(request_id, _, attempt):
                return self.dispatcher.response_started(request_id, attempt)
            case events.ClientDisconnected(request_id):
                return self._client_disconnected(request_id)
            case events.TimerFired(token):
                return self._timer_fired(now, token)
            case events.PeerMessage():
                return self.admission.on_quota_reply(now, self.quota.on_peer_message(now, event))
            case events.CounterReplied():
                return self.admission.on_quota_reply(now, self.quota.on_counter_reply(now, event))
            case events.Topology():
                return self._endpoint_list_received(now, event)
            case events.SetEndpointEnabled(endpoint, enabled):
                return self._endpoint_enabled(now, endpoint, enabled)
        return []

    def _client_disconnected(self, request_id: int) -> list[Action]:
        """Close the request; its attempts continue, and their outcomes are still recorded."""
        self.request_table.close(request_id)
        return []

    def _timer_fired(self, now: int, token: int) -> list[Action]:
        return self._tick(now) if token == TICK_TIMER else [WatchEndpoints(True)]

    def _endpoint_list_received(self, now: int, event: events.Topology) -> list[Action]:
        """Update the endpoints; schedule another request if the list could not be obtained."""
        self.load_balancer.update_list(now, event)
        if event.kind is events.ListKind.FAILED:
            return [SetTimer(LIST_RETRY_DELAY_NS, LIST_RETRY_TIMER)]
        return []

    def _endpoint_enabled(self, now: int, endpoint: int, enabled: bool) -> list[Action]:
        self.load_balancer.set_enabled(now, endpoint, enabled)
        return []

    def _tick(self, now: int) -> list[Action]:
        """Do the periodic work; the order of the steps and of their actions is part of the behaviour."""
        actions: list[Action] = [SetTimer(TICK_INTERVAL_NS, TICK_TIMER)]
        actions += self.admission.expire_reservations(now)
        actions += self._resend_releases(now)
        actions += self.stalled_requests.cancel_in_unresponsive_zones(now)
        self._fit_model(now)
        actions += self.hedging.send_hedges(now)
        actions += self.stalled_requests.end_late_requests(now)
        self.load_balancer.refresh(now)
        self.commitments.evaluate_due(now)
        self.commitments.prune_due(now)
        actions += self.quota.gossip(now)
        actions += self.congestion_log.lines(now)
        return actions

    def _resend_releases(self, now: int) -> list[Action]:
        """Release in-flight slots of active customers that the counter still counts."""
        accounts = (commitment.account for commitment in self.commitments.active.values())
        return self.quota.resend_releases(now, accounts)

    def _fit_model(self, now: int) -> None:
        """Refit the queue model to the attempts without a response, except for those presumed lost."""
        table = self.request_table
        outstanding = self.stalled_requests.outstanding_attempts(now)
        table.update_presumed_lost(len(self.admission.pending_reservations), len(outstanding))
        self.model.fit(now, table.effective_in_flight, outstanding)
