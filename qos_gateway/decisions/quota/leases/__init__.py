"""Leases of parts of a quota: lease terms, and claims at the shared counter."""
