"""Tokens, keys, rules and the authenticator that asks them, on a clock of the tests' own."""

from __future__ import annotations

import json
import time
from dataclasses import replace
from pathlib import Path
from typing import Any

import jwt
import orjson
import pytest
from cryptography.hazmat.primitives import serialization
from hypothesis import given
from hypothesis import strategies as st

from ironmill.identity import authenticator as authenticator_module
from ironmill.identity import suspect_addresses
from ironmill.identity.authenticator import Admitted, Authenticator, Rejected, Throttled
from ironmill.identity.errors import CredentialError, KeyRingError, RejectionReason
from ironmill.identity.keyring import MAX_KEYS, KeyRing, KeyState, parse_ring
from ironmill.identity.rate_limiter import RateLimiter
from ironmill.identity.rules import TokenMatch, explain, matches_pattern, mismatch
from ironmill.identity.tokens import parse_token
from ironmill.identity.usage import CallerUsage
from tests.support.identity import AUDIENCE, ISSUER, Keys, forged, identity, part, rule

HEADER = b'{"alg":"EdDSA","kid":"a"}'
CLAIMS = b'{"iss":"https://issuer.example","aud":"ironmill","sub":"farm-1","exp":9e9}'


@pytest.fixture(scope="module")
def keys(tmp_path_factory: pytest.TempPathFactory) -> Keys:
    return Keys(tmp_path_factory.mktemp("keys"))


def authenticator_of(keys: Keys, **changes: Any) -> Authenticator:
    return Authenticator(identity(**changes), keys.ring(), time.time())


def reason(verdict: object) -> RejectionReason:
    assert isinstance(verdict, Rejected), verdict
    return verdict.reason


@pytest.mark.parametrize("kid", ["a", "b"])
def test_a_good_token_is_admitted_once_by_signature_and_then_from_the_cache(keys: Keys, kid: str) -> None:
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
    ("changes", "kind"),
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
def test_a_signed_token_that_is_not_good(keys: Keys, changes: dict[str, Any], kind: RejectionReason) -> None:
    authenticator = authenticator_of(keys, denied_subjects=("*-bad",))
    assert reason(authenticator.authenticate_token(keys.token(**changes), "x", time.time())) is kind


def test_clocks_may_differ_by_the_skew_and_no_more(keys: Keys) -> None:
    authenticator, now = authenticator_of(keys, clock_skew_s=10.0), time.time()
    token = keys.token(exp=now + 100.0, nbf=now + 50.0)
    assert reason(authenticator.authenticate_token(token, "x", now + 39.0)) is RejectionReason.NOT_YET_VALID
    assert isinstance(authenticator.authenticate_token(token, "x", now + 41.0), Admitted)
    assert isinstance(authenticator.authenticate_token(token, "x", now + 109.0), Admitted)
    assert (
        reason(authenticator.authenticate_token(token, "x", now + 110.0)) is RejectionReason.EXPIRED
    )  # cached as it is


