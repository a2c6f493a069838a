"""``ironmill keys``: creates, lists, promotes and retires keys.

Private keys are stored beside the ring as ``KID.pem`` (PKCS 8, mode 0600) and stay on the machine that issues
tokens; proxies read only the ring. Files are replaced by a rename, so a proxy reads the old or the new ring.
"""

from __future__ import annotations

import base64
import os
import secrets
import stat
import time
from pathlib import Path
from typing import TYPE_CHECKING, TypeAlias, cast

import orjson

from ironmill.commands.errors import CommandError
from ironmill.identity.errors import KeyRingError
from ironmill.identity.keyring import (
    ALGORITHMS,
    KID_FORM,
    Key,
    KeyRing,
    KeyState,
    is_valid_kid,
    parse_ring,
)

if TYPE_CHECKING:
    from cryptography.hazmat.primitives.asymmetric.ec import EllipticCurvePrivateKey
    from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey

    PrivateKey: TypeAlias = Ed25519PrivateKey | EllipticCurvePrivateKey

RING_FILE = "ring.json"
ES256_COORDINATE_BYTES = 32


class KeyStore:
    """A folder with the key ring and, on the machine that issues tokens, the private keys."""

    def __init__(self, folder: Path) -> None:
        """Creates a store in a folder, which is itself created with the first key."""
        self.folder = folder
        self.path = folder / RING_FILE

    def ring(self) -> KeyRing:
        """Reads the ring; returns an empty one before the first key is created. Raises CommandError."""
        try:
            return parse_ring(self.path.read_bytes())
        except FileNotFoundError:
            return KeyRing()
        except OSError as error:
            raise CommandError(f"{self.path}: {error.strerror}") from None
        except KeyRingError as error:
            raise CommandError(f"{self.path}: {error}") from None

    def write(self, ring: KeyRing) -> None:
        """Replaces the ring atomically. Raises CommandError."""
        _write_atomically(self.path, ring.dump(), 0o644)

    def new(self, kid: str, algorithm: str) -> Key:
        """Creates a key pair and adds the public key to the ring, in state coming. Raises CommandError."""
        if not is_valid_kid(kid):
            raise CommandError(f"{kid!r} is not a valid key id: {KID_FORM}")
        if algorithm not in ALGORITHMS:
            raise CommandError(f"unknown algorithm {algorithm!r}; expected one of {', '.join(ALGORITHMS)}")
        ring = self.ring()
        if ring.get(kid) is not None:
            raise CommandError(f"there is a key {kid!r} already")
        if self.private_path(kid).exists():
            raise CommandError(
                f"there is a private key {kid!r} that the ring does not have, perhaps because a command was"
                f" killed: remove {self.private_path(kid)} or choose another key id"
            )
        pem, jwk = _generate(algorithm)
        item = {"kid": kid, "alg": algorithm, "state": "coming", "from": time.time(), **jwk}
        items = [*orjson.loads(ring.dump())["keys"], item]
        try:
            ring = parse_ring(orjson.dumps({"keys": items}))
        except KeyRingError as error:
            raise CommandError(str(error)) from None
        self._store_pair(kid, pem, ring)
        key = ring.get(kid)
        assert key is not None
        return key

    def _store_pair(self, kid: str, pem: bytes, ring: KeyRing) -> None:
        """Writes a new private key, then the ring. On failure, deletes a private key that the ring lacks."""
        path = self.private_path(kid)
        try:
            self.folder.mkdir(mode=0o700, parents=True, exist_ok=True)
            _write_atomically(path, pem, 0o600)
            self.write(ring)
        except OSError as error:
            raise CommandError(f"{self.folder}: {error.strerror}") from None
        except CommandError:
            if self.ring().get(kid) is None:
                path.unlink(missing_ok=True)
            raise

    def private_path(self, kid: str) -> Path:
        """Returns the path of the private key."""
        return self.folder / f"{kid}.pem"

    def private(self, kid: str) -> PrivateKey:
        """Reads a private key. Raises CommandError if it is missing, malformed or readable by others."""
        from cryptography.hazmat.primitives.serialization import load_pem_private_key

        path = self.private_path(kid)
        try:
            mode = stat.S_IMODE(path.stat().st_mode)
            if mode & 0o077:  # other users may have read the key, so it must not be used
                raise CommandError(
                    f"{path}: the file mode is {mode:04o}, so others may read it; it must be 0600"
                )
            return cast("PrivateKey", load_pem_private_key(path.read_bytes(), None))
        except OSError as error:
            raise CommandError(f"{path}: {error.strerror}") from None
        except ValueError:
            raise CommandError(f"{path}: expected a private key in PEM format") from None


