"""SIGHUP: what is taken from the new file, and what a bad one does."""

from __future__ import annotations

import logging
from pathlib import Path

import pytest

from ironmill.configuration.proxy_config import Address, load
from ironmill.net.reload import Reload
from tests.unit.configuration.test_proxy_config import written


def test_a_new_file_changes_the_address_and_names_what_it_cannot_take(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    path = written(tmp_path)
    seen: list[Address] = []
    reload = Reload(load({}, path), lambda: load({}, path), seen.append)
    caplog.set_level(logging.INFO)
    written(tmp_path, ("discovery", "127.0.0.9:85"), ("limits.sockets", 900), ("seed", "1"))
    reload.run()
    assert seen == [("127.0.0.9", 85)]
    assert [record.getMessage() for record in caplog.records] == [
        "reload: requires a restart: limits.sockets",
        "reload: discovery is at 127.0.0.9:85",
    ]


@pytest.mark.parametrize(
    ("change", "named"),
    [
        (("discovery", 5), "discovery"),
        (("limits.sockets", 1e300), "limits.sockets"),
        (("settings", []), "settings"),
    ],
)
def test_a_file_that_is_not_fit_for_use_changes_nothing(
    change: tuple[str, object], named: str, tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    path = written(tmp_path)
    seen: list[Address] = []
    reload = Reload(load({}, path), lambda: load({}, path), seen.append)
    written(tmp_path, change)
    reload.run()
    (tmp_path / "config.json").write_text("{")
    reload.run()
    (tmp_path / "config.json").unlink()
    reload.run()
    assert seen == []
    first, *others = [record.getMessage() for record in caplog.records]
    assert f"configuration: {named} " in first
    assert len(others) == 2
    assert all("PROXY_CONFIG" in line and "\n" not in line for line in others)
