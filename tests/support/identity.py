"""Keys, tokens and settings for tests of authentication and authorization."""

from __future__ import annotations

import base64
import time
from pathlib import Path
from typing import Any

import jwt
from cryptography.hazmat.primitives import serialization

from ironmill.commands.keys import KeyStore
from ironmill.identity.authenticator import Authenticator, Rejected
from ironmill.identity.errors import RejectionReason
from ironmill.identity.rules import Caller, CallerRule, IdentitySettings, Rights, TokenMatch

ISSUER, AUDIENCE = "https://issuer.example", "ironmill"
CLAIMS = b'{"iss":"https://issuer.example","aud":"ironmill","sub":"farm-1","exp":9e9}'
HEADER = b'{"alg":"EdDSA","kid":"a"}'


def encode_part(data: bytes) -> bytes:
    return base64.urlsafe_b64encode(data).rstrip(b"=")


class Keys(KeyStore):
    """A store with the keys ``a`` (EdDSA, signing) and ``b`` (ES256, coming), which also signs tokens."""

    def __init__(self, folder: Path) -> None:
        super().__init__(folder)
        self.new("a", "EdDSA")
        self.new("b", "ES256")
        self.write(self.ring().promoted("a", time.time(), 0.0))
        self._private_keys = {kid: self.private(kid) for kid in "ab"}

    def token(self, kid: str = "a", **changes: Any) -> bytes:
        """Returns a token that is valid for an hour, with the given claims changed; None omits a claim."""
        now = time.time()
        claims: dict[str, Any] = {"iss": ISSUER, "aud": AUDIENCE, "sub": "farm-1", "exp": now + 3600.0}
        claims = {name: value for name, value in (claims | changes).items() if value is not None}
        algorithm = {"a": "EdDSA", "b": "ES256"}[kid]
        return jwt.encode(claims, self._private_keys[kid], algorithm=algorithm, headers={"kid": kid}).encode()

    def raw(self, header: bytes, claims: bytes, kid: str = "a") -> bytes:
        """Returns a token with an arbitrary header and claims and a valid signature."""
        signing_input = encode_part(header) + b"." + encode_part(claims)
        return signing_input + b"." + encode_part(self._private_keys[kid].sign(signing_input))


def forged(token: bytes) -> bytes:
    """Returns the token with an invalid signature."""
    signing_input, _, signature = token.rpartition(b".")
    flipped = bytes(signature[:1].swapcase() if signature[:1].isalpha() else b"A") + signature[1:]
    return signing_input + b"." + (flipped if flipped != signature else b"B" + signature[1:])


def rule(name: str = "farms", subject: str = "farm-*", **rights: Any) -> CallerRule:
    match = TokenMatch(ISSUER, AUDIENCE, subject)
    return CallerRule(Caller(name, f"tenant-{name}", Rights(**rights)), (match,), 1)


def identity(*rules: CallerRule, **changes: Any) -> IdentitySettings:
    return IdentitySettings("ring.json", rules or (rule(),), **changes)


def authenticator_of(keys: Keys, **changes: Any) -> Authenticator:
    return Authenticator(identity(**changes), keys.ring(), time.time())


def rejection_reason(verdict: object) -> RejectionReason:
    assert isinstance(verdict, Rejected), verdict
    return verdict.reason


def hostile_tokens(keys: Keys) -> dict[str, bytes]:
    """Returns tokens that try to evade verification or to consume resources, by the attack's description."""
    public = keys.private("a").public_key()
    pem = public.public_bytes(serialization.Encoding.PEM, serialization.PublicFormat.SubjectPublicKeyInfo)
    valid_token = keys.token()
    header, claims, signature = valid_token.split(b".")
    hs256 = encode_part(b'{"alg":"HS256","kid":"a"}') + b"." + claims
    return {
        "none": encode_part(b'{"alg":"none","kid":"a"}') + b"." + claims + b".",
        "none, signed": encode_part(b'{"alg":"none","kid":"a"}') + b"." + claims + b"." + signature,
        "HS256 signed with the public key": hs256
        + b"."
        + encode_part(jwt.algorithms.HMACAlgorithm(jwt.algorithms.HMACAlgorithm.SHA256).sign(hs256, pem)),
        "algorithm of another key": keys.raw(b'{"alg":"ES256","kid":"a"}', CLAIMS),
        "kid is a path": keys.raw(b'{"alg":"EdDSA","kid":"../../a"}', CLAIMS),
        "kid is long": keys.raw(b'{"alg":"EdDSA","kid":"' + b"a" * 1_000_000 + b'"}', CLAIMS),
        "kid is a list": keys.raw(b'{"alg":"EdDSA","kid":["a"]}', CLAIMS),
        "no kid": keys.raw(b'{"alg":"EdDSA"}', CLAIMS),
        "crit": keys.raw(b'{"alg":"EdDSA","kid":"a","crit":["exp"]}', CLAIMS),
        "duplicate claim": keys.raw(HEADER, CLAIMS[:-1] + b',"sub":"farm-2"}'),
        "duplicate alg": keys.raw(b'{"alg":"none","alg":"EdDSA","kid":"a"}', CLAIMS),
        "NaN": keys.raw(HEADER, CLAIMS.replace(b"9e9", b"NaN")),
        "Infinity": keys.raw(HEADER, CLAIMS.replace(b"9e9", b"Infinity")),
        "1e400": keys.raw(HEADER, CLAIMS.replace(b"9e9", b"1e400")),
        "very long number": keys.raw(HEADER, CLAIMS.replace(b"9e9", b"9" * 2000)),
        "deep lists": keys.raw(HEADER, b"[" * 1400 + b"]" * 1400),
        "deep objects": keys.raw(HEADER, b'{"a":' * 400 + b"1" + b"}" * 400),
        "one level too deep": keys.raw(HEADER, CLAIMS[:-1] + b',"x":[[[[[1]]]]]}'),
        "too many names": keys.raw(
            HEADER, b"{" + b",".join(b'"%d":1' % number for number in range(300)) + b"}"
        ),
        "claims are a list": keys.raw(HEADER, b"[1]"),
        "claims are not UTF-8": keys.raw(HEADER, b'{"sub":"\xff"}'),
        "invalid base64url": b"%%%.%%%.%%%",
        "padding": valid_token + b"==",
        "unused bits are not 0": header
        + b"."
        + claims
        + b"."
        + signature[:-1]
        + (b"B" if signature[-1:] in b"AQgw" else bytes([signature[-1] + 1])),
        "two parts": header + b"." + claims,
        "five parts": valid_token + b".a.b",
        "empty": b"",
        "invalid signature": forged(valid_token),
        "signature of another token": header + b"." + claims + b"." + keys.token(sub="farm-2").split(b".")[2],
        "short signature": header + b"." + claims + b"." + encode_part(b"x"),
    }


class FakeConnection:
    """An established connection without a socket."""

    def __init__(self) -> None:
        self.migrated_at: list[float] = []

    def migrate(self) -> None:
        self.migrated_at.append(time.monotonic())
