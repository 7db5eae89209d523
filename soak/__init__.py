"""A soak test: real gateways on loopback under overlapping faults, checked from outside."""
