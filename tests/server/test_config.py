"""Which changes of the configuration a running gateway reports as in need of a restart, and by which keys."""

from __future__ import annotations

from dataclasses import fields

import pytest

from qos_gateway.server.config import Config, ConfigError, needs_restart, parse
from qos_gateway.server.config_types import CONFIGURATION_KEYS
from tests.support.servers import raw_config


def test_keys_stand_for_fields_of_the_configuration() -> None:
    assert set(CONFIGURATION_KEYS) <= {each.name for each in fields(Config)}


@pytest.mark.parametrize(
    ("change", "environment", "keys"),
    [
        ({"operator": "127.0.0.1:1"}, {}, ["operator"]),
        ({"limits": {"sockets": 7, "memory_mb": 9}}, {}, ["limits.sockets", "limits.memory_mb"]),
        ({"peers_all": "127.0.0.1:1"}, {}, ["peers_all"]),
        ({}, {"ROUTER_PASSED_SOCKET": "5", "TMPDIR": "/x"}, ["ROUTER_PASSED_SOCKET", "TMPDIR"]),
        ({"seed": "1", "known": {}, "discovery": "127.0.0.1:2"}, {}, []),
    ],
)
def test_changes_are_reported_by_the_keys_that_the_configuration_has(
    change: dict[str, object], environment: dict[str, str], keys: list[str]
) -> None:
    old = parse(raw_config(1), {})
    assert needs_restart(old, parse(raw_config(1) | change, environment)) == keys


def test_number_without_bound_is_named_as_wrong() -> None:
    raw = raw_config(1)
    raw["settings"]["limits"]["connectTimeout"] = float("inf")
    with pytest.raises(ConfigError, match="connectTimeout"):
        parse(raw, {})
