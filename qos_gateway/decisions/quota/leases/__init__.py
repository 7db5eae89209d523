"""Leases of parts of a quota: their terms, and the claims at the counter."""
