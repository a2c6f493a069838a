"""Tests of caller sessions, and of migration when a credential is no longer valid."""

from __future__ import annotations

import time

import pytest

from ironmill.identity import callers as callers_module
from ironmill.identity.authenticator import Admitted
from ironmill.identity.callers import Callers
from ironmill.identity.sessions import RETRY_NEVER
from tests.support.identity import (
    FakeConnection,
    Keys,
    identity,
    rule,
)
from tests.support.requests import FakeTimers


def test_expired_and_denied_callers_are_migrated_evenly(keys: Keys, monkeypatch: pytest.MonkeyPatch) -> None:
    timers = FakeTimers(monkeypatch)
    unix_offset = time.time() - timers.now
    callers = Callers(
        identity(migrate_within_s=10.0, clock_skew_s=0.0),
        keys.ring(),
        timers,
        lambda: timers.now + unix_offset,
    )
    now = timers.now + unix_offset
    drivers = [FakeConnection() for _ in range(4)]
    for index, driver in enumerate(drivers):
        token = keys.token(exp=now + (5.5 if index < 2 else 1000.0), sub=f"farm-{index}")
        verdict = callers.authenticate_token(token, "x")
        assert isinstance(verdict, Admitted)
        assert callers.open_connection(verdict) is None
        callers.connection_established(verdict, driver)
    start = timers.now
    timers.run(5.0)
    assert [driver.migrated_at for driver in drivers] == [[], [], [], []]
    timers.run(20.0)
    first_migrated_at, second_migrated_at = drivers[0].migrated_at[0], drivers[1].migrated_at[0]
    assert 5.5 <= first_migrated_at - start <= 5.5 + callers_module.EXPIRY_CHECK_INTERVAL_S
    assert second_migrated_at - first_migrated_at == pytest.approx(5.0)
    callers.reconfigure(
        identity(migrate_within_s=10.0, clock_skew_s=0.0, denied_subjects=("farm-3",)), keys.ring()
    )
    timers.run(1.0)
    assert [len(driver.migrated_at) for driver in drivers] == [1, 1, 0, 1]


def test_session_keeps_its_settings_until_connection_is_established(
    keys: Keys, monkeypatch: pytest.MonkeyPatch
) -> None:
    timers = FakeTimers(monkeypatch)
    unix_offset = time.time() - timers.now
    callers = Callers(identity(migrate_within_s=1.0), keys.ring(), timers, lambda: timers.now + unix_offset)
    driver = FakeConnection()
    session = callers.new_session(driver, "x")
    assert session.present_token(keys.token()) is None
    # The settings change between the token and the request: the tenant differs and the caller is denied.
    new_settings = identity(rule("others"), migrate_within_s=1.0, denied_subjects=("farm-1",))
    callers.reconfigure(new_settings, keys.ring())
    assert session.request_connection("read") is None
    assert session.tenant == "tenant-farms"
    rejected_session = callers.new_session(FakeConnection(), "x")
    assert rejected_session.present_token(keys.token()) == RETRY_NEVER
    session.connection_established()
    timers.run(2.0)
    assert len(driver.migrated_at) == 1
    # A new key ring, unlike new settings, applies to sessions that exist already.
    other_session = callers.new_session(FakeConnection(), "x")
    assert other_session.present_token(keys.token(sub="farm-3")) is None
    callers.reconfigure(new_settings, keys.ring().retired("a", 1.0))
    assert other_session.request_connection("read") == RETRY_NEVER


def test_closed_connections_are_not_kept_until_expiry(keys: Keys, monkeypatch: pytest.MonkeyPatch) -> None:
    timers = FakeTimers(monkeypatch)
    callers = Callers(identity(), keys.ring(), timers, lambda: timers.now + 1e9)
    admitted = Admitted(rule().caller, "a", 3e9)
    for _ in range(500):
        driver = FakeConnection()
        callers.open_connection(admitted)
        callers.connection_established(admitted, driver)
        callers.close_connection(admitted, driver)
    timers.run(2.0)
    assert len(callers._expiries) <= 64
