"""Takes memory back from clients that hold it without progress, while others wait for memory."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

# A client that holds memory may neither complete its command nor read its replies for this time.
MAX_IDLE_HOLD_S = 0.25


class MemoryHolder(Protocol):
    """A client connection that may hold memory."""

    def command_memory_held(self, now_s: float, min_age_s: float) -> int:
        """Return the memory in bytes of a command that has been incomplete for `min_age_s`."""

    def unread_memory_held(self, now_s: float, min_age_s: float) -> int:
        """Return the memory in bytes of replies of which the client has read nothing for `min_age_s`."""

    def reject_for_memory(self) -> None:
        """Reject the incomplete command."""

    def close_for_memory(self) -> None:
        """Close the connection of a client that does not read its replies."""


def reclaim_memory(holders: Sequence[MemoryHolder], now_s: float, needed_bytes: int) -> None:
    """Reject commands that come slowly and close clients that read nothing, those that hold most first."""
    held: list[tuple[int, bool, MemoryHolder]] = []
    for holder in holders:
        command_bytes = holder.command_memory_held(now_s, MAX_IDLE_HOLD_S)
        unread_bytes = holder.unread_memory_held(now_s, MAX_IDLE_HOLD_S)
        if command_bytes or unread_bytes:
            held.append((command_bytes + unread_bytes, unread_bytes > 0, holder))
    held.sort(key=lambda each: each[0], reverse=True)
    for size_bytes, is_unread, holder in held:
        if needed_bytes <= 0:
            return
        needed_bytes -= size_bytes
        if is_unread:
            holder.close_for_memory()
        else:
            holder.reject_for_memory()
