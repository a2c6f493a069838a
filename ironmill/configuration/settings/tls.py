"""Reads the elements ``tls``, the listener for clients, and ``issuer-hosts-tls``, TLS to servers."""

from __future__ import annotations

from lxml import etree

from ironmill.configuration.settings.elements import MAX_PORT, SettingsFile, attribute
from ironmill.configuration.settings.model import TlsSettings, UpstreamTls


def read_tls(file: SettingsFile, element: etree._Element) -> TlsSettings:
    """Returns the settings of the TLS listener. Raises SettingsError."""
    host, _, port = attribute(element, "listen").rpartition(":")
    if not 0 <= int(port) <= MAX_PORT:
        raise file.error(element, f"port {port} is out of range; expected 0 to {MAX_PORT}")
    clients = attribute(element, "clients")
    if clients != "none" and "authorities" not in element.attrib:
        raise file.error(
            element,
            f"clients={clients!r} needs authorities, the CA certificates that sign client certificates",
        )
    if clients == "none" and ("authorities" in element.attrib or "crl" in element.attrib):
        raise file.error(
            element, "authorities and crl are allowed only with clients='optional' or 'required'"
        )
    return TlsSettings(
        listen=(host, int(port)),
        certificate=file.sibling_path(element, "certificate"),
        key=file.sibling_path(element, "key"),
        clients=clients,
        authorities=file.sibling_path(element, "authorities"),
        crl=file.sibling_path(element, "crl"),
        minimum=attribute(element, "minimum"),
    )


def read_upstream_tls(file: SettingsFile, element: etree._Element) -> UpstreamTls:
    """Returns the settings of TLS to servers. Raises SettingsError."""
    if ("certificate" in element.attrib) is not ("key" in element.attrib):
        raise file.error(element, "certificate and key must be given together or both be omitted")
    return UpstreamTls(
        authorities=file.sibling_path(element, "authorities"),
        name=str(element.attrib.get("name", "")),
        certificate=file.sibling_path(element, "certificate"),
        key=file.sibling_path(element, "key"),
    )
