"""The keys of distributed configuration: their valid values and their effect in a proxy.

| key                    | value                         | meaning                                           |
| ---------------------- | ----------------------------- | ------------------------------------------------- |
| deny/subject/PATTERN   | a comment, which is ignored   | tokens whose subject matches are denied           |
| deny/fingerprint/HEX64 | a comment, which is ignored   | the certificate with this SHA-256 is denied       |
| log/level              | debug, info, warning or error | overrides the log level of the settings           |
| shard/NAME             | a server's uid                | read from the keyspace on demand, never copied    |

Any key may be deleted, including an unknown one, because a deletion repairs a revision that was rejected.
"""

from __future__ import annotations

import re
from collections.abc import Callable, Iterator, Mapping
from typing import TYPE_CHECKING

from msgspec import Struct

from ironmill.distribution.rejection import Rejection
from ironmill.runtime import logs

if TYPE_CHECKING:  # a control machine and a proxy without identity do not import it
    from ironmill.identity.callers import Callers

SUBJECT_PREFIX = "deny/subject/"
FINGERPRINT_PREFIX = "deny/fingerprint/"
LEVEL_KEY = "log/level"
SHARD_PREFIX = "shard/"

LEVELS = ("debug", "info", "warning", "error")
MAX_UID_CHARACTERS = 64
MAX_SUBJECTS = 20_000  # denied subjects without wildcards; bounds the memory and the time to apply a change
MAX_PATTERNS = 256  # denied subjects with wildcards; each one is matched against every credential
MAX_FINGERPRINTS = 20_000


def check_form(changes: Mapping[str, bytes | None]) -> Rejection | None:
    """Returns the reason why no proxy can apply the changes, or None if all keys and values are valid."""
    for key, value in changes.items():
        if value is not None and (reason := _malformed_reason(key, value)):
            return Rejection(key, reason)
    return None


def _malformed_reason(key: str, value: bytes) -> str:
    """Returns the reason why a key or its value is malformed; empty if both are well-formed."""
    if key == LEVEL_KEY:
        return _malformed_level_reason(value)
    for prefix, malformed_reason in _REASON_FUNCTIONS_BY_PREFIX.items():
        if key.startswith(prefix):
            return malformed_reason(key.removeprefix(prefix), value)
    return "unknown key"


def _malformed_level_reason(value: bytes) -> str:
    if value in [level.encode() for level in LEVELS]:
        return ""
    return f"invalid log level; expected one of {', '.join(LEVELS)}"


def _malformed_subject_reason(pattern: str, _: bytes) -> str:
    if re.fullmatch(r"[!-~]{1,255}", pattern):
        return ""
    return "invalid subject pattern; expected 1 to 255 printable ASCII characters without spaces"


def _malformed_fingerprint_reason(fingerprint: str, _: bytes) -> str:
    if re.fullmatch(r"[0-9a-f]{64}", fingerprint):
        return ""
    return "invalid fingerprint; expected 64 lowercase hexadecimal digits, the SHA-256 of a DER certificate"


def _malformed_shard_reason(name: str, value: bytes) -> str:
    if not name:
        return "the shard name is empty"
    try:
        uid = value.decode()
    except UnicodeDecodeError:
        return "the server uid is not valid UTF-8"
    if 1 <= len(uid) <= MAX_UID_CHARACTERS and uid.isprintable():
        return ""
    return f"invalid server uid; expected 1 to {MAX_UID_CHARACTERS} printable characters"


_REASON_FUNCTIONS_BY_PREFIX: dict[str, Callable[[str, bytes], str]] = {
    SUBJECT_PREFIX: _malformed_subject_reason,
    FINGERPRINT_PREFIX: _malformed_fingerprint_reason,
    SHARD_PREFIX: _malformed_shard_reason,
}


class _SetChange:
    """Collects the names to add to a set and the names to remove from it."""

    __slots__ = ("added", "removed")

    def __init__(self) -> None:
        self.added: set[str] = set()
        self.removed: set[str] = set()

    def record(self, name: str, value: bytes | None) -> None:
        """Records that the name's key was set, or that it was deleted if the value is None."""
        (self.removed if value is None else self.added).add(name)

    def apply(self, names: frozenset[str]) -> frozenset[str]:
        """Returns the set after the changes; the same object if there are none."""
        if not self.added and not self.removed:
            return names
        return names - self.removed | self.added


