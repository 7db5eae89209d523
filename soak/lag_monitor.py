"""Measurement of the soak's own delays."""

from __future__ import annotations

import asyncio
import time

from soak.observations import Lag, Record

CHECK_INTERVAL_S = 0.01
MIN_LAG_S = 0.02  # the slack of the checks covers less


async def record_lags(record: Record) -> None:
    """Record the delays of the event loop, until cancelled."""
    loop = asyncio.get_running_loop()
    while True:
        due_at = loop.time() + CHECK_INTERVAL_S
        await asyncio.sleep(CHECK_INTERVAL_S)
        lag_s = time.monotonic() - due_at
        if lag_s > MIN_LAG_S:
            record.lags.append(Lag(at=loop.time(), seconds=lag_s))
