"""Tests of the rules that map credentials to callers."""

from __future__ import annotations

from ironmill.identity.rules import TokenMatch, explain, matches_pattern, mismatch
from tests.support.identity import (
    AUDIENCE,
    ISSUER,
    identity,
    rule,
)


def test_rules_are_evaluated_in_order() -> None:
    settings = identity(rule("mirrors", "mirror-*"), rule("farms"), rule("all", "*"))
    claims = {"iss": ISSUER, "aud": ["x", AUDIENCE], "sub": "farm-7"}
    evaluations = explain(settings, claims)
    assert [(evaluation.rule.caller.name, evaluation.mismatch) for evaluation in evaluations] == [
        ("mirrors", "subject 'farm-7' does not match 'mirror-*'"),
        ("farms", ""),
    ]
    assert "audience" in mismatch(TokenMatch(ISSUER, "else"), claims)
    assert matches_pattern("a?c*", "abcd")
    assert not matches_pattern("a[b]c", "abc")
    assert matches_pattern("a[b]c", "a[b]c")
