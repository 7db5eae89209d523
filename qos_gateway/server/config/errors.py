"""Errors of a configuration that the gateway cannot use."""

from __future__ import annotations


class ConfigError(ValueError):
    """A configuration that the gateway cannot start with; the text names the key and the fault."""


class ConfigUnreadableError(ConfigError):
    """A file that cannot be read or is not JSON, as while it is being written."""

    def __init__(self, text: str, is_transient: bool) -> None:
        """Take whether a later read may succeed without a change by an operator."""
        super().__init__(text)
        self.is_transient = is_transient
