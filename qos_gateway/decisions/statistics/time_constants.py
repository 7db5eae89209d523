"""Time constants of the means on which decisions rest."""

from ...units import SECOND

SHORT_MEMORY = 1 * SECOND  # a few dozen responses at usual rates
LONG_MEMORY = 10 * SECOND  # for what happens seldom
