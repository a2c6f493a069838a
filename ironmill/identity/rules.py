"""Rules that map credentials to callers, their tenants and their rights."""

from __future__ import annotations

import re
from collections.abc import Mapping
from dataclasses import dataclass
from functools import lru_cache

MAX_COMPILED_PATTERNS = 1024


@dataclass(frozen=True, slots=True)
class Rights:
    """What a caller may do through one proxy. None is no limit."""

    classes: frozenset[str] | None = None
    max_connections: int | None = None  # established or being established
    max_openings_per_s: float | None = None


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
    subject: str = "*"  # a pattern


@dataclass(frozen=True, slots=True)
class CallerRule:
    """A caller, and the tokens and certificates that belong to it."""

    caller: Caller
    tokens: tuple[TokenMatch, ...] = ()
    line: int = 0  # in the settings file
    names: tuple[str, ...] = ()  # patterns of certificates' names, as dns:NAME, uri:URI or email:ADDRESS


@dataclass(frozen=True, slots=True)
class Denials:
    """Credentials that distributed configuration denies. The cost of a check grows only with the patterns."""

    subjects: frozenset[str] = frozenset()
    patterns: tuple[str, ...] = ()  # of subjects
    fingerprints: frozenset[str] = frozenset()

    def deny_subject(self, subject: str) -> bool:
        """Returns True if the subject is denied."""
        return subject in self.subjects or any(matches_pattern(pattern, subject) for pattern in self.patterns)

    def __sub__(self, other: Denials) -> Denials:
        """Returns the denials that the other ones do not include."""
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
    """The operators' settings of callers, as one immutable value."""

    key_ring_path: str
    rules: tuple[CallerRule, ...] = ()
    denied_subjects: tuple[str, ...] = ()  # patterns
    denied_fingerprints: frozenset[str] = frozenset()  # of certificates
    anonymous: Caller | None = None  # the caller without a credential; None: a credential is required
    clock_skew_s: float = 30.0
    migrate_within_s: float | None = None  # None: connections stay open when their credential ends
    cache_size: int = 8192  # tokens
    suspect_checks_per_s: float = 50.0
    distributed_denials: Denials = NO_DENIALS  # not from the settings file


@dataclass(frozen=True, slots=True)
class RuleEvaluation:
    """The result of one rule, for ``caller explain``."""

    rule: CallerRule
    mismatch: str  # empty if the rule matches


def matches_pattern(pattern: str, text: str) -> bool:
    """Returns True if the whole text matches: ``*`` is any text, ``?`` any character."""
    return _compiled(pattern).fullmatch(text) is not None


@lru_cache(maxsize=MAX_COMPILED_PATTERNS)
def _compiled(pattern: str) -> re.Pattern[str]:
    first, *rest = pattern.split("*")
    if not rest:
        return re.compile(_escaped(first), re.DOTALL)
    # The first match of the text between two stars is sufficient. The atomic group prevents backtracking,
    # whose cost would grow exponentially with the number of stars.
    between = "".join(f"(?>.*?{_escaped(text)})" for text in rest[:-1] if text)
    return re.compile(f"{_escaped(first)}{between}.*{_escaped(rest[-1])}", re.DOTALL)


def _escaped(text: str) -> str:
    return "".join("." if character == "?" else re.escape(character) for character in text)


def audiences(claims: Mapping[str, object]) -> tuple[str, ...]:
    """Returns the token's audience, which may be one text or a list of them (RFC 7519, 4.1.3)."""
    value = claims.get("aud")
    if isinstance(value, str):
        return (value,)
    return tuple(item for item in value if isinstance(item, str)) if isinstance(value, list) else ()


def mismatch(match: TokenMatch, claims: Mapping[str, object]) -> str:
    """Returns why the claims do not match; an empty text if they do."""
    subject = claims.get("sub")
    if claims.get("iss") != match.issuer:
        return f"issuer {claims.get('iss')!r} is not {match.issuer!r}"
    if match.audience not in audiences(claims):
        return f"audience {claims.get('aud')!r} does not name {match.audience!r}"
    if not isinstance(subject, str) or not matches_pattern(match.subject, subject):
        return f"subject {subject!r} does not fit {match.subject!r}"
    return ""


def explain(settings: IdentitySettings, claims: Mapping[str, object]) -> list[RuleEvaluation]:
    """Evaluates the rules in order, up to the first that matches."""
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
    return settings.distributed_denials.deny_subject(subject) or any(
        matches_pattern(pattern, subject) for pattern in settings.denied_subjects
    )


def caller_of_claims(settings: IdentitySettings, claims: Mapping[str, object]) -> Caller | None:
    """Returns the caller of the first rule that the claims match, or None."""
    for rule in settings.rules:
        if any(not mismatch(match, claims) for match in rule.tokens):
            return rule.caller
    return None


def caller_of_names(settings: IdentitySettings, names: tuple[str, ...]) -> Caller | None:
    """Returns the caller of the first rule that one of a certificate's names matches, or None."""
    for rule in settings.rules:
        if any(matches_pattern(pattern, name) for pattern in rule.names for name in names):
            return rule.caller
    return None
