"""The client-facing side of the gateway, a RESP server: connections, commands and replies."""

from __future__ import annotations

import logging

from ..observability.logs import RateLimitFilter

# Shared by the modules that log client errors, so that one rate limit covers them all.
log = logging.getLogger(__name__)
log.addFilter(RateLimitFilter())
