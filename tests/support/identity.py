"""A key store of the tests' own, and tokens made with it, good and forged."""

from __future__ import annotations

import base64
import time
from pathlib import Path
from typing import Any

import jwt

from ironmill.commands.keys import KeyStore
from ironmill.identity.rules import Caller, CallerRule, IdentitySettings, Rights, TokenMatch

ISSUER, AUDIENCE = "https://issuer.example", "ironmill"


def part(data: bytes) -> bytes:
    return base64.urlsafe_b64encode(data).rstrip(b"=")


class Keys(KeyStore):
    """Keys ``a`` (EdDSA, signing) and ``b`` (ES256, coming), and what an issuer would sign with them."""

    def __init__(self, folder: Path) -> None:
        super().__init__(folder)
        self.new("a", "EdDSA")
        self.new("b", "ES256")
        self.write(self.ring().promoted("a", time.time(), 0.0))
        self._private = {kid: self.private(kid) for kid in "ab"}

    def token(self, kid: str = "a", **changes: Any) -> bytes:
        """A token that is good for an hour but for the changes; None leaves a claim out."""
        now = time.time()
        claims: dict[str, Any] = {"iss": ISSUER, "aud": AUDIENCE, "sub": "farm-1", "exp": now + 3600.0}
        claims = {name: value for name, value in (claims | changes).items() if value is not None}
        algorithm = {"a": "EdDSA", "b": "ES256"}[kid]
        return jwt.encode(claims, self._private[kid], algorithm=algorithm, headers={"kid": kid}).encode()

    def raw(self, header: bytes, claims: bytes, kid: str = "a") -> bytes:
        """Any bytes as header and claims, with a signature that is good."""
        signed = part(header) + b"." + part(claims)
        return signed + b"." + part(self._private[kid].sign(signed))


def forged(token: bytes) -> bytes:
    """The same token with another signature."""
    head, _, signature = token.rpartition(b".")
    flipped = bytes(signature[:1].swapcase() if signature[:1].isalpha() else b"A") + signature[1:]
    return head + b"." + (flipped if flipped != signature else b"B" + signature[1:])


def rule(name: str = "farms", subject: str = "farm-*", **rights: Any) -> CallerRule:
    match = TokenMatch(ISSUER, AUDIENCE, subject)
    return CallerRule(Caller(name, f"tenant-{name}", Rights(**rights)), (match,), 1)


def identity(*rules: CallerRule, **changes: Any) -> IdentitySettings:
    return IdentitySettings("ring.json", rules or (rule(),), **changes)
