"""Connections to the endpoints: pools, the attempts that run on them, and the responses."""
