"""Running totals of the units that a customer spends at this gateway and at its peers."""

from __future__ import annotations

from dataclasses import dataclass, field

GOSSIP_REPEATS = 3  # messages that carry a changed total, as messages may be lost
RESTART_THRESHOLD_QUARTER_UNITS = 0x8000  # apparent growth of a 16-bit total that means a restart


def spent_since(total: int, previous: int | None) -> float | None:
    """Return the units by which a peer's running total grew, modulo 65,536 quarter units.

    None if the growth is unknown: there is no previous total, or the peer has restarted its count.
    """
    if previous is None:
        return None
    growth = (total - previous) & 0xFFFF
    return None if growth >= RESTART_THRESHOLD_QUARTER_UNITS else growth / 4


@dataclass(slots=True)
class PeerTotals:
    """One customer's running totals, in quarter units."""

    peers: tuple[int, ...] = ()  # positions of the other gateways that serve the customer
    spent_quarter_units: int = 0  # spent within the quota since this gateway started
    pending_messages: int = 0  # messages that still have to carry the running total
    totals: dict[int, int] = field(default_factory=dict)  # last running total, by peer

    def set_peers(self, peers: tuple[int, ...]) -> None:
        """Set the positions of the other gateways that serve the customer."""
        self.peers = peers

    def record_spent(self, units: float) -> None:
        """Add units that were spent here, without announcing the total."""
        self.spent_quarter_units += round(4 * units)

    def announce_spent(self, units: float) -> None:
        """Add units that were spent here, and announce the total in the next `GOSSIP_REPEATS` messages."""
        self.pending_messages = GOSSIP_REPEATS
        self.spent_quarter_units += round(4 * units)

    def message_sent(self) -> None:
        """Record that a message has carried the running total."""
        self.pending_messages -= 1

    def record_peer_total(self, peer: int, total: int, continues: bool) -> float | None:
        """Record a peer's total and return the units spent since its last one, as `spent_since` does.

        Unless the total `continues` the peer's earlier ones, there is none to compare it with.
        """
        spent = spent_since(total, self.totals.get(peer) if continues else None)
        self.totals[peer] = total
        return spent

    def forget(self, peer: int) -> None:
        """Drop the total of a peer."""
        self.totals.pop(peer, None)
