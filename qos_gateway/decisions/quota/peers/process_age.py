"""The age of this process, which its messages carry; a much older peer shows that this gateway restarted."""

from __future__ import annotations

from ....units import SECOND

RESTART_MARGIN_NS = 1 * SECOND  # minimum age difference that shows a restart; a fleet takes a while to start


class ProcessAge:
    """When this process started (ns), and whether that was a restart."""

    def __init__(self, started_at: int) -> None:
        self.started_at = started_at
        self.restarted = False  # whether a peer was found to be older

    def tenths(self, now: int) -> int:
        """Return the age of this process, in tenths of a second."""
        return (now - self.started_at) * 10 // SECOND

    def is_older(self, now: int, peer_age_tenths: int) -> bool:
        """Return whether a peer is older, so that its totals include usage from before the restart."""
        return peer_age_tenths * SECOND // 10 > now - self.started_at + RESTART_MARGIN_NS

    def record_restart(self) -> bool:
        """Record that this gateway was restarted; return whether it was not yet known."""
        is_new = not self.restarted
        self.restarted = True
        return is_new
