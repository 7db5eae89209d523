"""Time constants that decisions share, in ns."""

from ...units import SECOND

SHORT_MEMORY_NS = 1 * SECOND  # for frequent samples
LONG_MEMORY_NS = 10 * SECOND  # for rare samples
TICK_INTERVAL_NS = SECOND // 10  # between refits, gossip and checks of open requests
RARE_REPORT_MEMORY_NS = 3 * LONG_MEMORY_NS  # for grants and metered usage, which are reported seldom
