"""Networking for both sides: RESP framing, streams of large values, the clock, transient errors."""
