"""Reads a settings file: well-formed, by the schema, and with a meaning.

lxml does the first two. It resolves no entities, fetches nothing, and the file's size is bounded.
"""

from __future__ import annotations

import re
from collections.abc import Collection
from importlib import resources
from ipaddress import IPv4Address
from pathlib import Path

from lxml import etree

from ironmill.configuration.settings.model import (
    ControlMachine,
    DistributionSettings,
    MembershipSettings,
    OperatorSettings,
    SettingsError,
    TlsSettings,
    UpstreamTls,
)
from ironmill.configuration.units import duration, rate, size_rate
from ironmill.identity.rules import Caller, CallerRule, IdentitySettings, Rights, TokenMatch
from ironmill.runtime.logs import LogSettings

SIZE_MOST = 1 << 20
TEXT_MOST = 64  # of a name, a zone, a region or a cluster, as datagrams carry them
STALE_LEAST, STALE_MOST = 1.0, 5.0
CATCH_UP_LEAST, CATCH_UP_MOST = 4e3, 1e9  # bytes a second
NAMESPACE = "urn:ironmill:settings:1"
# What would be right, where the schema's own message shows only a regular expression.
_HINTS = {
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


def load_settings(path: str, classes: Collection[str]) -> OperatorSettings:
    """The settings in the file; SettingsError, one line, if they are not fit for use.

    ``classes`` are those that the platform's settings name.
    """
    root = _parse(path)
    return _Builder(path, frozenset(classes)).build(root)


def _parse(path: str) -> etree._Element:
    try:
        with Path(path).open("rb") as file:
            data = file.read(SIZE_MOST + 1)
    except OSError as error:
        raise SettingsError(path, 0, f"cannot be read: {error.strerror}") from None
    if len(data) > SIZE_MOST:  # guards memory against a file that is something else
        raise SettingsError(path, 0, f"is larger than {SIZE_MOST} bytes; settings are at most that large")
    # Guards against entities that grow without end, or that name files and hosts.
    parser = etree.XMLParser(resolve_entities=False, no_network=True, load_dtd=False, huge_tree=False)
    try:
        root = etree.fromstring(data, parser)
    except etree.XMLSyntaxError as error:
        raise SettingsError(path, error.lineno or 0, f"is not XML: {error.msg}") from None
    if root.getroottree().docinfo.doctype:
        raise SettingsError(path, 1, "has a DOCTYPE; settings have none, and no entities")
    with resources.files(__package__).joinpath("settings.xsd").open("rb") as file:
        schema = etree.XMLSchema(etree.parse(file), attribute_defaults=True)
    if not schema.validate(root):
        first = schema.error_log[0]
        raise SettingsError(path, first.line, _plain(first.message))
    return root


def _plain(message: str) -> str:
    """The schema's message without namespaces, with a hint in place of a regular expression."""
    message = message.replace(f"{{{NAMESPACE}}}", "")
    message = re.sub(r"\[facet '[a-zA-Z]+'\] ", "", message)
    kind = re.search(r"not a valid value of the atomic type '(\w+)'", message)
    place = r"^(Element '[^']+'(?:, attribute '[^']+')?)"
    pattern = re.search(place + r": The value '([^']*)' is not accepted", message)
    if pattern is not None:
        for name, hint in _HINTS.items():
            if _SHAPES[name] in message:
                return f"{pattern[1]}: {pattern[2]!r} is not right; {hint}"
    if kind is not None and kind[1] in _HINTS:
        return f"{message} {_HINTS[kind[1]]}"
    return message


_SHAPES = {
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


def _text(element: etree._Element, name: str) -> str:
    return str(element.attrib[name])


def _line(element: etree._Element) -> int:
    line: object = element.sourceline
    return line if isinstance(line, int) else 0


class _Builder:
    """Turns a valid tree into values, and checks what a schema cannot say."""

    def __init__(self, path: str, classes: frozenset[str]) -> None:
        self._path = path
        self._classes = classes

    def build(self, root: etree._Element) -> OperatorSettings:
        names = ("log", "identity", "tls", "issuer-hosts-tls", "membership", "distribution")
        log, identity, tls, upstream, membership, distribution = (self._child(root, name) for name in names)
        if distribution is not None and (role := _text(distribution, "role")) != "subscriber":
            for element in (identity, tls, upstream, membership):
                if element is not None:
                    name = etree.QName(element).localname
                    raise self._error(
                        element,
                        f"{name} is for proxies; the settings of a control machine, with "
                        f"distribution's role={role!r}, hold log and distribution",
                    )
        return OperatorSettings(
            path=self._path,
            log=None if log is None else LogSettings(_text(log, "form"), _text(log, "level")),
            identity=None if identity is None else self._identity(identity),
            tls=None if tls is None else self._tls(tls),
            upstream=None if upstream is None else self._upstream(upstream),
            membership=None if membership is None else self._membership(membership),
            distribution=None if distribution is None else self._distribution(distribution),
        )

    def _tls(self, element: etree._Element) -> TlsSettings:
        host, _, port = _text(element, "listen").rpartition(":")
        if not 0 <= int(port) <= 65535:
            raise self._error(element, f"there is no port {port}; a port is 0 to 65535")
        clients = _text(element, "clients")
        if clients != "none" and "authorities" not in element.attrib:
            raise self._error(element, f"clients={clients!r} needs authorities, who sign their certificates")
        if clients == "none" and ("authorities" in element.attrib or "crl" in element.attrib):
            raise self._error(element, "authorities and crl are for clients='optional' or 'required'")
        return TlsSettings(
            (host, int(port)),
            self._beside(element, "certificate"),
            self._beside(element, "key"),
            clients,
            self._beside(element, "authorities"),
            self._beside(element, "crl"),
            _text(element, "minimum"),
        )

    def _upstream(self, element: etree._Element) -> UpstreamTls:
        if ("certificate" in element.attrib) is not ("key" in element.attrib):
            raise self._error(element, "certificate and key go together; the proxy shows both or neither")
        return UpstreamTls(
            self._beside(element, "authorities"),
            str(element.attrib.get("name", "")),
            self._beside(element, "certificate"),
            self._beside(element, "key"),
        )

    def _membership(self, element: etree._Element) -> MembershipSettings:
        from ironmill.membership.timing import Timing  # here, for what is off is not imported

        timing = Timing(
            ping_interval_s=duration(_text(element, "ping-every")),
            tolerated_pause_s=duration(_text(element, "pause-borne")),
            suspicion_timeout_s=duration(_text(element, "suspect-after")),
            max_detection_s=duration(_text(element, "gone-within")),
            isolation_timeout_s=duration(_text(element, "alone-after")),
            forget_delay_s=duration(_text(element, "forget-after")),
        )
        if inconsistency := timing.inconsistency():
            raise self._error(element, inconsistency)
        listen = self._address(element, "listen")
        seeds = tuple(self._address(it, "address") for it in self._children(element, "seed"))
        peers: dict[str, tuple[str, int]] = {}
        for it in self._children(element, "peer"):
            name = _text(it, "name")
            if name in peers:
                raise self._error(it, f"peer {name!r} is named twice")
            peers[name] = self._address(it, "address")
        self._short(element, "cluster", "zone", "region")
        return MembershipSettings(
            _text(element, "cluster"),
            listen,
            self._beside(element, "keys"),
            _text(element, "zone"),
            _text(element, "region"),
            seeds,
            tuple(peers.items()),
            timing,
        )

    def _distribution(self, element: etree._Element) -> DistributionSettings:
        role = _text(element, "role")
        if ("store" in element.attrib) is not (role == "origin"):
            raise self._error(element, f"store is needed for role='origin' and only there; role is {role!r}")
        if role == "origin" and not _text(element, "store").strip():
            raise self._error(element, "store names no file")
        stale, forget = (duration(_text(element, name)) for name in ("stale-after", "forget-after"))
        if not STALE_LEAST <= stale <= STALE_MOST:
            raise self._error(
                element, f"stale-after is {stale:g}s; it is {STALE_LEAST:g}s to {STALE_MOST:g}s"
            )
        if forget < stale:
            raise self._error(
                element, f"forget-after is {forget:g}s, and at least stale-after, which is {stale:g}s"
            )
        catch_up = size_rate(_text(element, "catch-up-rate"))
        if not CATCH_UP_LEAST <= catch_up <= CATCH_UP_MOST:
            raise self._error(
                element,
                f"catch-up-rate {_text(element, 'catch-up-rate')} is out of bounds; it is 4KB/s to 1000MB/s",
            )
        self._short(element, "cluster", "zone", "region")
        listen = self._address(element, "listen")
        controls = self._controls(element)
        if role == "relay" and not any(control.origin for control in controls):
            raise self._error(element, "a relay needs an origin; origin='true' says which control is one")
        return DistributionSettings(
            _text(element, "cluster"),
            listen,
            self._beside(element, "keys"),
            controls,
            _text(element, "zone"),
            _text(element, "region"),
            role,
            self._beside(element, "store"),
            catch_up,
            stale,
            forget,
        )

    def _controls(self, element: etree._Element) -> tuple[ControlMachine, ...]:
        controls: dict[str, ControlMachine] = {}
        homes: dict[tuple[str, int], str] = {}
        for it in self._children(element, "control"):
            self._short(it, "name", "zone", "region")
            control = ControlMachine(
                _text(it, "name"),
                self._address(it, "address"),
                _text(it, "zone"),
                _text(it, "region"),
                _text(it, "origin") in ("true", "1"),
            )
            if control.name in controls:
                raise self._error(it, f"control {control.name!r} is named twice")
            if control.address in homes:
                other = homes[control.address]
                raise self._error(it, f"control {control.name!r} is at the address of {other!r}")
            controls[control.name], homes[control.address] = control, control.name
        return tuple(controls.values())

    def _short(self, element: etree._Element, *names: str) -> None:
        for name in names:
            if len(_text(element, name)) > TEXT_MOST:
                raise self._error(element, f"{name} has {TEXT_MOST} characters at most")

    def _address(self, element: etree._Element, name: str) -> tuple[str, int]:
        host, _, port = _text(element, name).rpartition(":")
        if not 0 < int(port) <= 65535:
            raise self._error(element, f"there is no port {port} for others to send to; it is 1 to 65535")
        try:
            return str(IPv4Address(host)), int(port)
        except ValueError:  # names are not looked up
            what = f"{host!r} is no address; it is four numbers, as in 10.0.0.4"
            raise self._error(element, what) from None

    def _beside(self, element: etree._Element, name: str) -> str:
        """A path beside the settings file, unless it is a whole one; empty where it is not told."""
        return str(Path(self._path).parent / _text(element, name)) if name in element.attrib else ""

    def _identity(self, element: etree._Element) -> IdentitySettings:
        strangers = self._child(element, "strangers")
        stranger = None
        if strangers is not None:
            stranger = Caller("stranger", _text(strangers, "tenant"), self._rights(strangers))
        rules: list[CallerRule] = []
        callers: dict[str, tuple[Caller, int]] = {}
        for child in self._children(element, "caller"):
            caller = Caller(_text(child, "name"), _text(child, "tenant"), self._rights(child))
            line = _line(child)
            if caller.name in callers:
                raise self._error(
                    child,
                    f"caller {caller.name!r} is named on line {callers[caller.name][1]} already; "
                    "one caller may have several token elements",
                )
            callers[caller.name] = caller, line
            tokens = tuple(
                TokenMatch(_text(it, "issuer"), _text(it, "audience"), _text(it, "subject"))
                for it in self._children(child, "token")
            )
            names = tuple(_text(it, "name") for it in self._children(child, "certificate"))
            rules.append(CallerRule(caller, tokens, line, names))
        if "stranger" in callers:
            raise SettingsError(
                self._path,
                callers["stranger"][1],
                "the name stranger is kept for those without a credential; name the caller otherwise",
            )
        if not rules and stranger is None:
            raise self._error(element, "nobody could be served; name a caller, or strangers")
        standing = _text(element, "standing")
        within = duration(standing.partition("=")[2]) if standing != "keep" else None
        return IdentitySettings(
            key_ring_path=self._beside(element, "keys"),
            rules=tuple(rules),
            denied_subjects=self._denied(element, "subject"),
            denied_fingerprints=frozenset(self._denied(element, "fingerprint")),
            anonymous=stranger,
            clock_skew_s=self._skew(element),
            migrate_within_s=within,
            cache_size=int(_text(element, "cache")),
            suspect_checks_per_s=rate(_text(element, "suspect-checks")),
        )

    def _denied(self, element: etree._Element, by: str) -> tuple[str, ...]:
        for it in self._children(element, "deny"):
            if len(it.attrib) != 1:
                raise self._error(it, "deny names either a subject or a fingerprint")
        return tuple(_text(it, by) for it in self._children(element, "deny") if by in it.attrib)

    def _skew(self, element: etree._Element) -> float:
        skew = duration(_text(element, "skew"))
        if skew > 300.0:
            # Guards against tokens that are good long after their end.
            raise self._error(element, f"skew {element.attrib['skew']} is too long; clocks agree within 5m")
        return skew

    def _rights(self, element: etree._Element) -> Rights:
        rights = self._child(element, "rights")
        if rights is None:
            return Rights()
        classes = frozenset(_text(rights, "classes").split()) if "classes" in rights.attrib else None
        for name in sorted(classes or ()):
            if name not in self._classes:
                known = ", ".join(sorted(self._classes))
                raise self._error(rights, f"there is no class {name!r}; the platform's are {known}")
        if classes is not None and not classes:
            raise self._error(rights, "classes names none; leave it out to allow all")
        return Rights(
            classes,
            int(_text(rights, "connections")) if "connections" in rights.attrib else None,
            rate(_text(rights, "openings")) if "openings" in rights.attrib else None,
        )

    def _error(self, element: etree._Element, what: str) -> SettingsError:
        return SettingsError(self._path, _line(element), what)

    @staticmethod
    def _children(element: etree._Element, name: str) -> list[etree._Element]:
        return element.findall(f"{{{NAMESPACE}}}{name}")

    @staticmethod
    def _child(element: etree._Element, name: str) -> etree._Element | None:
        return element.find(f"{{{NAMESPACE}}}{name}")
