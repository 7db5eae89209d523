"""A client's command in the form in which attempts forward it."""

from __future__ import annotations

from typing import NamedTuple


class RequestCommand(NamedTuple):
    """The command of a request, divided where the deadline of an attempt is inserted."""

    start: tuple[bytes, ...]  # name, customer and request id
    pairs_before_deadline: bytes  # with the comma behind the last of them
    pairs_after_deadline: bytes  # with the comma before the first of them
    body: tuple[bytes, ...]  # the request's value, if it has one
