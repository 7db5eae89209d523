"""What other gateways reported about themselves and about customers' usage."""

from __future__ import annotations

from dataclasses import dataclass

# Growth of a 16-bit total, in quarter units, from which on it must have gone back instead.
RESTARTED_GROWTH = 0x8000


@dataclass(frozen=True, slots=True)
class PeerStatus:
    """The last message of another gateway."""

    incarnation: int  # changes when the gateway restarts
    received_at: int  # in ns
    age_tenths: int  # tenths of a second that the gateway had been running


def spent_since(total: int, previous: int | None) -> float | None:
    """Return the units by which a peer's running total grew, over a wrap-around at 16 bits too.

    None where the total can't be compared: none was known, or the peer began to count anew.
    """
    if previous is None:
        return None
    growth = (total - previous) & 0xFFFF
    return None if growth >= RESTARTED_GROWTH else growth / 4
