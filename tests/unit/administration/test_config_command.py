"""Tests of the ``ironmill config`` commands, which call the admin API of distributed configuration."""

from __future__ import annotations

import subprocess
import sys
import time
from collections.abc import Callable
from http import HTTPStatus

import msgspec
import pytest

from ironmill.administration.configuration_api import (
    STATUS_PATH,
)
from ironmill.administration.messages import ApiRequest, ApiResponse
from ironmill.administration.routes import Routes
from ironmill.distribution.revision import (
    RevisionMetadata,
)
from ironmill.net.admin_server import AdminServer
from ironmill.runtime.scheduler import Scheduler
from ironmill_testbed.fleet import run_scenario
from tests.support.configuration_api import ZONE, StubOrigin, create_routes


class CommandRunner:
    """Serves the admin API of a stub origin and runs commands as processes."""

    def __init__(self, stub: StubOrigin, has_writer: bool = True) -> None:
        self.scheduler = Scheduler()
        self.responses_to_lose = 0
        self.requests: list[ApiRequest] = []
        routes = create_routes(stub, has_writer)
        dispatch = routes.dispatch

        def dispatch_and_lose_responses(request: ApiRequest) -> ApiResponse:
            self.requests.append(request)
            response = dispatch(request)
            if self.responses_to_lose:
                self.responses_to_lose -= 1
                raise ConnectionResetError
            return response

        routes.dispatch = dispatch_and_lose_responses  # type: ignore[method-assign]
        self.server = AdminServer(self.scheduler, ("127.0.0.1", 0), routes)
        self.server.start()

    def run(self, *arguments: str, during: Callable[[], object] | None = None) -> tuple[int, str, str]:
        """Runs a command; returns its exit status, standard output and standard error."""
        host, port = self.server.address
        arguments = tuple(f"{host}:{port}" if word == "CONTROL" else word for word in arguments)
        processes: list[subprocess.Popen[str]] = []

        def scenario() -> None:
            process = subprocess.Popen(
                [sys.executable, "-m", "ironmill", "config", *arguments],
                text=True,
                stdout=subprocess.PIPE,
                stderr=subprocess.PIPE,
            )
            processes.append(process)
            if during is not None:
                during()
            while process.poll() is None:
                self.scheduler.sleep(0.01)

        run_scenario(self.scheduler, scenario, 60.0)
        out, err = processes[0].communicate()
        return processes[0].returncode, out, err


def test_push_history_revert_wait_and_status_commands(stub: StubOrigin) -> None:
    runner = CommandRunner(stub)
    options = ["--author=ann", "--note=a day", "--wait"]
    pushed = runner.run("push", "CONTROL", "shard/a=r1", "log/level=debug", *options)
    assert pushed == (0, "1.1 is stored\n1.1 is in force everywhere\n", "")
    assert runner.run("push", "CONTROL", "shard/a-", "--author=bob", "--expect=1.0")[::2] == (
        2,
        "ironmill: not accepted: the newest revision is 1.1, not 1.0\n",
    )
    assert runner.run("push", "CONTROL", "bad/x=1")[::2] == (2, "ironmill: refused: bad/x: unknown key\n")
    assert runner.run("push", "CONTROL", "shard/a-", "--author=bob", "--expect=1.1")[:2] == (
        0,
        "1.2 is stored\n",
    )
    status, out, _ = runner.run("history", "CONTROL")
    lines = out.splitlines()
    assert status == 0
    assert lines[0].startswith("1.2  1970-01-01T00:00:50Z  bob")
    assert lines[1:] == [
        "  shard/a-",
        "1.1  1970-01-01T00:00:50Z  ann  a day",
        "  log/level=debug",
        "  shard/a=r1",
    ]
    assert runner.run("history", "CONTROL", "--most=1")[1].count("\n") == 2
    reverted = runner.run("revert", "CONTROL", "1.1", "--wait")
    assert reverted == (0, "1.3 is stored\n1.3 is in force everywhere\n", "")
    assert dict(stub.store.entries()) == {"shard/a": b"r1", "log/level": b"debug"}
    assert runner.run("wait", "CONTROL", "1.3")[0] == 0
    assert (
        runner.run("status", "CONTROL")[1] == "c1 is origin, holds 1.3, in force 1.3, last contact with "
        "the origin 0.0s ago, 2 keys\n"
    )


def test_lost_response_is_retried_and_stored_once(stub: StubOrigin) -> None:
    runner = CommandRunner(stub)
    runner.responses_to_lose = 2
    assert runner.run("push", "CONTROL", "a=1")[:2] == (0, "1.1 is stored\n")
    assert len({request.body for request in runner.requests}) == 1
    assert len(runner.requests) == 3
    runner.responses_to_lose = 2
    assert runner.run("revert", "CONTROL", "0")[:2] == (0, "1.2 is stored\n")
    runner.responses_to_lose = 99
    status, out, err = runner.run("push", "CONTROL", "a=2")
    assert (status, out) == (2, "")
    assert "tried 5 times, and it is unknown whether the revision was stored" in err
    assert stub.store.position == (1, 3)


