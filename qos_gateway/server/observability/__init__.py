"""Metrics, logs, and the reporting of violated invariants."""
