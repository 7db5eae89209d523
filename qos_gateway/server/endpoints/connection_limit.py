"""The limit on open connections to all endpoints together, which keeps descriptors available."""

from __future__ import annotations

from collections.abc import Callable


class ConnectionLimit:
    """Counts open connections against a maximum, which is lower while two processes share the descriptors."""

    def __init__(self, configured_maximum: int, close_idle_connection: Callable[[], None]) -> None:
        """Call `close_idle_connection` at the maximum, to make a new connection possible if any is idle."""
        self.open_count = 0
        self.maximum = configured_maximum
        self._configured_maximum = configured_maximum
        self._close_idle_connection = close_idle_connection

    def set_temporary_maximum(self, maximum: int | None) -> None:
        """Lower the maximum while two processes share the limit; None restores the configured one."""
        configured = self._configured_maximum
        self.maximum = configured if maximum is None else min(configured, max(1, maximum))

    def ensure_capacity(self) -> bool:
        """Return whether one more connection may be opened, if need be after an idle one is closed."""
        if self.open_count >= self.maximum:
            self._close_idle_connection()
        return self.open_count < self.maximum

    def record_opened(self) -> None:
        """Count a connection from the start of its connect."""
        self.open_count += 1

    def record_closed(self) -> None:
        """Count a connection as closed; to be called once for each."""
        self.open_count -= 1