def hostile(keys: Keys) -> dict[str, bytes]:
    """What is made to slip through, or to cost much."""
    public = keys.private("a").public_key()
    pem = public.public_bytes(serialization.Encoding.PEM, serialization.PublicFormat.SubjectPublicKeyInfo)
    good = keys.token()
    head, claims, signature = good.split(b".")
    hs256 = part(b'{"alg":"HS256","kid":"a"}') + b"." + claims
    return {
        "none": part(b'{"alg":"none","kid":"a"}') + b"." + claims + b".",
        "none, signed": part(b'{"alg":"none","kid":"a"}') + b"." + claims + b"." + signature,
        "HS256 by the public key": hs256
        + b"."
        + part(jwt.algorithms.HMACAlgorithm(jwt.algorithms.HMACAlgorithm.SHA256).sign(hs256, pem)),
        "another key's algorithm": keys.raw(b'{"alg":"ES256","kid":"a"}', CLAIMS),
        "kid is a path": keys.raw(b'{"alg":"EdDSA","kid":"../../a"}', CLAIMS),
        "kid is long": keys.raw(b'{"alg":"EdDSA","kid":"' + b"a" * 1_000_000 + b'"}', CLAIMS),
        "kid is a list": keys.raw(b'{"alg":"EdDSA","kid":["a"]}', CLAIMS),
        "no kid": keys.raw(b'{"alg":"EdDSA"}', CLAIMS),
        "crit": keys.raw(b'{"alg":"EdDSA","kid":"a","crit":["exp"]}', CLAIMS),
        "a claim twice": keys.raw(HEADER, CLAIMS[:-1] + b',"sub":"farm-2"}'),
        "alg twice": keys.raw(b'{"alg":"none","alg":"EdDSA","kid":"a"}', CLAIMS),
        "NaN": keys.raw(HEADER, CLAIMS.replace(b"9e9", b"NaN")),
        "Infinity": keys.raw(HEADER, CLAIMS.replace(b"9e9", b"Infinity")),
        "1e400": keys.raw(HEADER, CLAIMS.replace(b"9e9", b"1e400")),
        "a number without end": keys.raw(HEADER, CLAIMS.replace(b"9e9", b"9" * 2000)),
        "deep lists": keys.raw(HEADER, b"[" * 1400 + b"]" * 1400),
        "deep objects": keys.raw(HEADER, b'{"a":' * 400 + b"1" + b"}" * 400),
        "a little too deep": keys.raw(HEADER, CLAIMS[:-1] + b',"x":[[[[[1]]]]]}'),
        "many names": keys.raw(HEADER, b"{" + b",".join(b'"%d":1' % it for it in range(300)) + b"}"),
        "claims are a list": keys.raw(HEADER, b"[1]"),
        "claims are no UTF-8": keys.raw(HEADER, b'{"sub":"\xff"}'),
        "rubbish": b"%%%.%%%.%%%",
        "padding": good + b"==",
        "unused bits": head
        + b"."
        + claims
        + b"."
        + signature[:-1]
        + (b"B" if signature[-1:] in b"AQgw" else bytes([signature[-1] + 1])),
        "two parts": head + b"." + claims,
        "five parts": good + b".a.b",
        "empty": b"",
        "the wrong signature": forged(good),
        "the signature of another": head + b"." + claims + b"." + keys.token(sub="farm-2").split(b".")[2],
        "a short signature": head + b"." + claims + b"." + part(b"x"),
    }


def test_hostile_tokens_are_refused(keys: Keys) -> None:
    tokens = hostile(keys)
    assert len(tokens) == 30
    for name, token in tokens.items():
        authenticator = authenticator_of(keys)
        assert isinstance(authenticator.authenticate_token(token, "x", time.time()), Rejected), name
        assert len(authenticator) == 0


@given(st.binary(max_size=200))
def test_any_bytes_are_refused_without_another_exception(data: bytes) -> None:
    with pytest.raises(CredentialError):
        parse_token(data)


_json = st.recursive(
    st.none() | st.booleans() | st.floats() | st.integers() | st.text(max_size=8),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=4), inner, max_size=3),
    max_leaves=12,
)


@given(
    st.dictionaries(st.sampled_from(["alg", "kid", "crit", "typ"]), _json),
    st.dictionaries(st.sampled_from(["iss", "aud", "sub", "exp", "nbf"]), _json),
)
def test_any_objects_are_read_or_refused(header: dict[str, Any], claims: dict[str, Any]) -> None:
    raw = part(json.dumps(header).encode()) + b"." + part(json.dumps(claims).encode()) + b".AAAA"
    try:
        token = parse_token(raw)
    except CredentialError:
        return
    assert token.algorithm in ("EdDSA", "ES256")
    assert 0.0 <= token.expires_at <= 253_402_300_800.0


def test_a_retired_key_is_refused_at_once_also_from_the_cache(keys: Keys) -> None:
    """Hard case: served a moment before, cached, and a second after retirement refused."""
    authenticator, now = authenticator_of(keys), time.time()
    token, fresh = keys.token(), keys.token(sub="farm-2")
    ring = keys.ring().retired("a", now + 5.0)
    authenticator.reconfigure(authenticator.settings, ring, now)
    assert isinstance(authenticator.authenticate_token(token, "x", now), Admitted)
    assert isinstance(authenticator.authenticate_token(token, "x", now + 4.9), Admitted)
    for late in (5.0, 6.0):
        assert reason(authenticator.authenticate_token(token, "x", now + late)) is RejectionReason.KEY_RETIRED
        assert reason(authenticator.authenticate_token(fresh, "x", now + late)) is RejectionReason.KEY_RETIRED
    key = ring.get("a")
    assert key is not None
    authenticator.reconfigure(
        authenticator.settings, ring.with_key(replace(key, state=KeyState.RETIRED, valid_until=None)), now
    )
    assert reason(authenticator.authenticate_token(token, "x", now)) is RejectionReason.KEY_RETIRED
    authenticator.reconfigure(authenticator.settings, KeyRing(), now)
    assert reason(authenticator.authenticate_token(token, "x", now)) is RejectionReason.UNKNOWN_KEY


