"""Credentials for measurements: a key store in a folder, settings that name it, tokens good and bad."""

from __future__ import annotations

import time
from pathlib import Path
from typing import Any

import jwt

from ironmill.commands.keys import KeyStore

ISSUER, AUDIENCE = "https://issuer.example", "ironmill"
SETTINGS = f"""<ironmill xmlns="urn:ironmill:settings:1">
  <log form="json" level="warning"/>
  <identity keys="ring.json" skew="5s">
    <caller name="farms" tenant="community">
      <token issuer="{ISSUER}" audience="{AUDIENCE}" subject="farm-*"/>
    </caller>
  </identity>
</ironmill>
"""


class Issuer:
    """An issuer of tokens with two keys: ``old`` signs, ``new`` is coming."""

    def __init__(self, folder: Path, algorithm: str = "EdDSA") -> None:
        self.store = KeyStore(folder)
        self.algorithm = algorithm
        for kid in ("old", "new"):
            self.store.new(kid, algorithm)
        self.store.write(self.store.ring().promoted("old", time.time(), 0.0))
        self._private = {kid: self.store.private(kid) for kid in ("old", "new")}
        self.settings = folder / "settings.xml"
        self.settings.write_text(SETTINGS)

    def token(self, kid: str, subject: str, **changes: Any) -> bytes:
        """A token that is good for an hour but for the changes in its claims."""
        claims = {"iss": ISSUER, "aud": AUDIENCE, "sub": subject, "exp": time.time() + 3600.0} | changes
        private = self._private[kid]
        return jwt.encode(claims, private, algorithm=self.algorithm, headers={"kid": kid}).encode()

    def forged(self, kid: str, subject: str) -> bytes:
        """A token whose signature is that of another."""
        head, _, _ = self.token(kid, subject).rpartition(b".")
        return head + b"." + self.token(kid, f"{subject}-other").rpartition(b".")[2]

    def bad(self, kind: str, kid: str, subject: str) -> bytes:
        """A token that is not good, in the way named."""
        match kind:
            case "expired":
                return self.token(kid, subject, exp=time.time() - 60.0)
            case "early":
                return self.token(kid, subject, nbf=time.time() + 3600.0)
            case "audience":
                return self.token(kid, subject, aud="another")
        return self.forged(kid, subject)


BAD = ("expired", "early", "audience", "forged")
