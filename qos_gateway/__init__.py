"""Request gateway that decides which customers' requests go on to a shared service, where, and which not."""

import time

LOADING_STARTED_AT_S = time.monotonic()  # taken first, so that the time of the imports is in the start-up log
