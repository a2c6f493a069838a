"""Access to the elements of a valid settings file, with checks that a schema cannot express."""

from __future__ import annotations

from ipaddress import IPv4Address
from pathlib import Path

from lxml import etree

from ironmill.configuration.settings.document import NAMESPACE
from ironmill.configuration.settings.errors import SettingsError

MAX_NAME_LENGTH = 64  # of a name, zone, region or cluster, as datagrams carry them
MAX_PORT = 65535


def text(element: etree._Element, name: str) -> str:
    """Returns an attribute, which the schema requires or gives a default."""
    return str(element.attrib[name])


def line_of(element: etree._Element) -> int:
    """Returns the line of an element, 0 if it is unknown."""
    line: object = element.sourceline
    return line if isinstance(line, int) else 0


def children(element: etree._Element, name: str) -> list[etree._Element]:
    """Returns the child elements of that name."""
    return element.findall(f"{{{NAMESPACE}}}{name}")


def child(element: etree._Element, name: str) -> etree._Element | None:
    """Returns the first child element of that name, or None."""
    return element.find(f"{{{NAMESPACE}}}{name}")


class SettingsFile:
    """The context of the elements of one file: its path, for paths relative to it and for errors."""

    def __init__(self, path: str) -> None:
        """``path`` is the path of the settings file."""
        self.path = path

    def error(self, element: etree._Element, what: str) -> SettingsError:
        """Returns an error at the line of the element."""
        return SettingsError(self.path, line_of(element), what)

    def sibling_path(self, element: etree._Element, name: str) -> str:
        """Returns a path relative to the settings file's folder; empty without the attribute."""
        if name not in element.attrib:
            return ""
        return str(Path(self.path).parent / text(element, name))

    def address(self, element: etree._Element, name: str) -> tuple[str, int]:
        """Returns an IPv4 address and port. Raises SettingsError for a host name, which is not resolved."""
        host, _, port = text(element, name).rpartition(":")
        if not 0 < int(port) <= MAX_PORT:
            raise self.error(element, f"there is no port {port} for others to send to; it is 1 to {MAX_PORT}")
        try:
            return str(IPv4Address(host)), int(port)
        except ValueError:
            what = f"{host!r} is no address; it is four numbers, as in 10.0.0.4"
            raise self.error(element, what) from None

    def check_lengths(self, element: etree._Element, *names: str) -> None:
        """Raises SettingsError if an attribute is too long for datagrams."""
        for name in names:
            if len(text(element, name)) > MAX_NAME_LENGTH:
                raise self.error(element, f"{name} has {MAX_NAME_LENGTH} characters at most")
