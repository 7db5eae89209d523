"""What holds memory that peers cause."""

from __future__ import annotations

from enum import Enum


class MemoryUse(Enum):
    """What holds memory; the values are parts of the metrics' names."""

    CLIENT_CONNECTIONS = "client_connections"
    ENDPOINT_CONNECTIONS = "endpoint_connections"
    CUSTOMERS = "customers"
    COMMANDS = "commands"  # incomplete and deferred commands, and the bodies of open requests
    REQUESTS = "requests"  # open requests, without their bodies
    RESPONSES = "responses"  # incomplete responses of endpoints
    REPLIES = "replies"  # replies that wait for earlier ones, or that their client does not read
    UNCOUNTED = "uncounted"  # measured beyond all of the above
