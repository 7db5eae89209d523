"""Executes the commands of clients."""

from __future__ import annotations

from typing import Protocol

from ...edge_names import CommandName
from .pending_replies import PendingReply
from .request_parser import ClientRequest, InvalidCommandError, RequestParser

PONG_REPLY = b"+PONG\r\n"
LOADING_REPLY = b"-LOADING no list of backends yet\r\n"
BUSY_REPLY = b"-BUSY\r\n"
UNKNOWN_COMMAND_REPLY = b"-ERR unknown command\r\n"


class RequestHandler(Protocol):
    """Serves the requests that clients send."""

    def is_ready(self) -> bool:
        """Return whether any endpoint accepts requests."""

    def submit(self, request: ClientRequest, pending_reply: PendingReply, waited_s: float, /) -> None:
        """Accept a request that was received `waited_s` seconds ago.

        Raises `InvalidCommandError` if the request is not allowed.
        """

    def shed(self, request: ClientRequest, pending_reply: PendingReply, /) -> None:
        """Reject a request without accepting it, to shed load."""

    def client_disconnected(self, number: int) -> None:
        """End a request whose client has disconnected."""


class CommandExecutor:
    """Replies to commands, and submits the requests among them."""

    __slots__ = ("_parser", "_requests")

    def __init__(self, parser: RequestParser, requests: RequestHandler) -> None:
        self._parser = parser
        self._requests = requests

    def execute(self, pending_reply: PendingReply, arguments: list[bytes], waited_s: float) -> None:
        """Reply to a command that was received `waited_s` seconds ago, or submit its request."""
        name = arguments[0].upper()
        if name in (CommandName.IDEMPOTENT_REQUEST, CommandName.OTHER_REQUEST):
            try:
                request = self._parser.parse(arguments)
                self._requests.submit(request, pending_reply, waited_s)
            except InvalidCommandError as error:
                pending_reply.client.reply(pending_reply, error_reply(str(error)))
        elif name == CommandName.PING and len(arguments) == 1:
            # The load balancer in front of the gateways routes clients to this one after it receives PONG.
            reply = PONG_REPLY if self._requests.is_ready() else LOADING_REPLY
            pending_reply.client.reply(pending_reply, reply)
        else:
            pending_reply.client.reply(pending_reply, UNKNOWN_COMMAND_REPLY)

    def shed(self, pending_reply: PendingReply, arguments: list[bytes]) -> None:
        """Reject the request of a command; any other command gets its normal reply."""
        if arguments[0].upper() not in (CommandName.IDEMPOTENT_REQUEST, CommandName.OTHER_REQUEST):
            self.execute(pending_reply, arguments, 0.0)
            return
        try:
            self._requests.shed(self._parser.parse(arguments), pending_reply)
        except InvalidCommandError as error:
            pending_reply.client.reply(pending_reply, error_reply(str(error)))


def error_reply(text: str) -> bytes:
    """Return a RESP error; line breaks become spaces, because a RESP error is a single line."""
    return b"-ERR %b\r\n" % text.encode().replace(b"\r", b" ").replace(b"\n", b" ")
