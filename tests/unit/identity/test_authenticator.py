"""Tests of token authentication: validity periods, keys, the cache and throttling."""

from __future__ import annotations

import time
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest

from ironmill.identity import authenticator as authenticator_module
from ironmill.identity import suspect_addresses
from ironmill.identity.authenticator import Admitted, Authenticator, Throttled
from ironmill.identity.errors import RejectionReason
from ironmill.identity.keyring import KeyRing, KeyState
from tests.support.identity import (
    Keys,
    authenticator_of,
    forged,
    identity,
    rejection_reason,
)


@pytest.mark.parametrize("kid", ["a", "b"])
def test_valid_token_is_verified_once_then_cached(keys: Keys, kid: str) -> None:
    authenticator, token, now = authenticator_of(keys), keys.token(kid), time.time()
    for _ in range(3):
        verdict = authenticator.authenticate_token(token, "x", now)
        assert isinstance(verdict, Admitted)
        assert (verdict.caller.name, verdict.kid) == ("farms", kid)
    assert (authenticator.signatures_verified, len(authenticator), authenticator.counts) == (
        1,
        1,
        {"admitted": 3},
    )


@pytest.mark.parametrize(
    ("changes", "expected_reason"),
    [
        ({"exp": time.time() - 31.0}, RejectionReason.EXPIRED),
        ({"exp": None}, RejectionReason.MALFORMED),
        ({"exp": "soon"}, RejectionReason.MALFORMED),
        ({"exp": True}, RejectionReason.MALFORMED),
        ({"exp": 1e12}, RejectionReason.MALFORMED),
        ({"exp": -1}, RejectionReason.MALFORMED),
        ({"nbf": time.time() + 3600.0}, RejectionReason.NOT_YET_VALID),
        ({"aud": "other"}, RejectionReason.NO_CALLER),
        ({"aud": None}, RejectionReason.NO_CALLER),
        ({"aud": {"ironmill": 1}}, RejectionReason.NO_CALLER),
        ({"iss": "https://issuer.example/"}, RejectionReason.NO_CALLER),
        ({"sub": "mirror-1"}, RejectionReason.NO_CALLER),
        ({"sub": None}, RejectionReason.MALFORMED),
        ({"sub": "farm-\n"}, RejectionReason.MALFORMED),
        ({"sub": "farm-" + "x" * 300}, RejectionReason.MALFORMED),
        ({"sub": "farm-bad"}, RejectionReason.DENIED),
        ({"pad": "x" * 5000}, RejectionReason.MALFORMED),
    ],
)
def test_signed_but_invalid_token_is_rejected(
    keys: Keys, changes: dict[str, Any], expected_reason: RejectionReason
) -> None:
    authenticator = authenticator_of(keys, denied_subjects=("*-bad",))
    assert (
        rejection_reason(authenticator.authenticate_token(keys.token(**changes), "x", time.time()))
        is expected_reason
    )


def test_token_times_tolerate_clock_skew(keys: Keys) -> None:
    authenticator, now = authenticator_of(keys, clock_skew_s=10.0), time.time()
    token = keys.token(exp=now + 100.0, nbf=now + 50.0)
    assert (
        rejection_reason(authenticator.authenticate_token(token, "x", now + 39.0))
        is RejectionReason.NOT_YET_VALID
    )
    assert isinstance(authenticator.authenticate_token(token, "x", now + 41.0), Admitted)
    assert isinstance(authenticator.authenticate_token(token, "x", now + 109.0), Admitted)
    assert (
        rejection_reason(authenticator.authenticate_token(token, "x", now + 110.0)) is RejectionReason.EXPIRED
    )  # the token is rejected although it is cached


def test_retired_key_is_rejected_at_once_despite_cache(keys: Keys) -> None:
    """A cached token must be accepted until its key expires, and rejected from then on."""
    authenticator, now = authenticator_of(keys), time.time()
    token, uncached_token = keys.token(), keys.token(sub="farm-2")
    ring = keys.ring().retired("a", now + 5.0)
    authenticator.reconfigure(authenticator.settings, ring, now)
    assert isinstance(authenticator.authenticate_token(token, "x", now), Admitted)
    assert isinstance(authenticator.authenticate_token(token, "x", now + 4.9), Admitted)
    for delay_s in (5.0, 6.0):
        assert (
            rejection_reason(authenticator.authenticate_token(token, "x", now + delay_s))
            is RejectionReason.KEY_RETIRED
        )
        assert (
            rejection_reason(authenticator.authenticate_token(uncached_token, "x", now + delay_s))
            is RejectionReason.KEY_RETIRED
        )
    key = ring.get("a")
    assert key is not None
    authenticator.reconfigure(
        authenticator.settings, ring.with_key(replace(key, state=KeyState.RETIRED, valid_until=None)), now
    )
    assert rejection_reason(authenticator.authenticate_token(token, "x", now)) is RejectionReason.KEY_RETIRED
    authenticator.reconfigure(authenticator.settings, KeyRing(), now)
    assert rejection_reason(authenticator.authenticate_token(token, "x", now)) is RejectionReason.UNKNOWN_KEY


