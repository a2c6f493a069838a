"""Reads a settings file as XML and validates it against the schema.

Both steps use lxml, which resolves no entities and opens no network connections. The size of the file is
limited.
"""

from __future__ import annotations

import re
from importlib import resources
from pathlib import Path

from lxml import etree

from ironmill.configuration.settings.errors import SettingsError

MAX_FILE_BYTES = 1 << 20
NAMESPACE = "urn:ironmill:settings:1"
# Descriptions of the expected values by type of the schema. lxml's own messages contain only the regular
# expression of the type, from which the type is recognized.
_EXPECTED_VALUES = {
    "duration": "a duration with a unit, as in 250ms, 30s or 2m",
    "rate": "a number with a unit, as in 50/s or 10/m",
    "size": "a byte rate with a unit, as in 128KiB/s or 2MB/s",
    "standing": "keep, or move-within= with a duration, as in move-within=30s",
    "name": "a letter or digit, followed by letters, digits or any of . _ : @ -",
    "alternative": "dns:, uri: or email: followed by a pattern, as in dns:*.farm.example",
    "fingerprint": "64 lowercase hexadecimal digits, the SHA-256 of a DER certificate",
    "address": "HOST:PORT, as in 127.0.0.1:3443",
    "pattern": "1 to 255 printable ASCII characters without spaces",
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
        raise SettingsError(path, first.line, _readable_message(first.message))
    return root


def _read(path: str) -> bytes:
    try:
        with Path(path).open("rb") as file:
            data = file.read(MAX_FILE_BYTES + 1)
    except OSError as error:
        raise SettingsError(path, 0, f"cannot be read: {error.strerror}") from None
    if len(data) > MAX_FILE_BYTES:
        problem = f"is larger than {MAX_FILE_BYTES} bytes, the size limit of a settings file"
        raise SettingsError(path, 0, problem)
    return data


def _parse(path: str, data: bytes) -> etree._Element:
    # Entities are not resolved because they could expand without limit, or refer to files and hosts.
    parser = etree.XMLParser(resolve_entities=False, no_network=True, load_dtd=False, huge_tree=False)
    try:
        root = etree.fromstring(data, parser)
    except etree.XMLSyntaxError as error:
        raise SettingsError(path, error.lineno or 0, f"is not XML: {error.msg}") from None
    if root.getroottree().docinfo.doctype:
        raise SettingsError(path, 1, "has a DOCTYPE declaration, which is not allowed in a settings file")
    return root


def _readable_message(message: str) -> str:
    """Returns the schema validator's message without namespaces and with the expected value."""
    message = message.replace(f"{{{NAMESPACE}}}", "")
    message = re.sub(r"\[facet '[a-zA-Z]+'\] ", "", message)
    invalid_value = _INVALID_VALUE.search(message)
    if invalid_value is not None:
        for type_name, expected in _EXPECTED_VALUES.items():
            if _SCHEMA_PATTERNS[type_name] in message:
                return f"{invalid_value[1]}: {invalid_value[2]!r} is not valid; expected {expected}"
    invalid_type = _INVALID_TYPE.search(message)
    if invalid_type is not None and invalid_type[1] in _EXPECTED_VALUES:
        return f"{message} Expected {_EXPECTED_VALUES[invalid_type[1]]}"
    return message
