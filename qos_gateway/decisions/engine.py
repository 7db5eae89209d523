"""Every decision of a gateway: which requests are forwarded, to which endpoint, and which are rejected.

Read the package `types` first, for events and actions. The mechanism is a QoS broker's: a table of
commitments, a closed queuing model and seven cases that grant each customer a cap on its requests in flight.
The way of a request: `admission` (cap, limit, quota), `dispatch` (an endpoint by `load_balancer`, retries, the
end), and at each tick `stalled_requests` and `commitments`.
"""

from __future__ import annotations

import random

from .. import types as t
from ..state.request_table import RequestTable
from ..units import SECOND
from .admission import LOWEST_PRIORITY_FRACTION, AdmissionController
from .commitments import COMMITMENT_IDLE_TIME, CommitmentTable
from .dispatch import Dispatcher
from .load_balancer import LoadBalancer
from .queue_model import TICK, QueueModel
from .quota import Quota
from .retention import prune_accounts
from .stalled_requests import StalledRequests
from .time_constants import LONG_MEMORY

TICK_TIMER = 1  # token of the timer for the next tick ...
LIST_RETRY_TIMER = 2  # ... and of the one for another call for the endpoint list
LIST_RETRY_DELAY = 1 * SECOND
OUTGOING_FRACTION = (
    0.25  # of shared budgets during a handover: the old process only finishes what still comes
)
INCOMING_FRACTION = 0.75  # ... and the rest, for the process that takes over


class DecisionEngine:
    """One gateway's decisions: hand it every event in order and carry out the actions it returns."""

    def __init__(self, settings: t.Settings, seed: int, now: int) -> None:
        """Start with nothing known; `seed` is for all random draws, `now` in ns like all times."""
        rng = random.Random(seed)
        self.settings = settings
        self.model = QueueModel(settings)
        self.quota = Quota(settings, seed, now, rng)
        self.load_balancer = LoadBalancer(settings, rng)
        self.request_table = RequestTable()
        self.dispatcher = Dispatcher(settings, self.model, self.load_balancer, self.quota, self.request_table)
        self.commitments = CommitmentTable(self.model, self.quota)
        self.admission = AdmissionController(self.dispatcher, self.commitments)
        self.stalled = StalledRequests(self.dispatcher)
        self.started = False
        self.pruned_at = now
        self.congestion_logged_at = now - LONG_MEMORY

    def handle(self, now: int, event: t.Event) -> list[t.Action]:
        """Take in one event; the actions take effect at `now`."""
        if self.started:
            return self._handle(now, event)
        self.started = True
        first: list[t.Action] = [t.SetTimer(TICK, TICK_TIMER)]
        if self.settings.polls_discovery:
            first.append(t.WatchEndpoints(True))
        return first + self._handle(now, event)

    def _handle(self, now: int, event: t.Event) -> list[t.Action]:
        match event:
            case t.Arrival():
                return self.admission.on_arrival(now, event)
            case t.AttemptEnded():
                return self.dispatcher.attempt_ended(now, event)
            case t.ResponseStarted(request_id, _, attempt):
                return self.dispatcher.response_started(request_id, attempt)
            case t.ClientDisconnected(request_id):
                self.request_table.open.pop(request_id, None)
            case t.TimerFired(token):
                return self._timer_fired(now, token)
            case t.PeerMessage():
                return self.admission.on_reply(now, self.quota.on_peer_message(now, event))
            case t.CounterReplied():
                return self.admission.on_reply(now, self.quota.on_counter_reply(now, event))
            case t.Topology():
                return self._list_changed(now, event)
            case t.SetEndpointEnabled(endpoint, enabled):
                self.load_balancer.set_enabled(now, endpoint, enabled)
        return []

    def _list_changed(self, now: int, event: t.Topology) -> list[t.Action]:
        self.load_balancer.update_list(now, event)
        failed = event.kind is t.ListKind.FAILED
        return [t.SetTimer(LIST_RETRY_DELAY, LIST_RETRY_TIMER)] if failed else []

    def excluded_endpoints(self, now: int) -> int:
        """Return how many listed endpoints get nothing now, by an operator's order or ejected."""
        return self.load_balancer.excluded_count(now)

    def _timer_fired(self, now: int, token: int) -> list[t.Action]:
        return self._tick(now) if token == TICK_TIMER else [t.WatchEndpoints(True)]

    def _tick(self, now: int) -> list[t.Action]:
        """Look after all that is open, refit the model, and evaluate the commitments that are due."""
        table = self.request_table
        actions: list[t.Action] = [t.SetTimer(TICK, TICK_TIMER)]
        actions += self.admission.expire_reservations(now)
        actions += self.quota.resend_releases(now, self.commitments.active.values())
        actions += self.stalled.leave_unresponsive_zones(now)
        outstanding = self.stalled.outstanding(now)
        table.presumed_lost = len(table.open) - len(self.admission.awaiting_reservation) - len(outstanding)
        self.model.fit(now, table.working, outstanding)
        actions += self.stalled.hedge(now)
        actions += self.stalled.give_up_late(now)
        self.load_balancer.refresh(now)
        self.commitments.evaluate_due(now)
        if now - self.pruned_at >= COMMITMENT_IDLE_TIME:
            self.pruned_at = now
            prune_accounts(now, self.quota)
        return actions + self.quota.gossip(now) + self._log_congestion(now)

    def _log_congestion(self, now: int) -> list[t.Action]:
        limit = self.model.concurrency_limit
        in_flight = self.request_table.in_flight
        if limit is None or in_flight < LOWEST_PRIORITY_FRACTION * limit:
            return []
        if now - self.congestion_logged_at < LONG_MEMORY:
            return []
        self.congestion_logged_at = now
        return [t.LogLine(f"congested in_flight={in_flight} limit={limit}")]
