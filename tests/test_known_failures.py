"""The list of known failures."""

from __future__ import annotations

from pathlib import Path

import pytest

from tests.support.known_failures import is_listed, read_known_failures


def test_listed_tests_are_found_with_all_their_cases(tmp_path: Path) -> None:
    path = tmp_path / "KNOWN-RED.txt"
    assert read_known_failures(path) == []
    path.write_text(
        "tests/a.py::test_one; run; a fault; issue 1\n\ntests/a.py::test_two[x]; run; a fault; issue 2\n"
    )
    known = read_known_failures(path)
    assert [failure.issue for failure in known] == ["issue 1", "issue 2"]
    assert is_listed("tests/a.py::test_one", known)
    assert is_listed("tests/a.py::test_one[case]", known)
    assert is_listed("tests/a.py::test_two[x]", known)
    assert not is_listed("tests/a.py::test_two[y]", known)
    assert not is_listed("tests/a.py::test_one_more", known)


@pytest.mark.parametrize("text", ["tests/a.py::test_one; run it; a fault", "a; b; c; d\n" * 4, "a; b; ; d"])
def test_incomplete_or_long_list_is_an_error(tmp_path: Path, text: str) -> None:
    path = tmp_path / "KNOWN-RED.txt"
    path.write_text(text)
    with pytest.raises(ValueError, match="KNOWN-RED"):
        read_known_failures(path)
