"""Tests of the command line and the configuration. An error is one line that names the key."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path
from typing import Any

import orjson
import pytest
from docopt import docopt

from ironmill import __version__, cli
from ironmill.cli import main
from ironmill.configuration.proxy_config import load_config
from ironmill.protocol.json_object import MalformedError
from tests.unit.simulator.test_simulator import SETTINGS

CONFIG: dict[str, Any] = {
    "name": "n3",
    "listen": "127.0.0.1:0",
    "discovery": "127.0.0.1:8500",
    "seed": "8c1f30d27a5be964",
    "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 4096},
    "known": {"rev": 41, "all": True, "targets": [{"uid": "s-1", "endpoint": "127.0.0.1:9", "state": "up"}]},
    "settings": SETTINGS,
}


def write_config_file(path: Path, *changes: tuple[str, object]) -> str:
    value = orjson.loads(orjson.dumps(CONFIG))
    for key, new in changes:
        node = value
        *steps, last = key.split(".")
        for step in steps:
            node = node[step]
        node[last] = new
    file = path / "config.json"
    file.write_bytes(orjson.dumps(value))
    return str(file)


def test_environment_takes_precedence_over_the_file(tmp_path: Path) -> None:
    config = load_config(
        {"PROXY_CONFIG": write_config_file(tmp_path), "PROXY_NAME": "n9", "PROXY_LISTEN": "127.0.0.5:77"}
    )
    assert (config.name, config.listen, config.discovery) == ("n9", ("127.0.0.5", 77), ("127.0.0.1", 8500))
    assert (config.seed, config.sockets, config.initial_endpoints.revision) == (0x8C1F30D27A5BE964, 4096, 41)
    assert (config.shortest_latency_objective_s, config.drain_grace_s, config.packets_pass_through) == (
        0.1,
        1.0,
        False,
    )


@pytest.mark.parametrize(
    ("change", "expected_key"),
    [
        (("listen", "here"), "listen"),
        (("discovery", "127.0.0.1:99999"), "discovery"),
        (("seed", "xyz"), "seed"),
        (("settings.rules.coldFrom", None), "settings.rules.coldFrom"),
        (("limits.sockets", "many"), "limits.sockets"),
        (("settings.ceilings", 5), "settings.ceilings"),
        (("known.targets", {}), "known.targets"),
        (("settings.discovery", "shout"), "settings.discovery"),
        (("name", None), "name"),
    ],
)
def test_invalid_configuration_is_one_line_that_names_the_key(
    change: tuple[str, object], expected_key: str, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    for command in ("serve", "check-config"):
        assert main([command, "--config", write_config_file(tmp_path, change)]) == 2
        out, err = capsys.readouterr()
        assert (out, err.count("\n")) == ("", 1)
        assert f"configuration: {expected_key} " in err


def test_missing_file_and_malformed_json_name_the_variable(
    tmp_path: Path, capsys: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.delenv("PROXY_CONFIG", raising=False)
    (tmp_path / "bad").write_text("{")
    for args in ([], ["--config", str(tmp_path / "none")], ["--config", str(tmp_path / "bad")]):
        assert main(["check-config", *args]) == 2
        assert "PROXY_CONFIG" in capsys.readouterr().err


def test_version_and_check_config_commands(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    assert main(["version"]) == 0
    assert main(["check-config", "--config", write_config_file(tmp_path)]) == 0
    expected = f"ironmill {__version__}\nironmill: the configuration of n3 is valid\n"
    assert capsys.readouterr().out == expected


def test_admin_address_is_read_from_file_or_environment(tmp_path: Path) -> None:
    assert load_config({"PROXY_CONFIG": write_config_file(tmp_path)}).admin_address is None
    path = write_config_file(tmp_path, ("control", "127.0.0.1:9000"))
    assert load_config({"PROXY_CONFIG": path}).admin_address == ("127.0.0.1", 9000)
    assert load_config({"PROXY_CONFIG": path, "PROXY_CONTROL": "127.0.0.2:1"}).admin_address == (
        "127.0.0.2",
        1,
    )


@pytest.mark.parametrize("text", ["[" * 100_000, '{"name": 1e999}', '{"name": "\\ud800"}', "{", ""])
def test_malformed_json_raises_one_line(tmp_path: Path, text: str) -> None:
    """Discovery responses, which come from the network, are parsed by the same function."""
    file = tmp_path / "config.json"
    file.write_text(text)
    with pytest.raises(MalformedError, match="is not JSON"):
        load_config({"PROXY_CONFIG": str(file)})


def test_number_out_of_range_is_rejected(tmp_path: Path) -> None:
    text = Path(write_config_file(tmp_path)).read_text().replace('"sockets":4096', '"sockets":' + "9" * 400)
    (tmp_path / "config.json").write_text(text)
    with pytest.raises(MalformedError, match="sockets is not a number within range"):
        load_config({"PROXY_CONFIG": str(tmp_path / "config.json")})


def test_start_imports_no_optional_modules() -> None:
    """Guards against slow starts: proxies that start at the same time share the cores while clients wait."""
    optional = ["dataclasses", "orjson", "docopt", "h11", "pathlib", "json"]
    code = "import sys, ironmill.cli; print([name for name in sys.argv[1:] if name in sys.modules])"
    completed = subprocess.run(
        [sys.executable, "-S", "-c", f"import sys; sys.path[:] = {sys.path!r}; {code}", *optional],
        check=True,
        capture_output=True,
        text=True,
    )
    assert completed.stdout.strip() == "[]"


def test_serve_without_arguments_equals_its_parsed_usage() -> None:
    arguments = docopt(cli.__doc__, argv=["serve"])
    assert (arguments["--config"], arguments["--settings"], arguments["--poller"]) == (
        None,
        None,
        cli.DEFAULT_POLLER,
    )
