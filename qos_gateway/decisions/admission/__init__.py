"""Admission control: customers' caps on requests in flight, load shedding, and the order of all checks."""
