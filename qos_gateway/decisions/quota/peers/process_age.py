"""The age of this process, which its messages carry: an older peer shows that this gateway was restarted."""

from __future__ import annotations

from ....units import SECOND

RESTART_MARGIN_NS = 1 * SECOND  # by which an older peer shows a restart: a fleet does not start at once


class ProcessAge:
    """When this process started, and whether its peers are older."""

    def __init__(self, started_at: int) -> None:
        self.started_at = started_at  # in ns
        self.restarted = False  # whether this process was started later than its peers

    def tenths(self, now: int) -> int:
        """Return the tenths of a second for which this process has been running."""
        return (now - self.started_at) * 10 // SECOND

    def is_older(self, now: int, peer_age_tenths: int) -> bool:
        """Return whether a peer is older, so that its totals include those from before the restart."""
        return peer_age_tenths * SECOND // 10 > now - self.started_at + RESTART_MARGIN_NS

    def record_restart(self) -> bool:
        """Record that this gateway was restarted; return whether that is new."""
        is_new = not self.restarted
        self.restarted = True
        return is_new
