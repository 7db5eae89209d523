"""The environment variables of the configuration, which come before the values of its file."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from .json_values import ConfigError

CONFIG_PATH = "ROUTER_CONFIG"
NAME = "ROUTER_NAME"
LISTEN = "ROUTER_LISTEN"
DISCOVERY = "ROUTER_DISCOVERY"
ADMIN = "ROUTER_OPERATOR"
INHERITED_DESCRIPTOR = "ROUTER_PASSED_SOCKET"
SHARED_FOLDER = "TMPDIR"  # set by the platform

MAX_DESCRIPTOR_DIGITS = 5  # more than any limit on descriptors has here; a longer text is no descriptor


@dataclass(frozen=True, slots=True)
class EnvironmentOverrides:
    """The variables as they are set; None or empty where one is not."""

    name: str | None
    listen: str | None
    discovery: str | None
    admin: str | None
    inherited_descriptor: str | None
    shared_folder: str | None

    @classmethod
    def read(cls, environment: Mapping[str, str]) -> EnvironmentOverrides:
        """Pick the variables out of the environment; none of them is checked."""
        return cls(
            name=environment.get(NAME),
            listen=environment.get(LISTEN),
            discovery=environment.get(DISCOVERY),
            admin=environment.get(ADMIN),
            inherited_descriptor=environment.get(INHERITED_DESCRIPTOR),
            shared_folder=environment.get(SHARED_FOLDER),
        )

    def parse_inherited_descriptor(self) -> int | None:
        """Return the inherited listening socket's descriptor; raises `ConfigError` where it is no number."""
        text = self.inherited_descriptor
        if not text:
            return None
        if not (text.isascii() and text.isdigit() and len(text) <= MAX_DESCRIPTOR_DIGITS):
            raise ConfigError(f"{INHERITED_DESCRIPTOR}: {text!r} is no descriptor")
        return int(text)


def config_path(environment: Mapping[str, str]) -> str:
    """Return the path of the configuration's file; raises `ConfigError` if none is named."""
    path = environment.get(CONFIG_PATH)
    if not path:
        raise ConfigError(f"{CONFIG_PATH} is not set")
    return path


def without_discovery(environment: Mapping[str, str]) -> dict[str, str]:
    """Return the environment without the address of discovery, so that the file's applies."""
    return {key: value for key, value in environment.items() if key != DISCOVERY}