def test_wait_that_times_out_names_the_lagging_nodes(stub: StubOrigin) -> None:
    runner = CommandRunner(stub)
    stub.store.commit({"a": b"1"}, RevisionMetadata(1.0, "", "", "t"))
    zones = [ZONE | {"lowest": "1.1"}, ZONE | {"zone": "y", "lowest": "1.0", "refused": 1, "unreachable": 1}]
    laggards = [
        {"name": "p1", "zone": "y", "in_force": "1.0", "why": "refused", "key": "a", "reason": "un\x1bknown"},
        {"name": "p2", "zone": "y", "in_force": "1.0", "why": "unreachable", "key": "", "reason": ""},
        {"name": "p3", "zone": "z", "in_force": "0.0", "why": "behind", "key": "", "reason": ""},
    ]
    stub.status_overrides = {"everywhere": False, "lowest": "1.0", "zones": zones}
    stub.status_overrides |= {"laggards": laggards, "more_laggards": 4}
    expected = (
        "1.1 is not in force everywhere after 0.5s; the lowest is 1.0\n"
        "p1 in zone y: refused, in force 1.0: a: un\\x1bknown\n"
        "p2 in zone y: unreachable, in force 1.0\np3 in zone z: behind, in force 0.0\nand 4 more\n"
    )
    assert runner.run("wait", "CONTROL", "1.1", "--within=500ms") == (1, expected, "")
    status, out, _ = runner.run("status", "CONTROL")
    assert status == 0
    assert "1.1 is not in force everywhere; the lowest is 1.0\n" in out
    assert "y     3        1.0     1        1\n" in out
    # The revision is applied everywhere while the command waits.
    stub.status_overrides |= {"laggards": [], "zones": [ZONE]}

    def during() -> None:
        while not runner.requests:
            runner.scheduler.sleep(0.01)
        runner.scheduler.sleep(0.3)
        stub.status_overrides |= {"zones": [ZONE | {"lowest": "1.1"}]}

    stub.status_overrides["zones"] = [ZONE | {"lowest": "1.0"}]
    runner.requests.clear()
    waited = runner.run("wait", "CONTROL", "1.1", "--within=30s", during=during)
    assert waited == (0, "1.1 is in force everywhere\n", "")
    # Another store has taken over and does not contain this revision.
    stub.status_overrides = {"held": "5.1"}
    assert runner.run("wait", "CONTROL", "1.2")[:2] == (
        1,
        "1.2 is not in the history of c1, which is at 5.1\n",
    )


def test_command_that_cannot_be_carried_out_exits_with_2(stub: StubOrigin) -> None:
    runner = CommandRunner(stub, has_writer=False)
    stub.status_overrides = {"role": "relay"}
    reason = "ironmill: not accepted: this process is no origin; the origin is c1 or c9\n"
    assert runner.run("push", "CONTROL", "a=1") == (2, "", reason)
    assert runner.run("history", "CONTROL")[0] == 2
    assert runner.run("wait", "CONTROL", "1.1")[::2] == (
        2,
        "ironmill: c1 is a relay; only the origin has the status of all proxies\n",
    )
    for arguments in (
        ("wait", "CONTROL", "now"),
        ("wait", "CONTROL", "1.1", "--within=soon"),
        ("push", "CONTROL"),
        ("push", "nowhere", "a=b"),
        ("revert", "CONTROL", "x"),
        ("history", "CONTROL", "--most=all"),
    ):
        status, out, err = runner.run(*arguments)
        assert (status, out, len(err.splitlines())) == (2, "", 1), arguments
    runner.server.close()
    status, out, err = runner.run("push", "CONTROL", "a=b")
    assert (status, out) == (2, "")
    assert "tried 5 times, and no revision was stored" in err
    started_at = time.monotonic()
    assert runner.run("wait", "CONTROL", "1.1", "--within=300ms")[0] == 2
    assert runner.run("status", "CONTROL")[0] == 2
    assert time.monotonic() - started_at < 30.0


def test_command_reports_missing_distribution_and_malformed_responses(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    scheduler = Scheduler()
    routes = Routes()
    routes.add("/other", {})
    runner = CommandRunner.__new__(CommandRunner)
    runner.scheduler = scheduler
    runner.server = AdminServer(scheduler, ("127.0.0.1", 0), routes)
    runner.server.start()
    assert "has no distribution in its settings" in runner.run("status", "CONTROL")[2]
    routes.add(STATUS_PATH, {"GET": lambda _: ApiResponse(HTTPStatus.OK, b"<html>")})
    assert "sent an unexpected response" in runner.run("status", "CONTROL")[2]
    error_response = ApiResponse(HTTPStatus.BAD_GATEWAY, msgspec.json.encode({"reason": "x"}))
    routes.add(STATUS_PATH, {"GET": lambda _: error_response})
    assert "answers 502: x" in runner.run("status", "CONTROL")[2]
    runner.server.close()
