"""Fixtures for the tests of authentication and authorization."""

from __future__ import annotations

import pytest

from tests.support.identity import Keys


@pytest.fixture(scope="module")
def keys(tmp_path_factory: pytest.TempPathFactory) -> Keys:
    return Keys(tmp_path_factory.mktemp("keys"))
