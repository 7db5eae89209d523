"""No circle of imports in the package, between modules or between packages, type checking included."""

from __future__ import annotations

import ast
from graphlib import CycleError, TopologicalSorter
from pathlib import Path

ROOT = Path(__file__).parent.parent
PACKAGE_NAME = "qos_gateway"


def module_name(path: Path) -> str:
    return ".".join(path.relative_to(ROOT).with_suffix("").parts).removesuffix(".__init__")


PATHS = {module_name(path): path for path in (ROOT / PACKAGE_NAME).rglob("*.py")}


def imports(module: str) -> set[str]:
    """The modules of the package that a module imports anywhere in its text."""
    path = PATHS[module]
    package = path.relative_to(ROOT).parent.parts
    found = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            found |= {alias.name for alias in node.names}
        if isinstance(node, ast.ImportFrom):
            base = package[: len(package) - node.level + 1] if node.level else ()
            source = ".".join([*base, *([node.module] if node.module else [])])
            submodules = {f"{source}.{alias.name}" for alias in node.names} & PATHS.keys()
            found |= submodules or {source}
    return (found & PATHS.keys()) - {module}


def cycle_in(graph: dict[str, set[str]]) -> list[str]:
    """Return the first circle of a graph, an empty list if there is none."""
    try:
        TopologicalSorter(graph).prepare()
    except CycleError as error:
        circle: list[str] = error.args[1]
        return circle
    return []


def test_modules_import_each_other_in_no_circle() -> None:
    graph = {module: imports(module) for module in PATHS}
    assert sum(map(len, graph.values())) > 300
    assert cycle_in(graph) == []


def test_packages_of_the_server_import_each_other_in_no_circle() -> None:
    def package(module: str) -> str:
        return ".".join(module.split(".")[:3])

    graph: dict[str, set[str]] = {}
    for module in PATHS:
        if module.startswith(f"{PACKAGE_NAME}.server."):
            needed = {package(each) for each in imports(module) if each.startswith(f"{PACKAGE_NAME}.server.")}
            graph.setdefault(package(module), set()).update(needed - {package(module)})
    assert len(graph) > 10
    assert cycle_in(graph) == []
    assert f"{PACKAGE_NAME}.server.wiring" in graph
