"""Tests of the distribution settings: defaults, checks beyond the schema, and check-config."""

from __future__ import annotations

from pathlib import Path

import pytest

from ironmill.cli import main
from ironmill.configuration.operator_files import read_operator_files
from ironmill.configuration.settings.errors import SettingsError
from ironmill.configuration.settings.load import load_settings
from ironmill.configuration.settings.model import ControlMachine, DistributionSettings
from ironmill.configuration.units import parse_byte_rate
from tests.unit.configuration.test_proxy_config import write_config_file

KEYS = "0f" * 32
ORIGIN = '<control name="c1" address="10.0.0.1:7500" zone="hall-a" region="south" origin="true"/>'
RELAY = '<control name="c2" address="10.0.0.2:7500"/>'
IDENTITY = '<identity keys="ring.json"><strangers tenant="s"/></identity>'


def write_settings(
    folder: Path, attributes: str = "", controls: str = ORIGIN + RELAY, other_elements: str = ""
) -> str:
    path = folder / "settings.xml"
    path.write_text(
        f'<ironmill xmlns="urn:ironmill:settings:1">{other_elements}\n'
        f'<distribution cluster="town" listen="10.0.0.9:7500" keys="k" {attributes}>\n{controls}\n'
        "</distribution></ironmill>"
    )
    (folder / "k").write_text(KEYS)
    return str(path)


def test_omitted_attributes_have_the_defaults_of_the_schema(tmp_path: Path) -> None:
    settings = load_settings(write_settings(tmp_path), ()).distribution
    assert settings == DistributionSettings(
        "town",
        ("10.0.0.9", 7500),
        str(tmp_path / "k"),
        (
            ControlMachine("c1", ("10.0.0.1", 7500), "hall-a", "south", True),
            ControlMachine("c2", ("10.0.0.2", 7500)),
        ),
    )
    assert (settings.role, settings.store, settings.catch_up_rate) == ("subscriber", "", 131072.0)
    assert (settings.stale_after, settings.forget_after) == (4.0, 3600.0)


def test_all_attributes_of_distribution_are_read(tmp_path: Path) -> None:
    attributes = (
        'zone="hall-b" region="north" role="origin" store="state/revisions" catch-up-rate="2MB/s" '
        'stale-after="2500ms" forget-after="1d"'
    )
    settings = load_settings(write_settings(tmp_path, attributes), ()).distribution
    assert settings is not None
    assert (settings.zone, settings.region, settings.role) == ("hall-b", "north", "origin")
    assert settings.store == str(tmp_path / "state" / "revisions")
    assert (settings.catch_up_rate, settings.stale_after, settings.forget_after) == (2e6, 2.5, 86400.0)
    origin = load_settings(write_settings(tmp_path, 'role="origin" store="/var/revisions"'), ()).distribution
    assert origin is not None
    assert origin.store == "/var/revisions"
    relay = load_settings(
        write_settings(tmp_path, 'role="relay"', ORIGIN.replace("true", "1")), ()
    ).distribution
    assert relay is not None
    assert relay.controls[0].origin


@pytest.mark.parametrize(
    ("text", "bytes_per_second"),
    [("4096B/s", 4096), ("128KB/s", 128_000), ("128KiB/s", 131_072), ("1.5MB/s", 1.5e6), ("2MiB/s", 2 << 20)],
)
def test_byte_rates_are_parsed_with_their_units(text: str, bytes_per_second: float, tmp_path: Path) -> None:
    assert parse_byte_rate(text) == bytes_per_second
    settings = load_settings(write_settings(tmp_path, f'catch-up-rate="{text}"'), ()).distribution
    assert settings is not None
    assert settings.catch_up_rate == bytes_per_second


