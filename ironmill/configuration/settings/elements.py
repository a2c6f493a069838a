"""Reads the elements of a valid settings file, with checks that an XML schema cannot express."""

from __future__ import annotations

from ipaddress import IPv4Address
from pathlib import Path

from lxml import etree

from ironmill.configuration.settings.document import NAMESPACE
from ironmill.configuration.settings.errors import SettingsError

MAX_NAME_LENGTH = 64  # characters of a name, zone, region or cluster; datagrams carry these
MAX_PORT = 65535


def attribute(element: etree._Element, name: str) -> str:
    """Returns the value of an attribute that the schema requires or that has a default."""
    return str(element.attrib[name])


def line_of(element: etree._Element) -> int:
    """Returns the line number of an element, or 0 if it is unknown."""
    line: object = element.sourceline
    return line if isinstance(line, int) else 0


def children(element: etree._Element, name: str) -> list[etree._Element]:
    """Returns the child elements with a name."""
    return element.findall(f"{{{NAMESPACE}}}{name}")


def child(element: etree._Element, name: str) -> etree._Element | None:
    """Returns the first child element with a name, or None."""
    return element.find(f"{{{NAMESPACE}}}{name}")


class SettingsFile:
    """Represents one settings file; resolves paths relative to it and creates errors that name it."""

    def __init__(self, path: str) -> None:
        """Creates the context of the settings file at ``path``."""
        self.path = path

    def error(self, element: etree._Element, problem: str) -> SettingsError:
        """Returns an error that names the file and the line of the element."""
        return SettingsError(self.path, line_of(element), problem)

    def sibling_path(self, element: etree._Element, name: str) -> str:
        """Returns the path in an attribute, relative to the settings file's folder; empty if omitted."""
        if name not in element.attrib:
            return ""
        return str(Path(self.path).parent / attribute(element, name))

    def address(self, element: etree._Element, name: str) -> tuple[str, int]:
        """Returns the IPv4 address and port in an attribute.

        Raises SettingsError for port 0 and for a host name, because names are not resolved.
        """
        host, _, port = attribute(element, name).rpartition(":")
        if not 0 < int(port) <= MAX_PORT:
            raise self.error(element, f"port {port} is out of range; expected 1 to {MAX_PORT}")
        try:
            return str(IPv4Address(host)), int(port)
        except ValueError:
            problem = f"{host!r} is not an IPv4 address; expected four numbers, as in 10.0.0.4"
            raise self.error(element, problem) from None

    def check_lengths(self, element: etree._Element, *names: str) -> None:
        """Raises SettingsError if one of the attributes is too long for datagrams."""
        for name in names:
            if len(attribute(element, name)) > MAX_NAME_LENGTH:
                raise self.error(
                    element, f"{name} is too long; expected at most {MAX_NAME_LENGTH} characters"
                )
