"""The environment variables of the configuration, which override the values of its file."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from ...edge_names import EnvironmentVariable
from .errors import ConfigError

MAX_DESCRIPTOR_DIGITS = 5  # of a descriptor's number: bounds what is converted


@dataclass(frozen=True, slots=True, kw_only=True)
class EnvironmentOverrides:
    """The variables' values, unchecked; None or empty for a variable that is not set."""

    name: str | None
    listen: str | None
    discovery: str | None
    admin: str | None
    inherited_descriptor: str | None
    shared_folder: str | None

    @classmethod
    def read(cls, environment: Mapping[str, str]) -> EnvironmentOverrides:
        """Read the variables from the environment without checking them."""
        return cls(
            name=environment.get(EnvironmentVariable.NAME),
            listen=environment.get(EnvironmentVariable.LISTEN),
            discovery=environment.get(EnvironmentVariable.DISCOVERY),
            admin=environment.get(EnvironmentVariable.ADMIN),
            inherited_descriptor=environment.get(EnvironmentVariable.INHERITED_DESCRIPTOR),
            shared_folder=environment.get(EnvironmentVariable.SHARED_FOLDER),
        )

    def parse_inherited_descriptor(self) -> int | None:
        """Return the inherited listening socket's descriptor, or None; raises `ConfigError` if invalid."""
        text = self.inherited_descriptor
        if not text:
            return None
        if not (text.isascii() and text.isdigit() and len(text) <= MAX_DESCRIPTOR_DIGITS):
            raise ConfigError(f"{EnvironmentVariable.INHERITED_DESCRIPTOR}: {text!r} is no descriptor")
        return int(text)


def config_path(environment: Mapping[str, str]) -> str:
    """Return the path of the configuration's file; raises `ConfigError` if the variable is not set."""
    path = environment.get(EnvironmentVariable.CONFIG_PATH)
    if not path:
        raise ConfigError(f"{EnvironmentVariable.CONFIG_PATH} is not set")
    return path


def without_discovery(environment: Mapping[str, str]) -> dict[str, str]:
    """Return the environment without discovery's address, so that the file's address applies."""
    return {key: value for key, value in environment.items() if key != EnvironmentVariable.DISCOVERY}
