"""The key ring: public keys, each with a state and the period in which its signatures are valid.

It is stored as a JSON Web Key Set (RFC 7517), which standard tools can read; ``state``, ``from`` and
``until`` are additional members. The state and the period of a key are checked at each use.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, replace
from enum import Enum
from typing import TYPE_CHECKING, Any, TypeAlias, cast

import orjson

from ironmill.identity.errors import KeyRingError

if TYPE_CHECKING:
    from cryptography.hazmat.primitives.asymmetric.ec import EllipticCurvePublicKey
    from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PublicKey

    PublicKey: TypeAlias = Ed25519PublicKey | EllipticCurvePublicKey

ALGORITHMS = ("EdDSA", "ES256")
MAX_KEYS = 64
MAX_RING_BYTES = 256 * 1024
MAX_KID_LENGTH = 128
KID_FORM = "a kid must be 1 to 128 ASCII letters, digits or . _ - and must not start with ."
# By algorithm: the required members of a JSON Web Key, and its values of kty and crv.
_JWK_MEMBERS = {"EdDSA": ("kty", "crv", "x"), "ES256": ("kty", "crv", "x", "y")}
_JWK_KINDS = {"EdDSA": ("OKP", "Ed25519"), "ES256": ("EC", "P-256")}


class KeyState(Enum):
    """The state of a key."""

    COMING = "coming"  # published before it signs any tokens
    SIGNING = "signing"  # signs new tokens
    ACCEPTED = "accepted"  # signs no new tokens, but its signatures are still valid
    RETIRED = "retired"


@dataclass(frozen=True, slots=True)
class Key:
    """A public key. All times are Unix times in seconds."""

    kid: str
    algorithm: str
    state: KeyState
    public_key: PublicKey
    jwk: Mapping[str, str]  # kty, crv, x and, for ES256, y
    valid_from: float = 0.0
    valid_until: float | None = None
    thumbprint: str = ""  # SHA-256 of the key material alone (RFC 7638)

    def is_retired(self, now: float) -> bool:
        """Returns True if the key's signatures are no longer valid."""
        return self.state is KeyState.RETIRED or (self.valid_until is not None and now >= self.valid_until)


class KeyRing:
    """Public keys by their ids. Immutable: each change returns a new ring."""

    def __init__(self, keys: tuple[Key, ...] = ()) -> None:
        """Creates a ring of consistent keys without checking them; see ``validated_ring``."""
        self._keys = {key.kid: key for key in keys}

    def __iter__(self) -> Iterator[Key]:
        """Iterates over the keys in the order of the file."""
        return iter(self._keys.values())

    def get(self, kid: str) -> Key | None:
        """Returns the key with this id in any state, or None."""
        return self._keys.get(kid)

    def signing(self) -> Key | None:
        """Returns the key that signs new tokens, or None."""
        return next((key for key in self._keys.values() if key.state is KeyState.SIGNING), None)

    def with_key(self, key: Key) -> KeyRing:
        """Returns a ring with a key added or replaced. Raises KeyRingError if that ring is not valid."""
        keys = self._keys | {key.kid: key}
        return validated_ring(tuple(keys.values()))

    def promoted(self, kid: str, now: float, overlap_s: float) -> KeyRing:
        """Returns a ring in which the key signs. The previous signing key stays valid for ``overlap_s``.

        Raises KeyRingError if there is no such key, or if it is retired.
        """
        key = self._require(kid)
        if key.is_retired(now):
            raise KeyRingError(f"key {kid!r} is retired")
        ring = self
        previous = self.signing()
        if previous is not None and previous.kid != kid:
            ring = ring.with_key(replace(previous, state=KeyState.ACCEPTED, valid_until=now + overlap_s))
        return ring.with_key(replace(key, state=KeyState.SIGNING, valid_from=min(key.valid_from, now)))

    def retired(self, kid: str, at: float) -> KeyRing:
        """Returns a ring in which the key is valid until the given time.

        Raises KeyRingError if there is no such key.
        """
        key = self._require(kid)
        state = KeyState.ACCEPTED if key.state is KeyState.SIGNING else key.state
        return self.with_key(replace(key, state=state, valid_until=at))

    def dump(self) -> bytes:
        """Returns the content of the key ring file."""
        return orjson.dumps({"keys": [_dump_key(key) for key in self]}, option=orjson.OPT_INDENT_2) + b"\n"

    def _require(self, kid: str) -> Key:
        key = self._keys.get(kid)
        if key is None:
            raise KeyRingError(f"there is no key {kid!r}")
        return key


