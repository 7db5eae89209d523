"""Tasks that run until they end on their own."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any


class BackgroundTasks:
    """Keeps a reference to each running task, as the event loop holds only weak ones.

    An exception of a task goes to the event loop's exception handler.
    """

    def __init__(self) -> None:
        self._running: set[asyncio.Task[None]] = set()

    def spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine as a task."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self._running.add(task)
        task.add_done_callback(self._on_done)

    def _on_done(self, task: asyncio.Task[None]) -> None:
        self._running.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            task.get_loop().call_exception_handler({"message": "soak task", "exception": error})
