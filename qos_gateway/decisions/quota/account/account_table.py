"""The accounts of the customers with recent requests."""

from __future__ import annotations

from collections import deque

from .customer_account import CustomerAccount

MAX_EXAMINED_FOR_EVICTION = 8  # accounts for each new one, which bounds the work of an arrival


class AccountTable(dict[int, CustomerAccount]):
    """Accounts by customer id, in the order of their creation, up to a maximum number.

    A new account replaces one that can be evicted without a loss. If none is found, it is not created: the
    new customer has to wait, and not one whose use of its quota would be forgotten.
    """

    def __init__(self, max_accounts: int) -> None:
        """Create an empty table; `max_accounts` of 0 sets no limit."""
        super().__init__()
        self._max_accounts = max_accounts
        self._eviction_order: deque[int] = deque()  # customer ids, the next to be examined first
        self.evicted: list[int] = []  # customer ids, until `take_evicted`

    def ensure_capacity(self, now: int) -> bool:
        """Return whether an account can be added, after evicting one if necessary."""
        if not self._max_accounts or len(self) < self._max_accounts:
            return True
        for _ in range(min(MAX_EXAMINED_FOR_EVICTION, len(self._eviction_order))):
            customer_id = self._eviction_order.popleft()
            account = self.get(customer_id)
            if account is None:
                continue
            if account.is_evictable(now):
                del self[customer_id]
                self.evicted.append(customer_id)
                return True
            self._eviction_order.append(customer_id)
        return len(self) < self._max_accounts

    def add(self, account: CustomerAccount) -> None:
        """Add the account of a new customer."""
        self[account.customer_id] = account
        if self._max_accounts:
            self._eviction_order.append(account.customer_id)

    def take_evicted(self) -> list[int]:
        """Return the customer ids of the accounts evicted since the last call."""
        evicted, self.evicted = self.evicted, []
        return evicted

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
        self._eviction_order = deque(customer for customer in self._eviction_order if customer in kept)
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
