"""Tasks that run beside a scenario."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any


class BackgroundTasks:
    """Keeps references to running tasks, and reports their exceptions to the event loop's handler."""

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._tasks: set[asyncio.Task[Any]] = set()

    def spawn(self, coroutine: Coroutine[Any, Any, Any]) -> None:
        """Start a task."""
        task = self._loop.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._on_done)

    def _on_done(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self._loop.call_exception_handler({"message": "soak task", "exception": task.exception()})
