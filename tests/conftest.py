"""Known failures: the tests that KNOWN-RED.txt lists are left out of a run, and named at its end."""

from __future__ import annotations

from pathlib import Path

import pytest

from tests.support.known_failures import (
    KnownFailure,
    is_listed,
    missing_parameters,
    read_known_failures,
)

LIST_PATH = Path(__file__).parent.parent / "KNOWN-RED.txt"
RUN_OPTION = "--run-known-red"
KNOWN_FAILURES = pytest.StashKey[list[KnownFailure]]()


def pytest_addoption(parser: pytest.Parser) -> None:
    parser.addoption(RUN_OPTION, action="store_true", help="run the tests in KNOWN-RED.txt, too")


def pytest_configure(config: pytest.Config) -> None:
    config.stash[KNOWN_FAILURES] = read_known_failures(LIST_PATH)


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    known = config.stash[KNOWN_FAILURES]
    missing = missing_parameters((item.nodeid for item in items), known)
    if missing:
        raise pytest.UsageError(f"{LIST_PATH.name}: no such test: {', '.join(missing)}")
    if config.getoption(RUN_OPTION) or not known:
        return
    left_out = [item for item in items if is_listed(item.nodeid, known)]
    items[:] = [item for item in items if not is_listed(item.nodeid, known)]
    config.hook.pytest_deselected(items=left_out)


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter, config: pytest.Config) -> None:
    for failure in config.stash[KNOWN_FAILURES]:
        terminalreporter.write_line(
            f"KNOWN RED: {failure.test}: {failure.observation} ({failure.command}; {failure.issue})"
        )
