"""``ironmill keys``: make keys, list them, let one sign, retire one. ``ironmill token``: issue and inspect.

Private keys lie beside the ring as ``KID.pem`` (PKCS 8, mode 0600) and stay on the machine that issues
tokens; proxies read the ring alone. The ring is always replaced whole, by a rename, so a proxy that looks
sees the old or the new one.
"""

from __future__ import annotations

import base64
import os
import stat
import time
from pathlib import Path
from typing import Any

import orjson

from ironmill.identity.errors import CredentialError, KeyRingError
from ironmill.identity.keyring import (
    ALGORITHMS,
    KID_FORM,
    Key,
    KeyRing,
    KeyState,
    is_valid_kid,
    parse_ring,
)
from ironmill.identity.tokens import MAX_SUBJECT_LENGTH, MAX_TOKEN_BYTES, parse_token

RING = "ring.json"
OVERLAP = 3600.0  # seconds for which a key that signs no more is still accepted


class CommandError(Exception):
    """The command cannot be carried out; its text is the one line that says why."""


class KeyStore:
    """A folder with the ring and, where tokens are issued, private keys."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.path = folder / RING

    def ring(self) -> KeyRing:
        """The ring, empty where there is none yet."""
        try:
            return parse_ring(self.path.read_bytes())
        except FileNotFoundError:
            return KeyRing()
        except OSError as error:
            raise CommandError(f"{self.path}: {error.strerror}") from None
        except KeyRingError as error:
            raise CommandError(f"{self.path}: {error}") from None

    def write(self, ring: KeyRing) -> None:
        """Put another ring in its place, at once."""
        _write(self.path, ring.dump(), 0o644)

    def new(self, kid: str, algorithm: str) -> Key:
        """A new key: the private part in a file of its own, the public part in the ring, as coming."""
        if not is_valid_kid(kid):
            raise CommandError(f"{kid!r} will not do: {KID_FORM}")
        if algorithm not in ALGORITHMS:
            raise CommandError(f"there is no algorithm {algorithm!r}; it is one of {', '.join(ALGORITHMS)}")
        ring = self.ring()
        if ring.get(kid) is not None or self.private_path(kid).exists():
            raise CommandError(f"there is a key {kid!r} already")
        pem, jwk = _generate(algorithm)
        item = {"kid": kid, "alg": algorithm, "state": "coming", "from": time.time(), **jwk}
        listed = [*orjson.loads(ring.dump())["keys"], item]
        try:
            ring = parse_ring(orjson.dumps({"keys": listed}))
        except KeyRingError as error:
            raise CommandError(str(error)) from None
        self.folder.mkdir(mode=0o700, parents=True, exist_ok=True)
        _write(self.private_path(kid), pem, 0o600)
        self.write(ring)
        key = ring.get(kid)
        assert key is not None
        return key

    def private_path(self, kid: str) -> Path:
        """Where the key's private part lies."""
        return self.folder / f"{kid}.pem"

    def private(self, kid: str) -> Any:
        """The private key; CommandError where it is not there, or open to others."""
        from cryptography.hazmat.primitives.serialization import load_pem_private_key

        path = self.private_path(kid)
        try:
            # Guards a secret that others could have read: it is refused rather than used.
            mode = stat.S_IMODE(path.stat().st_mode)
            if mode & 0o077:
                raise CommandError(f"{path}: its mode is {mode:04o}, so others may read it; it must be 0600")
            return load_pem_private_key(path.read_bytes(), None)
        except OSError as error:
            raise CommandError(f"{path}: {error.strerror}") from None
        except ValueError:
            raise CommandError(f"{path}: is no private key in PEM") from None


