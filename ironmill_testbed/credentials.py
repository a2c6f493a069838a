"""Credentials for measurements: a key store, settings that use its key ring, and valid and invalid tokens."""

from __future__ import annotations

import time
from enum import Enum
from pathlib import Path
from typing import Any

import jwt

from ironmill.commands.keys import KeyStore

ISSUER, AUDIENCE = "https://issuer.example", "ironmill"
TOKEN_LIFETIME_S = 3600.0
EXPIRED_SINCE_S = 60.0
SETTINGS = f"""<ironmill xmlns="urn:ironmill:settings:1">
  <log form="json" level="warning"/>
  <identity keys="ring.json" skew="5s">
    <caller name="farms" tenant="community">
      <token issuer="{ISSUER}" audience="{AUDIENCE}" subject="farm-*"/>
    </caller>
  </identity>
</ironmill>
"""


class InvalidToken(Enum):
    """The reason why a token is invalid."""

    EXPIRED = "expired"
    NOT_YET_VALID = "early"
    AUDIENCE = "audience"
    FORGED = "forged"


class Issuer:
    """A token issuer with two keys: ``old`` is the signing key, ``new`` is published but not yet used."""

    def __init__(self, folder: Path, algorithm: str = "EdDSA") -> None:
        """Creates the keys, and writes the key store and the settings to the folder."""
        self.store = KeyStore(folder)
        self.algorithm = algorithm
        for kid in ("old", "new"):
            self.store.new(kid, algorithm)
        self.store.write(self.store.ring().promoted("old", time.time(), 0.0))
        self._private = {kid: self.store.private(kid) for kid in ("old", "new")}
        self.settings = folder / "settings.xml"
        self.settings.write_text(SETTINGS)

    def token(self, kid: str, subject: str, **changes: Any) -> bytes:
        """Returns a token that is valid for one hour. ``changes`` adds or replaces claims."""
        claims = {
            "iss": ISSUER,
            "aud": AUDIENCE,
            "sub": subject,
            "exp": time.time() + TOKEN_LIFETIME_S,
        } | changes
        private = self._private[kid]
        return jwt.encode(claims, private, algorithm=self.algorithm, headers={"kid": kid}).encode()

    def forged(self, kid: str, subject: str) -> bytes:
        """Returns a token that carries the signature of another token."""
        signed, _, _ = self.token(kid, subject).rpartition(b".")
        return signed + b"." + self.token(kid, f"{subject}-other").rpartition(b".")[2]

    def invalid(self, kind: InvalidToken, kid: str, subject: str) -> bytes:
        """Returns a token that is invalid in the given way."""
        match kind:
            case InvalidToken.EXPIRED:
                return self.token(kid, subject, exp=time.time() - EXPIRED_SINCE_S)
            case InvalidToken.NOT_YET_VALID:
                return self.token(kid, subject, nbf=time.time() + TOKEN_LIFETIME_S)
            case InvalidToken.AUDIENCE:
                return self.token(kid, subject, aud="another")
            case InvalidToken.FORGED:
                return self.forged(kid, subject)
