"""Time constants of the means on which decisions rest."""

from ...units import SECOND

SHORT_MEMORY_NS = 1 * SECOND  # a few dozen responses at usual rates
LONG_MEMORY_NS = 10 * SECOND  # for what happens seldom
TICK_INTERVAL_NS = SECOND // 10  # between refits, gossip and checks of open requests
RARE_REPORT_MEMORY_NS = 3 * LONG_MEMORY_NS  # for grants and metered usage, which are reported seldom
