"""Checked access to the values of the configuration's JSON object."""

from __future__ import annotations

from typing import Any, TypeAlias, cast

from ...edge_names import RequestClassKey
from .errors import ConfigError

JsonObject: TypeAlias = dict[str, Any]
"""A JSON object whose values have not been checked."""


class JsonSection:
    """An object of the configuration; each look-up raises `ConfigError` with the key if it fails."""

    def __init__(self, values: JsonObject, prefix: str = "") -> None:
        """Take the keys that lead to this object as `prefix`, each followed by a dot."""
        self.values = values
        self._prefix = prefix

    def section(self, key: str) -> JsonSection:
        """Return the object under this key."""
        return JsonSection(cast(JsonObject, self._checked(key, dict)), f"{self._prefix}{key}.")

    def whole_number(self, key: str) -> int:
        """Return the number under this key, rounded towards zero."""
        try:
            return int(cast(float, self._checked(key, (int, float))))
        except (ValueError, OverflowError):  # NaN and Infinity, which Python's parser accepts
            raise ConfigError(f"{self._prefix}{key}: not a whole number") from None

    def strings(self, key: str) -> tuple[str, ...]:
        """Return the items of the list under this key."""
        return tuple(str(item) for item in self._list(key))

    def item_names(self, key: str) -> tuple[bytes, ...]:
        """Return the names of the objects in the list under this key, as in the clients' commands."""
        return tuple(str(item.get(RequestClassKey.NAME)).encode() for item in self._list(key))

    def _list(self, key: str) -> list[Any]:
        return cast(list[Any], self._checked(key, list))

    def _checked(self, key: str, kind: type | tuple[type, ...]) -> object:
        value = self.values.get(key)
        if not isinstance(value, kind) or isinstance(value, bool):  # a bool is an int to Python
            raise ConfigError(f"{self._prefix}{key}: missing or of the wrong type")
        return value
