"""Gateways that break the rules on single attempts: for a waiting client, unchanged, within its time."""

from __future__ import annotations

from qos_gateway.server.clients.socket_protocol import ClientSocketProtocol
from qos_gateway.server.endpoints.attempt import Attempt
from qos_gateway.server.requests.client_requests import ClientRequests
from qos_gateway.units import SECOND
from soak.mutants.patching import disable_guards, do_nothing, patch


def ignore_leaving() -> None:
    """Send attempts for clients that have closed their connections."""
    patch(ClientSocketProtocol, "has_hung_up", lambda _: False)
    patch(ClientRequests, "client_disconnected", do_nothing)
    disable_guards()


def promise_too_much_time() -> None:
    """Send order servers a deadline one second later than the client's."""
    payload = Attempt.payload
    patch(Attempt, "payload", lambda self, now_ns: payload(self, now_ns - SECOND))


def alter_commands() -> None:
    """Change the customer's number in the commands to order servers."""
    payload = Attempt.payload

    def alter(self: Attempt, now_ns: int) -> tuple[bytes, ...]:
        customer = self.command.start[1]
        head, *body = payload(self, now_ns)
        return head.replace(customer, customer.upper().replace(b"0", b"F"), 1), *body

    patch(Attempt, "payload", alter)
