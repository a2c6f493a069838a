"""Settings of distribution: defaults, checks beyond the schema, and check-config."""

from __future__ import annotations

from pathlib import Path

import pytest

from ironmill.cli import main
from ironmill.configuration.operator_files import read_operator_files
from ironmill.configuration.settings.errors import SettingsError
from ironmill.configuration.settings.load import load_settings
from ironmill.configuration.settings.model import ControlMachine, DistributionSettings
from ironmill.configuration.units import size_rate
from tests.unit.configuration.test_proxy_config import written

KEYS = "0f" * 32
ORIGIN = '<control name="c1" address="10.0.0.1:7500" zone="hall-a" region="south" origin="true"/>'
RELAY = '<control name="c2" address="10.0.0.2:7500"/>'
RINGS = '<identity keys="ring.json"><strangers tenant="s"/></identity>'


def file(folder: Path, attributes: str = "", controls: str = ORIGIN + RELAY, more: str = "") -> str:
    path = folder / "settings.xml"
    path.write_text(
        f'<ironmill xmlns="urn:ironmill:settings:1">{more}\n'
        f'<distribution cluster="town" listen="10.0.0.9:7500" keys="k" {attributes}>\n{controls}\n'
        "</distribution></ironmill>"
    )
    (folder / "k").write_text(KEYS)
    return str(path)


def test_omitted_attributes_have_the_defaults_of_the_schema(tmp_path: Path) -> None:
    settings = load_settings(file(tmp_path), ()).distribution
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
    settings = load_settings(file(tmp_path, attributes), ()).distribution
    assert settings is not None
    assert (settings.zone, settings.region, settings.role) == ("hall-b", "north", "origin")
    assert settings.store == str(tmp_path / "state" / "revisions")
    assert (settings.catch_up_rate, settings.stale_after, settings.forget_after) == (2e6, 2.5, 86400.0)
    whole = load_settings(file(tmp_path, 'role="origin" store="/var/revisions"'), ()).distribution
    assert whole is not None
    assert whole.store == "/var/revisions"
    relay = load_settings(file(tmp_path, 'role="relay"', ORIGIN.replace("true", "1")), ()).distribution
    assert relay is not None
    assert relay.controls[0].origin


@pytest.mark.parametrize(
    ("text", "bytes_a_second"),
    [("4096B/s", 4096), ("128KB/s", 128_000), ("128KiB/s", 131_072), ("1.5MB/s", 1.5e6), ("2MiB/s", 2 << 20)],
)
def test_byte_rates_are_parsed_with_their_units(text: str, bytes_a_second: float, tmp_path: Path) -> None:
    assert size_rate(text) == bytes_a_second
    settings = load_settings(file(tmp_path, f'catch-up-rate="{text}"'), ()).distribution
    assert settings is not None
    assert settings.catch_up_rate == bytes_a_second


LONG = "x" * 65
WRONG = [
    ("", "", "control", 2),
    ('role="leader"', ORIGIN, "'subscriber', 'relay', 'origin'", 2),
    ('role="origin"', ORIGIN, "store is needed for role='origin' and only there; role is 'origin'", 2),
    ('role="origin" store=" "', ORIGIN, "store names no file", 2),
    ('store="s"', ORIGIN, "store is needed for role='origin' and only there; role is 'subscriber'", 2),
    ('role="relay" store="s"', ORIGIN, "only there; role is 'relay'", 2),
    ('role="relay"', RELAY, "a relay needs an origin; origin='true' says which control is one", 2),
    ('catch-up-rate="128"', ORIGIN, "as in 128KiB/s or 2MB/s", 2),
    ('catch-up-rate="128KB"', ORIGIN, "as in 128KiB/s or 2MB/s", 2),
    ('catch-up-rate="0B/s"', ORIGIN, "catch-up-rate 0B/s is out of bounds; it is 4KB/s to 1000MB/s", 2),
    ('catch-up-rate="3999B/s"', ORIGIN, "out of bounds", 2),
    ('catch-up-rate="1000000MB/s"', ORIGIN, "out of bounds", 2),
    ('stale-after="5100ms"', ORIGIN, "stale-after is 5.1s; it is 1s to 5s", 2),
    ('stale-after="900ms"', ORIGIN, "stale-after is 0.9s; it is 1s to 5s", 2),
    ('stale-after="4"', ORIGIN, "as in 250ms, 30s or 2m", 2),
    ('forget-after="3s"', ORIGIN, "forget-after is 3s, and at least stale-after, which is 4s", 2),
    (f'zone="{LONG}"', ORIGIN, "zone has 64 characters at most", 2),
    (f'region="{LONG}"', ORIGIN, "region has 64 characters at most", 2),
    ("", ORIGIN + "\n" + ORIGIN, "control 'c1' is named twice", 4),
    ("", ORIGIN + "\n" + RELAY.replace(".2:", ".1:"), "control 'c2' is at the address of 'c1'", 4),
    ("", RELAY.replace("c2", LONG), "name has 64 characters at most", 3),
    ("", RELAY.replace("c2", "a b"), "a name begins with", 3),
    ("", RELAY.replace("10.0.0.2", "localhost"), "'localhost' is no address", 3),
    ("", RELAY.replace("7500", "0"), "there is no port 0", 3),
    ("", RELAY.replace("7500", "70000"), "there is no port 70000", 3),
    ("", RELAY.replace('name="c2"', ""), "name", 3),
    ("", RELAY.replace("/>", ' origin="maybe"/>'), "maybe", 3),
    ("", RELAY.replace("/>", ' port="1"/>'), "port", 3),
    (
        "",
        "".join(f'<control name="c{at}" address="10.0.1.{at % 250}:{at + 1}"/>' for at in range(257)),
        "control",
        3,
    ),
]


