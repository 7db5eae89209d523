"""The client side of the gateway, a RESP server: the names that the other modules use of it."""

from .accept_drain import ACCEPT_DRAIN_QUIET_S
from .client_connection import MAX_PIPELINED, ClientConnection, log
from .client_connections import CHECK_INTERVAL_S, ClientConnections, RequestHandler
from .client_timeouts import COMMAND_TIMEOUT_S
from .pending_replies import PendingReply, StreamedReply
from .request_parser import ClientRequest, InvalidCommandError, RequestParser

__all__ = [
    "ACCEPT_DRAIN_QUIET_S",
    "CHECK_INTERVAL_S",
    "COMMAND_TIMEOUT_S",
    "MAX_PIPELINED",
    "ClientConnection",
    "ClientConnections",
    "ClientRequest",
    "InvalidCommandError",
    "PendingReply",
    "RequestHandler",
    "RequestParser",
    "StreamedReply",
    "log",
]
