"""The key ring: changes, storage and validation."""

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
    again = parse_ring(ring.dump())
    assert [(key.kid, key.state, key.thumbprint, key.valid_from) for key in again] == [
        (key.kid, key.state, key.thumbprint, key.valid_from) for key in ring
    ]
    signing = ring.promoted("b", 50.0, 10.0).signing()
    assert signing is not None
    assert signing.kid == "b"
    old = ring.promoted("b", 50.0, 10.0).get("a")
    assert old is not None
    assert (old.state, old.valid_until) == (KeyState.ACCEPTED, 60.0)
    assert (old.is_retired(59.9), old.is_retired(60.0)) == (False, True)
    with pytest.raises(KeyRingError):
        ring.promoted("none", 0.0, 0.0)
    with pytest.raises(KeyRingError):
        ring.retired("none", 0.0)
    with pytest.raises(KeyRingError):
        ring.retired("a", 1.0).promoted("a", 2.0, 0.0)


@pytest.mark.parametrize(
    ("change", "wrong"),
    [
        ({"d": "x"}, "secret"),
        ({"state": "new"}, "state"),
        ({"alg": "RS256"}, "alg"),
        ({"kid": "../a"}, "kid"),
        ({"kid": "b"}, "twice"),
        ({"x": None}, "has not all"),
        ({"x": "AAAA"}, "curve"),
        ({"crv": "P-256"}, "crv"),
        ({"from": "now"}, "Unix times"),
        ({"until": True}, "Unix times"),
    ],
)
def test_invalid_key_invalidates_ring(keys: Keys, change: dict[str, Any], wrong: str) -> None:
    value = orjson.loads(keys.ring().dump())
    value["keys"][0] |= change
    with pytest.raises(KeyRingError, match=wrong):
        parse_ring(orjson.dumps(value))


def test_malformed_rings_are_rejected(keys: Keys) -> None:
    data = keys.ring().dump()
    for cut in (b"", data[: len(data) // 2], b"[]", b'{"keys":{}}', b'{"keys":[1]}', b" " * (1 << 19)):
        with pytest.raises(KeyRingError):
            parse_ring(cut)
    value = orjson.loads(data)
    two = orjson.dumps({"keys": [it | {"state": "signing"} for it in value["keys"]]})
    with pytest.raises(KeyRingError, match="two keys are signing"):
        parse_ring(two)
    many = [value["keys"][0] | {"kid": f"k{at}", "state": "accepted"} for at in range(MAX_KEYS + 1)]
    with pytest.raises(KeyRingError, match="more than"):
        parse_ring(orjson.dumps({"keys": many}))
