"""The leases of one customer's quota."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(slots=True)
class CustomerLease:
    """Leased fractions of the quota by term, and the state of claims. Times are in ns."""

    fractions: dict[int, float] = field(default_factory=dict)  # leased fraction of the quota, by term
    next_claim_at: int = 0  # earliest time of the next claim
    unanswered_claim_term: int = -1  # latest term for which a claim got no reply; -1 if none

    def add(self, current_term: int, term: int, fraction: float) -> None:
        """Add a leased fraction of the quota for a term, and drop the leases of past terms."""
        current = {number: leased for number, leased in self.fractions.items() if number >= current_term}
        self.fractions = current | {term: current.get(term, 0.0) + fraction}

    def back_off(self, until: int) -> None:
        """Make no claim before `until`."""
        self.next_claim_at = until

    def extend_back_off(self, until: int) -> None:
        """Make no claim before `until`; a later time that is already set stays."""
        self.next_claim_at = max(self.next_claim_at, until)

    def record_unanswered_claim(self, term: int) -> None:
        """Record that a claim for a term failed, got no reply or was not made."""
        self.unanswered_claim_term = term

    def restore(self, fractions: dict[int, float]) -> None:
        """Restore the leases that the previous process handed over."""
        self.fractions = dict(fractions)
