"""``ironmill token``: issues tokens and shows their content."""

from __future__ import annotations

import time

from msgspec import Struct

from ironmill.commands.errors import CommandError
from ironmill.commands.keys import KeyStore
from ironmill.identity.errors import CredentialError
from ironmill.identity.tokens import MAX_SUBJECT_LENGTH, MAX_TOKEN_BYTES, parse_token


class TokenRequest(Struct, frozen=True):
    """The claims of a token to issue."""

    subject: str
    audience: str
    issuer: str
    lifetime_s: float


def issue(store: KeyStore, request: TokenRequest, kid: str | None = None) -> bytes:
    """Returns a token signed with the given key, or with the ring's signing key. Raises CommandError."""
    import jwt

    ring = store.ring()
    key = ring.signing() if kid is None else ring.get(kid)
    if key is None:
        raise CommandError(
            "there is no signing key; 'ironmill keys promote KID' makes a key the signing key"
            if kid is None
            else f"there is no key {kid!r}"
        )
    if not 0 < len(request.subject) <= MAX_SUBJECT_LENGTH:
        raise CommandError(f"the subject must have 1 to {MAX_SUBJECT_LENGTH} characters")
    now = time.time()
    claims = {
        "iss": request.issuer,
        "aud": request.audience,
        "sub": request.subject,
        "iat": int(now),
        "exp": int(now + request.lifetime_s),
    }
    token = jwt.encode(
        claims, store.private(key.kid), algorithm=key.algorithm, headers={"kid": key.kid}
    ).encode()
    if len(token) > MAX_TOKEN_BYTES:
        raise CommandError(f"the token would have {len(token)} bytes; the maximum is {MAX_TOKEN_BYTES}")
    return token


def inspect(raw: bytes) -> dict[str, object]:
    """Returns the header and claims of a token without verifying its signature. Raises CommandError."""
    try:
        token = parse_token(raw)
    except CredentialError as error:
        raise CommandError(f"the token is refused: {error}") from None
    return {"alg": token.algorithm, "kid": token.kid, "claims": token.claims}
