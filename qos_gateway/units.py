"""Units of time. All times are integer nanoseconds unless a name says otherwise."""

MILLISECOND = 1_000_000
SECOND = 1_000_000_000
