"""Structural rules for the source: file and line lengths, imports, constants and documentation."""

from __future__ import annotations

import ast
import tomllib
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
PACKAGE = ROOT / "qos_gateway"
DECISIONS = PACKAGE / "decisions"
# Adapters execute decisions and may import them. All other modules are foundations of the decisions.
ADAPTERS = (PACKAGE / "server", PACKAGE / "simulator", PACKAGE / "__main__.py")
BASE_LAYERS = {"statistics", "snapshot"}
COMPONENT_LAYERS = {*BASE_LAYERS, "congestion", "load_balancing", "quota"}
# What each top-level package or module of the decisions may import from the others.
ALLOWED_IMPORTS: dict[str, set[str]] = {
    "__init__": set(),
    "statistics": set(),
    "snapshot": {"statistics"},
    "snapshot_format": {"snapshot"},
    "congestion": {"statistics"},
    "load_balancing": BASE_LAYERS,
    "quota": BASE_LAYERS,
    "requests": COMPONENT_LAYERS,
    "admission": {*COMPONENT_LAYERS, "requests"},
    "engine": {*COMPONENT_LAYERS, "requests", "admission"},
    "handover": {"engine", "snapshot"},
}
# Constants that define units and are not tuned.
UNIT_CONSTANTS = {"units.py": {"MILLISECOND", "SECOND"}}
# Standard library modules that decisions may import: no I/O, clock, threads or processes.
PURE_MODULES = {
    "__future__",
    "bisect",
    "collections",
    "dataclasses",
    "enum",
    "functools",
    "itertools",
    "math",
    "random",
    "struct",
    "typing",
}


def policy_files() -> list[str]:
    files: list[str] = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["policy"]
    return files


def foundations() -> list[Path]:
    """Return the modules outside the decisions and their adapters."""
    adapters = [path for adapter in ADAPTERS for path in [adapter, *adapter.rglob("*.py")]]
    return [p for p in PACKAGE.rglob("*.py") if p not in adapters and not p.is_relative_to(DECISIONS)]


def test_decision_files_have_at_most_650_lines() -> None:
    policy = policy_files()
    lines = [sum(bool(line.strip()) for line in (ROOT / name).read_text().splitlines()) for name in policy]
    assert len(lines) > 1
    assert min(lines) > 0
    assert max(lines) <= 650


def test_policy_lists_every_decision_file() -> None:
    assert sorted(policy_files()) == sorted(p.relative_to(ROOT).as_posix() for p in DECISIONS.rglob("*.py"))


def decision_files() -> list[Path]:
    return sorted(DECISIONS.rglob("*.py"))


def imported_modules(path: Path) -> set[str]:
    """Return the absolute names of the imported modules, and of the names imported from them."""
    package = path.relative_to(ROOT).parent.parts
    found = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            found |= {alias.name for alias in node.names}
        if isinstance(node, ast.ImportFrom):
            base = list(package[: len(package) - node.level + 1]) if node.level else []
            module = ".".join([*base, *([node.module] if node.module else [])])
            found |= {f"{module}.{alias.name}" for alias in node.names}
    return found


@pytest.mark.parametrize("path", foundations(), ids=lambda path: path.relative_to(PACKAGE).as_posix())
def test_foundations_import_no_decisions_and_no_adapters(path: Path) -> None:
    forbidden = ("qos_gateway.decisions", "qos_gateway.server", "qos_gateway.simulator")
    assert [name for name in imported_modules(path) if name.startswith(forbidden)] == []


@pytest.mark.parametrize("path", decision_files(), ids=lambda path: path.relative_to(PACKAGE).as_posix())
def test_decisions_import_no_io_no_clock_and_no_adapters(path: Path) -> None:
    imported = imported_modules(path)
    own = ("qos_gateway.decisions", "qos_gateway.types", "qos_gateway.units")
    inside = {name for name in imported if name.startswith("qos_gateway")}
    assert [name for name in inside if not name.startswith(own)] == []
    assert {name.split(".")[0] for name in imported - inside} - PURE_MODULES == set()


def imports_from_decisions(path: Path) -> set[str]:
    """Return the top-level packages and modules of the decisions that a module imports from."""
    prefix = "qos_gateway.decisions"
    names = [name for name in imported_modules(path) if f"{name}.".startswith(f"{prefix}.")]
    return {name.removeprefix(prefix).lstrip(".").partition(".")[0] for name in names}


@pytest.mark.parametrize("path", decision_files(), ids=lambda path: path.relative_to(PACKAGE).as_posix())
def test_decisions_import_only_the_layers_below_them(path: Path) -> None:
    layer = path.relative_to(DECISIONS).parts[0].removesuffix(".py")
    assert imports_from_decisions(path) - {layer} <= ALLOWED_IMPORTS[layer]


def numeric_constants(path: Path) -> set[str]:
    """Return the names that a module or class binds to a number or an expression of numbers only."""
    found = set()
    for scope in ast.walk(ast.parse(path.read_text())):
        if not isinstance(scope, ast.Module | ast.ClassDef):
            continue
        for node in scope.body:
            if not isinstance(node, ast.Assign | ast.AnnAssign) or node.value is None:
                continue
            targets = node.targets if isinstance(node, ast.Assign) else [node.target]
            numbers = [n for n in ast.walk(node.value) if isinstance(n, ast.Constant)]
            calls = any(isinstance(n, ast.Call) for n in ast.walk(node.value))
            if any(isinstance(n.value, int | float) and n.value for n in numbers) and not calls:
                found |= {t.id for t in targets if isinstance(t, ast.Name) and t.id.isupper()}
    return found


@pytest.mark.parametrize("path", foundations(), ids=lambda path: path.relative_to(PACKAGE).as_posix())
def test_foundations_have_no_tuned_constants(path: Path) -> None:
    files_with_enums = {"types/events.py"}
    allowed = UNIT_CONSTANTS.get(path.name, set())
    found = numeric_constants(path) - allowed
    if path.relative_to(PACKAGE).as_posix() in files_with_enums:
        found -= enum_members(path)
    assert found == set()


def enum_members(path: Path) -> set[str]:
    found = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.ClassDef) and any(
            isinstance(b, ast.Name) and "Enum" in b.id for b in node.bases
        ):
            found |= {
                t.id
                for n in node.body
                if isinstance(n, ast.Assign)
                for t in n.targets
                if isinstance(t, ast.Name)
            }
    return found


def test_no_line_is_longer_than_110_characters() -> None:
    sources = [*ROOT.glob("qos_gateway/**/*.py"), *ROOT.glob("tests/**/*.py"), *ROOT.glob("benchmarks/*.py")]
    assert len(sources) > 5
    assert [p.name for p in sources for line in p.read_text().splitlines() if len(line) > 110] == []


def test_engine_docstring_names_its_interface() -> None:
    assert "`types`" in (DECISIONS / "engine.py").read_text()[:400]


def test_every_module_is_listed_on_the_architecture_page() -> None:
    page = (ROOT / "docs" / "architecture.md").read_text()
    modules = [p.relative_to(PACKAGE).as_posix() for p in PACKAGE.rglob("*.py") if p.name != "__init__.py"]
    assert [module for module in modules if f"`{module}`" not in page] == []
