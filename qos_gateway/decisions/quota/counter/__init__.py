"""The protocol of the shared counter: keys, totals, calls and readings."""
