"""Reads the element ``identity``: callers, their credentials and their rights."""

from __future__ import annotations

from lxml import etree

from ironmill.configuration.settings.elements import SettingsFile, attribute, child, children, line_of
from ironmill.configuration.settings.errors import SettingsError
from ironmill.configuration.units import parse_duration, parse_rate
from ironmill.identity.rules import Caller, CallerRule, IdentitySettings, Rights, TokenMatch

ANONYMOUS_NAME = "stranger"  # of the caller without a credential
MAX_CLOCK_SKEW_S = 300.0  # a larger value would accept tokens long after they expire


class IdentityReader:
    """Converts the element into settings."""

    def __init__(self, file: SettingsFile, classes: frozenset[str]) -> None:
        """Creates a reader; ``classes`` are the names of the request classes in the platform's settings."""
        self._file = file
        self._classes = classes

    def read(self, element: etree._Element) -> IdentitySettings:
        """Returns the settings of the element. Raises SettingsError."""
        anonymous = self._anonymous(element)
        rules = self._rules(element)
        if not rules and anonymous is None:
            raise self._file.error(
                element, "identity admits nobody; expected a caller or a strangers element"
            )
        established_policy = attribute(element, "standing")
        return IdentitySettings(
            key_ring_path=self._file.sibling_path(element, "keys"),
            rules=rules,
            denied_subjects=self._denied(element, "subject"),
            denied_fingerprints=frozenset(self._denied(element, "fingerprint")),
            anonymous=anonymous,
            clock_skew_s=self._clock_skew(element),
            migrate_within_s=(
                None if established_policy == "keep" else parse_duration(established_policy.partition("=")[2])
            ),
            cache_size=int(attribute(element, "cache")),
            suspect_checks_per_s=parse_rate(attribute(element, "suspect-checks")),
        )

    def _anonymous(self, element: etree._Element) -> Caller | None:
        strangers = child(element, "strangers")
        if strangers is None:
            return None
        return Caller(ANONYMOUS_NAME, attribute(strangers, "tenant"), self._rights(strangers))

    def _rules(self, element: etree._Element) -> tuple[CallerRule, ...]:
        rules: dict[str, CallerRule] = {}
        for item in children(element, "caller"):
            rule = self._rule(item)
            name = rule.caller.name
            if name in rules:
                raise self._file.error(
                    item,
                    f"caller {name!r} is already defined on line {rules[name].line}; "
                    "one caller may have several token elements",
                )
            rules[name] = rule
        if ANONYMOUS_NAME in rules:
            raise SettingsError(
                self._file.path,
                rules[ANONYMOUS_NAME].line,
                f"the caller name {ANONYMOUS_NAME} is reserved for clients without a credential; "
                "choose another name",
            )
        return tuple(rules.values())

    def _rule(self, element: etree._Element) -> CallerRule:
        caller = Caller(attribute(element, "name"), attribute(element, "tenant"), self._rights(element))
        tokens = tuple(
            TokenMatch(attribute(item, "issuer"), attribute(item, "audience"), attribute(item, "subject"))
            for item in children(element, "token")
        )
        names = tuple(attribute(item, "name") for item in children(element, "certificate"))
        return CallerRule(caller, tokens, line_of(element), names)

    def _rights(self, element: etree._Element) -> Rights:
        rights = child(element, "rights")
        if rights is None:
            return Rights()
        return Rights(
            self._rights_classes(rights),
            int(attribute(rights, "connections")) if "connections" in rights.attrib else None,
            parse_rate(attribute(rights, "openings")) if "openings" in rights.attrib else None,
        )

    def _rights_classes(self, rights: etree._Element) -> frozenset[str] | None:
        if "classes" not in rights.attrib:
            return None
        classes = frozenset(attribute(rights, "classes").split())
        for name in sorted(classes):
            if name not in self._classes:
                known = ", ".join(sorted(self._classes))
                raise self._file.error(
                    rights, f"unknown request class {name!r}; the platform's settings define {known}"
                )
        if not classes:
            raise self._file.error(rights, "classes is empty; omit the attribute to allow all classes")
        return classes

    def _denied(self, element: etree._Element, attribute_name: str) -> tuple[str, ...]:
        denials = children(element, "deny")
        for item in denials:
            if len(item.attrib) != 1:
                raise self._file.error(item, "deny needs either a subject or a fingerprint")
        return tuple(attribute(item, attribute_name) for item in denials if attribute_name in item.attrib)

    def _clock_skew(self, element: etree._Element) -> float:
        skew_s = parse_duration(attribute(element, "skew"))
        if skew_s > MAX_CLOCK_SKEW_S:
            problem = f"skew is {element.attrib['skew']}; expected at most 5m"
            raise self._file.error(element, problem)
        return skew_s
