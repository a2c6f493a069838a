"""Fixtures that several system tests use.

All modules are loaded, so that Hypothesis draws the same examples whichever tests are selected.
"""

from __future__ import annotations

import pytest

from ironmill.net.clients import reading as reading_module
from ironmill_testbed.certificates import Authority
from tests.support.hypothesis_constants import load_all_modules

load_all_modules()


@pytest.fixture(scope="module")
def authority(tmp_path_factory: pytest.TempPathFactory) -> Authority:
    """Returns a certificate authority that has issued the server's certificate."""
    authority = Authority(tmp_path_factory.mktemp("tls"))
    authority.certificate("server", "localhost")
    return authority


@pytest.fixture
def short_half_close(monkeypatch: pytest.MonkeyPatch) -> None:
    """Shortens the wait after a half-close: servers that a test emulates do not close with their client."""
    monkeypatch.setattr(reading_module, "HALF_CLOSED_TIMEOUT_S", 0.2)
