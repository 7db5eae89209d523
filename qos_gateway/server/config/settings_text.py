"""Nested settings as the text of the simulator's start message."""

from __future__ import annotations

from collections.abc import Iterator

from ...edge_names import SettingsTextKey


def flatten(value: object, path: str = "") -> Iterator[str]:
    """Yield nested settings as the `path=value` lines of the simulator's start message."""
    if isinstance(value, dict):
        for key, inner in value.items():
            yield from flatten(inner, f"{path}.{key}" if path else str(key))
    elif isinstance(value, list):
        yield from _flatten_list(value, path)
    elif value is not None:
        yield f"{path}={_plain_text(value)}"


def _flatten_list(items: list[object], path: str) -> Iterator[str]:
    if not any(isinstance(item, dict) for item in items):
        yield f"{path}={','.join(_plain_text(item) for item in items)}"
        return
    yield f"{path}.{SettingsTextKey.LIST_LENGTH}={len(items)}"
    for number, item in enumerate(items):
        yield from flatten(item, f"{path}.{number}")


def _plain_text(value: object) -> str:
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, str):
        # Separators inside a value would be parsed as structure; the start message replaces them as well.
        return value.replace(",", "_").replace(" ", "_")
    return str(value)
