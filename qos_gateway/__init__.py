"""qos_gateway: which customers' requests a gateway sends on, where, and which it refuses."""

import time

LOADING_STARTED_AT_S = time.monotonic()  # when this program began to be imported
