"""Rules that map credentials to callers, their tenants and their rights."""

from __future__ import annotations

import re
from collections.abc import Mapping
from dataclasses import dataclass
from functools import lru_cache

MAX_COMPILED_PATTERNS = 1024


@dataclass(frozen=True, slots=True)
class Rights:
    """The limits of a caller at one proxy. None means no limit."""

    classes: frozenset[str] | None = None  # request classes that the caller may use
    max_connections: int | None = None  # both established and being established
    max_openings_per_s: float | None = None  # connections opened per second


@dataclass(frozen=True, slots=True)
class Caller:
    """The identity of a client. Rules with the same caller name share its limits."""

    name: str
    tenant: str
    rights: Rights


@dataclass(frozen=True, slots=True)
class TokenMatch:
    """The claims that a token must have. Issuer and audience are compared exactly."""

    issuer: str
    audience: str
    subject: str = "*"  # a pattern for matches_pattern


@dataclass(frozen=True, slots=True)
class CallerRule:
    """A rule that maps tokens and certificates to a caller."""

    caller: Caller
    tokens: tuple[TokenMatch, ...] = ()
    line: int = 0  # the line of the rule in the settings file
    names: tuple[str, ...] = ()  # patterns of certificates' names, as dns:NAME, uri:URI or email:ADDRESS


@dataclass(frozen=True, slots=True)
class Denials:
    """Credentials that the distributed configuration denies.

    The time of a check grows with the number of patterns, not with that of subjects or fingerprints.
    """

    subjects: frozenset[str] = frozenset()
    patterns: tuple[str, ...] = ()  # patterns of denied subjects
    fingerprints: frozenset[str] = frozenset()  # of certificates

    def denies_subject(self, subject: str) -> bool:
        """Returns True if the subject is denied."""
        return subject in self.subjects or any(matches_pattern(pattern, subject) for pattern in self.patterns)

    def __sub__(self, other: Denials) -> Denials:
        """Returns the denials that ``other`` does not include."""
        return Denials(
            self.subjects - other.subjects,
            tuple(pattern for pattern in self.patterns if pattern not in other.patterns),
            self.fingerprints - other.fingerprints,
        )

    def __bool__(self) -> bool:
        """Returns True if anything is denied."""
        return bool(self.subjects or self.patterns or self.fingerprints)


NO_DENIALS = Denials()


@dataclass(frozen=True, slots=True)
class IdentitySettings:
    """The operators' settings for callers, as an immutable value."""

    key_ring_path: str
    rules: tuple[CallerRule, ...] = ()
    denied_subjects: tuple[str, ...] = ()  # patterns of subjects
    denied_fingerprints: frozenset[str] = frozenset()  # of certificates
    anonymous: Caller | None = None  # the caller without a credential; None: a credential is required
    clock_skew_s: float = 30.0
    migrate_within_s: float | None = None  # None: connections stay open when a credential becomes invalid
    cache_size: int = 8192  # verified tokens
    suspect_checks_per_s: float = 50.0  # signature checks for all suspect addresses together
    distributed_denials: Denials = NO_DENIALS  # from the distributed configuration, not the settings file


@dataclass(frozen=True, slots=True)
class RuleEvaluation:
    """The result of evaluating one rule, for the command ``caller explain``."""

    rule: CallerRule
    mismatch: str  # why the rule does not match; empty if it matches


def matches_pattern(pattern: str, text: str) -> bool:
    """Returns True if the whole text matches; ``*`` stands for any text and ``?`` for any character."""
    return _compile_pattern(pattern).fullmatch(text) is not None


@lru_cache(maxsize=MAX_COMPILED_PATTERNS)
def _compile_pattern(pattern: str) -> re.Pattern[str]:
    first, *rest = pattern.split("*")
    if not rest:
        return re.compile(_escape(first), re.DOTALL)
    # The first match of the text between two stars is sufficient. The atomic group prevents backtracking,
    # whose time would grow exponentially with the number of stars.
    between = "".join(f"(?>.*?{_escape(text)})" for text in rest[:-1] if text)
    return re.compile(f"{_escape(first)}{between}.*{_escape(rest[-1])}", re.DOTALL)


def _escape(text: str) -> str:
    return "".join("." if character == "?" else re.escape(character) for character in text)


def audiences(claims: Mapping[str, object]) -> tuple[str, ...]:
    """Returns the token's audiences; the claim is a string or a list of strings (RFC 7519, 4.1.3)."""
    value = claims.get("aud")
    if isinstance(value, str):
        return (value,)
    return tuple(item for item in value if isinstance(item, str)) if isinstance(value, list) else ()


def mismatch(match: TokenMatch, claims: Mapping[str, object]) -> str:
    """Returns why the claims do not match, or an empty string if they do."""
    subject = claims.get("sub")
    if claims.get("iss") != match.issuer:
        return f"issuer {claims.get('iss')!r} is not {match.issuer!r}"
    if match.audience not in audiences(claims):
        return f"audience {claims.get('aud')!r} does not include {match.audience!r}"
    if not isinstance(subject, str) or not matches_pattern(match.subject, subject):
        return f"subject {subject!r} does not match {match.subject!r}"
    return ""


def explain(settings: IdentitySettings, claims: Mapping[str, object]) -> list[RuleEvaluation]:
    """Evaluates the rules in order, up to and including the first that matches."""
    evaluations = []
    for rule in settings.rules:
        mismatches = [mismatch(match, claims) for match in rule.tokens]
        matches = "" in mismatches
        evaluations.append(RuleEvaluation(rule, "" if matches else "; ".join(mismatches)))
        if matches:
            break
    return evaluations


def is_denied(settings: IdentitySettings, claims: Mapping[str, object]) -> bool:
    """Returns True if the token's subject is denied."""
    subject = claims.get("sub")
    if not isinstance(subject, str):
        return False
    return settings.distributed_denials.denies_subject(subject) or any(
        matches_pattern(pattern, subject) for pattern in settings.denied_subjects
    )


def caller_of_claims(settings: IdentitySettings, claims: Mapping[str, object]) -> Caller | None:
    """Returns the caller of the first rule that matches the claims, or None."""
    for rule in settings.rules:
        if any(not mismatch(match, claims) for match in rule.tokens):
            return rule.caller
    return None


def caller_of_names(settings: IdentitySettings, names: tuple[str, ...]) -> Caller | None:
    """Returns the caller of the first rule that matches one of a certificate's names, or None."""
    for rule in settings.rules:
        if any(matches_pattern(pattern, name) for pattern in rule.names for name in names):
            return rule.caller
    return None
