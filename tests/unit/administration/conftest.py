"""Fixtures for tests of the admin API."""

from __future__ import annotations

from pathlib import Path

import pytest

from tests.support.configuration_api import StubOrigin


@pytest.fixture
def stub(tmp_path: Path) -> StubOrigin:
    return StubOrigin(tmp_path)