TOO_LONG_NAME = "x" * 65
INVALID_SETTINGS = [
    ("", "", "control", 2),
    ('role="leader"', ORIGIN, "'subscriber', 'relay', 'origin'", 2),
    (
        'role="origin"',
        ORIGIN,
        "store is required with role='origin' and not allowed otherwise; role is 'origin'",
        2,
    ),
    ('role="origin" store=" "', ORIGIN, "store is empty; expected the path of the revision store", 2),
    (
        'store="s"',
        ORIGIN,
        "store is required with role='origin' and not allowed otherwise; role is 'subscriber'",
        2,
    ),
    ('role="relay" store="s"', ORIGIN, "not allowed otherwise; role is 'relay'", 2),
    (
        'role="relay"',
        RELAY,
        "a relay needs an origin; expected origin='true' in at least one control element",
        2,
    ),
    ('catch-up-rate="128"', ORIGIN, "as in 128KiB/s or 2MB/s", 2),
    ('catch-up-rate="128KB"', ORIGIN, "as in 128KiB/s or 2MB/s", 2),
    ('catch-up-rate="0B/s"', ORIGIN, "catch-up-rate is 0B/s; expected 4KB/s to 1000MB/s", 2),
    ('catch-up-rate="3999B/s"', ORIGIN, "catch-up-rate is 3999B/s; expected 4KB/s to 1000MB/s", 2),
    ('catch-up-rate="1000000MB/s"', ORIGIN, "catch-up-rate is 1000000MB/s; expected 4KB/s", 2),
    ('stale-after="5100ms"', ORIGIN, "stale-after is 5.1s; expected 1s to 5s", 2),
    ('stale-after="900ms"', ORIGIN, "stale-after is 0.9s; expected 1s to 5s", 2),
    ('stale-after="4"', ORIGIN, "as in 250ms, 30s or 2m", 2),
    ('forget-after="3s"', ORIGIN, "forget-after is 3s; expected at least stale-after, which is 4s", 2),
    (f'zone="{TOO_LONG_NAME}"', ORIGIN, "zone is too long; expected at most 64 characters", 2),
    (f'region="{TOO_LONG_NAME}"', ORIGIN, "region is too long; expected at most 64 characters", 2),
    ("", ORIGIN + "\n" + ORIGIN, "control 'c1' is defined twice", 4),
    ("", ORIGIN + "\n" + RELAY.replace(".2:", ".1:"), "control 'c2' has the same address as 'c1'", 4),
    ("", RELAY.replace("c2", TOO_LONG_NAME), "name is too long; expected at most 64 characters", 3),
    ("", RELAY.replace("c2", "a b"), "expected a letter or digit, followed by letters", 3),
    ("", RELAY.replace("10.0.0.2", "localhost"), "'localhost' is not an IPv4 address", 3),
    ("", RELAY.replace("7500", "0"), "port 0 is out of range; expected 1 to 65535", 3),
    ("", RELAY.replace("7500", "70000"), "port 70000 is out of range; expected 1 to 65535", 3),
    ("", RELAY.replace('name="c2"', ""), "name", 3),
    ("", RELAY.replace("/>", ' origin="maybe"/>'), "maybe", 3),
    ("", RELAY.replace("/>", ' port="1"/>'), "port", 3),
    (
        "",
        "".join(
            f'<control name="c{index}" address="10.0.1.{index % 250}:{index + 1}"/>' for index in range(257)
        ),
        "control",
        3,
    ),
]


@pytest.mark.parametrize(("attributes", "controls", "expected_message", "line"), INVALID_SETTINGS)
def test_invalid_settings_are_one_line_that_names_the_place(
    attributes: str, controls: str, expected_message: str, line: int, tmp_path: Path
) -> None:
    path = write_settings(tmp_path, attributes, controls)
    with pytest.raises(SettingsError) as caught:
        load_settings(path, ())
    message = str(caught.value)
    assert message.startswith(f"{path}:{line}: "), message
    assert expected_message in message
    assert "\n" not in message
    assert "urn:ironmill" not in message


