"""Reading the configuration's file."""

from __future__ import annotations

import json

from ..networking.transient_errors import is_transient
from .errors import ConfigError, ConfigUnreadableError
from .json_values import JsonObject


def read_object(path: str, source: str) -> JsonObject:
    """Return the JSON object in a file; raises `ConfigError`, with `source` as the name of the setting."""
    try:
        with open(path, "rb") as file:  # noqa: PTH123 - nothing else loads pathlib
            raw = json.loads(file.read())
    except OSError as error:
        raise ConfigUnreadableError(f"{source}: {error}", is_transient(error)) from None
    except ValueError as error:
        raise ConfigUnreadableError(f"{source}: {error}", is_transient=False) from None
    if not isinstance(raw, dict):
        raise ConfigError(f"{source}: not a JSON object")
    return raw
