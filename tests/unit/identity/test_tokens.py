"""Tests of token parsing with hostile and arbitrary input."""

from __future__ import annotations

import json
import time
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ironmill.identity.authenticator import Rejected
from ironmill.identity.errors import CredentialError
from ironmill.identity.tokens import parse_token
from tests.support.identity import (
    Keys,
    authenticator_of,
    encode_part,
    hostile_tokens,
)


def test_hostile_tokens_are_rejected(keys: Keys) -> None:
    tokens = hostile_tokens(keys)
    assert len(tokens) == 30
    for name, token in tokens.items():
        authenticator = authenticator_of(keys)
        assert isinstance(authenticator.authenticate_token(token, "x", time.time()), Rejected), name
        assert len(authenticator) == 0


@given(st.binary(max_size=200))
def test_arbitrary_bytes_raise_only_credential_errors(data: bytes) -> None:
    with pytest.raises(CredentialError):
        parse_token(data)


_json_values = st.recursive(
    st.none() | st.booleans() | st.floats() | st.integers() | st.text(max_size=8),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=4), inner, max_size=3),
    max_leaves=12,
)


@given(
    st.dictionaries(st.sampled_from(["alg", "kid", "crit", "typ"]), _json_values),
    st.dictionaries(st.sampled_from(["iss", "aud", "sub", "exp", "nbf"]), _json_values),
)
def test_arbitrary_objects_are_parsed_or_rejected(header: dict[str, Any], claims: dict[str, Any]) -> None:
    raw = (
        encode_part(json.dumps(header).encode()) + b"." + encode_part(json.dumps(claims).encode()) + b".AAAA"
    )
    try:
        token = parse_token(raw)
    except CredentialError:
        return
    assert token.algorithm in ("EdDSA", "ES256")
    assert 0.0 <= token.expires_at <= 253_402_300_800.0
