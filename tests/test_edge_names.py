"""The names of the edge: one table in the code, the same on the page, and no name spelled elsewhere."""

from __future__ import annotations

import ast
from functools import cache
from pathlib import Path

import pytest

from qos_gateway import edge_names

ROOT = Path(__file__).parent.parent
PACKAGE = ROOT / "qos_gateway"
EDGE_NAMES = PACKAGE / "edge_names.py"
# Discovery's JSON has a table of its own.
TABLES = {EDGE_NAMES, PACKAGE / "server" / "discovery" / "field_names.py"}
HEADING = "## Names of the edge"
# Tables whose names are no words of the code for anything else.
SPELLED_ONCE = (
    edge_names.EnvironmentVariable,
    edge_names.ConfigKey,
    edge_names.ProcessLimitKey,
    edge_names.SettingsKey,
    edge_names.DiscoveryMode,
    edge_names.SettingsTextKey,
    edge_names.RequestClassKey,
    edge_names.IdempotenceValue,
    edge_names.IdempotencyScopeValue,
    edge_names.PlanKey,
    edge_names.ReportKey,
    edge_names.SettingsLimitKey,
    edge_names.FamilyKey,
    edge_names.RuleKey,
    edge_names.PriceKey,
    edge_names.AdminPath,
    edge_names.CommandName,
    edge_names.EndpointError,
    edge_names.LoadReportName,
    edge_names.SimulatorRecord,
)


def tables() -> list[type]:
    return [each for each in vars(edge_names).values() if isinstance(each, type)]


def rows(table: type) -> dict[str, str]:
    """Return the pages' names by the code's terms."""
    entries = {term: name for term, name in vars(table).items() if term.isupper()}
    return {term: name.decode() if isinstance(name, bytes) else name for term, name in entries.items()}


@cache
def literals(path: Path) -> list[tuple[int, str]]:
    """Return the line and text of each literal, f-strings included, but docstrings and names of slots."""
    tree = ast.parse(path.read_text())
    excluded: set[int] = set()
    for node in ast.walk(tree):
        if isinstance(node, ast.Expr) and isinstance(node.value, ast.Constant):
            excluded.add(id(node.value))
        if isinstance(node, ast.Assign) and ast.unparse(node.targets[0]) == "__slots__":
            excluded |= {id(each) for each in ast.walk(node.value)}
    constants = [n for n in ast.walk(tree) if isinstance(n, ast.Constant) and id(n) not in excluded]
    texts = [(n.lineno, n.value) for n in constants if isinstance(n.value, str | bytes)]
    return [(line, text.decode("latin-1") if isinstance(text, bytes) else text) for line, text in texts]


def test_page_has_the_rows_of_the_tables() -> None:
    section = (ROOT / "docs" / "architecture.md").read_text().split(HEADING)[1].split("\n## ")[0]
    lines = [line for line in section.splitlines() if line.startswith("| `")]
    expected = []
    for table in tables():
        where = (table.__doc__ or "").rstrip(".")
        expected += [f"| `{name}` | {where} | `{term.lower()}` |" for term, name in rows(table).items()]
    assert len(expected) > 80
    assert lines == expected


def test_tables_have_no_logic() -> None:
    for node in ast.parse(EDGE_NAMES.read_text()).body:
        if isinstance(node, ast.ClassDef):
            assert all(isinstance(each, ast.Expr | ast.Assign) for each in node.body), node.name
        else:
            assert isinstance(node, ast.Expr)


@pytest.mark.parametrize("table", tables(), ids=lambda table: table.__name__)
def test_table_gives_each_name_one_term(table: type) -> None:
    names = list(rows(table).values())
    assert names
    assert len(set(names)) == len(names)


@pytest.mark.parametrize("table", SPELLED_ONCE, ids=lambda table: table.__name__)
def test_names_stand_in_no_other_module(table: type) -> None:
    names = set(rows(table).values())
    sources = [path for path in PACKAGE.rglob("*.py") if path not in TABLES]
    assert len(sources) > 100
    found = [
        f"{path.relative_to(ROOT)}:{line}: {text}"
        for path in sources
        for line, text in literals(path)
        if not names.isdisjoint(text.strip(".=").split("."))
    ]
    assert found == []


def test_prefixes_of_the_operators_stand_in_no_other_module() -> None:
    prefixes = ("ROUTER_", "/ops/", edge_names.MetricName.PREFIX)
    sources = [path for path in PACKAGE.rglob("*.py") if path != EDGE_NAMES]
    found = [
        f"{path.relative_to(ROOT)}:{line}: {text}"
        for path in sources
        for line, text in literals(path)
        if any(prefix in text for prefix in prefixes)
    ]
    assert found == []
