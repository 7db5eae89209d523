"""The leases of one customer's quota."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(slots=True)
class CustomerLease:
    """Leased fractions of the quota by term, and the claims for them. Times are in ns."""

    fractions: dict[int, float] = field(default_factory=dict)  # leased fraction of the quota, by term
    next_claim_at: int = 0  # before which no lease is claimed
    unanswered_claim_term: int = -1  # the newest term for which a claim has no reply

    def add(self, current_term: int, term: int, fraction: float) -> None:
        """Add a leased fraction of the quota for a term, and forget the leases of past terms."""
        current = {number: leased for number, leased in self.fractions.items() if number >= current_term}
        self.fractions = current | {term: current.get(term, 0.0) + fraction}

    def back_off(self, until: int) -> None:
        """Claim no lease before `until`."""
        self.next_claim_at = until

    def extend_back_off(self, until: int) -> None:
        """Claim no lease before `until`, nor before the time that is set already."""
        self.next_claim_at = max(self.next_claim_at, until)

    def record_unanswered_claim(self, term: int) -> None:
        """Record that a claim for a term has no reply."""
        self.unanswered_claim_term = term

    def restore(self, fractions: dict[int, float]) -> None:
        """Continue with the leases of the process before."""
        self.fractions = dict(fractions)
