"""Types of quota decisions and of the replies that complete them."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from ...types import Action
from .account.customer_account import CustomerAccount


class Verdict(Enum):
    """The outcome of a quota decision."""

    ADMITTED = "admitted"
    REJECTED = "rejected"
    RESERVED = "reserved"  # pending until the reservation is answered or times out


@dataclass(slots=True)
class Charge:
    """What a request charges to its customer's quota."""

    account: CustomerAccount
    units: float
    deadline: int  # in ns
    may_exceed: bool  # whether serving it beyond the quota currently earns more than it costs


@dataclass(slots=True)
class QuotaDecision:
    """The verdict on one request, and the actions that it requires."""

    verdict: Verdict
    actions: list[Action] = field(default_factory=list)  # executed before the request's own actions
    report_usage: bool = False  # call `report_consumed` once the first attempt is sent
    reservation: int = 0  # number that the reply carries; 0 unless the verdict is RESERVED

    @classmethod
    def immediate(
        cls, admitted: bool, actions: list[Action] | None = None, report_usage: bool = False
    ) -> QuotaDecision:
        """Return a decision that does not wait for a reply; `report_usage` applies only if admitted."""
        verdict = Verdict.ADMITTED if admitted else Verdict.REJECTED
        return cls(verdict, actions or [], admitted and report_usage)


@dataclass(slots=True)
class QuotaReply:
    """The result of a reply from a peer or the counter, for the request that waits for it."""

    reservation: int = 0  # the reservation answered; 0 if no request waits for the reply
    granted: bool | None = None  # None if the call failed: the gateway decides locally
    actions: list[Action] = field(default_factory=list)
