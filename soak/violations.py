"""Broken rules, as the judge reports them."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Rule(Enum):
    """A rule that the judge checks."""

    LOST = "lost"
    WRONG_VALUE = "wrong_value"
    ALTERED = "altered"  # a command that reached an order server otherwise than its client sent it
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
    READY = "ready"
    BAD_CLIENT = "bad_client"
    RECOVERY = "recovery"
    REPORTED_ITSELF = "reported_itself"  # the gateway's own guards, or a fault in its log


@dataclass(frozen=True, slots=True)
class Violation:
    """One broken rule; `at` is on the clock of the observations."""

    rule: Rule
    at: float
    text: str