def test_coming_key_is_valid_from_its_time(keys: Keys) -> None:
    key = keys.ring().get("b")
    assert key is not None
    now = time.time()
    ring = keys.ring().with_key(replace(key, valid_from=now + 100.0))
    authenticator = Authenticator(identity(clock_skew_s=10.0), ring, now)
    assert (
        rejection_reason(authenticator.authenticate_token(keys.token("b"), "x", now + 89.0))
        is RejectionReason.KEY_NOT_YET_VALID
    )
    assert isinstance(authenticator.authenticate_token(keys.token("b"), "x", now + 91.0), Admitted)


def test_key_with_same_id_does_not_inherit_cache(keys: Keys, tmp_path: Path) -> None:
    authenticator, now = authenticator_of(keys), time.time()
    token = keys.token()
    assert isinstance(authenticator.authenticate_token(token, "x", now), Admitted)
    authenticator.reconfigure(authenticator.settings, Keys(tmp_path).ring(), now)
    assert rejection_reason(authenticator.authenticate_token(token, "x", now)) is RejectionReason.SIGNATURE
    assert len(authenticator) == 0


def test_cache_is_bounded_and_may_be_disabled(keys: Keys) -> None:
    authenticator, now = authenticator_of(keys, cache_size=3), time.time()
    tokens = [keys.token(sub=f"farm-{index}") for index in range(5)]
    for token in tokens:
        authenticator.authenticate_token(token, "x", now)
    assert len(authenticator) == 3
    authenticator.authenticate_token(tokens[-1], "x", now)
    assert authenticator.signatures_verified == 5
    authenticator.authenticate_token(tokens[0], "x", now)
    assert authenticator.signatures_verified == 6
    uncached = authenticator_of(keys, cache_size=0)
    for _ in range(2):
        uncached.authenticate_token(tokens[0], "x", now)
    assert (uncached.signatures_verified, len(uncached)) == (2, 0)


def test_forged_tokens_are_throttled_and_valid_callers_are_not(keys: Keys) -> None:
    authenticator, now = authenticator_of(keys, suspect_checks_per_s=10.0), time.time()
    valid_token, forged_tokens = (
        keys.token(),
        [forged(keys.token(sub=f"farm-{index}")) for index in range(400)],
    )
    assert isinstance(authenticator.authenticate_token(valid_token, "bad", now), Admitted)
    throttled = 0
    for index, token in enumerate(forged_tokens):
        verdict = authenticator.authenticate_token(token, "bad", now + index * 0.001)
        assert not isinstance(verdict, Admitted)
        throttled += isinstance(verdict, Throttled)
    assert authenticator.signatures_verified <= 1 + 5 + authenticator_module.SUSPECT_CHECK_BURST + 10.0 * 0.4
    assert throttled == authenticator.counts["throttled"] > 350
    verified_before = authenticator.signatures_verified
    # A new caller at another address is verified at once. A known caller at the suspect address needs no
    # verification, because its token is cached.
    assert isinstance(authenticator.authenticate_token(keys.token(sub="farm-9"), "good", now + 0.5), Admitted)
    assert isinstance(authenticator.authenticate_token(valid_token, "bad", now + 0.5), Admitted)
    assert authenticator.signatures_verified == verified_before + 1
    # A new caller at the suspect address may be throttled, but must not be rejected.
    assert isinstance(
        authenticator.authenticate_token(keys.token(sub="farm-8"), "bad", now + 0.5), (Admitted, Throttled)
    )
    assert isinstance(authenticator.authenticate_token(keys.token(sub="farm-8"), "bad", now + 20.0), Admitted)


def test_valid_callers_at_address_of_forger_are_not_throttled(keys: Keys) -> None:
    authenticator, now = authenticator_of(keys, suspect_checks_per_s=0.001), time.time()
    for index in range(120):
        verdict = authenticator.authenticate_token(keys.token(sub=f"farm-{index}"), "shared", now)
        assert isinstance(verdict, Admitted)
        if index % 2:
            assert rejection_reason(
                authenticator.authenticate_token(forged(keys.token(sub=f"farm-{index}-x")), "shared", now)
            )
    # Presenting one valid token repeatedly does not offset forged tokens.
    valid_token = keys.token()
    for index in range(60):
        authenticator.authenticate_token(valid_token, "bad", now)
        authenticator.authenticate_token(forged(keys.token(sub=f"farm-{index}-y")), "bad", now)
    assert (
        authenticator.counts["throttled"]
        >= 60 - 2 * suspect_addresses.SUSPECT_AFTER - authenticator_module.SUSPECT_CHECK_BURST
    )
