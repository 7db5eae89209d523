"""The limit on open connections to all endpoints, which keeps file descriptors available."""

from __future__ import annotations

from collections.abc import Callable

from ..memory.budget import MemoryBudget
from ..memory.limits import ENDPOINT_CONNECTION_BYTES
from ..observability.memory_uses import MemoryUse


class ConnectionLimit:
    """Counts open connections against a maximum, which is lowered while two processes share it."""

    def __init__(
        self, configured_maximum: int, close_idle_connection: Callable[[], None], memory: MemoryBudget
    ) -> None:
        """Take `close_idle_connection`, which is called at the maximum to make room for a new connection."""
        self._memory = memory
        self.open_count = 0
        self.maximum = configured_maximum
        self._configured_maximum = configured_maximum
        self._close_idle_connection = close_idle_connection

    def set_temporary_maximum(self, maximum: int | None) -> None:
        """Lower the maximum while two processes share the limit; None restores the configured one."""
        configured = self._configured_maximum
        self.maximum = configured if maximum is None else min(configured, max(1, maximum))

    def ensure_capacity(self) -> bool:
        """Return whether another connection may be opened; closes an idle one at the maximum."""
        if self.open_count >= self.maximum:
            self._close_idle_connection()
        return self.open_count < self.maximum

    def record_opened(self) -> None:
        """Count a new connection; to be called when it starts to connect."""
        self.open_count += 1
        self._memory.add(MemoryUse.ENDPOINT_CONNECTIONS, ENDPOINT_CONNECTION_BYTES)

    def record_closed(self) -> None:
        """Subtract a closed connection; to be called once per connection."""
        self.open_count -= 1
        self._memory.release(MemoryUse.ENDPOINT_CONNECTIONS, ENDPOINT_CONNECTION_BYTES)
