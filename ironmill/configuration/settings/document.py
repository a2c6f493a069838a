"""Reads a settings file as XML and validates it by the schema.

lxml does both. It resolves no entities and fetches nothing, and the size of the file is limited.
"""

from __future__ import annotations

import re
from importlib import resources
from pathlib import Path

from lxml import etree

from ironmill.configuration.settings.errors import SettingsError

MAX_FILE_BYTES = 1 << 20
NAMESPACE = "urn:ironmill:settings:1"
# What is expected, by the schema's type. The schema's own message shows only a regular expression, by which
# the type is recognized.
_EXPECTED = {
    "duration": "a duration has a unit, as in 250ms, 30s or 2m",
    "rate": "a rate is a number and its unit, as in 50/s or 10/m",
    "size": "a rate of bytes is a number and its unit, as in 128KiB/s or 2MB/s",
    "standing": "it is keep, or move-within= and a duration, as in move-within=30s",
    "name": "a name begins with a letter or digit and goes on with those or any of . _ : @ -",
    "alternative": "it is dns:, uri: or email: and a pattern, as in dns:*.farm.example",
    "fingerprint": "it is the SHA-256 of the certificate's DER form, 64 digits of 0 to 9 and a to f",
    "address": "an address is HOST:PORT, as in 127.0.0.1:3443",
    "pattern": "it is 1 to 255 printable characters without blanks",
}
_SCHEMA_PATTERNS = {
    "duration": "'[0-9]{1,9}(\\.[0-9]{1,6})?(ms|s|m|h|d)'",
    "rate": "'[0-9]{1,9}(\\.[0-9]{1,6})?/(s|m|h)'",
    "size": "'[0-9]{1,9}(\\.[0-9]{1,6})?(B|KB|MB|KiB|MiB)/s'",
    "standing": "'keep|move-within=",
    "name": "'[A-Za-z0-9][A-Za-z0-9._:@-]{0,127}'",
    "alternative": "'(dns|uri|email):",
    "fingerprint": "'[0-9a-f]{64}'",
    "address": "'[0-9A-Za-z.-]{1,255}:",
    "pattern": "'[!-~]{1,255}'",
}
_INVALID_VALUE = re.compile(
    r"^(Element '[^']+'(?:, attribute '[^']+')?): The value '([^']*)' is not accepted"
)
_INVALID_TYPE = re.compile(r"not a valid value of the atomic type '(\w+)'")


def read_document(path: str) -> etree._Element:
    """Returns the root of a valid settings file. Raises SettingsError."""
    root = _parse(path, _read(path))
    with resources.files(__package__).joinpath("settings.xsd").open("rb") as file:
        schema = etree.XMLSchema(etree.parse(file), attribute_defaults=True)
    if not schema.validate(root):
        first = schema.error_log[0]
        raise SettingsError(path, first.line, _readable(first.message))
    return root


def _read(path: str) -> bytes:
    try:
        with Path(path).open("rb") as file:
            data = file.read(MAX_FILE_BYTES + 1)
    except OSError as error:
        raise SettingsError(path, 0, f"cannot be read: {error.strerror}") from None
    if len(data) > MAX_FILE_BYTES:
        what = f"is larger than {MAX_FILE_BYTES} bytes; settings are at most that large"
        raise SettingsError(path, 0, what)
    return data


def _parse(path: str, data: bytes) -> etree._Element:
    # Entities could expand without limit, or name files and hosts.
    parser = etree.XMLParser(resolve_entities=False, no_network=True, load_dtd=False, huge_tree=False)
    try:
        root = etree.fromstring(data, parser)
    except etree.XMLSyntaxError as error:
        raise SettingsError(path, error.lineno or 0, f"is not XML: {error.msg}") from None
    if root.getroottree().docinfo.doctype:
        raise SettingsError(path, 1, "has a DOCTYPE; settings have none, and no entities")
    return root


def _readable(message: str) -> str:
    """Returns the schema's message without namespaces, and with what is expected."""
    message = message.replace(f"{{{NAMESPACE}}}", "")
    message = re.sub(r"\[facet '[a-zA-Z]+'\] ", "", message)
    value = _INVALID_VALUE.search(message)
    if value is not None:
        for name, expected in _EXPECTED.items():
            if _SCHEMA_PATTERNS[name] in message:
                return f"{value[1]}: {value[2]!r} is not right; {expected}"
    kind = _INVALID_TYPE.search(message)
    if kind is not None and kind[1] in _EXPECTED:
        return f"{message} {_EXPECTED[kind[1]]}"
    return message
