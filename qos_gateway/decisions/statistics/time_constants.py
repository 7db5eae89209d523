"""Time constants and intervals shared by the decision modules, in ns."""

from ...units import SECOND

SHORT_TIME_CONSTANT_NS = 1 * SECOND  # for means of frequent samples
LONG_TIME_CONSTANT_NS = 10 * SECOND  # for means of rare samples
TICK_INTERVAL_NS = SECOND // 10  # interval of model fits, gossip and checks of open requests
RARE_REPORT_TIME_CONSTANT_NS = 3 * LONG_TIME_CONSTANT_NS  # for grants and metered usage: reported rarely