def validated_ring(keys: tuple[Key, ...]) -> KeyRing:
    """Returns a ring of the keys. Raises KeyRingError for too many keys, equal ids or two signing keys."""
    if len(keys) > MAX_KEYS:
        raise KeyRingError(f"key ring has more than {MAX_KEYS} keys; remove retired keys")
    kids = [key.kid for key in keys]
    for kid in kids:
        if kids.count(kid) > 1:
            raise KeyRingError(f"kid {kid!r} is used by more than one key")
    if sum(1 for key in keys if key.state is KeyState.SIGNING) > 1:
        raise KeyRingError("key ring has two signing keys; only one key may sign at a time")
    return KeyRing(keys)


def parse_ring(data: bytes) -> KeyRing:
    """Parses the content of a key ring file. Raises KeyRingError if any part of it is invalid."""
    if len(data) > MAX_RING_BYTES:
        raise KeyRingError(f"key ring has more than {MAX_RING_BYTES} bytes")
    try:
        value = orjson.loads(data)
    except orjson.JSONDecodeError as error:
        raise KeyRingError(f"key ring is not valid JSON ({error})") from None
    items = value.get("keys") if isinstance(value, dict) else None
    if not isinstance(items, list):
        raise KeyRingError("key ring is not a JSON object with a list of keys")
    return validated_ring(tuple(_parse_key(item, index) for index, item in enumerate(items)))


def is_valid_kid(kid: object) -> bool:
    """Returns True if the id has the permitted form, which is safe as part of a file name."""
    return (
        isinstance(kid, str)
        and 0 < len(kid) <= MAX_KID_LENGTH
        and kid.isascii()
        and all(character.isalnum() or character in "._-" for character in kid)
        and kid[0] != "."
    )


def _dump_key(key: Key) -> dict[str, object]:
    item: dict[str, object] = {"kid": key.kid, "alg": key.algorithm, "use": "sig", **key.jwk}
    item |= {"state": key.state.value, "from": key.valid_from}
    if key.valid_until is not None:
        item["until"] = key.valid_until
    return item


def _parse_key(item: object, index: int) -> Key:
    if not isinstance(item, dict):
        raise KeyRingError(f"key {index} is not a JSON object")
    kid = item.get("kid")
    if not is_valid_kid(kid):
        raise KeyRingError(f"key {index}: {KID_FORM}")
    kid = str(kid)
    if "d" in item or "k" in item:  # a private or shared key must not be distributed with the ring
        raise KeyRingError(
            f"key {kid!r} contains secret key material; the key ring may contain only public keys"
        )
    try:
        state = KeyState(item.get("state"))
    except ValueError:
        states = ", ".join(state.value for state in KeyState)
        raise KeyRingError(f"key {kid!r}: state must be one of {states}") from None
    algorithm = item.get("alg")
    if algorithm not in ALGORITHMS:
        raise KeyRingError(f"key {kid!r}: alg must be one of {', '.join(ALGORITHMS)}")
    valid_from, valid_until = item.get("from", 0.0), item.get("until")
    for unix_time in (valid_from, valid_until):
        if unix_time is not None and (isinstance(unix_time, bool) or not isinstance(unix_time, (int, float))):
            raise KeyRingError(f"key {kid!r}: from and until must be Unix times in seconds")
    jwk = _parse_jwk(item, algorithm, kid)
    public_key = _load_public_key(jwk, algorithm, kid)
    thumbprint = hashlib.sha256(orjson.dumps(jwk, option=orjson.OPT_SORT_KEYS)).hexdigest()
    return Key(kid, algorithm, state, public_key, jwk, float(valid_from or 0.0), valid_until, thumbprint)


def _parse_jwk(item: dict[str, Any], algorithm: str, kid: str) -> dict[str, str]:
    """Returns the members of the JSON Web Key that the algorithm requires."""
    members = _JWK_MEMBERS[algorithm]
    jwk = {name: item[name] for name in members if isinstance(item.get(name), str)}
    if len(jwk) < len(members):
        raise KeyRingError(f"key {kid!r} must have the string members {', '.join(members)}")
    key_type = _JWK_KINDS[algorithm]
    if (jwk["kty"], jwk["crv"]) != key_type:
        raise KeyRingError(f"key {kid!r}: {algorithm} requires kty {key_type[0]} and crv {key_type[1]}")
    return jwk


def _load_public_key(jwk: dict[str, str], algorithm: str, kid: str) -> PublicKey:
    from jwt import PyJWK  # imported here because proxies without callers do not need it
    from jwt.exceptions import PyJWTError

    try:
        return cast("PublicKey", PyJWK(jwk, algorithm=algorithm).key)
    except (PyJWTError, ValueError):
        raise KeyRingError(f"key {kid!r} is not a valid point on its curve") from None
