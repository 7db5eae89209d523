"""The client side of the gateway, a RESP server: connections, commands, and their replies."""

from __future__ import annotations

import logging

from ..observability.logs import RateLimitFilter

log = logging.getLogger(__name__)  # shared by the modules that log faults of clients: one limit for all
log.addFilter(RateLimitFilter())
