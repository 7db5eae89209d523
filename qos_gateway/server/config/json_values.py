"""The JSON form of the configuration: reading the file, checked access to its values, nested settings."""

from __future__ import annotations

import json
from collections.abc import Iterator
from pathlib import Path
from typing import Any, TypeAlias, cast

from ..networking.transient_errors import is_transient

JsonObject: TypeAlias = dict[str, Any]
"""A JSON object whose values have not been checked."""


class ConfigError(ValueError):
    """Report a configuration that the gateway cannot start with; the text says what is wrong."""


class ConfigUnreadableError(ConfigError):
    """Report a file that cannot be read, or is no JSON: it may be being written just now."""

    def __init__(self, text: str, is_transient: bool) -> None:
        """Take whether the file may be read soon with nothing changed by anyone."""
        super().__init__(text)
        self.is_transient = is_transient


class JsonSection:
    """An object of the configuration whose look-ups name the key when they fail."""

    def __init__(self, values: JsonObject, prefix: str = "") -> None:
        """Take the keys that lead to this object as `prefix`, each with a dot behind it."""
        self.values = values
        self._prefix = prefix

    def section(self, key: str) -> JsonSection:
        """Return the object under this key."""
        return JsonSection(cast(JsonObject, self._checked(key, dict)), f"{self._prefix}{key}.")

    def whole_number(self, key: str) -> int:
        """Return the number under this key, rounded towards zero."""
        try:
            return int(cast(float, self._checked(key, (int, float))))
        except (ValueError, OverflowError):  # NaN and Infinity, which JSON has as Python reads it
            raise ConfigError(f"{self._prefix}{key}: not a whole number") from None

    def strings(self, key: str) -> tuple[str, ...]:
        """Return the items of the list under this key."""
        return tuple(str(item) for item in self._list(key))

    def item_names(self, key: str) -> tuple[bytes, ...]:
        """Return the names of the objects in the list under this key, as clients send them."""
        return tuple(str(item.get("name")).encode() for item in self._list(key))

    def _list(self, key: str) -> list[Any]:
        return cast(list[Any], self._checked(key, list))

    def _checked(self, key: str, kind: type | tuple[type, ...]) -> object:
        value = self.values.get(key)
        if not isinstance(value, kind) or isinstance(value, bool):  # a bool is an int to Python
            raise ConfigError(f"{self._prefix}{key}: missing or of the wrong type")
        return value


def read_object(path: str, source: str) -> JsonObject:
    """Return the JSON object in a file; raises `ConfigError`, with `source` as what named the file."""
    try:
        raw = json.loads(Path(path).read_bytes())
    except OSError as error:
        raise ConfigUnreadableError(f"{source}: {error}", is_transient(error)) from None
    except ValueError as error:
        raise ConfigUnreadableError(f"{source}: {error}", is_transient=False) from None
    if not isinstance(raw, dict):
        raise ConfigError(f"{source}: not a JSON object")
    return raw


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
    yield f"{path}.count={len(items)}"
    for number, item in enumerate(items):
        yield from flatten(item, f"{path}.{number}")


def _plain_text(value: object) -> str:
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, str):
        # Separators inside a value would be read as structure; the start message replaces them likewise.
        return value.replace(",", "_").replace(" ", "_")
    return str(value)
