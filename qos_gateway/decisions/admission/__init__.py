"""Admission control: per-customer caps on requests in flight, load shedding, and the order of the checks."""
