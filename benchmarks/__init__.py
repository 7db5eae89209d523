"""Benchmarks of what grows with the size of the fleet; docs/CAPACITY.md holds their results."""
