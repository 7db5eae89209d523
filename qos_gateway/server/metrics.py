"""What the gateway reports of itself: counts since the process began, and how things stand now."""

from __future__ import annotations

import re
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

PREFIX = "edge_router"
_APART = re.compile(r"[^0-9A-Za-z_-]")  # would be read as structure inside a figure's name


class Ended(Enum):
    """How a request ended: served, refused or failed."""

    PASSED = "passed"
    DROPPED = "dropped"
    FAILED = "bad_gateway"


class Figures:
    """Each request is counted once, where its answer is given; each attempt once it is written whole."""

    def __init__(self, classes: Iterable[bytes]) -> None:
        self.classes = tuple(_APART.sub("_", name.decode()) for name in classes)
        self.ended = [dict.fromkeys(Ended, 0) for _ in self.classes]
        self.tries = 0

    def end(self, cls: int, how: Ended) -> None:
        self.ended[cls][how] += 1


@dataclass(frozen=True, slots=True)
class Standing:
    """How things stand at the time of the call."""

    in_progress: int
    known: int
    skipped: int


def render(figures: Figures, standing: Standing) -> bytes:
    """The figures as lines of `name:value|kind`."""
    lines = [
        f"{PREFIX}.handled.{name}.{how.value}:{n}|c"
        for name, ends in zip(figures.classes, figures.ended, strict=True)
        for how, n in ends.items()
    ]
    lines.append(f"{PREFIX}.upstream_tries:{figures.tries}|c")
    lines += [
        f"{PREFIX}.in_progress:{standing.in_progress}|g",
        f"{PREFIX}.known_order_servers:{standing.known}|g",
        f"{PREFIX}.skipped_order_servers:{standing.skipped}|g",
    ]
    return "\n".join([*lines, ""]).encode()