@pytest.mark.parametrize(("attributes", "controls", "wrong", "line"), WRONG)
def test_invalid_settings_are_one_line_that_names_the_place(
    attributes: str, controls: str, wrong: str, line: int, tmp_path: Path
) -> None:
    path = file(tmp_path, attributes, controls)
    with pytest.raises(SettingsError) as caught:
        load_settings(path, ())
    message = str(caught.value)
    assert message.startswith(f"{path}:{line}: "), message
    assert wrong in message
    assert "\n" not in message
    assert "urn:ironmill" not in message


def test_invalid_listen_address_is_rejected(tmp_path: Path) -> None:
    path = Path(file(tmp_path))
    for listen, wrong in (("10.0.0.9:0", "there is no port 0"), ("*:7500", "an address is HOST:PORT")):
        path.write_text(path.read_text().replace("10.0.0.9:7500", listen, 1))
        with pytest.raises(SettingsError, match=wrong):
            load_settings(str(path), ())
        path.write_text(path.read_text().replace(listen, "10.0.0.9:7500", 1))


def test_settings_of_a_control_machine_reject_elements_for_proxies(tmp_path: Path) -> None:
    """Elements that only a proxy can use are rejected, not ignored."""
    for more in (
        RINGS,
        '<tls listen="127.0.0.1:1" certificate="a" key="b"/>',
        '<issuer-hosts-tls authorities="a"/>',
        '<membership cluster="c" listen="10.0.0.9:1" keys="k"><seed address="10.0.0.9:1"/></membership>',
    ):
        with pytest.raises(SettingsError, match=r"settings\.xml:1: .* is for proxies; .* hold log and dist"):
            load_settings(file(tmp_path, 'role="relay"', more=more), ())
        assert load_settings(file(tmp_path, more=more), ()).distribution is not None
    assert load_settings(file(tmp_path, 'role="relay"', more="<log/>"), ()).log is not None


@pytest.mark.parametrize("text", ["", "0f", "xy" * 32, f"{KEYS}\n" * 3])
def test_invalid_key_file_is_one_line(
    text: str, tmp_path: Path, capsys: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.delenv("PROXY_CONFIG", raising=False)
    path = file(tmp_path, 'role="relay"')
    (tmp_path / "k").write_text(text)
    assert main(["check-config", "--settings", path]) == 2
    assert "k: the distribution's keys are not one or two lines of 32 to 128" in capsys.readouterr().err
    (tmp_path / "k").unlink()
    assert main(["check-config", "--settings", path]) == 2
    assert "k: the distribution's keys cannot be read: No such file" in capsys.readouterr().err


def test_distribution_keys_are_read_with_the_settings(tmp_path: Path) -> None:
    path = file(tmp_path)
    (tmp_path / "k").write_text(f"{KEYS}\n{'a1' * 16}\n")
    operator = read_operator_files(path, ())
    assert operator.distribution_keys == (bytes.fromhex(KEYS), bytes.fromhex("a1" * 16))
    assert operator.member_keys == ()


def test_check_config_accepts_settings_of_proxies_and_control_machines(
    tmp_path: Path, capsys: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.delenv("PROXY_CONFIG", raising=False)
    config = written(tmp_path)
    path = file(tmp_path)
    assert main(["check-config", "--settings", path, "--config", config]) == 0
    assert f"the settings in {path} are valid" in capsys.readouterr().out
    # A proxy needs its configuration; a control machine has none.
    assert main(["check-config", "--settings", path]) == 2
    assert "PROXY_CONFIG is not set" in capsys.readouterr().err
    for attributes in ('role="relay"', 'role="origin" store="s"'):
        path = file(tmp_path, attributes)
        assert main(["check-config", "--settings", path]) == 0
        assert capsys.readouterr().out == f"ironmill: the settings in {path} are valid\n"
    for words in (["check-config"], ["serve"]):
        assert main([*words, "--settings", path, "--config", config]) == 2
        message = capsys.readouterr().err
        assert (
            "the role of distribution is 'origin', which is for control machines; "
            "a proxy must have the role 'subscriber'"
        ) in message
        assert len(message.splitlines()) == 1
    assert not (tmp_path / "s").exists()  # the check creates no store