class AppliedKeys(Struct, frozen=True):
    """The state of all applied keys, except those that are read on demand."""

    subjects: frozenset[str] = frozenset()
    patterns: frozenset[str] = frozenset()
    fingerprints: frozenset[str] = frozenset()
    level: str = ""  # log level; empty: that of the settings

    def with_changes(self, changes: Mapping[str, bytes | None]) -> AppliedKeys:
        """Returns the state after the changes, which must be well-formed."""
        subjects, patterns, fingerprints = _SetChange(), _SetChange(), _SetChange()
        level = self.level
        for key, value in changes.items():
            if key == LEVEL_KEY:
                level = "" if value is None else value.decode()
            elif key.startswith(SUBJECT_PREFIX):
                name = key.removeprefix(SUBJECT_PREFIX)
                has_wildcard = "*" in name or "?" in name
                (patterns if has_wildcard else subjects).record(name, value)
            elif key.startswith(FINGERPRINT_PREFIX):
                fingerprints.record(key.removeprefix(FINGERPRINT_PREFIX), value)
        return AppliedKeys(
            subjects.apply(self.subjects),
            patterns.apply(self.patterns),
            fingerprints.apply(self.fingerprints),
            level,
        )

    def denies_same_as(self, other: AppliedKeys) -> bool:
        """Returns True if both deny the same subjects and certificates."""
        return (self.subjects, self.patterns, self.fingerprints) == (
            other.subjects,
            other.patterns,
            other.fingerprints,
        )

    def exceeded_limit_reason(self) -> str:
        """Returns a one-line message about an exceeded limit; empty if no limit is exceeded."""
        for description, names, limit in (
            ("subjects", self.subjects, MAX_SUBJECTS),
            ("subjects with wildcards", self.patterns, MAX_PATTERNS),
            ("fingerprints", self.fingerprints, MAX_FINGERPRINTS),
        ):
            if len(names) > limit:
                return f"{len(names)} {description} would be denied; at most {limit} are allowed"
        return ""


class ConfigurationConsumer:
    """Applies distributed configuration to a proxy. Implements ``distribution.interfaces.Consumer``."""

    lookup_prefixes: tuple[str, ...] = (SHARD_PREFIX,)

    def __init__(
        self, callers: Callers | None, set_level: Callable[[str], object] = logs.override_level
    ) -> None:
        """Creates a consumer to which no keys have been applied.

        ``callers`` is None if the settings have no identity element; ``set_level`` sets the log level.
        """
        self._callers = callers
        self._set_level = set_level
        self.applied = AppliedKeys()

    def check(self, changes: Mapping[str, bytes | None]) -> Rejection | None:
        """Returns the reason why this proxy cannot apply the changes, or None. Does not change any state."""
        rejection = check_form(changes)
        if rejection is not None:
            return rejection
        denial_keys = list(_set_denial_keys(changes))
        if self._callers is None and denial_keys:
            reason = "this proxy's settings hold no identity element, so no caller is denied"
            return Rejection(denial_keys[0], reason)
        if limit_reason := self.applied.with_changes(changes).exceeded_limit_reason():
            return Rejection(denial_keys[0] if denial_keys else "", limit_reason)
        return None

    def apply(self, changes: Mapping[str, bytes | None]) -> None:
        """Applies all of the changes. They must have passed ``check``."""
        old, new = self.applied, self.applied.with_changes(changes)
        self.applied = new
        if self._callers is not None and not new.denies_same_as(old):
            from ironmill.identity.rules import Denials  # not imported without identity

            self._callers.set_denials(Denials(new.subjects, tuple(sorted(new.patterns)), new.fingerprints))
        if new.level != old.level:
            self._set_level(new.level)


def _set_denial_keys(changes: Mapping[str, bytes | None]) -> Iterator[str]:
    """Yields the ``deny/`` keys that the changes set, without those that they delete."""
    for key, value in changes.items():
        if value is not None and key.startswith((SUBJECT_PREFIX, FINGERPRINT_PREFIX)):
            yield key
