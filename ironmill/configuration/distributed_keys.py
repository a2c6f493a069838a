"""What the keys of distributed configuration mean.

| key                    | value                         | meaning                                    |
| ---------------------- | ----------------------------- | ------------------------------------------ |
| deny/subject/PATTERN   | a note                        | whose token's subject fits is denied       |
| deny/fingerprint/HEX64 | a note                        | the certificate is denied                  |
| log/level              | debug, info, warning or error | in place of the settings' level            |
| shard/NAME             | a server's uid                | looked up where it is wanted, never copied |

A key may always be deleted, also one that nobody knows: that mends a revision which was refused.
"""

from __future__ import annotations

import re
from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING

from msgspec import Struct

from ironmill.distribution.revision import Rejection
from ironmill.runtime import logs

if TYPE_CHECKING:  # a proxy without identity, and a control machine, need none of it
    from ironmill.identity.callers import Callers

SUBJECT, FINGERPRINT, LEVEL, SHARD = "deny/subject/", "deny/fingerprint/", "log/level", "shard/"
LEVELS = ("debug", "info", "warning", "error")
MAX_UID_CHARACTERS = 64  # characters
MAX_SUBJECTS = 20_000  # whole ones; guards memory, and the time in which one more is taken in
MAX_PATTERNS = 256  # with wildcards; guards the time that each credential takes
MAX_FINGERPRINTS = 20_000


def check_form(changes: Mapping[str, bytes | None]) -> Rejection | None:
    """Why these can be no configuration of any proxy; None if they can."""
    for key, value in changes.items():
        if value is not None and (reason := _wrong(key, value)):
            return Rejection(key, reason)
    return None


def _wrong(key: str, value: bytes) -> str:
    """What is wrong with a key that is set; empty if nothing is."""
    if key.startswith(SUBJECT):
        if re.fullmatch(r"[!-~]{1,255}", key.removeprefix(SUBJECT)) is None:
            return "a pattern is 1 to 255 printable characters without blanks"
    elif key.startswith(FINGERPRINT):
        if re.fullmatch(r"[0-9a-f]{64}", key.removeprefix(FINGERPRINT)) is None:
            return "a fingerprint is the SHA-256 of a certificate's DER form, 64 digits of 0 to 9 and a to f"
    elif key == LEVEL:
        if value not in [level.encode() for level in LEVELS]:
            return f"a level is one of {', '.join(LEVELS)}"
    elif key.startswith(SHARD):
        if key == SHARD:
            return "a shard has a name"
        try:
            uid = value.decode()
        except UnicodeDecodeError:
            return "a server's uid is UTF-8"
        if not 1 <= len(uid) <= MAX_UID_CHARACTERS or not uid.isprintable():
            return f"a server's uid is 1 to {MAX_UID_CHARACTERS} printable characters"
    else:
        return "unknown key"
    return ""


class AppliedKeys(Struct, frozen=True):
    """What the keys say that are not looked up one at a time."""

    subjects: frozenset[str] = frozenset()
    patterns: frozenset[str] = frozenset()
    fingerprints: frozenset[str] = frozenset()
    level: str = ""  # empty: as the settings say

    def with_changes(self, changes: Mapping[str, bytes | None]) -> AppliedKeys:
        """The same with these changes, which are in form."""
        kinds = {"subjects": self.subjects, "patterns": self.patterns, "fingerprints": self.fingerprints}
        more: dict[str, set[str]] = {kind: set() for kind in kinds}
        less: dict[str, set[str]] = {kind: set() for kind in kinds}
        level = self.level
        for key, value in changes.items():
            if key == LEVEL:
                level = "" if value is None else value.decode()
            elif key.startswith(SUBJECT):
                name = key.removeprefix(SUBJECT)
                kind = "patterns" if "*" in name or "?" in name else "subjects"
                (less if value is None else more)[kind].add(name)
            elif key.startswith(FINGERPRINT):
                (less if value is None else more)["fingerprints"].add(key.removeprefix(FINGERPRINT))
        # What nothing changes in is not copied.
        subjects, patterns, fingerprints = (
            names - less[kind] | more[kind] if less[kind] or more[kind] else names
            for kind, names in kinds.items()
        )
        return AppliedKeys(subjects, patterns, fingerprints, level)

    def too_many(self) -> str:
        """What there is too much of; empty if nothing is."""
        for what, found, most in (
            ("subjects", self.subjects, MAX_SUBJECTS),
            ("subjects with wildcards", self.patterns, MAX_PATTERNS),
            ("fingerprints", self.fingerprints, MAX_FINGERPRINTS),
        ):
            if len(found) > most:
                return f"{len(found)} {what} would be denied; a proxy takes {most} at most"
        return ""


class ConfigurationConsumer:
    """A proxy's ``Consumer``: it puts what the keys say into force."""

    looked_up: tuple[str, ...] = (SHARD,)

    def __init__(
        self, callers: Callers | None, set_level: Callable[[str], object] = logs.override_level
    ) -> None:
        """``callers`` are there where the settings hold an identity."""
        self._callers = callers
        self._set_level = set_level
        self.applied = AppliedKeys()

    def check(self, changes: Mapping[str, bytes | None]) -> Rejection | None:
        """Why these cannot come into force here; None if they can. Nothing changes by it."""
        refusal = check_form(changes)
        if refusal is not None:
            return refusal
        if self._callers is None:
            for key, value in changes.items():
                if value is not None and key.startswith((SUBJECT, FINGERPRINT)):
                    return Rejection(key, "this proxy's settings hold no identity, so nobody can be denied")
        if wrong := self.applied.with_changes(changes).too_many():
            more = (key for key, value in changes.items() if value is not None and key.startswith("deny/"))
            return Rejection(next(more, ""), wrong)
        return None

    def apply(self, changes: Mapping[str, bytes | None]) -> None:
        """All of them are in force from now on, at once. They have passed ``check``."""
        old, new = self.applied, self.applied.with_changes(changes)
        self.applied = new
        if self._callers is not None and (new.subjects, new.patterns, new.fingerprints) != (
            old.subjects,
            old.patterns,
            old.fingerprints,
        ):
            from ironmill.identity.rules import Denials  # here, for without identity there is no need of it

            self._callers.deny(Denials(new.subjects, tuple(sorted(new.patterns)), new.fingerprints))
        if new.level != old.level:
            self._set_level(new.level)
