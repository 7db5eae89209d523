"""Clients of the gateways: regular requests, unusual ones, and invalid ones."""

from soak.clients.invalid_commands import GARBAGE, HALF_COMMAND
from soak.clients.traffic import Traffic

__all__ = ["GARBAGE", "HALF_COMMAND", "Traffic"]
