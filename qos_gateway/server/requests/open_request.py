"""State of one open request."""

from __future__ import annotations

import asyncio

from ..clients.pending_replies import PendingReply
from ..clients.request_parser import ClientRequest
from ..endpoints.attempt import Attempt
from .request_memory import RequestMemory


class OpenRequest:
    """A request from its arrival until its final response and the end of its last attempt."""

    __slots__ = (
        "attempts",
        "attempts_in_flight_by_number",
        "attempts_started",
        "client_request",
        "closed",
        "deadline",
        "deadline_timer",
        "memory",
        "pending_reply",
        "streaming_attempt",
    )

    def __init__(
        self,
        client_request: ClientRequest,
        pending_reply: PendingReply,
        deadline: int,
        memory: RequestMemory,
    ) -> None:
        """Take `deadline` in ns on the gateway's clock, and the memory that the request holds."""
        self.memory = memory
        self.client_request = client_request
        self.pending_reply = pending_reply
        self.deadline = deadline
        self.closed = False  # answered, or its client disconnected
        self.streaming_attempt: Attempt | None = None  # the attempt whose large value goes to the client
        self.attempts_started = 0  # including those that were never passed to a connection
        self.attempts: list[Attempt] = []  # all that were passed to a connection, ended or not
        self.attempts_in_flight_by_number: dict[int, Attempt] = {}
        self.deadline_timer: asyncio.TimerHandle | None = None

    @property
    def client_id(self) -> bytes:
        """Return the client's own id of the request."""
        return self.client_request.request_id

    @property
    def class_index(self) -> int:
        """Return the index of its class in the settings."""
        return self.client_request.class_index
