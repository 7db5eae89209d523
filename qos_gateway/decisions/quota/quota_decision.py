"""The quota's decisions and replies: types only."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from ...types import Action
from .account.customer_account import CustomerAccount


class Verdict(Enum):
    """The outcome of a quota decision."""

    ADMITTED = "admitted"
    REJECTED = "rejected"
    RESERVED = "reserved"  # waits until the reservation is answered or expires


@dataclass(slots=True)
class Charge:
    """What a request charges to its customer's quota."""

    account: CustomerAccount
    units: float
    deadline: int  # in ns
    may_exceed: bool  # whether serving it beyond the quota earns more than it costs, at present


@dataclass(slots=True)
class QuotaDecision:
    """The verdict on one request, and the actions that it needs."""

    verdict: Verdict
    actions: list[Action] = field(default_factory=list)  # to be carried out before the request's own
    report_usage: bool = False  # call `report_consumed` once the first attempt is sent
    reservation: int = 0  # number by which the reply names the request; 0 unless it is RESERVED

    @classmethod
    def immediate(
        cls, admitted: bool, actions: list[Action] | None = None, report_usage: bool = False
    ) -> QuotaDecision:
        """Return a decision that waits for no reply."""
        verdict = Verdict.ADMITTED if admitted else Verdict.REJECTED
        return cls(verdict, actions or [], admitted and report_usage)


@dataclass(slots=True)
class QuotaReply:
    """What the reply of a peer or of the counter means for the request that waits for it."""

    reservation: int = 0  # number of the reservation that is answered; 0 where no request waits
    granted: bool | None = None  # None if the call failed: the gateway decides locally
    actions: list[Action] = field(default_factory=list)
