"""Rules that map credentials to callers."""

from __future__ import annotations

from ironmill.identity.rules import TokenMatch, explain, matches_pattern, mismatch
from tests.support.identity import (
    AUDIENCE,
    ISSUER,
    identity,
    rule,
)


def test_rules_are_evaluated_in_order() -> None:
    it = identity(rule("mirrors", "mirror-*"), rule("farms"), rule("all", "*"))
    claims = {"iss": ISSUER, "aud": ["x", AUDIENCE], "sub": "farm-7"}
    steps = explain(it, claims)
    assert [(step.rule.caller.name, step.mismatch) for step in steps] == [
        ("mirrors", "subject 'farm-7' does not fit 'mirror-*'"),
        ("farms", ""),
    ]
    assert "audience" in mismatch(TokenMatch(ISSUER, "else"), claims)
    assert matches_pattern("a?c*", "abcd")
    assert not matches_pattern("a[b]c", "abc")
    assert matches_pattern("a[b]c", "a[b]c")
