"""The key ring: public keys, each with a state and the times between which its signatures are valid.

It is stored as a JSON Web Key Set (RFC 7517), which any tool can read; ``state``, ``from`` and ``until`` are
additional members. State and times are checked at each use.
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
KID_FORM = "a kid is 1 to 128 letters, digits or any of . _ -"
# Members of a JSON Web Key, and the values of kty and crv, by algorithm.
_JWK_MEMBERS = {"EdDSA": ("kty", "crv", "x"), "ES256": ("kty", "crv", "x", "y")}
_JWK_KINDS = {"EdDSA": ("OKP", "Ed25519"), "ES256": ("EC", "P-256")}


class KeyState(Enum):
    """The state of a key."""

    COMING = "coming"  # announced before it signs
    SIGNING = "signing"  # signs new tokens
    ACCEPTED = "accepted"  # signs no new tokens
    RETIRED = "retired"


@dataclass(frozen=True, slots=True)
class Key:
    """A public key. Times are Unix times in seconds."""

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
        """The keys must be consistent; see ``validated_ring``."""
        self._keys = {key.kid: key for key in keys}

    def __iter__(self) -> Iterator[Key]:
        """Iterates over the keys in the order of the file."""
        return iter(self._keys.values())

    def get(self, kid: str) -> Key | None:
        """Returns the key of that id in any state, or None."""
        return self._keys.get(kid)

    def signing(self) -> Key | None:
        """Returns the key that signs new tokens, or None."""
        return next((key for key in self._keys.values() if key.state is KeyState.SIGNING), None)

    def with_key(self, key: Key) -> KeyRing:
        """Returns a ring with a key added or replaced. Raises KeyRingError if it has too many."""
        keys = self._keys | {key.kid: key}
        return validated_ring(tuple(keys.values()))

    def promoted(self, kid: str, now: float, overlap_s: float) -> KeyRing:
        """Returns a ring in which the key signs. The previous signing key is valid for the overlap.

        Raises KeyRingError if there is no such key, or it is retired.
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
        """Returns the content of the ring's file."""
        return orjson.dumps({"keys": [_dump_key(key) for key in self]}, option=orjson.OPT_INDENT_2) + b"\n"

    def _require(self, kid: str) -> Key:
        key = self._keys.get(kid)
        if key is None:
            raise KeyRingError(f"there is no key {kid!r}")
        return key


def validated_ring(keys: tuple[Key, ...]) -> KeyRing:
    """Returns a ring of the keys. Raises KeyRingError for too many, equal ids or two signing keys."""
    if len(keys) > MAX_KEYS:
        raise KeyRingError(f"more than {MAX_KEYS} keys; remove retired ones")
    names = [key.kid for key in keys]
    for name in names:
        if names.count(name) > 1:
            raise KeyRingError(f"kid {name!r} comes twice")
    if sum(1 for key in keys if key.state is KeyState.SIGNING) > 1:
        raise KeyRingError("two keys are signing; one signs at a time")
    return KeyRing(keys)


def parse_ring(data: bytes) -> KeyRing:
    """Returns the ring of a file's content. Raises KeyRingError if any of it is invalid."""
    if len(data) > MAX_RING_BYTES:
        raise KeyRingError(f"more than {MAX_RING_BYTES} bytes")
    try:
        value = orjson.loads(data)
    except orjson.JSONDecodeError as error:
        raise KeyRingError(f"not JSON ({error})") from None
    items = value.get("keys") if isinstance(value, dict) else None
    if not isinstance(items, list):
        raise KeyRingError("not an object with a list of keys")
    return validated_ring(tuple(_parse_key(item, at) for at, item in enumerate(items)))


def is_valid_kid(kid: object) -> bool:
    """Returns True if the id may be part of a file's name."""
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


def _parse_key(item: object, at: int) -> Key:
    if not isinstance(item, dict):
        raise KeyRingError(f"key {at} is not an object")
    kid = item.get("kid")
    if not is_valid_kid(kid):
        raise KeyRingError(f"key {at}: {KID_FORM}")
    kid = str(kid)
    if "d" in item or "k" in item:  # a private or shared key must not be distributed with the ring
        raise KeyRingError(f"key {kid!r} holds a secret part; the ring holds public keys alone")
    try:
        state = KeyState(item.get("state"))
    except ValueError:
        states = ", ".join(state.value for state in KeyState)
        raise KeyRingError(f"key {kid!r}: its state is one of {states}") from None
    algorithm = item.get("alg")
    if algorithm not in ALGORITHMS:
        raise KeyRingError(f"key {kid!r}: its alg is one of {', '.join(ALGORITHMS)}")
    valid_from, valid_until = item.get("from", 0.0), item.get("until")
    for time in (valid_from, valid_until):
        if time is not None and (isinstance(time, bool) or not isinstance(time, (int, float))):
            raise KeyRingError(f"key {kid!r}: from and until are Unix times in seconds")
    jwk = _parse_jwk(item, algorithm, kid)
    public_key = _load_public_key(jwk, algorithm, kid)
    thumbprint = hashlib.sha256(orjson.dumps(jwk, option=orjson.OPT_SORT_KEYS)).hexdigest()
    return Key(kid, algorithm, state, public_key, jwk, float(valid_from or 0.0), valid_until, thumbprint)


def _parse_jwk(item: dict[str, Any], algorithm: str, kid: str) -> dict[str, str]:
    """Returns the members of the JSON Web Key that the algorithm needs."""
    members = _JWK_MEMBERS[algorithm]
    jwk = {name: item[name] for name in members if isinstance(item.get(name), str)}
    if len(jwk) < len(members):
        raise KeyRingError(f"key {kid!r} has not all of {', '.join(members)}")
    kinds = _JWK_KINDS[algorithm]
    if (jwk["kty"], jwk["crv"]) != kinds:
        raise KeyRingError(f"key {kid!r}: {algorithm} has kty {kinds[0]} and crv {kinds[1]}")
    return jwk


def _load_public_key(jwk: dict[str, str], algorithm: str, kid: str) -> PublicKey:
    from jwt import PyJWK  # not needed without callers
    from jwt.exceptions import PyJWTError

    try:
        return cast("PublicKey", PyJWK(jwk, algorithm=algorithm).key)
    except (PyJWTError, ValueError):
        raise KeyRingError(f"key {kid!r} is no point of its curve") from None
