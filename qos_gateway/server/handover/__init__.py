"""Hands over state from one process of a gateway to the next during an upgrade."""
