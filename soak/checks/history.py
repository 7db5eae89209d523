"""The observations of a run, indexed for the checks."""

from __future__ import annotations

from soak.checks.timing import Timing
from soak.observations import AttemptSeen, ProcessSeen, Record, RequestSeen
from soak.settings import Deployment


class History:
    """A run's deployment and observations, with indexes by request, server and process."""

    def __init__(self, deployment: Deployment, record: Record) -> None:
        self.deployment = deployment
        self.record = record
        self.timing = Timing(record)
        self.attempts_by_request: dict[str, list[AttemptSeen]] = {}  # in the order of their last bytes
        self.attempts_by_server: dict[int, list[AttemptSeen]] = {}  # in the order of their last bytes
        for attempt in sorted(record.attempts, key=lambda a: a.last_byte_at):
            self.attempts_by_request.setdefault(attempt.request_id, []).append(attempt)
            self.attempts_by_server.setdefault(attempt.server, []).append(attempt)
        self._processes = {(seen.gateway, seen.number): seen for seen in record.processes}
        self._first_seen: dict[str, RequestSeen] = {}
        for seen in record.requests:
            self._first_seen.setdefault(seen.request_id, seen)

    def attempts_of(self, request_id: str) -> list[AttemptSeen]:
        """Return a request's attempts at all gateways, in the order of their last bytes."""
        return self.attempts_by_request.get(request_id, [])

    def process(self, gateway: int, number: int) -> ProcessSeen:
        """Return a process of a gateway by its number."""
        return self._processes[gateway, number]

    def first_seen(self, request_id: str) -> RequestSeen:
        """Return a request as its client first sent it."""
        return self._first_seen[request_id]
