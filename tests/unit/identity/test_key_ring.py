"""Tests of the key ring: changes, storage and validation."""

from __future__ import annotations

from typing import Any

import orjson
import pytest

from ironmill.identity.errors import KeyRingError
from ironmill.identity.keyring import MAX_KEYS, KeyState, parse_ring
from tests.support.identity import (
    Keys,
)


def test_ring_is_unchanged_by_dump_and_parse(keys: Keys) -> None:
    ring = keys.ring()
    parsed = parse_ring(ring.dump())
    assert [(key.kid, key.state, key.thumbprint, key.valid_from) for key in parsed] == [
        (key.kid, key.state, key.thumbprint, key.valid_from) for key in ring
    ]
    signing = ring.promoted("b", 50.0, 10.0).signing()
    assert signing is not None
    assert signing.kid == "b"
    previous = ring.promoted("b", 50.0, 10.0).get("a")
    assert previous is not None
    assert (previous.state, previous.valid_until) == (KeyState.ACCEPTED, 60.0)
    assert (previous.is_retired(59.9), previous.is_retired(60.0)) == (False, True)
    with pytest.raises(KeyRingError):
        ring.promoted("none", 0.0, 0.0)
    with pytest.raises(KeyRingError):
        ring.retired("none", 0.0)
    with pytest.raises(KeyRingError):
        ring.retired("a", 1.0).promoted("a", 2.0, 0.0)


@pytest.mark.parametrize(
    ("change", "message"),
    [
        ({"d": "x"}, "secret"),
        ({"state": "new"}, "state"),
        ({"alg": "RS256"}, "alg"),
        ({"kid": "../a"}, "kid"),
        ({"kid": "b"}, "more than one key"),
        ({"x": None}, "must have the string members"),
        ({"x": "AAAA"}, "curve"),
        ({"crv": "P-256"}, "crv"),
        ({"from": "now"}, "Unix times"),
        ({"until": True}, "Unix times"),
    ],
)
def test_invalid_key_invalidates_ring(keys: Keys, change: dict[str, Any], message: str) -> None:
    value = orjson.loads(keys.ring().dump())
    value["keys"][0] |= change
    with pytest.raises(KeyRingError, match=message):
        parse_ring(orjson.dumps(value))


def test_malformed_rings_are_rejected(keys: Keys) -> None:
    data = keys.ring().dump()
    for malformed in (b"", data[: len(data) // 2], b"[]", b'{"keys":{}}', b'{"keys":[1]}', b" " * (1 << 19)):
        with pytest.raises(KeyRingError):
            parse_ring(malformed)
    value = orjson.loads(data)
    two_signing = orjson.dumps({"keys": [key | {"state": "signing"} for key in value["keys"]]})
    with pytest.raises(KeyRingError, match="two signing keys"):
        parse_ring(two_signing)
    too_many = [value["keys"][0] | {"kid": f"k{index}", "state": "accepted"} for index in range(MAX_KEYS + 1)]
    with pytest.raises(KeyRingError, match="more than"):
        parse_ring(orjson.dumps({"keys": too_many}))
