"""Meaning of the keys of distributed configuration.

| key                    | value                         | meaning                                           |
| ---------------------- | ----------------------------- | ------------------------------------------------- |
| deny/subject/PATTERN   | a note                        | tokens whose subject matches are denied           |
| deny/fingerprint/HEX64 | a note                        | the certificate is denied                         |
| log/level              | debug, info, warning or error | overrides the level of the settings               |
| shard/NAME             | a server's uid                | read on demand from the keyspace, never copied    |

Any key may be deleted, also an unknown one, since a revision that was rejected is repaired by a deletion.
"""

from __future__ import annotations

import re
from collections.abc import Callable, Iterator, Mapping
from typing import TYPE_CHECKING

from msgspec import Struct

from ironmill.distribution.rejection import Rejection
from ironmill.runtime import logs

if TYPE_CHECKING:  # not imported in a control machine, or in a proxy without identity
    from ironmill.identity.callers import Callers

SUBJECT_PREFIX = "deny/subject/"
FINGERPRINT_PREFIX = "deny/fingerprint/"
LEVEL_KEY = "log/level"
SHARD_PREFIX = "shard/"

LEVELS = ("debug", "info", "warning", "error")
MAX_UID_CHARACTERS = 64
MAX_SUBJECTS = 20_000  # without wildcards; bounds memory and the time to apply one more
MAX_PATTERNS = 256  # with wildcards; each is matched with each credential
MAX_FINGERPRINTS = 20_000


def check_form(changes: Mapping[str, bytes | None]) -> Rejection | None:
    """Returns why no proxy could apply the changes; None if their keys and values are well-formed."""
    for key, value in changes.items():
        if value is not None and (fault := _fault(key, value)):
            return Rejection(key, fault)
    return None


def _fault(key: str, value: bytes) -> str:
    """Returns what is wrong with a key and its value; empty if they are well-formed."""
    if key == LEVEL_KEY:
        return _level_fault(value)
    for prefix, fault_of in _FAULTS_BY_PREFIX.items():
        if key.startswith(prefix):
            return fault_of(key.removeprefix(prefix), value)
    return "unknown key"


def _level_fault(value: bytes) -> str:
    if value in [level.encode() for level in LEVELS]:
        return ""
    return f"a level is one of {', '.join(LEVELS)}"


def _subject_fault(pattern: str, _: bytes) -> str:
    if re.fullmatch(r"[!-~]{1,255}", pattern):
        return ""
    return "a pattern is 1 to 255 printable characters without blanks"


def _fingerprint_fault(fingerprint: str, _: bytes) -> str:
    if re.fullmatch(r"[0-9a-f]{64}", fingerprint):
        return ""
    return "a fingerprint is the SHA-256 of a certificate's DER form, 64 digits of 0 to 9 and a to f"


def _shard_fault(name: str, value: bytes) -> str:
    if not name:
        return "a shard has a name"
    try:
        uid = value.decode()
    except UnicodeDecodeError:
        return "a server's uid is UTF-8"
    if 1 <= len(uid) <= MAX_UID_CHARACTERS and uid.isprintable():
        return ""
    return f"a server's uid is 1 to {MAX_UID_CHARACTERS} printable characters"


_FAULTS_BY_PREFIX: dict[str, Callable[[str, bytes], str]] = {
    SUBJECT_PREFIX: _subject_fault,
    FINGERPRINT_PREFIX: _fingerprint_fault,
    SHARD_PREFIX: _shard_fault,
}


class _SetChange:
    """Names to add to a set and to remove from it."""

    __slots__ = ("added", "removed")

    def __init__(self) -> None:
        self.added: set[str] = set()
        self.removed: set[str] = set()

    def record(self, name: str, value: bytes | None) -> None:
        """Records that the key with the name was set, or deleted if the value is None."""
        (self.removed if value is None else self.added).add(name)

    def apply(self, names: frozenset[str]) -> frozenset[str]:
        """Returns the changed set; the same object if nothing changes in it."""
        if not self.added and not self.removed:
            return names
        return names - self.removed | self.added


class AppliedKeys(Struct, frozen=True):
    """The applied keys, except those that are read on demand."""

    subjects: frozenset[str] = frozenset()
    patterns: frozenset[str] = frozenset()
    fingerprints: frozenset[str] = frozenset()
    level: str = ""  # empty: that of the settings

    def with_changes(self, changes: Mapping[str, bytes | None]) -> AppliedKeys:
        """Returns the keys after the changes, which must be well-formed."""
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

    def exceeded_limit(self) -> str:
        """Returns which limit is exceeded, in one line; empty if none is."""
        for what, names, limit in (
            ("subjects", self.subjects, MAX_SUBJECTS),
            ("subjects with wildcards", self.patterns, MAX_PATTERNS),
            ("fingerprints", self.fingerprints, MAX_FINGERPRINTS),
        ):
            if len(names) > limit:
                return f"{len(names)} {what} would be denied; a proxy takes {limit} at most"
        return ""


class ConfigurationConsumer:
    """Applies distributed configuration to a proxy; its ``Consumer``."""

    lookup_prefixes: tuple[str, ...] = (SHARD_PREFIX,)

    def __init__(
        self, callers: Callers | None, set_level: Callable[[str], object] = logs.override_level
    ) -> None:
        """``callers`` is None where the settings name no identity."""
        self._callers = callers
        self._set_level = set_level
        self.applied = AppliedKeys()

    def check(self, changes: Mapping[str, bytes | None]) -> Rejection | None:
        """Returns why the changes cannot be applied here; None if they can. Changes nothing."""
        rejection = check_form(changes)
        if rejection is not None:
            return rejection
        denials = list(_set_denials(changes))
        if self._callers is None and denials:
            reason = "this proxy's settings hold no identity, so nobody can be denied"
            return Rejection(denials[0], reason)
        if exceeded := self.applied.with_changes(changes).exceeded_limit():
            return Rejection(denials[0] if denials else "", exceeded)
        return None

    def apply(self, changes: Mapping[str, bytes | None]) -> None:
        """Applies all of the changes at once. They must have passed ``check``."""
        old, new = self.applied, self.applied.with_changes(changes)
        self.applied = new
        if self._callers is not None and not new.denies_same_as(old):
            from ironmill.identity.rules import Denials  # not needed without identity

            self._callers.set_denials(Denials(new.subjects, tuple(sorted(new.patterns)), new.fingerprints))
        if new.level != old.level:
            self._set_level(new.level)


def _set_denials(changes: Mapping[str, bytes | None]) -> Iterator[str]:
    """Yields the keys that deny somebody and are set, not deleted."""
    for key, value in changes.items():
        if value is not None and key.startswith((SUBJECT_PREFIX, FINGERPRINT_PREFIX)):
            yield key
