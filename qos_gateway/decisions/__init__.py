"""Decision engine of the gateway, without I/O or clock access. The deploy file lists it as `policy`."""
