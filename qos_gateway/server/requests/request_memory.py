"""The memory that one open request holds."""

from __future__ import annotations

from collections.abc import Sequence

from ..clients.pending_replies import PendingReply
from ..memory.budget import MemoryBudget, MemoryReservation, Priority
from ..memory.limits import REQUEST_BYTES
from ..observability.memory_uses import MemoryUse

# A request whose body is no larger than this may use memory that is kept free of large ones.
SMALL_BODY_BYTES = 1 << 10


class RequestMemory:
    """The memory of a request's objects and of its body, until its last attempt has ended."""

    __slots__ = ("_body", "_budget", "_request")

    def __init__(self, budget: MemoryBudget) -> None:
        self._budget = budget
        self._request = MemoryReservation(budget, MemoryUse.REQUESTS)
        self._body = MemoryReservation(budget, MemoryUse.COMMANDS)

    def reserve(self, body: Sequence[bytes], pending_reply: PendingReply) -> bool:
        """Reserve the memory; return whether there is room for it."""
        body_bytes = sum(map(len, body))
        priority = pending_reply.client.memory_priority(pending_reply)
        if priority is Priority.FIRST and body_bytes <= SMALL_BODY_BYTES:
            was_served = pending_reply.client.was_served
            priority = Priority.SMALL_OF_SERVED_CLIENT if was_served else Priority.SMALL
        if not self._budget.has_room_for_request(REQUEST_BYTES, priority):
            return False
        if not self._body.resize(body_bytes, priority):
            return False
        self._request.set_size(REQUEST_BYTES)
        return True

    def release(self) -> None:
        """Hold nothing."""
        self._body.release()
        self._request.release()