def test_invalid_listen_address_is_rejected(tmp_path: Path) -> None:
    path = Path(write_settings(tmp_path))
    for listen, expected_message in (
        ("10.0.0.9:0", "port 0 is out of range"),
        ("*:7500", "expected HOST:PORT"),
    ):
        path.write_text(path.read_text().replace("10.0.0.9:7500", listen, 1))
        with pytest.raises(SettingsError, match=expected_message):
            load_settings(str(path), ())
        path.write_text(path.read_text().replace(listen, "10.0.0.9:7500", 1))


def test_settings_of_a_control_machine_reject_elements_for_proxies(tmp_path: Path) -> None:
    """Guards against settings that are ignored: elements that only a proxy can use must be rejected."""
    for elements in (
        IDENTITY,
        '<tls listen="127.0.0.1:1" certificate="a" key="b"/>',
        '<issuer-hosts-tls authorities="a"/>',
        '<membership cluster="c" listen="10.0.0.9:1" keys="k"><seed address="10.0.0.9:1"/></membership>',
    ):
        with pytest.raises(
            SettingsError, match=r"settings\.xml:1: .* is only for proxies; .* may contain only log and dist"
        ):
            load_settings(write_settings(tmp_path, 'role="relay"', other_elements=elements), ())
        assert load_settings(write_settings(tmp_path, other_elements=elements), ()).distribution is not None
    assert (
        load_settings(write_settings(tmp_path, 'role="relay"', other_elements="<log/>"), ()).log is not None
    )


@pytest.mark.parametrize("text", ["", "0f", "xy" * 32, f"{KEYS}\n" * 3])
def test_invalid_key_file_is_one_line(
    text: str, tmp_path: Path, capsys: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.delenv("PROXY_CONFIG", raising=False)
    path = write_settings(tmp_path, 'role="relay"')
    (tmp_path / "k").write_text(text)
    assert main(["check-config", "--settings", path]) == 2
    assert (
        "k: the distribution's keys are not valid; expected one or two lines of 32 to 128"
        in capsys.readouterr().err
    )
    (tmp_path / "k").unlink()
    assert main(["check-config", "--settings", path]) == 2
    assert "k: the distribution's keys cannot be read: No such file" in capsys.readouterr().err


def test_distribution_keys_are_read_with_the_settings(tmp_path: Path) -> None:
    path = write_settings(tmp_path)
    (tmp_path / "k").write_text(f"{KEYS}\n{'a1' * 16}\n")
    files = read_operator_files(path, ())
    assert files.distribution_keys == (bytes.fromhex(KEYS), bytes.fromhex("a1" * 16))
    assert files.member_keys == ()


def test_check_config_accepts_settings_of_proxies_and_control_machines(
    tmp_path: Path, capsys: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.delenv("PROXY_CONFIG", raising=False)
    config = write_config_file(tmp_path)
    path = write_settings(tmp_path)
    assert main(["check-config", "--settings", path, "--config", config]) == 0
    assert f"the settings in {path} are valid" in capsys.readouterr().out
    # A proxy needs a configuration file; a control machine has none.
    assert main(["check-config", "--settings", path]) == 2
    assert "PROXY_CONFIG is not set" in capsys.readouterr().err
    for attributes in ('role="relay"', 'role="origin" store="s"'):
        path = write_settings(tmp_path, attributes)
        assert main(["check-config", "--settings", path]) == 0
        assert capsys.readouterr().out == f"ironmill: the settings in {path} are valid\n"
    for command in (["check-config"], ["serve"]):
        assert main([*command, "--settings", path, "--config", config]) == 2
        message = capsys.readouterr().err
        assert (
            "the role of distribution is 'origin', which is for control machines; "
            "a proxy must have the role 'subscriber'"
        ) in message
        assert len(message.splitlines()) == 1
    assert not (tmp_path / "s").exists()  # the check creates no store
