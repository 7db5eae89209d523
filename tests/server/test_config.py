"""The configuration: file and environment, nested settings, and which changes need a restart."""

from __future__ import annotations

import json
from dataclasses import fields
from pathlib import Path

import pytest

from qos_gateway.server.config import (
    Config,
    ConfigError,
    flatten,
    keys_requiring_restart,
    load,
    parse,
    reload,
)
from qos_gateway.server.config.restart_rules import CONFIGURATION_KEYS
from tests.support.builders import SECOND
from tests.support.configurations import raw_config
from tests.support.event_loop import LOOPBACK
from tests.support.fake_discovery import endpoint_list


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
    assert keys_requiring_restart(old, parse(raw_config(1) | change, environment)) == keys


def test_number_without_bound_is_named_as_wrong() -> None:
    raw = raw_config(1)
    raw["settings"]["limits"]["connectTimeout"] = float("inf")
    with pytest.raises(ConfigError, match="connectTimeout"):
        parse(raw, {})


def test_environment_comes_before_the_file(tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    path.write_text(json.dumps(raw_config(1)))
    config = load(
        {
            "ROUTER_CONFIG": str(path),
            "ROUTER_NAME": "n7",
            "ROUTER_LISTEN": "127.0.0.9:1",
            "ROUTER_DISCOVERY": "127.0.0.8:2",
        }
    )
    assert (config.name, config.listen, config.discovery) == ("n7", ("127.0.0.9", 1), ("127.0.0.8", 2))
    assert config.seed == 0x8C1F30D27A5BE964
    with pytest.raises(ConfigError):
        load({})


def test_reload_goes_by_the_file_where_discovery_is(tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    path.write_text(json.dumps(raw_config(1)))
    environment = {"ROUTER_CONFIG": str(path), "ROUTER_DISCOVERY": "127.0.0.8:2", "ROUTER_NAME": "n7"}
    old = load(environment)
    path.write_text(
        json.dumps(raw_config(3, endpoint_list(4), zones=["c"]) | {"seed": "1", "name": "ignored"})
    )
    new = reload(environment)
    assert new.discovery == (LOOPBACK, 3)
    assert keys_requiring_restart(old, new) == ["zones"]
    assert keys_requiring_restart(old, old) == []


def test_nested_settings_become_the_start_messages_lines() -> None:
    nested = {"a": [{"name": "look up, twice", "on": True}], "b": {"c": [1, 2.5], "d": []}, "e": 10**12}
    assert list(flatten(nested)) == [
        "a.count=1",
        "a.0.name=look_up__twice",
        "a.0.on=true",
        "b.c=1,2.5",
        "b.d=",
        "e=1000000000000",
    ]


def test_names_on_the_wire_are_those_of_the_settings_as_written() -> None:
    config = parse(raw_config(1), {})
    assert config.classes == (b"look up", b"submit", b"charge")
    assert config.plans == (b"team",)
    assert config.settings.classes[0].name == "look_up"


@pytest.mark.parametrize("value", [-1, 3, 51, "50", True, None])
def test_invalid_lease_term_is_one_plain_line(value: object) -> None:
    with pytest.raises(ConfigError, match="quota_lease_s"):
        parse(raw_config(1) | {"quota_lease_s": value}, {})


def test_lease_term_comes_from_the_configuration() -> None:
    assert parse(raw_config(1) | {"quota_lease_s": 50}, {}).settings.lease_term == 50 * SECOND
    assert parse(raw_config(1), {}).settings.lease_term == 0
