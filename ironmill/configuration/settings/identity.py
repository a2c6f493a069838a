"""Reads the element ``identity``: callers, their credentials and their rights."""

from __future__ import annotations

from lxml import etree

from ironmill.configuration.settings.elements import SettingsFile, child, children, line_of, text
from ironmill.configuration.settings.errors import SettingsError
from ironmill.configuration.units import duration, rate
from ironmill.identity.rules import Caller, CallerRule, IdentitySettings, Rights, TokenMatch

ANONYMOUS_NAME = "stranger"  # of the caller without a credential
MAX_CLOCK_SKEW_S = 300.0  # a longer one would accept tokens long after their end


class IdentityReader:
    """Turns the element into settings."""

    def __init__(self, file: SettingsFile, classes: frozenset[str]) -> None:
        """``classes`` are the request classes that the platform's settings name."""
        self._file = file
        self._classes = classes

    def read(self, element: etree._Element) -> IdentitySettings:
        """Returns the settings. Raises SettingsError."""
        anonymous = self._anonymous(element)
        rules = self._rules(element)
        if not rules and anonymous is None:
            raise self._file.error(element, "nobody could be served; name a caller, or strangers")
        standing = text(element, "standing")
        return IdentitySettings(
            key_ring_path=self._file.sibling_path(element, "keys"),
            rules=rules,
            denied_subjects=self._denied(element, "subject"),
            denied_fingerprints=frozenset(self._denied(element, "fingerprint")),
            anonymous=anonymous,
            clock_skew_s=self._clock_skew(element),
            migrate_within_s=None if standing == "keep" else duration(standing.partition("=")[2]),
            cache_size=int(text(element, "cache")),
            suspect_checks_per_s=rate(text(element, "suspect-checks")),
        )

    def _anonymous(self, element: etree._Element) -> Caller | None:
        strangers = child(element, "strangers")
        if strangers is None:
            return None
        return Caller(ANONYMOUS_NAME, text(strangers, "tenant"), self._rights(strangers))

    def _rules(self, element: etree._Element) -> tuple[CallerRule, ...]:
        rules: dict[str, CallerRule] = {}
        for item in children(element, "caller"):
            rule = self._rule(item)
            name = rule.caller.name
            if name in rules:
                raise self._file.error(
                    item,
                    f"caller {name!r} is named on line {rules[name].line} already; "
                    "one caller may have several token elements",
                )
            rules[name] = rule
        if ANONYMOUS_NAME in rules:
            raise SettingsError(
                self._file.path,
                rules[ANONYMOUS_NAME].line,
                f"the name {ANONYMOUS_NAME} is kept for those without a credential; "
                "name the caller otherwise",
            )
        return tuple(rules.values())

    def _rule(self, element: etree._Element) -> CallerRule:
        caller = Caller(text(element, "name"), text(element, "tenant"), self._rights(element))
        tokens = tuple(
            TokenMatch(text(item, "issuer"), text(item, "audience"), text(item, "subject"))
            for item in children(element, "token")
        )
        names = tuple(text(item, "name") for item in children(element, "certificate"))
        return CallerRule(caller, tokens, line_of(element), names)

    def _rights(self, element: etree._Element) -> Rights:
        rights = child(element, "rights")
        if rights is None:
            return Rights()
        return Rights(
            self._rights_classes(rights),
            int(text(rights, "connections")) if "connections" in rights.attrib else None,
            rate(text(rights, "openings")) if "openings" in rights.attrib else None,
        )

    def _rights_classes(self, rights: etree._Element) -> frozenset[str] | None:
        if "classes" not in rights.attrib:
            return None
        classes = frozenset(text(rights, "classes").split())
        for name in sorted(classes):
            if name not in self._classes:
                known = ", ".join(sorted(self._classes))
                raise self._file.error(rights, f"there is no class {name!r}; the platform's are {known}")
        if not classes:
            raise self._file.error(rights, "classes names none; leave it out to allow all")
        return classes

    def _denied(self, element: etree._Element, by: str) -> tuple[str, ...]:
        denials = children(element, "deny")
        for item in denials:
            if len(item.attrib) != 1:
                raise self._file.error(item, "deny names either a subject or a fingerprint")
        return tuple(text(item, by) for item in denials if by in item.attrib)

    def _clock_skew(self, element: etree._Element) -> float:
        skew_s = duration(text(element, "skew"))
        if skew_s > MAX_CLOCK_SKEW_S:
            what = f"skew {element.attrib['skew']} is too long; clocks agree within 5m"
            raise self._file.error(element, what)
        return skew_s
