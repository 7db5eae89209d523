"""What each command of a client does."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ...edge_names import CommandName
from .request_parser import InvalidCommandError

if TYPE_CHECKING:
    from .connections import ClientConnections
    from .pending_replies import PendingReply

PONG_REPLY = b"+PONG\r\n"
LOADING_REPLY = b"-LOADING no list of backends yet\r\n"
UNKNOWN_COMMAND_REPLY = b"-ERR unknown command\r\n"


def serve_command(
    owner: ClientConnections, pending_reply: PendingReply, arguments: list[bytes], waited_s: float
) -> None:
    """Reply to a command, or submit its request, which has waited here for so many seconds already."""
    name = arguments[0].upper()
    if name in (CommandName.IDEMPOTENT_REQUEST, CommandName.OTHER_REQUEST):
        try:
            request = owner.parser.parse(arguments)
            owner.requests.submit(request, pending_reply, waited_s)
        except InvalidCommandError as error:
            pending_reply.client.reply(pending_reply, b"-ERR %b\r\n" % one_line(str(error)))
    elif name == CommandName.PING and len(arguments) == 1:
        # The load balancer in front sends clients to this gateway once it gets this reply.
        reply = PONG_REPLY if owner.requests.is_ready() else LOADING_REPLY
        pending_reply.client.reply(pending_reply, reply)
    else:
        pending_reply.client.reply(pending_reply, UNKNOWN_COMMAND_REPLY)


def shed_command(owner: ClientConnections, pending_reply: PendingReply, arguments: list[bytes]) -> None:
    """Reply to a command that there is no room for: a request is rejected, whatever it asks for."""
    if arguments[0].upper() not in (CommandName.IDEMPOTENT_REQUEST, CommandName.OTHER_REQUEST):
        serve_command(owner, pending_reply, arguments, 0.0)
        return
    try:
        owner.requests.shed(owner.parser.parse(arguments), pending_reply)
    except InvalidCommandError as error:
        pending_reply.client.reply(pending_reply, b"-ERR %b\r\n" % one_line(str(error)))


def one_line(text: str) -> bytes:
    """Return a text as a part of a RESP error, which ends with its line."""
    return text.encode().replace(b"\r", b" ").replace(b"\n", b" ")
