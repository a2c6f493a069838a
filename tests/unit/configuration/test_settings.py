"""Tests of settings files. An error is one line with file, line number, problem and expected value."""

from __future__ import annotations

import shutil
from pathlib import Path

import pytest

from ironmill.cli import main
from ironmill.configuration.settings.document import MAX_FILE_BYTES
from ironmill.configuration.settings.errors import SettingsError
from ironmill.configuration.settings.load import load_settings
from ironmill.configuration.settings.model import UpstreamTls
from ironmill.runtime.logs import LogSettings
from tests.unit.configuration.test_proxy_config import write_config_file

EXAMPLE = Path(__file__).parents[3] / "deploy" / "settings.example.xml"
CLASSES = ("index-sync", "archive-fetch")
IDENTITY = '<identity keys="ring.json">{}</identity>'
CALLER = '<caller name="a" tenant="t"><token issuer="i" audience="u"/>{}</caller>'


def write_settings(folder: Path, text: str) -> str:
    path = folder / "settings.xml"
    path.write_text(f'<ironmill xmlns="urn:ironmill:settings:1">\n{text}\n</ironmill>', encoding="utf-8")
    return str(path)


def test_example_settings_are_loaded() -> None:
    settings = load_settings(str(EXAMPLE), CLASSES)
    assert settings.log == LogSettings("json", "info")
    identity = settings.identity
    assert identity is not None
    assert (identity.clock_skew_s, identity.migrate_within_s, identity.suspect_checks_per_s) == (
        30.0,
        20.0,
        50.0,
    )
    assert identity.key_ring_path == str(EXAMPLE.parent / "keys" / "ring.json")
    assert [rule.caller.name for rule in identity.rules] == ["build-farms", "mirrors"]
    rights = identity.rules[0].caller.rights
    assert (rights.classes, rights.max_connections, rights.max_openings_per_s) == (
        frozenset(CLASSES),
        2000,
        200.0,
    )
    assert identity.anonymous is not None
    assert identity.denied_subjects == ("farm-17@*",)


def test_omitted_elements_have_defaults_of_schema(tmp_path: Path) -> None:
    settings = load_settings(write_settings(tmp_path, "<log/>" + IDENTITY.format(CALLER.format(""))), CLASSES)
    assert settings.log == LogSettings()
    identity = settings.identity
    assert identity is not None
    assert (identity.clock_skew_s, identity.migrate_within_s, identity.cache_size) == (30.0, None, 8192)
    assert identity.anonymous is None
    assert identity.rules[0].tokens[0].subject == "*"


@pytest.mark.parametrize(
    ("text", "line", "expected_message"),
    [
        ("<log", 3, "is not XML"),
        ("<lag/>", 2, "lag"),
        ('<log form="xml"/>', 2, "'text', 'json'"),
        ('<log color="red"/>', 2, "color"),
        ("<log/><log/>", 2, "log"),
        ("\n<identity/>", 3, "keys"),
        (IDENTITY.format(""), 2, "identity admits nobody; expected a caller or a strangers element"),
        ('<identity keys="k" skew="30"><strangers tenant="s"/></identity>', 2, "as in 250ms, 30s or 2m"),
        (
            '<identity keys="k" skew="10m"><strangers tenant="s"/></identity>',
            2,
            "skew is 10m; expected at most 5m",
        ),
        ('<identity keys="k" standing="drop"><strangers tenant="s"/></identity>', 2, "move-within=30s"),
        ('<identity keys="k" suspect-checks="5"><strangers tenant="s"/></identity>', 2, "as in 50/s"),
        ('<identity keys="k" cache="-1"><strangers tenant="s"/></identity>', 2, "cache"),
        (IDENTITY.format(CALLER.format("") + "\n" + CALLER.format("")), 3, "is already defined on line 2; "),
        (
            IDENTITY.format(CALLER.format("").replace('"a"', '"stranger"')),
            2,
            "is reserved for clients without",
        ),
        (
            IDENTITY.format(CALLER.format("").replace('"a"', '"a b"')),
            2,
            "expected a letter or digit, followed by letters",
        ),
        (IDENTITY.format('<caller name="a" tenant="t"/>'), 2, "token"),
        (IDENTITY.format('<caller name="a" tenant="t"><token issuer="i"/></caller>'), 2, "audience"),
        (
            IDENTITY.format(CALLER.format('<rights classes="chat"/>')),
            2,
            "the platform's settings define archive-fetch",
        ),
        (IDENTITY.format(CALLER.format('<rights classes=" "/>')), 2, "omit the attribute to allow all"),
        (IDENTITY.format(CALLER.format('<rights connections="0"/>')), 2, "connections"),
        (IDENTITY.format(CALLER.format('<rights openings="5 a second"/>')), 2, "as in 50/s or 10/m"),
    ],
)
def test_invalid_settings_are_one_line_with_expectation(
    text: str, line: int, expected_message: str, tmp_path: Path
) -> None:
    path = write_settings(tmp_path, text)
    with pytest.raises(SettingsError) as caught:
        load_settings(path, CLASSES)
    message = str(caught.value)
    assert message.startswith(f"{path}:{line}: ")
    assert expected_message in message
    assert "\n" not in message
    assert "urn:ironmill" not in message


