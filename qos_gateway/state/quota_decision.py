"""What the quota tells the engine about a request: types only."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from ..types import Action


class Verdict(Enum):
    """What becomes of a request by its customer's quota."""

    ADMITTED = "admitted"
    REJECTED = "rejected"
    RESERVED = "reserved"  # held until the reservation is answered or overdue


@dataclass(frozen=True, slots=True)
class QuotaDecision:
    """The verdict on one request, and what has to be done for it."""

    verdict: Verdict
    actions: list[Action] = field(default_factory=list)  # to be carried out before the request's own
    report_usage: bool = False  # call `report_consumed` once the first attempt is sent
    reservation: int = 0  # number by which the reply names the held request; 0 unless it is RESERVED


@dataclass(frozen=True, slots=True)
class QuotaReply:
    """What the reply of a peer or of the counter means for the request that waits for it."""

    reservation: int = 0  # number of the reservation that is answered; 0 where no request waits
    granted: bool | None = None  # None where the call failed: the gateway has to decide on its own
    actions: list[Action] = field(default_factory=list)
