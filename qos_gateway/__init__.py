"""qos_gateway: which customers' requests a gateway sends on, where, and which it refuses."""

import time

BEGUN = time.monotonic()  # s: when this program began to be read