def test_a_key_that_comes_is_believed_from_its_time_on(keys: Keys) -> None:
    key = keys.ring().get("b")
    assert key is not None
    now = time.time()
    ring = keys.ring().with_key(replace(key, valid_from=now + 100.0))
    authenticator = Authenticator(identity(clock_skew_s=10.0), ring, now)
    assert (
        reason(authenticator.authenticate_token(keys.token("b"), "x", now + 89.0))
        is RejectionReason.KEY_NOT_YET_VALID
    )
    assert isinstance(authenticator.authenticate_token(keys.token("b"), "x", now + 91.0), Admitted)


def test_another_key_under_the_same_name_does_not_inherit_the_cache(keys: Keys, tmp_path: Path) -> None:
    authenticator, now = authenticator_of(keys), time.time()
    token = keys.token()
    assert isinstance(authenticator.authenticate_token(token, "x", now), Admitted)
    authenticator.reconfigure(authenticator.settings, Keys(tmp_path).ring(), now)
    assert reason(authenticator.authenticate_token(token, "x", now)) is RejectionReason.SIGNATURE
    assert len(authenticator) == 0


def test_the_cache_is_bounded_and_may_be_off(keys: Keys) -> None:
    authenticator, now = authenticator_of(keys, cache_size=3), time.time()
    tokens = [keys.token(sub=f"farm-{at}") for at in range(5)]
    for token in tokens:
        authenticator.authenticate_token(token, "x", now)
    assert len(authenticator) == 3
    authenticator.authenticate_token(tokens[-1], "x", now)
    assert authenticator.signatures_verified == 5
    authenticator.authenticate_token(tokens[0], "x", now)
    assert authenticator.signatures_verified == 6
    off = authenticator_of(keys, cache_size=0)
    for _ in range(2):
        off.authenticate_token(tokens[0], "x", now)
    assert (off.signatures_verified, len(off)) == (2, 0)


def test_a_flood_of_forged_tokens_is_checked_within_a_budget_and_valid_callers_are_not(keys: Keys) -> None:
    authenticator, now = authenticator_of(keys, suspect_checks_per_s=10.0), time.time()
    good, bad = keys.token(), [forged(keys.token(sub=f"farm-{at}")) for at in range(400)]
    assert isinstance(authenticator.authenticate_token(good, "bad", now), Admitted)
    throttled = 0
    for at, token in enumerate(bad):
        verdict = authenticator.authenticate_token(token, "bad", now + at * 0.001)
        assert not isinstance(verdict, Admitted)
        throttled += isinstance(verdict, Throttled)
    assert authenticator.signatures_verified <= 1 + 5 + authenticator_module.SUSPECT_CHECK_BURST + 10.0 * 0.4
    assert throttled == authenticator.counts["throttled"] > 350
    before = authenticator.signatures_verified
    # From elsewhere a new caller is checked at once; from there one that is known is not checked at all.
    assert isinstance(authenticator.authenticate_token(keys.token(sub="farm-9"), "good", now + 0.5), Admitted)
    assert isinstance(authenticator.authenticate_token(good, "bad", now + 0.5), Admitted)
    assert authenticator.signatures_verified == before + 1
    # One that is not known there has to wait, and is not refused for its neighbours.
    assert isinstance(
        authenticator.authenticate_token(keys.token(sub="farm-8"), "bad", now + 0.5), (Admitted, Throttled)
    )
    assert isinstance(authenticator.authenticate_token(keys.token(sub="farm-8"), "bad", now + 20.0), Admitted)


def test_valid_callers_who_share_an_address_with_forgers_are_not_kept_waiting(keys: Keys) -> None:
    authenticator, now = authenticator_of(keys, suspect_checks_per_s=0.001), time.time()
    for at in range(120):
        verdict = authenticator.authenticate_token(keys.token(sub=f"farm-{at}"), "shared", now)
        assert isinstance(verdict, Admitted)
        if at % 2:
            assert reason(
                authenticator.authenticate_token(forged(keys.token(sub=f"farm-{at}-x")), "shared", now)
            )
    # One good token, shown again and again, does not make up for forgeries.
    good = keys.token()
    for at in range(60):
        authenticator.authenticate_token(good, "bad", now)
        authenticator.authenticate_token(forged(keys.token(sub=f"farm-{at}-y")), "bad", now)
    assert (
        authenticator.counts["throttled"]
        >= 60 - 2 * suspect_addresses.SUSPECT_AFTER - authenticator_module.SUSPECT_CHECK_BURST
    )


