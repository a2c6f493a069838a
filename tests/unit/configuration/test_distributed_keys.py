"""Tests of the distributed keys in a proxy: denials, the log level, and rejected changes."""

from __future__ import annotations

import logging
import random
import ssl
import subprocess
import sys
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule, run_state_machine_as_test

from ironmill.configuration import distributed_keys
from ironmill.configuration.distributed_keys import AppliedKeys, ConfigurationConsumer, check_form
from ironmill.distribution.changes import Changes
from ironmill.distribution.interfaces import Consumer
from ironmill.distribution.rejection import Rejection
from ironmill.identity import rules
from ironmill.identity.authenticator import Admitted, Rejected
from ironmill.identity.callers import Callers
from ironmill.identity.errors import RejectionReason
from ironmill.identity.rules import CallerRule, Denials, TokenMatch, matches_pattern
from ironmill.runtime import logs
from ironmill.runtime.logs import LogSettings
from ironmill.runtime.timers import TimerQueue
from ironmill_testbed.certificates import Authority, fingerprint
from tests.support.identity import AUDIENCE, ISSUER, FakeConnection, Keys, identity
from tests.support.identity import rule as rule_of
from tests.support.requests import FakeTimers

FINGERPRINT = "ab" * 32


@pytest.fixture(scope="module")
def keys(tmp_path_factory: pytest.TempPathFactory) -> Keys:
    return Keys(tmp_path_factory.mktemp("keys"))


@pytest.fixture
def root_logger() -> Iterator[logging.Logger]:
    """The root logger. Its level and handlers are restored afterwards."""
    logger = logging.getLogger()
    level, handlers = logger.level, logger.handlers[:]
    yield logger
    logs.override_level("")
    logger.handlers[:] = handlers
    logger.setLevel(level)


def ignore_level(_: str) -> None:
    pass


def callers_of(keys: Keys, timers: Any, clock: Any = time.time, **changes: Any) -> Callers:
    return Callers(identity(**changes), keys.ring(), timers, clock)


@pytest.mark.parametrize(
    ("key", "value", "reason"),
    [
        ("deny/subject/farm-17@*", b"leaked", ""),
        ("deny/subject/" + "x" * 187, b"", ""),
        ("deny/subject/a/b", b"\xff", ""),
        ("deny/subject/", b"x", "invalid subject pattern; expected 1 to 255 printable"),
        ("deny/subject/a b", b"x", "invalid subject pattern; expected 1 to 255 printable"),
        ("deny/subject/ß", b"x", "invalid subject pattern; expected"),
        (f"deny/fingerprint/{FINGERPRINT}", b"", ""),
        (f"deny/fingerprint/{FINGERPRINT.upper()}", b"", "expected 64 lowercase hexadecimal digits"),
        ("deny/fingerprint/ab", b"", "expected 64 lowercase hexadecimal digits"),
        (f"deny/fingerprint/{FINGERPRINT}\n", b"", "expected 64 lowercase hexadecimal digits"),
        ("log/level", b"debug", ""),
        ("log/level", b"error", ""),
        ("log/level", b"DEBUG", "invalid log level; expected one of"),
        ("log/level", b"", "invalid log level; expected one of debug, info, warning, error"),
        ("log/level/x", b"info", "unknown key"),
        ("shard/registry-3", b"r17", ""),
        ("shard/a/b", "straße".encode(), ""),
        ("shard/x", b"u" * 64, ""),
        ("shard/x", "ß".encode() * 64, ""),
        ("shard/x", b"u" * 65, "invalid server uid; expected 1 to 64 printable"),
        ("shard/x", b"", "invalid server uid; expected 1 to 64 printable"),
        ("shard/x", b"a\nb", "invalid server uid; expected 1 to 64 printable"),
        ("shard/x", b"\xff", "is not valid UTF-8"),
        ("shard/", b"r", "the shard name is empty"),
        ("deny/", b"", "unknown key"),
        ("deny", b"", "unknown key"),
        ("Shard/x", b"r", "unknown key"),
        ("", b"", "unknown key"),
    ],
)
def test_malformed_keys_and_values_are_rejected_with_the_reason(key: str, value: bytes, reason: str) -> None:
    rejection = check_form({"shard/good": b"r1", key: value})
    assert (rejection is None) is not bool(reason)
    if rejection is not None:
        assert rejection.key == key
        assert reason in rejection.reason
    assert check_form({key: None}) is None  # a deletion repairs a rejected revision


@given(st.dictionaries(st.text(max_size=30), st.none() | st.binary(max_size=80), max_size=4))
def test_arbitrary_changes_that_pass_the_check_are_applied(changes: Changes) -> None:
    for prefix in ("", "deny/subject/", "shard/", "log/level"):
        consumer = ConfigurationConsumer(None, ignore_level)
        prefixed = {prefix + key: value for key, value in changes.items()}
        if consumer.check(prefixed) is None:
            consumer.apply(prefixed)
            assert consumer.applied.subjects == frozenset()


