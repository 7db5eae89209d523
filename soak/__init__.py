"""A soak test: real gateways on loopback under overlapping faults, judged by what clients and servers saw."""
