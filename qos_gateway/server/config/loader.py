"""Loading the configuration: its file is read, checked, and parsed to the typed configuration."""

from __future__ import annotations

from collections.abc import Mapping

from ...edge_names import EnvironmentVariable
from .environment import config_path, without_discovery
from .json_file import read_object
from .parser import parse
from .types import Config


def load(environment: Mapping[str, str]) -> Config:
    """Return the configuration in the file that the environment names; its variables override the file.

    Raises `ConfigError` where the file or a value in it cannot be used.
    """
    return parse(read_object(config_path(environment), EnvironmentVariable.CONFIG_PATH), environment)


def reload(environment: Mapping[str, str]) -> Config:
    """Return the current configuration, with discovery's address from the file.

    The environment dates from the start of the process; discovery may move later. Raises `ConfigError`.
    """
    return load(without_discovery(environment))
