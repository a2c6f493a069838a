"""Tests of the reload at SIGHUP: which changes are applied, and that an invalid file changes nothing."""

from __future__ import annotations

import logging
from pathlib import Path

import pytest

from ironmill.configuration.proxy_config import Address, load_config
from ironmill.net.reload import Reload
from tests.unit.configuration.test_proxy_config import write_config_file


def test_reload_applies_discovery_and_names_keys_that_require_a_restart(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    path = write_config_file(tmp_path)
    watched: list[Address] = []
    reload = Reload(load_config({}, path), lambda: load_config({}, path), watched.append)
    caplog.set_level(logging.INFO)
    write_config_file(tmp_path, ("discovery", "127.0.0.9:85"), ("limits.sockets", 900), ("seed", "1"))
    reload.run()
    assert watched == [("127.0.0.9", 85)]
    assert [record.getMessage() for record in caplog.records] == [
        "reload: requires a restart: limits.sockets",
        "reload: discovery is at 127.0.0.9:85",
    ]


@pytest.mark.parametrize(
    ("change", "expected_key"),
    [
        (("discovery", 5), "discovery"),
        (("limits.sockets", 1e300), "limits.sockets"),
        (("settings", []), "settings"),
    ],
)
def test_reload_of_an_invalid_file_changes_nothing(
    change: tuple[str, object], expected_key: str, tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    path = write_config_file(tmp_path)
    watched: list[Address] = []
    reload = Reload(load_config({}, path), lambda: load_config({}, path), watched.append)
    write_config_file(tmp_path, change)
    reload.run()
    (tmp_path / "config.json").write_text("{")
    reload.run()
    (tmp_path / "config.json").unlink()
    reload.run()
    assert watched == []
    first, *others = [record.getMessage() for record in caplog.records]
    assert f"configuration: {expected_key} " in first
    assert len(others) == 2
    assert all("PROXY_CONFIG" in line and "\n" not in line for line in others)
