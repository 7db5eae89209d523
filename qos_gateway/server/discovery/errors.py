"""Errors of the client of discovery."""

from __future__ import annotations


class EndpointListError(ValueError):
    """An endpoint list, or a change to it, that cannot be read or applied."""