def describe(key: Key, now: float) -> str:
    """Returns the line that ``keys list`` prints for a key."""
    state = "retired" if key.is_retired(now) else key.state.value
    until = "" if key.valid_until is None else f"  until {_format_time(key.valid_until)}"
    return f"{key.kid:<20} {key.algorithm:<6} {state:<9} from {_format_time(key.valid_from)}{until}"


def promote(store: KeyStore, kid: str, overlap_s: float) -> None:
    """Makes a key the signing key; the previous one stays accepted for ``overlap_s``. Raises CommandError."""
    try:
        store.write(store.ring().promoted(kid, time.time(), overlap_s))
    except KeyRingError as error:
        raise CommandError(str(error)) from None


def retire(store: KeyStore, kid: str, delay_s: float) -> None:
    """Makes the key's signatures invalid after the delay. Raises CommandError for the signing key."""
    ring = store.ring()
    key = ring.get(kid)
    if key is not None and key.state is KeyState.SIGNING:
        raise CommandError(
            f"{kid!r} is the signing key; promote another key first, or new tokens would be invalid"
        )
    try:
        store.write(ring.retired(kid, time.time() + delay_s))
    except KeyRingError as error:
        raise CommandError(str(error)) from None


def _format_time(unix_time: float) -> str:
    return time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime(unix_time)) if unix_time else "ever"


def _write_atomically(path: Path, data: bytes, mode: int) -> None:
    """Replaces a file atomically. The data are never accessible to more users than the mode allows.

    Raises CommandError. The file is then unchanged, or replaced by data that a power failure may destroy.
    """
    # The name does not contain the process id: in a container a process may get the id of a killed one, whose
    # temporary file is still there.
    temporary = path.with_name(f".{path.name}.{secrets.token_hex(8)}")
    try:
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
    except OSError as error:
        raise CommandError(f"{path}: {error.strerror}") from None
    _sync_folder_of(path)


def _sync_folder_of(path: Path) -> None:
    """Makes the replacement of a file durable. Raises CommandError."""
    try:
        descriptor = os.open(path.parent, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)
    except OSError as error:
        raise CommandError(f"{path}: replaced, but a power failure may undo this: {error.strerror}") from None


def _generate(algorithm: str) -> tuple[bytes, dict[str, str]]:
    """Returns a new private key in PEM, and the members of the JSON Web Key for its public key."""
    from cryptography.hazmat.primitives import serialization
    from cryptography.hazmat.primitives.asymmetric import ec, ed25519

    jwk: dict[str, str]
    private_key: ed25519.Ed25519PrivateKey | ec.EllipticCurvePrivateKey
    if algorithm == "EdDSA":
        private_key = ed25519.Ed25519PrivateKey.generate()
        x = private_key.public_key().public_bytes_raw()
        jwk = {"kty": "OKP", "crv": "Ed25519", "x": _base64url(x)}
    else:
        private_key = ec.generate_private_key(ec.SECP256R1())
        numbers = private_key.public_key().public_numbers()
        x = numbers.x.to_bytes(ES256_COORDINATE_BYTES)
        y = numbers.y.to_bytes(ES256_COORDINATE_BYTES)
        jwk = {"kty": "EC", "crv": "P-256", "x": _base64url(x), "y": _base64url(y)}
    pem = private_key.private_bytes(
        serialization.Encoding.PEM, serialization.PrivateFormat.PKCS8, serialization.NoEncryption()
    )
    return pem, jwk


def _base64url(data: bytes) -> str:
    return base64.urlsafe_b64encode(data).rstrip(b"=").decode()
