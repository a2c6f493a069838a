"""The same verdict every time: hypothesis draws the same examples and watches no clock.

Tests that ``KNOWN-RED.txt`` names are run and expected to fail; one that passes fails the run, and so does a
name that no test has.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import TYPE_CHECKING, Any

import pytest
from hypothesis import settings

from tests.known_red import KnownRedError, missing, parse

if TYPE_CHECKING:
    from tests.support.requests import FakeTimers

settings.register_profile("same", derandomize=True, deadline=None, database=None)
settings.load_profile("same")

KNOWN_RED = pytest.StashKey[dict[str, str]]()


def pytest_configure(config: pytest.Config) -> None:
    file = config.rootpath / "KNOWN-RED.txt"
    try:
        config.stash[KNOWN_RED] = parse(file.read_text()) if file.exists() else {}
    except KnownRedError as error:
        raise pytest.UsageError(f"{file.name}: {error}") from None
    if config.pluginmanager.hasplugin("xdist"):
        config.pluginmanager.register(CollectedByWorkers())


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    known = config.stash[KNOWN_RED]
    for item in items:
        if item.nodeid in known:
            # Strict: one that passes is a failure.
            item.add_marker(pytest.mark.xfail(reason=known[item.nodeid], strict=True))
    if not hasattr(config, "workerinput"):  # else the run that started this worker checks the names
        check_names(config, (item.nodeid for item in items))


def check_names(config: pytest.Config, collected: Iterable[str]) -> None:
    """Fails the run if ``KNOWN-RED.txt`` names a test that is not there, unless a part is selected."""
    if is_selection(config):
        return
    if absent := missing(config.stash[KNOWN_RED], collected):
        raise pytest.UsageError(f"KNOWN-RED.txt names tests that are not there: {', '.join(absent)}")


def is_selection(config: pytest.Config) -> bool:
    """Tells whether the command line asks for a part of the tests."""
    return config.args_source is pytest.Config.ArgsSource.ARGS or bool(config.option.keyword)


class CollectedByWorkers:
    """Checks the names of ``KNOWN-RED.txt`` against what a worker of pytest-xdist has collected."""

    def pytest_xdist_node_collection_finished(self, node: Any, ids: list[str]) -> None:
        check_names(node.config, ids)


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter, config: pytest.Config) -> None:
    for name, reason in config.stash[KNOWN_RED].items():
        terminalreporter.write_line(f"known red: {name}: {reason}")


@pytest.fixture
def timers(monkeypatch: pytest.MonkeyPatch) -> FakeTimers:
    """Timers on a clock that only the test advances, in place of the monotonic clock."""
    from tests.support.requests import FakeTimers

    return FakeTimers(monkeypatch)
