"""Interprets an endpoint's response: outcome, value and load report."""

from __future__ import annotations

import re
from collections.abc import Iterable
from typing import NamedTuple

import hiredis

from ...edge_names import EndpointError
from ...types import Outcome

# Numbers in the protocol are unsigned and finite; float() would accept others.
_match_number = re.compile(rb"[0-9]{1,20}(?:\.[0-9]{1,20})?(?:[eE][+-]?[0-9]{1,2})?").fullmatch
_OUTCOMES_OF_ERRORS = (
    (EndpointError.FAILED, Outcome.ERROR),
    (EndpointError.OVERLOADED, Outcome.OVERLOADED),
)

LoadReport = dict[str, float]


class AttemptResult(NamedTuple):
    """The outcome of an attempt, the value if it succeeded, and the numbers the endpoint reported."""

    outcome: Outcome
    value: bytes | None
    load_report: LoadReport

    @classmethod
    def without_response(cls, outcome: Outcome) -> AttemptResult:
        """Return the result of an attempt without a complete response."""
        return cls(outcome, None, {})


class MalformedResponseError(ValueError):
    """A response that violates the protocol; its request may have been executed."""


def read_load_report(text: bytes) -> LoadReport:
    """Parse `name=number,...`; return an empty report if any pair is malformed."""
    report: LoadReport = {}
    for pair in text.split(b","):
        name, _, number = pair.partition(b"=")
        if not (name.isascii() and _match_number(number)):
            return {}
        report[name.decode()] = float(number)
    return report


def read_response(response: object) -> AttemptResult:
    """Convert a complete response, as returned by the RESP parser, to a result.

    Malformed reports are ignored. Raises MalformedResponseError if the value or the error is malformed.
    """
    if isinstance(response, list) and isinstance(response[0], bytes):
        return AttemptResult(Outcome.OK, response[0], _merge_reports(response[1:]))
    if isinstance(response, hiredis.ReplyError):
        line = str(response)
        for error, outcome in _OUTCOMES_OF_ERRORS:
            if line == error:
                return AttemptResult(outcome, None, {})
            if line.startswith(error + " "):
                reports = line[len(error) + 1 :].encode().split(b" ")
                return AttemptResult(outcome, None, _merge_reports(reports))
    raise MalformedResponseError(f"{response!r:.80}")


def read_probe_response(response: object) -> AttemptResult:
    """Convert the response to a probe: a load report, or an error as for a request."""
    if isinstance(response, bytes):
        return AttemptResult(Outcome.OK, None, read_load_report(response))
    return read_response(response)


def _merge_reports(texts: Iterable[object]) -> LoadReport:
    """Merge quota usage and load report; elements other than byte strings are ignored."""
    merged: LoadReport = {}
    for text in texts:
        if isinstance(text, bytes):
            merged.update(read_load_report(text))
    return merged
