"""Fault injection: one module for the faults of each part of the world around and in the gateways."""