def test_without_identity_denials_are_rejected_and_other_keys_applied(root_logger: logging.Logger) -> None:
    consumer = ConfigurationConsumer(None)
    for key in ("deny/subject/x", f"deny/fingerprint/{FINGERPRINT}"):
        rejection = consumer.check({"log/level": b"debug", key: b""})
        assert rejection == Rejection(
            key, "this proxy's settings hold no identity element, so no caller is denied"
        )
        assert consumer.check({key: None, "log/level": b"debug", "shard/a": b"r"}) is None
    consumer.apply({"log/level": b"debug", "deny/subject/x": None, "shard/a": b"r"})
    assert root_logger.level == logging.DEBUG


def test_check_changes_nothing(keys: Keys, monkeypatch: pytest.MonkeyPatch) -> None:
    callers = callers_of(keys, FakeTimers(monkeypatch))
    consumer = ConfigurationConsumer(callers, lambda level: pytest.fail(level))
    applied, identity_settings = consumer.applied, callers.authenticator.settings
    assert consumer.check({"deny/subject/a": b"", "log/level": b"debug"}) is None
    assert consumer.check({"deny/subject/a": b"", "other": b""}) == Rejection("other", "unknown key")
    assert consumer.applied is applied
    assert callers.authenticator.settings is identity_settings


def test_denials_over_a_limit_are_rejected_with_their_key(
    keys: Keys, monkeypatch: pytest.MonkeyPatch
) -> None:
    for name in ("MAX_SUBJECTS", "MAX_PATTERNS", "MAX_FINGERPRINTS"):
        monkeypatch.setattr(distributed_keys, name, 2)
    consumer = ConfigurationConsumer(callers_of(keys, FakeTimers(monkeypatch)), ignore_level)
    for description, names in (
        ("subjects", ["deny/subject/a", "deny/subject/b", "deny/subject/c"]),
        ("subjects with wildcards", ["deny/subject/*a", "deny/subject/b?", "deny/subject/*"]),
        ("fingerprints", [f"deny/fingerprint/{letter * 64}" for letter in "abc"]),
    ):
        consumer.apply(dict.fromkeys(names[:2], b""))
        reason = f"3 {description} would be denied; at most 2 are allowed"
        assert consumer.check({"shard/x": b"r", names[2]: b""}) == Rejection(names[2], reason)
        # A revision that deletes one key and sets another one stays within the limit.
        assert consumer.check({names[0]: None, names[2]: b""}) is None
        assert consumer.check({names[1]: b"another note"}) is None


def test_level_override_survives_a_reload_until_its_key_is_deleted(root_logger: logging.Logger) -> None:
    logs.set_up("p", LogSettings(level="warning"))
    consumer = ConfigurationConsumer(None)
    consumer.apply({"log/level": b"debug"})
    assert root_logger.level == logging.DEBUG
    logs.set_up("p", LogSettings(level="error"))  # as on SIGHUP
    assert root_logger.level == logging.DEBUG
    consumer.apply({"shard/x": b"r"})
    assert root_logger.level == logging.DEBUG
    consumer.apply({"log/level": None})
    assert root_logger.level == logging.ERROR
    logs.set_up("p", None)
    assert root_logger.level == logging.INFO


def test_denied_callers_with_established_connections_are_migrated(
    keys: Keys, monkeypatch: pytest.MonkeyPatch
) -> None:
    timers = FakeTimers(monkeypatch)
    offset = time.time() - timers.now
    callers = callers_of(keys, timers, lambda: timers.now + offset, migrate_within_s=1.0)
    consumer = ConfigurationConsumer(callers, ignore_level)
    connections = [FakeConnection() for _ in range(4)]
    for index, connection in enumerate(connections):
        verdict = callers.authenticate_token(keys.token(sub=f"farm-{index}"), "x")
        assert isinstance(verdict, Admitted)
        assert callers.open_connection(verdict) is None
        callers.connection_established(verdict, connection)

    def migration_counts() -> list[int]:
        timers.run(2.0)
        return [len(connection.migrated_at) for connection in connections]

    consumer.apply({"deny/subject/farm-1": b"", "deny/subject/farm-9": b""})
    assert migration_counts() == [0, 1, 0, 0]
    consumer.apply({"deny/subject/?arm-3": b""})
    assert migration_counts() == [0, 1, 0, 1]
    # Both denials survive a reload and a new key ring, and no connection is migrated twice.
    callers.reconfigure(identity(migrate_within_s=1.0, denied_subjects=("farm-2",)), keys.ring())
    assert migration_counts() == [0, 1, 1, 1]
    callers.reconfigure(identity(migrate_within_s=1.0), keys.ring())
    callers.reconfigure(callers.authenticator.settings, keys.ring())  # as the key ring watcher does
    assert migration_counts() == [0, 1, 1, 1]
    verdicts = [callers.authenticate_token(keys.token(sub=f"farm-{index}"), "x") for index in range(4)]
    assert [isinstance(verdict, Admitted) for verdict in verdicts] == [True, False, True, False]
    consumer.apply({"deny/subject/farm-1": None, "deny/subject/?arm-3": None, "deny/subject/farm-9": None})
    assert isinstance(callers.authenticate_token(keys.token(sub="farm-3"), "x"), Admitted)
    # If the settings say that established connections are kept, a denial keeps them too.
    callers.reconfigure(identity(migrate_within_s=None), keys.ring())
    consumer.apply({"deny/subject/farm-0": b""})
    assert migration_counts() == [0, 1, 1, 1]


