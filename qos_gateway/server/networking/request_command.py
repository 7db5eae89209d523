"""A client's command, split so that each attempt can insert its own deadline."""

from __future__ import annotations

from typing import NamedTuple


class RequestCommand(NamedTuple):
    """The command of a request, split at the position of the deadline field `d`."""

    start: tuple[bytes, ...]  # name, customer and request id
    pairs_before_deadline: bytes  # ends in a comma unless empty
    pairs_after_deadline: bytes  # starts with a comma unless empty
    body: tuple[bytes, ...]  # the request's value; empty if it has none
