"""Tests of the record of addresses that presented invalid signatures."""

from __future__ import annotations

import pytest

from ironmill.identity import suspect_addresses
from tests.support.identity import (
    Keys,
)


def test_suspect_addresses_are_bounded_and_forgotten(keys: Keys, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(suspect_addresses, "MAX_ADDRESSES", 10)
    suspects = suspect_addresses.SuspectAddresses()
    for index in range(100):
        for _ in range(suspect_addresses.SUSPECT_AFTER):
            suspects.record_failure(str(index), 1.0)
    assert sum(str(index) in suspects for index in range(100)) == 10
    suspects.forget_old(1.0 + suspect_addresses.MEMORY_S)
    assert "99" not in suspects
