"""Replacement of parts of the gateway, shared by the mutants."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from qos_gateway import __main__ as program
from qos_gateway.server.config import load
from qos_gateway.server.requests.repeat_guard import RepeatGuard
from qos_gateway.server.requests.send_guard import SendGuard


def always_true(*_: Any) -> bool:
    """Replace a predicate."""
    return True


def do_nothing(*_: Any) -> None:
    """Replace a function without a result."""


def patch(owner: object, name: str, value: object) -> None:
    """Replace an attribute; raise AttributeError if the owner has none of this name."""
    if not hasattr(owner, name):
        raise AttributeError(f"{owner!r} has no {name}")
    setattr(owner, name, value)


def disable_guards() -> None:
    """Disable the gateway's own guards, which would prevent the violation."""
    patch(RepeatGuard, "allows_attempt", always_true)
    patch(RepeatGuard, "allows_rejection", always_true)
    patch(SendGuard, "allows", always_true)


def change_settings(**changes: Any) -> None:
    """Change settings after the gateway has loaded its configuration."""

    def load_changed(environment: Any) -> Any:
        config = load(environment)
        return replace(config, settings=replace(config.settings, **changes))

    patch(program, "load_at_start", load_changed)