def test_suspects_are_bounded(keys: Keys, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(suspect_addresses, "MAX_ADDRESSES", 10)
    suspects = suspect_addresses.SuspectAddresses()
    for at in range(100):
        for _ in range(suspect_addresses.SUSPECT_AFTER):
            suspects.record_failure(str(at), 1.0)
    assert sum(str(at) in suspects for at in range(100)) == 10
    suspects.forget_old(1.0 + suspect_addresses.MEMORY_S)
    assert "99" not in suspects


def test_rules_are_tried_in_order_and_explained() -> None:
    it = identity(rule("mirrors", "mirror-*"), rule("farms"), rule("all", "*"))
    claims = {"iss": ISSUER, "aud": ["x", AUDIENCE], "sub": "farm-7"}
    steps = explain(it, claims)
    assert [(step.rule.caller.name, step.mismatch) for step in steps] == [
        ("mirrors", "subject 'farm-7' does not fit 'mirror-*'"),
        ("farms", ""),
    ]
    assert "audience" in mismatch(TokenMatch(ISSUER, "else"), claims)
    assert matches_pattern("a?c*", "abcd")
    assert not matches_pattern("a[b]c", "abc")
    assert matches_pattern("a[b]c", "a[b]c")


def test_a_ring_is_written_and_read_again(keys: Keys) -> None:
    ring = keys.ring()
    again = parse_ring(ring.dump())
    assert [(key.kid, key.state, key.thumbprint, key.valid_from) for key in again] == [
        (key.kid, key.state, key.thumbprint, key.valid_from) for key in ring
    ]
    signing = ring.promoted("b", 50.0, 10.0).signing()
    assert signing is not None
    assert signing.kid == "b"
    old = ring.promoted("b", 50.0, 10.0).get("a")
    assert old is not None
    assert (old.state, old.valid_until) == (KeyState.ACCEPTED, 60.0)
    assert (old.is_retired(59.9), old.is_retired(60.0)) == (False, True)
    with pytest.raises(KeyRingError):
        ring.promoted("none", 0.0, 0.0)
    with pytest.raises(KeyRingError):
        ring.retired("none", 0.0)
    with pytest.raises(KeyRingError):
        ring.retired("a", 1.0).promoted("a", 2.0, 0.0)


@pytest.mark.parametrize(
    ("change", "wrong"),
    [
        ({"d": "x"}, "secret"),
        ({"state": "new"}, "state"),
        ({"alg": "RS256"}, "alg"),
        ({"kid": "../a"}, "kid"),
        ({"kid": "b"}, "twice"),
        ({"x": None}, "has not all"),
        ({"x": "AAAA"}, "curve"),
        ({"crv": "P-256"}, "crv"),
        ({"from": "now"}, "Unix times"),
        ({"until": True}, "Unix times"),
    ],
)
def test_a_wrong_ring_is_refused_whole(keys: Keys, change: dict[str, Any], wrong: str) -> None:
    value = orjson.loads(keys.ring().dump())
    value["keys"][0] |= change
    with pytest.raises(KeyRingError, match=wrong):
        parse_ring(orjson.dumps(value))


def test_rings_that_are_something_else(keys: Keys) -> None:
    data = keys.ring().dump()
    for cut in (b"", data[: len(data) // 2], b"[]", b'{"keys":{}}', b'{"keys":[1]}', b" " * (1 << 19)):
        with pytest.raises(KeyRingError):
            parse_ring(cut)
    value = orjson.loads(data)
    two = orjson.dumps({"keys": [it | {"state": "signing"} for it in value["keys"]]})
    with pytest.raises(KeyRingError, match="two keys are signing"):
        parse_ring(two)
    many = [value["keys"][0] | {"kid": f"k{at}", "state": "accepted"} for at in range(MAX_KEYS + 1)]
    with pytest.raises(KeyRingError, match="more than"):
        parse_ring(orjson.dumps({"keys": many}))


def test_rights_are_counted_by_caller() -> None:
    usage, now = CallerUsage(), 100.0
    few = rule("few", max_connections=2).caller
    assert [usage.open_connection(few, now) for _ in range(3)] == [None, None, 1.0]
    usage.close_connection(few)
    assert usage.open_connection(few, now) is None
    slow = rule("slow", max_openings_per_s=2.0).caller
    waits = [usage.open_connection(slow, now) for _ in range(4)]
    assert (waits[:2], waits[2:]) == ([None, None], [0.5, 0.5])
    assert usage.open_connection(slow, now + 0.5) is None
    assert usage.connections("slow") == 3
    for _ in range(2):
        usage.close_connection(few)
    assert usage.connections("few") == 0
    limiter = RateLimiter(1.0, 1.0, 5.0)
    assert limiter.acquire(5.0)
    assert not limiter.acquire(4.0)  # a clock that went back gives nothing
