"""Gateways that break the rules on responses: each request gets its own final response in time."""

from __future__ import annotations

from itertools import count
from typing import Any

from qos_gateway.server.clients.buffer_budgets import BufferBudget
from qos_gateway.server.clients.pending_replies import ReplyQueue
from qos_gateway.server.endpoints.attempt import Attempt
from qos_gateway.server.endpoints.connection import EndpointConnection
from qos_gateway.server.requests.attempt_results import AttemptResults
from qos_gateway.server.requests.open_requests import OpenRequests
from soak.mutants.patching import do_nothing, patch

LOST_EVERY = 20  # responses


def lose_answers() -> None:
    """Send no response to every twentieth request."""
    answer = OpenRequests.answer
    numbers = count(1)

    def forget(self: OpenRequests, number: int, request: Any, *rest: Any) -> None:
        if next(numbers) % LOST_EVERY:
            answer(self, number, request, *rest)
        else:
            self.close(number, request)

    patch(OpenRequests, "answer", forget)


def mix_values_up() -> None:
    """Respond to each request with the value of the previous one."""
    answer_with = AttemptResults._answer_with  # noqa: SLF001
    values = [b"none"]

    def mix(self: AttemptResults, request: Any, attempt: Attempt, outcome: Any, value: bytes | None) -> None:
        if value is not None:
            values.append(value)
            value = values.pop(0)
        answer_with(self, request, attempt, outcome, value)

    patch(AttemptResults, "_answer_with", mix)


def pass_values_on_at_once() -> None:
    """Stream a large value to a client while pipelined commands wait for their responses behind it."""
    start = ReplyQueue.start_first_stream
    patch(ReplyQueue, "start_first_stream", lambda self, _: start(self, False))


def stream_values_without_memory() -> None:
    """Stream a large value before other replies if other values have used the memory to buffer it."""
    start = ReplyQueue.start_first_stream

    def start_without_memory(self: ReplyQueue, has_commands_behind: bool) -> bool:
        if start(self, has_commands_behind):
            return True
        stream = self.first_stream()
        return stream is not None and stream.is_waiting and start(self, False)

    patch(ReplyQueue, "start_first_stream", start_without_memory)
    patch(BufferBudget, "reserve", BufferBudget.reserve_first)


def wait_for_slow_values() -> None:
    """Wait without a limit for the rest of a large value after the client's deadline."""
    patch(EndpointConnection, "start_deadline_grace", do_nothing)