def test_tls_listener_is_loaded(tmp_path: Path) -> None:
    text = '<tls listen="127.0.0.1:0" certificate="a" key="/k/a" clients="optional" authorities="ca"/>'
    tls = load_settings(write_settings(tmp_path, text), CLASSES).tls
    assert tls is not None
    assert (tls.listen, tls.certificate, tls.key) == (("127.0.0.1", 0), str(tmp_path / "a"), "/k/a")
    assert (tls.clients, tls.authorities, tls.crl) == ("optional", str(tmp_path / "ca"), "")
    assert tls.minimum == "1.2"


@pytest.mark.parametrize(
    ("attributes", "expected_message"),
    [
        ('listen="here"', "as in 127.0.0.1:3443"),
        ('listen="127.0.0.1:70000"', "port 70000 is out of range; expected 0 to 65535"),
        ('listen="127.0.0.1:1" clients="some"', "'optional', 'required'"),
        ('listen="127.0.0.1:1" clients="required"', "needs authorities"),
        ('listen="127.0.0.1:1" crl="x"', "are allowed only with clients='optional'"),
        ('listen="127.0.0.1:1" minimum="1.1"', "'1.2', '1.3'"),
    ],
)
def test_invalid_tls_listener_is_one_line(attributes: str, expected_message: str, tmp_path: Path) -> None:
    with pytest.raises(SettingsError, match=r"settings\.xml:2: ") as caught:
        load_settings(write_settings(tmp_path, f'<tls certificate="a" key="b" {attributes}/>'), CLASSES)
    assert expected_message in str(caught.value)


def test_upstream_tls_is_loaded(tmp_path: Path) -> None:
    text = '<issuer-hosts-tls authorities="ca.pem" name="hosts.example"{}/>'
    upstream = load_settings(write_settings(tmp_path, text.format("")), CLASSES).upstream_tls
    assert upstream == UpstreamTls(str(tmp_path / "ca.pem"), "hosts.example")
    with pytest.raises(SettingsError, match="must be given together"):
        load_settings(write_settings(tmp_path, text.format(' certificate="a.crt"')), CLASSES)
    with pytest.raises(SettingsError, match="authorities"):
        load_settings(write_settings(tmp_path, "<issuer-hosts-tls/>"), CLASSES)


def test_certificate_rules_and_denials_are_loaded(tmp_path: Path) -> None:
    fingerprint = "ab" * 32
    rules = '<caller name="a" tenant="t"><certificate name="dns:*.farm.example"/></caller>'
    text = IDENTITY.format(f'<deny fingerprint="{fingerprint}"/><deny subject="x"/>{rules}')
    identity = load_settings(write_settings(tmp_path, text), CLASSES).identity
    assert identity is not None
    assert identity.rules[0].names == ("dns:*.farm.example",)
    assert (identity.denied_subjects, identity.denied_fingerprints) == (("x",), frozenset({fingerprint}))
    for elements, expected_message in (
        (rules.replace("dns:", ""), "as in dns:*.farm.example"),
        ('<deny fingerprint="AB"/>' + rules, "expected 64 lowercase hexadecimal digits"),
        ("<deny/>" + rules, "either a subject or a fingerprint"),
    ):
        with pytest.raises(SettingsError) as caught:
            load_settings(write_settings(tmp_path, IDENTITY.format(elements)), CLASSES)
        assert expected_message in str(caught.value)


@pytest.mark.parametrize(
    ("data", "expected_message"),
    [
        (b'<!DOCTYPE ironmill [<!ENTITY a "b">]><ironmill xmlns="urn:ironmill:settings:1"/>', "DOCTYPE"),
        (
            b'<!DOCTYPE ironmill SYSTEM "http://127.0.0.1:9/x.dtd">'
            b'<ironmill xmlns="urn:ironmill:settings:1"/>',
            "DOCTYPE",
        ),
        (b"<ironmill/>", "ironmill"),
        (b"", "is not XML"),
        (b"\xff\xfe\x00", "is not XML"),
        (b" " * (MAX_FILE_BYTES + 1), "is larger than"),
        ('<!DOCTYPE r [<!ENTITY x "y">]><ironmill xmlns="urn:x"/>'.encode("utf-16"), "DOCTYPE"),
    ],
)
def test_malformed_files_are_rejected(data: bytes, expected_message: str, tmp_path: Path) -> None:
    path = tmp_path / "settings.xml"
    path.write_bytes(data)
    with pytest.raises(SettingsError, match=expected_message):
        load_settings(str(path), CLASSES)
    path.unlink()
    with pytest.raises(SettingsError, match="cannot be read"):
        load_settings(str(path), CLASSES)


def test_check_config_accepts_example_and_names_missing_file(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    settings = tmp_path / "settings.xml"
    shutil.copy(EXAMPLE, settings)
    categories = [
        {"name": name, "aimS": 0.3, "effect": "pure", "group": "all", "points": 1.0} for name in CLASSES
    ]
    options = [
        "--config",
        write_config_file(tmp_path, ("settings.categories", categories)),
        "--settings",
        str(settings),
    ]
    assert main(["check-config", *options]) == 2
    assert "ring.json: the key ring cannot be read" in capsys.readouterr().err
    assert main(["keys", "new", "first", "--store", str(tmp_path / "keys")]) == 0
    assert main(["check-config", *options]) == 0
    assert f"the settings in {settings} are valid" in capsys.readouterr().out
    # The same file is invalid if the platform's settings do not define its classes.
    assert main(["check-config", "--config", write_config_file(tmp_path), "--settings", str(settings)]) == 2
    assert (
        f"{settings}:7: unknown request class 'index-sync'; the platform's settings define read"
        in capsys.readouterr().err
    )
