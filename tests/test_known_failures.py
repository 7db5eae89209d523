"""The list of known failures."""

from __future__ import annotations

from pathlib import Path

import pytest

from tests.support.known_failures import is_listed, missing_parameters, read_known_failures

TESTS = "def test_one() -> None: ...\n\n\ndef test_two() -> None: ...\n"


@pytest.fixture
def path(tmp_path: Path) -> Path:
    """Return the path of a list beside two tests and a case, which is not written yet."""
    (tmp_path / "tests").mkdir()
    (tmp_path / "tests" / "a.py").write_text(TESTS)
    (tmp_path / "review" / "7").mkdir(parents=True)
    (tmp_path / "review" / "7" / "run.sh").touch()
    return tmp_path / "KNOWN-RED.txt"


def test_listed_tests_are_found_with_all_their_cases(path: Path) -> None:
    assert read_known_failures(path) == []
    path.write_text(
        "tests/a.py::test_one; run; a fault; issue 1\n\n"
        "tests/a.py::test_two[x]; run; a fault; issue 2\n"
        "review/7; bash review/7/run.sh; a fault; issue 2\n"
    )
    known = read_known_failures(path)
    assert [failure.issue for failure in known] == ["issue 1", "issue 2", "issue 2"]
    assert is_listed("tests/a.py::test_one", known)
    assert is_listed("tests/a.py::test_one[case]", known)
    assert is_listed("tests/a.py::test_two[x]", known)
    assert not is_listed("tests/a.py::test_two[y]", known)
    assert not is_listed("tests/a.py::test_one_more", known)
    assert missing_parameters(["tests/a.py::test_one"], known) == []
    assert missing_parameters(["tests/a.py::test_two[x]"], known) == []
    assert missing_parameters(["tests/a.py::test_two[y]"], known) == ["tests/a.py::test_two[x]"]


@pytest.mark.parametrize(
    "text",
    [
        "tests/a.py::test_one; run it; a fault",
        "tests/a.py::test_one; run it; ; issue 1",
        "tests/a.py::test_one; run it; a fault; issue 1, issue 2",
        "tests/a.py::test_one; run it; a fault; tests/a.py::test_two: issue 1",
        "tests/a.py::test_on; run it; a fault; issue 1",
        "tests/a.py::test_three; run it; a fault; issue 1",
        "tests/b.py::test_one; run it; a fault; issue 1",
        "review/8; run it; a fault; issue 1",
        "review/7, review/8; run it; a fault; issue 1",
        "tests; run it; a fault; issue 1",
        "tests/a.py::test_one; run it; a fault; issue 1\n" * 2,
    ],
)
def test_entry_that_is_incomplete_or_names_no_single_test_and_issue_is_an_error(
    path: Path, text: str
) -> None:
    path.write_text(text)
    with pytest.raises(ValueError, match="KNOWN-RED"):
        read_known_failures(path)
