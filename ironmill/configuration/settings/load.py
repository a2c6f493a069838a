"""Loads a settings file."""

from __future__ import annotations

from collections.abc import Collection

from lxml import etree

from ironmill.configuration.settings.distribution import read_distribution
from ironmill.configuration.settings.document import read_document
from ironmill.configuration.settings.elements import SettingsFile, attribute, child
from ironmill.configuration.settings.identity import IdentityReader
from ironmill.configuration.settings.membership import read_membership
from ironmill.configuration.settings.model import OperatorSettings
from ironmill.configuration.settings.tls import read_tls, read_upstream_tls
from ironmill.runtime.logs import LogSettings

PROXY_ELEMENTS = ("identity", "tls", "issuer-hosts-tls", "membership")


def load_settings(path: str, classes: Collection[str]) -> OperatorSettings:
    """Returns the settings in the file. Raises SettingsError if any part of it is invalid.

    ``classes`` are the names of the request classes in the platform's settings.
    """
    root = read_document(path)
    file = SettingsFile(path)
    _check_role(file, root)
    log = child(root, "log")
    identity = child(root, "identity")
    tls = child(root, "tls")
    upstream = child(root, "issuer-hosts-tls")
    membership = child(root, "membership")
    distribution = child(root, "distribution")
    identity_reader = IdentityReader(file, frozenset(classes))
    return OperatorSettings(
        path=path,
        log=None if log is None else LogSettings(attribute(log, "form"), attribute(log, "level")),
        identity=None if identity is None else identity_reader.read(identity),
        tls=None if tls is None else read_tls(file, tls),
        upstream_tls=None if upstream is None else read_upstream_tls(file, upstream),
        membership=None if membership is None else read_membership(file, membership),
        distribution=None if distribution is None else read_distribution(file, distribution),
    )


def _check_role(file: SettingsFile, root: etree._Element) -> None:
    """Raises SettingsError if a control machine's settings have elements for proxies."""
    distribution = child(root, "distribution")
    if distribution is None or attribute(distribution, "role") == "subscriber":
        return
    role = attribute(distribution, "role")
    for name in PROXY_ELEMENTS:
        element = child(root, name)
        if element is not None:
            raise file.error(
                element,
                f"{name} is only for proxies; the settings of a control machine, with "
                f"distribution's role={role!r}, may contain only log and distribution",
            )