def issue(
    store: KeyStore, subject: str, audience: str, issuer: str, lifetime: float, kid: str | None = None
) -> bytes:
    """A token signed by the ring's signing key, or by the one named."""
    import jwt

    ring = store.ring()
    key = ring.signing() if kid is None else ring.get(kid)
    if key is None:
        raise CommandError(
            "no key is signing; 'ironmill keys promote KID' lets one sign"
            if kid is None
            else f"there is no key {kid!r}"
        )
    if not 0 < len(subject) <= MAX_SUBJECT_LENGTH:
        raise CommandError(f"a subject has 1 to {MAX_SUBJECT_LENGTH} characters")
    now = time.time()
    claims = {"iss": issuer, "aud": audience, "sub": subject, "iat": int(now), "exp": int(now + lifetime)}
    private = store.private(key.kid)
    token = jwt.encode(claims, private, algorithm=key.algorithm, headers={"kid": key.kid}).encode()
    if len(token) > MAX_TOKEN_BYTES:
        raise CommandError(f"the token would have {len(token)} bytes, more than {MAX_TOKEN_BYTES}")
    return token


def inspect(raw: bytes) -> dict[str, object]:
    """What a token says, its signature not looked at; CommandError where it is not in form."""
    try:
        token = parse_token(raw)
    except CredentialError as error:
        raise CommandError(f"the token is refused: {error}") from None
    return {"alg": token.algorithm, "kid": token.kid, "claims": token.claims}


def describe(key: Key, now: float) -> str:
    """One line on a key, as ``keys list`` has it."""
    state = "retired" if key.is_retired(now) else key.state.value
    until = "" if key.valid_until is None else f"  until {_when(key.valid_until)}"
    return f"{key.kid:<20} {key.algorithm:<6} {state:<9} from {_when(key.valid_from)}{until}"


def promote(store: KeyStore, kid: str, overlap: float) -> None:
    """Let the key sign; the one that did is accepted for so many seconds more."""
    try:
        store.write(store.ring().promoted(kid, time.time(), overlap))
    except KeyRingError as error:
        raise CommandError(str(error)) from None


def retire(store: KeyStore, kid: str, after: float) -> None:
    """Nothing that the key signed is believed any more, so many seconds from now on."""
    ring = store.ring()
    key = ring.get(kid)
    if key is not None and key.state is KeyState.SIGNING:
        raise CommandError(f"{kid!r} is signing; let another key sign first, or no new token would be good")
    try:
        store.write(ring.retired(kid, time.time() + after))
    except KeyRingError as error:
        raise CommandError(str(error)) from None


def _when(moment: float) -> str:
    return time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime(moment)) if moment else "ever"


def _write(path: Path, data: bytes, mode: int) -> None:
    """Write a file whole or not at all, never readable by more than its mode says."""
    temporary = path.with_name(f".{path.name}.{os.getpid()}")
    descriptor = os.open(temporary, os.O_WRONLY | os.O_CREAT | os.O_EXCL, mode)
    try:
        with os.fdopen(descriptor, "wb") as file:
            file.write(data)
            file.flush()
            os.fsync(file.fileno())
        temporary.replace(path)
    except BaseException:
        temporary.unlink(missing_ok=True)
        raise


def _generate(algorithm: str) -> tuple[bytes, dict[str, str]]:
    """The private key in PEM, and the public one as the members of a JSON Web Key."""
    from cryptography.hazmat.primitives import serialization
    from cryptography.hazmat.primitives.asymmetric import ec, ed25519

    jwk: dict[str, str]
    private: ed25519.Ed25519PrivateKey | ec.EllipticCurvePrivateKey
    if algorithm == "EdDSA":
        private = edwards = ed25519.Ed25519PrivateKey.generate()
        jwk = {"kty": "OKP", "crv": "Ed25519", "x": _text(edwards.public_key().public_bytes_raw())}
    else:
        private = curve = ec.generate_private_key(ec.SECP256R1())
        numbers = curve.public_key().public_numbers()
        x, y = numbers.x.to_bytes(32), numbers.y.to_bytes(32)
        jwk = {"kty": "EC", "crv": "P-256", "x": _text(x), "y": _text(y)}
    pem = private.private_bytes(
        serialization.Encoding.PEM, serialization.PrivateFormat.PKCS8, serialization.NoEncryption()
    )
    return pem, jwk


def _text(data: bytes) -> str:
    return base64.urlsafe_b64encode(data).rstrip(b"=").decode()
