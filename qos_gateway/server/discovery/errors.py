"""Errors of the discovery client."""

from __future__ import annotations


class EndpointListError(ValueError):
    """An endpoint list or delta is invalid or could not be applied."""
