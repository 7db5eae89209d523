"""The handover of state from one process of a gateway to the next."""
