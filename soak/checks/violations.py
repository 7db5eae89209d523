"""Violations of the service's rules, as the checks report them."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Rule(Enum):
    """A rule of the service that a check covers."""

    LOST = "lost"
    WRONG_VALUE = "wrong_value"
    ALTERED = "altered"  # an order server received a command that differs from the client's
    CLIENT_LEFT = "client_left"
    DEADLINE = "deadline"
    DUPLICATE = "duplicate"
    CONCURRENT_ATTEMPTS = "concurrent_attempts"
    TOO_MANY_ATTEMPTS = "too_many_attempts"
    FALSE_REFUSAL = "false_refusal"
    DRAIN = "drain"
    MAINTENANCE = "maintenance"
    SLOW_START = "slow_start"
    CEILING = "ceiling"
    CRASH = "crash"
    MEMORY = "memory"  # a process passed its memory limit
    READY = "ready"
    BAD_CLIENT = "bad_client"
    RECOVERY = "recovery"
    REPORTED_ITSELF = "reported_itself"  # by the gateway's own guards or an internal error in its log


@dataclass(frozen=True, slots=True)
class Violation:
    """One violation of a rule; `at` is on the clock of the observations, in s."""

    rule: Rule
    at: float
    text: str
