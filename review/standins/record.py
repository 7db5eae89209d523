"""What a case has seen, with times in seconds since its start."""

from __future__ import annotations

import time
from pathlib import Path


class Record:
    """Collects lines for `record.txt`."""

    def __init__(self) -> None:
        self._started_at = time.monotonic()
        self._lines: list[str] = []

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self._started_at

    def add(self, who: str, what: str) -> None:
        """Add a line with the time, who did or saw it, and what it was."""
        self._lines.append(f"{self.now():9.4f}  {who:<18} {what}")

    def write(self, path: Path) -> None:
        """Write all lines to a file."""
        path.write_text("\n".join(self._lines) + "\n")
