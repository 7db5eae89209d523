"""The accounts of the customers with recent requests."""

from __future__ import annotations

from .customer_account import CustomerAccount


class AccountTable(dict[int, CustomerAccount]):
    """Accounts by customer id, in the order of their creation."""

    def prune(self, now: int) -> list[int]:
        """Remove the accounts of inactive customers and return their customer ids."""
        kept = {
            customer: account
            for customer, account in self.items()
            if account.in_flight or now - account.last_request_at <= account.retention()
        }
        removed = [customer for customer in self if customer not in kept]
        self.clear()
        self.update(kept)
        return removed

    def capture_leases(self) -> dict[int, dict[int, float]]:
        """Return the leased fractions by customer and term, for the next process at a handover.

        Both processes keep them, each for its fraction of the buckets.
        """
        return {
            customer: dict(account.lease.fractions)
            for customer, account in self.items()
            if account.lease.fractions
        }

    def restore_leases(self, fractions: dict[int, dict[int, float]]) -> None:
        """Restore leases of the previous process, for the customers that have an account."""
        for customer, lease_fractions in fractions.items():
            if customer in self:
                self[customer].lease.restore(lease_fractions)
