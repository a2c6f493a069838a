"""Configures pytest: Hypothesis draws the same examples in each run and sets no time limit on an example.

Tests that ``KNOWN-RED.txt`` lists are run and must fail as listed. The run fails if one of them fails in
another way, if one passes that is not listed as passing at times, and if a listed test does not exist. The
summary of the run prints the outcome of each.
"""

from __future__ import annotations

from collections.abc import Generator, Iterable
from typing import TYPE_CHECKING, Any

import pytest
from hypothesis import settings

from tests.known_red import KnownFailure, KnownRedError, missing, parse

if TYPE_CHECKING:
    from tests.support.requests import FakeTimers

settings.register_profile("deterministic", derandomize=True, deadline=None, database=None)
settings.load_profile("deterministic")

KNOWN_RED = pytest.StashKey[dict[str, KnownFailure]]()
OUTCOMES = pytest.StashKey[dict[str, str]]()


def pytest_configure(config: pytest.Config) -> None:
    file = config.rootpath / "KNOWN-RED.txt"
    try:
        config.stash[KNOWN_RED] = parse(file.read_text()) if file.exists() else {}
    except KnownRedError as error:
        raise pytest.UsageError(f"{file.name}: {error}") from None
    config.stash[OUTCOMES] = {}
    config.pluginmanager.register(OutcomeRecorder(config))
    if config.pluginmanager.hasplugin("xdist"):
        config.pluginmanager.register(WorkerCollectionCheck())


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    if not hasattr(config, "workerinput"):  # the controller of pytest-xdist checks the names for its workers
        check_listed_tests_exist(config, (item.nodeid for item in items))


@pytest.hookimpl(wrapper=True)
def pytest_runtest_makereport(
    item: pytest.Item, call: pytest.CallInfo[None]
) -> Generator[None, pytest.TestReport, pytest.TestReport]:
    """Sets the outcome of a listed test: it must fail as listed, or pass if the list allows it."""
    report = yield
    known = item.config.stash[KNOWN_RED].get(item.nodeid)
    if known is None or report.when != "call" or report.outcome == "skipped":
        return report
    if report.passed and known.always:
        report.outcome = "failed"
        report.longrepr = f"passes, but KNOWN-RED.txt lists it as failing: {known}"
    elif report.failed and call.excinfo is not None and known.describes(str(call.excinfo.value)):
        report.outcome = "skipped"
        report.wasxfail = str(known)
    return report


class OutcomeRecorder:
    """Records the outcomes of listed tests, including those that workers ran."""

    def __init__(self, config: pytest.Config) -> None:
        self._known = config.stash[KNOWN_RED]
        self._outcomes = config.stash[OUTCOMES]

    def pytest_runtest_logreport(self, report: pytest.TestReport) -> None:
        if report.nodeid in self._known and report.when == "call":
            failed_as_listed = hasattr(report, "wasxfail")
            self._outcomes[report.nodeid] = "failed as listed" if failed_as_listed else report.outcome


def check_listed_tests_exist(config: pytest.Config, collected: Iterable[str]) -> None:
    """Fails the run if a listed test does not exist, unless the run selects only some tests."""
    if is_selection(config):
        return
    if absent := missing(config.stash[KNOWN_RED].values(), collected):
        raise pytest.UsageError(f"KNOWN-RED.txt names tests that are not there: {', '.join(absent)}")


def is_selection(config: pytest.Config) -> bool:
    """Returns whether the command line selects some of the tests."""
    return config.args_source is pytest.Config.ArgsSource.ARGS or bool(config.option.keyword)


class WorkerCollectionCheck:
    """Checks that a worker of pytest-xdist has collected the tests that ``KNOWN-RED.txt`` lists."""

    def pytest_xdist_node_collection_finished(self, node: Any, ids: list[str]) -> None:
        check_listed_tests_exist(node.config, ids)


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter, config: pytest.Config) -> None:
    for name, known in config.stash[KNOWN_RED].items():
        outcome = config.stash[OUTCOMES].get(name, "not run")
        terminalreporter.write_line(f"known red: {known}: {outcome}")


@pytest.fixture
def timers(monkeypatch: pytest.MonkeyPatch) -> FakeTimers:
    """Returns timers on a clock that only the test advances; it replaces the monotonic clock."""
    from tests.support.requests import FakeTimers

    return FakeTimers(monkeypatch)
