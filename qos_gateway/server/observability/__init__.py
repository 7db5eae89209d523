"""Metrics, logs, and run-time checks of invariants."""
