"""The record of a case: what was sent, answered and run, in the order in which it was seen."""

from __future__ import annotations

import time
from pathlib import Path


class Record:
    """Lines of a case's `record.txt`, each with the seconds since the start of the case."""

    def __init__(self, path: Path) -> None:
        self._began_at = time.monotonic()
        self._file = path.open("w")

    def now(self) -> float:
        """Return the seconds since the start of the case."""
        return time.monotonic() - self._began_at

    def note(self, text: str) -> None:
        """Write a line."""
        self._file.write(f"{self.now():9.4f} {text}\n")

    def say(self, text: str) -> None:
        """Write a line, and print it."""
        self.note(text)
        print(text, flush=True)

    def close(self) -> None:
        """Close the file."""
        self._file.close()
