"""Shared counter: keys, encoding of totals, pending calls and readings."""
