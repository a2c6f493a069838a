"""Rules that map what a credential says to a caller, its tenant and its rights."""

from __future__ import annotations

import re
from collections.abc import Mapping
from dataclasses import dataclass
from functools import lru_cache


@dataclass(frozen=True, slots=True)
class Rights:
    """What a caller may do; None is no limit."""

    classes: frozenset[str] | None = None
    connections: int | None = None  # standing or being set up, in this proxy
    openings: float | None = None  # a second, in this proxy


@dataclass(frozen=True, slots=True)
class Caller:
    """Whom a credential was mapped to. Rules of the same name count together."""

    name: str
    tenant: str
    rights: Rights


@dataclass(frozen=True, slots=True)
class TokenMatch:
    """What a token must say. Issuer and audience are compared whole; the subject fits a pattern."""

    issuer: str
    audience: str
    subject: str = "*"


@dataclass(frozen=True, slots=True)
class CallerRule:
    """One caller, and the tokens and certificates that are its."""

    caller: Caller
    tokens: tuple[TokenMatch, ...] = ()
    line: int = 0  # in the settings file
    names: tuple[str, ...] = ()  # patterns of certificates' names, as dns:NAME, uri:URI or email:ADDRESS


@dataclass(frozen=True, slots=True)
class Denials:
    """Who is denied besides those whom the settings name. Many whole subjects cost as much as one."""

    subjects: frozenset[str] = frozenset()
    patterns: tuple[str, ...] = ()  # of subjects
    fingerprints: frozenset[str] = frozenset()

    def deny_subject(self, subject: str) -> bool:
        """True if the subject is denied."""
        return subject in self.subjects or any(fits(pattern, subject) for pattern in self.patterns)

    def __sub__(self, other: Denials) -> Denials:
        """Those that the other one does not have."""
        return Denials(
            self.subjects - other.subjects,
            tuple(pattern for pattern in self.patterns if pattern not in other.patterns),
            self.fingerprints - other.fingerprints,
        )

    def __bool__(self) -> bool:
        return bool(self.subjects or self.patterns or self.fingerprints)


NOBODY = Denials()


@dataclass(frozen=True, slots=True)
class Identity:
    """The settings of who calls, as one immutable value. Times are in seconds."""

    keys: str  # the path of the key ring
    rules: tuple[CallerRule, ...] = ()
    denied: tuple[str, ...] = ()  # patterns of subjects
    denied_certificates: frozenset[str] = frozenset()  # by fingerprint
    stranger: Caller | None = None  # None: no credential, no service
    skew: float = 30.0
    move_within: float | None = None  # None: what stands is kept when its credential ends
    cache: int = 8192
    suspect_checks: float = 50.0  # a second
    distributed: Denials = NOBODY  # which no settings file says


@dataclass(frozen=True, slots=True)
class Step:
    """One rule that was tried, for whoever asks why."""

    rule: CallerRule
    why_not: str  # empty: it matched


@lru_cache(maxsize=1024)
def _compiled(pattern: str) -> re.Pattern[str]:
    def fixed(text: str) -> str:
        return "".join("." if it == "?" else re.escape(it) for it in text)

    first, *rest = pattern.split("*")
    if not rest:
        return re.compile(fixed(first), re.DOTALL)
    # The first place where the text between two stars is found will do. Guards service against a pattern with
    # many stars, for which every way to share the subject out among them would be tried.
    between = "".join(f"(?>.*?{fixed(text)})" for text in rest[:-1] if text)
    return re.compile(f"{fixed(first)}{between}.*{fixed(rest[-1])}", re.DOTALL)


def fits(pattern: str, text: str) -> bool:
    """True if the whole text fits the pattern: * is any text, ? any character, all else is itself."""
    return _compiled(pattern).fullmatch(text) is not None


def audiences(claims: Mapping[str, object]) -> tuple[str, ...]:
    """The token's audience, which may be one text or a list of them (RFC 7519, 4.1.3)."""
    value = claims.get("aud")
    if isinstance(value, str):
        return (value,)
    return tuple(item for item in value if isinstance(item, str)) if isinstance(value, list) else ()


def why_not(match: TokenMatch, claims: Mapping[str, object]) -> str:
    """Why the token's claims do not meet the rule; empty if they do."""
    subject = claims.get("sub")
    if claims.get("iss") != match.issuer:
        return f"issuer {claims.get('iss')!r} is not {match.issuer!r}"
    if match.audience not in audiences(claims):
        return f"audience {claims.get('aud')!r} does not name {match.audience!r}"
    if not isinstance(subject, str) or not fits(match.subject, subject):
        return f"subject {subject!r} does not fit {match.subject!r}"
    return ""


def explain(identity: Identity, claims: Mapping[str, object]) -> list[Step]:
    """The rules in the order they are tried, up to the first that matches."""
    steps = []
    for rule in identity.rules:
        reasons = [why_not(match, claims) for match in rule.tokens]
        met = "" in reasons
        steps.append(Step(rule, "" if met else "; ".join(reasons)))
        if met:
            break
    return steps


def map_names(identity: Identity, names: tuple[str, ...]) -> Caller | None:
    """The caller of the first rule that one of a certificate's names meets, None if there is none."""
    for rule in identity.rules:
        if any(fits(pattern, name) for pattern in rule.names for name in names):
            return rule.caller
    return None


def denied(identity: Identity, claims: Mapping[str, object]) -> bool:
    """True if the subject is denied, whatever else the token says."""
    subject = claims.get("sub")
    if not isinstance(subject, str):
        return False
    return identity.distributed.deny_subject(subject) or any(fits(it, subject) for it in identity.denied)


def map_token(identity: Identity, claims: Mapping[str, object]) -> Caller | None:
    """The caller of the first rule that the claims meet, None if there is none."""
    for rule in identity.rules:
        if any(not why_not(match, claims) for match in rule.tokens):
            return rule.caller
    return None