def test_request_begun_before_a_denial_is_migrated_once_established(
    keys: Keys, monkeypatch: pytest.MonkeyPatch
) -> None:
    timers = FakeTimers(monkeypatch)
    offset = time.time() - timers.now
    callers = callers_of(keys, timers, lambda: timers.now + offset, migrate_within_s=1.0)
    connection = FakeConnection()
    session = callers.new_session(connection, "x")
    assert session.present_token(keys.token()) is None
    ConfigurationConsumer(callers, ignore_level).apply({"deny/subject/farm-1": b""})
    # The rules that were in force when the token was presented apply.
    assert session.request_connection("read") is None
    session.connection_established()
    timers.run(2.0)
    assert len(connection.migrated_at) == 1


def test_denied_certificate_is_rejected_and_its_connections_migrated(
    keys: Keys, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    timers = FakeTimers(monkeypatch)
    offset = time.time() - timers.now
    caller_rule = CallerRule(rule_of().caller, (), 1, ("dns:*.farm.example",))
    callers = Callers(
        identity(caller_rule, migrate_within_s=0.5), keys.ring(), timers, lambda: timers.now + offset
    )
    certificate_path, _ = Authority(tmp_path).certificate("x", "x.farm.example")
    der = ssl.PEM_cert_to_DER_cert(Path(certificate_path).read_text())
    verdict = callers.authenticate_certificate(der, "x")
    assert isinstance(verdict, Admitted)
    assert verdict.certificate is not None
    connection = FakeConnection()
    callers.open_connection(verdict)
    callers.connection_established(verdict, connection)
    key = f"deny/fingerprint/{fingerprint(certificate_path)}"
    consumer = ConfigurationConsumer(callers, ignore_level)
    assert consumer.check({key: b"lost"}) is None
    consumer.apply({key: b"lost"})
    denied_verdict = callers.authenticate_certificate(der, "x")
    assert isinstance(denied_verdict, Rejected)
    assert denied_verdict.reason is RejectionReason.DENIED
    timers.run(1.0)
    assert len(connection.migrated_at) == 1
    consumer.apply({key: None})
    assert isinstance(callers.authenticate_certificate(der, "x"), Admitted)


SUBJECTS = ["farm-1", "farm-2", "farm-22", "farm-x", "farm-"]
PATTERNS = ["farm-1", "farm-2", "farm-2?", "farm-*", "*x", "farm-?", "*", "other", "?arm-*2", "farm-**"]


class DenialMachine(RuleBasedStateMachine):
    """Applies revisions, reloads and new key rings in any order; both settings and distributed keys deny."""

    keys: Keys
    tokens: dict[str, bytes]  # by subject

    def __init__(self) -> None:
        super().__init__()
        self.timers = TimerQueue(time.monotonic)
        self.callers = callers_of(self.keys, self.timers)
        self.consumer = ConfigurationConsumer(self.callers, self.record_level)
        self.pushed_keys: dict[str, bytes] = {}
        self.settings_patterns: tuple[str, ...] = ()
        self.level = ""

    def record_level(self, level: str) -> None:
        assert level != self.level  # the same level is not set twice in a row
        self.level = level

    @rule(
        changes=st.dictionaries(
            st.sampled_from([f"deny/subject/{pattern}" for pattern in PATTERNS])
            | st.sampled_from(["log/level", "shard/a", "other"]),
            st.none() | st.sampled_from([b"info", b"debug", b""]),
            min_size=1,
            max_size=4,
        )
    )
    def revision(self, changes: Changes) -> None:
        applied, level = self.consumer.applied, self.level
        rejection = self.consumer.check(changes)
        invalid_keys = {
            key
            for key, value in changes.items()
            if value is not None and (key == "other" or (value == b"" and key in ("log/level", "shard/a")))
        }
        assert (rejection is not None) is bool(invalid_keys)
        assert (self.consumer.applied, self.level) == (applied, level)
        if rejection is not None:
            assert rejection.key in invalid_keys
            return
        self.consumer.apply(changes)
        merged = self.pushed_keys | changes
        self.pushed_keys = {key: value for key, value in merged.items() if value is not None}

    @rule(patterns=st.lists(st.sampled_from(PATTERNS[:6]), max_size=2))
    def reload(self, patterns: list[str]) -> None:
        self.settings_patterns = tuple(patterns)
        self.callers.reconfigure(identity(denied_subjects=self.settings_patterns), self.keys.ring())

    @rule()
    def replace_key_ring(self) -> None:
        self.callers.reconfigure(self.callers.authenticator.settings, self.keys.ring())

    @invariant()
    def callers_are_denied_by_settings_or_keys(self) -> None:
        denied = [
            key.removeprefix("deny/subject/") for key in self.pushed_keys if key.startswith("deny/subject/")
        ]
        for subject, token in self.tokens.items():
            verdict = self.callers.authenticator.authenticate_token(token, "x", time.time())
            expected = any(
                reference_match(pattern, subject) for pattern in (*self.settings_patterns, *denied)
            )
            assert isinstance(verdict, Rejected) is expected, (subject, self.settings_patterns, denied)
            if isinstance(verdict, Rejected):
                assert verdict.reason is RejectionReason.DENIED
        assert self.level == self.pushed_keys.get("log/level", b"").decode()


def test_denied_callers_are_those_of_settings_or_distributed_keys(keys: Keys) -> None:
    class Machine(DenialMachine):
        pass

    Machine.keys = keys
    Machine.tokens = {subject: keys.token(sub=subject) for subject in SUBJECTS}
    run_state_machine_as_test(Machine, settings=settings(max_examples=40, stateful_step_count=20))


def reference_match(pattern: str, text: str) -> bool:
    """Matches a pattern recursively; the reference for ``matches_pattern``."""
    if not pattern:
        return not text
    if pattern[0] == "*":
        return any(reference_match(pattern[1:], text[at:]) for at in range(len(text) + 1))
    return bool(text) and pattern[0] in ("?", text[0]) and reference_match(pattern[1:], text[1:])


@given(st.text("ab*?.\n[", max_size=8), st.text("ab.\n[", max_size=10))
def test_pattern_matches_like_the_reference(pattern: str, text: str) -> None:
    assert matches_pattern(pattern, text) is reference_match(pattern, text)


def test_pattern_with_many_wildcards_matches_in_bounded_time() -> None:
    started_at = time.process_time()
    for pattern in ("*a" * 90 + "*b", "a*" * 93, "*?" * 90 + "b"):
        assert not matches_pattern(pattern, "a" * 80 + "c")
    assert matches_pattern("*a" * 90 + "*", "a" * 255)
    assert time.process_time() - started_at < 2.0


def test_whole_subjects_are_looked_up_not_scanned(monkeypatch: pytest.MonkeyPatch) -> None:
    """Counts the pattern matches; a subject without wildcards needs none."""
    calls = 0

    def counting_match(pattern: str, text: str) -> bool:
        nonlocal calls
        calls += 1
        return matches_pattern(pattern, text)

    monkeypatch.setattr(rules, "matches_pattern", counting_match)
    denials = Denials(frozenset(f"farm-{index}" for index in range(5000)), ("a*",))
    assert denials.denies_subject("farm-4999")
    assert not denials.denies_subject("farm-5000")
    assert calls == 1
    new_denials = Denials(denials.subjects | {"b"}, ("a*", "c?"), frozenset({FINGERPRINT})) - denials
    assert new_denials == Denials(frozenset({"b"}), ("c?",), frozenset({FINGERPRINT}))
    assert not denials - denials


def test_unchanged_sets_are_not_copied() -> None:
    rng = random.Random(2)
    applied_keys = AppliedKeys().with_changes({f"deny/subject/s{rng.random()}": b"" for _ in range(100)})
    assert applied_keys.with_changes({"shard/a": b"r"}).subjects is applied_keys.subjects
    assert applied_keys.with_changes({"deny/subject/*": b""}).subjects is applied_keys.subjects


def test_consumer_does_not_import_identity() -> None:
    # The annotation lets mypy check that the class implements the protocol.
    consumer: Consumer = ConfigurationConsumer(None, ignore_level)
    assert consumer.check({}) is None
    assert TokenMatch(ISSUER, AUDIENCE).subject == "*"
    code = (
        "import sys, ironmill.configuration.distributed_keys\n"
        "print([name for name in ('ironmill.identity.callers', 'ironmill.identity', 'cryptography', 'lxml')"
        " if name in sys.modules])"
    )
    completed = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    assert completed.stdout.strip() == "[]"
