"""Networking for clients and endpoints: RESP framing, streaming of large values, clock, transient errors."""
