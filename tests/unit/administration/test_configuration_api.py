"""The admin API of distributed configuration over a stub of the origin, and the commands that call it."""

from __future__ import annotations

import json
import subprocess
import sys
import time
from collections.abc import Callable
from http import HTTPStatus
from pathlib import Path
from typing import Any

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from ironmill.administration import configuration_api
from ironmill.administration.configuration_api import (
    MAX_HISTORY,
    REVERT_PATH,
    REVISIONS_PATH,
    STATUS_PATH,
    ConfigurationApi,
    read_position,
)
from ironmill.administration.messages import ApiRequest, ApiResponse
from ironmill.administration.routes import Routes
from ironmill.commands import config
from ironmill.commands.config import ConfigError
from ironmill.commands.config_status import NodeStatus
from ironmill.distribution.changes import Changes, check_changes
from ironmill.distribution.errors import (
    FencedError,
    NotOriginError,
    PositionConflictError,
    RevisionRejectedError,
    StoreError,
)
from ironmill.distribution.rejection import Rejection
from ironmill.distribution.revision import (
    MAX_AUTHOR_LENGTH,
    MAX_NOTE_LENGTH,
    MAX_TICKET_LENGTH,
    Position,
    RevisionMetadata,
    StoredRevision,
)
from ironmill.net import revision_store
from ironmill.net.admin_server import AdminServer
from ironmill.net.revision_store import SqliteStore
from ironmill.runtime.scheduler import Scheduler
from ironmill_testbed.fleet import run_scenario


class StubOrigin:
    """An origin with a real store and a simulated status of the fleet."""

    def __init__(self, folder: Path) -> None:
        self.store = SqliteStore(str(folder / "store"))
        self.error: Exception | None = None
        self.overrides: dict[str, Any] = {}
        self.pushed: list[tuple[float, float]] = []

    def push(
        self, changes: Changes, metadata: RevisionMetadata, now: float, expect: Position | None = None
    ) -> Position:
        self.pushed.append((metadata.at, now))
        if self.error is not None:
            raise self.error
        known = self.store.committed(metadata.ticket)
        if known is not None:
            return known
        if expect is not None and expect != self.store.position:
            raise PositionConflictError(f"the newest revision is {self.store.position}, not {expect}")
        check_changes(changes)
        for key in changes:
            if key.startswith("bad/"):
                raise RevisionRejectedError(Rejection(key, "unknown key"))
        return self.store.commit(changes, metadata)

    def undo(self, number: int) -> Changes:
        return self.store.undo(number)

    def history(self, most: int) -> list[StoredRevision]:
        return self.store.history(most)

    def status(self, now: float) -> dict[str, Any]:
        head = str(self.store.position)
        return {
            "name": "c1",
            "role": "origin",
            "lineage": self.store.lineage,
            "held": head,
            "in_force": head,
            "stale": False,
            "age_s": 0.0,
            "parent": "",
            "everywhere": True,
            "lowest": head,
            "zones": [],
            "laggards": [],
            "more_laggards": 0,
            "entries": len(dict(self.store.entries())),
            "dropped": {},
        } | self.overrides


@pytest.fixture
def stub(tmp_path: Path) -> StubOrigin:
    return StubOrigin(tmp_path)


def routes_of(stub: StubOrigin, writes: bool = True) -> Routes:
    routes = Routes()
    ConfigurationApi(stub, stub if writes else None, ["c1", "c9"], lambda: 50.0, lambda: 7.0).add_to(routes)
    return routes


def call_api(routes: Routes, method: str, path: str, body: object = None, query: str = "") -> tuple[int, Any]:
    data = body if isinstance(body, bytes) else b"" if body is None else json.dumps(body).encode()
    answer = routes.dispatch(ApiRequest(method, path, query, data))
    assert answer.body.endswith(b"\n")
    return int(answer.status), json.loads(answer.body)


def body(changes: dict[str, str | None] | None = None, **more: object) -> dict[str, object]:
    return {"changes": {"a": "1"} if changes is None else changes, "author": "ann", "ticket": "t1"} | more


def test_push_is_idempotent_by_ticket_and_checks_the_expected_position(stub: StubOrigin) -> None:
    routes = routes_of(stub)
    assert call_api(routes, "POST", REVISIONS_PATH, body()) == (201, {"position": "1.1"})
    assert call_api(routes, "POST", REVISIONS_PATH, body()) == (201, {"position": "1.1"})  # stored once
    assert stub.pushed == [(50.0, 7.0)] * 2
    status, content = call_api(routes, "POST", REVISIONS_PATH, body({"b": "2"}, ticket="t2", expect="1.0"))
    assert (status, content) == (412, {"reason": "the newest revision is 1.1, not 1.0"})
    later = body({"ß": "straße", "a": None}, ticket="t2", expect="1.1")
    assert call_api(routes, "POST", REVISIONS_PATH, later)[0] == 201
    assert dict(stub.store.entries()) == {"ß": "straße".encode()}
    assert call_api(routes, "GET", STATUS_PATH)[1]["held"] == "1.2"


def test_rejected_push_names_key_and_reason_and_stores_nothing(stub: StubOrigin) -> None:
    routes = routes_of(stub)
    content = call_api(routes, "POST", REVISIONS_PATH, body({"a": "1", "bad/x": "1"}))
    assert content == (409, {"key": "bad/x", "reason": "unknown key"})
    for one, wrong in (
        (body({}), "a revision has one change at least"),
        (body({"": "x"}), "a key has 1 to 200 bytes"),
        (body({"a": "x" * 641}), "a: a value has 640 bytes at most"),
        (body({"a\n": "x"}), "a key has printable characters only"),
    ):
        status, answer = call_api(routes, "POST", REVISIONS_PATH, one)
        assert status == 400
        assert wrong in answer["reason"]
    assert stub.store.position == (0, 0)


@pytest.mark.parametrize(
    ("path", "sent", "wrong"),
    [
        (REVISIONS_PATH, b"", "the body is not right"),
        (REVISIONS_PATH, b"[]", "the body is not right"),
        (REVISIONS_PATH, b"\xff", "the body is not right"),
        (REVISIONS_PATH, b"[" * 60_000, "the body is not right"),
        (REVISIONS_PATH, {"changes": {"a": "1"}, "author": "ann"}, "ticket"),
        (REVISIONS_PATH, body({"a": 1}), "changes"),
        (REVISIONS_PATH, body(more=1), "more"),  # type: ignore[dict-item]
        (REVISIONS_PATH, body(author=""), "author"),
        (REVISIONS_PATH, body(author="x" * (MAX_AUTHOR_LENGTH + 1)), "author"),
        (REVISIONS_PATH, body(author="a\x1b[2J"), "author has printable characters only"),
        (REVISIONS_PATH, body(note="x" * (MAX_NOTE_LENGTH + 1)), "note"),
        (REVISIONS_PATH, body(note="a\nb"), "note has printable characters only"),
        (REVISIONS_PATH, body(ticket=""), "ticket"),
        (REVISIONS_PATH, body(ticket="x" * (MAX_TICKET_LENGTH + 1)), "ticket"),
        (REVISIONS_PATH, body(expect="1" * 41), "expect"),
        (REVISIONS_PATH, body(expect="now"), "'now' is no position"),
        (REVISIONS_PATH, body(expect="1.\u0664"), "is no position"),
        (REVERT_PATH, body(), "changes"),
        (REVERT_PATH, {"number": -1, "author": "a", "ticket": "t"}, "number"),
        (REVERT_PATH, {"number": 1 << 62, "author": "a", "ticket": "t"}, "number"),
        (REVERT_PATH, {"number": "1", "author": "a", "ticket": "t"}, "number"),
    ],
)
def test_invalid_body_is_rejected_with_the_reason(
    path: str, sent: object, wrong: str, stub: StubOrigin
) -> None:
    status, content = call_api(routes_of(stub), "POST", path, sent)
    assert status == 400
    assert wrong in content["reason"]
    assert "\n" not in content["reason"]
    assert stub.store.position == (0, 0)


@given(st.binary(max_size=200))
def test_arbitrary_bodies_get_an_error_response(data: bytes) -> None:
    class FailingNode:
        def status(self, now: float) -> dict[str, Any]:
            return {}

        def push(self, *args: Any) -> Position:
            raise StoreError("none")

        def undo(self, number: int) -> Changes:
            return {}

        def history(self, most: int) -> list[StoredRevision]:
            return []

    routes = Routes()
    ConfigurationApi(FailingNode(), FailingNode(), []).add_to(routes)
    for path in (REVISIONS_PATH, REVERT_PATH):
        assert routes.dispatch(ApiRequest("POST", path, "", data)).status in (400, 503)
    assert routes.dispatch(ApiRequest("GET", REVISIONS_PATH, data.decode("latin-1"))).status in (200, 400)


def test_limits_of_the_api_are_those_of_the_store(stub: StubOrigin) -> None:
    assert (MAX_AUTHOR_LENGTH, MAX_NOTE_LENGTH, MAX_TICKET_LENGTH) == (
        revision_store.MAX_AUTHOR_LENGTH,
        revision_store.MAX_NOTE_LENGTH,
        revision_store.MAX_TICKET_LENGTH,
    )
    longest = body(author="ß" * MAX_AUTHOR_LENGTH, note="ß" * MAX_NOTE_LENGTH, ticket="ß" * MAX_TICKET_LENGTH)
    assert call_api(routes_of(stub), "POST", REVISIONS_PATH, longest)[0] == 201


def test_process_that_is_not_the_origin_names_the_origins(stub: StubOrigin) -> None:
    relay = routes_of(stub, writes=False)
    reason = "this process is no origin; the origin is c1 or c9"
    content = (503, {"reason": reason, "origins": ["c1", "c9"]})
    assert call_api(relay, "POST", REVISIONS_PATH, body()) == content
    assert call_api(relay, "POST", REVERT_PATH, {}) == content
    assert call_api(relay, "GET", REVISIONS_PATH) == content
    assert call_api(relay, "GET", STATUS_PATH)[0] == 200
    routes = routes_of(stub)
    for error in (NotOriginError("c1 is no origin any more"), FencedError("another process has opened")):
        stub.error = error
        status, answer = call_api(routes, "POST", REVISIONS_PATH, body())
        assert (status, answer["reason"]) == (503, f"{error}; the origin is c1 or c9")
    stub.error = StoreError("no room")
    assert call_api(routes, "POST", REVISIONS_PATH, body()) == (503, {"reason": "no room"})
    stub.store.close()
    assert call_api(routes, "GET", REVISIONS_PATH)[0] == 503
    assert call_api(routes, "POST", REVERT_PATH, {"number": 0, "author": "a", "ticket": "t"})[0] == 503


def test_history_is_limited_by_count_and_size(stub: StubOrigin, monkeypatch: pytest.MonkeyPatch) -> None:
    routes = routes_of(stub)
    for at in range(30):
        stub.store.commit({"a": b"%d" % at, "b": None}, RevisionMetadata(float(at), "ann", "why", f"t{at}"))
    stub.store.commit({"raw": b"\xff\x00"}, RevisionMetadata(99.5, "bob", "", "raw"))
    status, content = call_api(routes, "GET", REVISIONS_PATH)
    assert (status, len(content["revisions"]), content["cut"]) == (200, 20, False)
    assert content["revisions"][:2] == [
        {"position": "1.31", "at": 99.5, "author": "bob", "note": "", "changes": {"raw": "\\xff\x00"}},
        {"position": "1.30", "at": 29.0, "author": "ann", "note": "why", "changes": {"a": "29", "b": None}},
    ]
    assert len(call_api(routes, "GET", REVISIONS_PATH, query="most=3&x=y")[1]["revisions"]) == 3
    assert call_api(routes, "GET", REVISIONS_PATH, query="most=0")[1]["revisions"] == []
    for arguments in ("most=all", "most=-1", "most=1e3", "most=9999999", "most=\u0663"):
        assert call_api(routes, "GET", REVISIONS_PATH, query=arguments)[0] == 400
    asked: list[int] = []
    monkeypatch.setattr(stub, "history", lambda most: asked.append(most) or [])
    call_api(routes, "GET", REVISIONS_PATH, query="most=999999")
    assert asked == [MAX_HISTORY]
    monkeypatch.undo()
    monkeypatch.setattr(configuration_api, "MAX_HISTORY_BYTES", 10)
    content = call_api(routes, "GET", REVISIONS_PATH)[1]
    assert (len(content["revisions"]), content["cut"]) == (2, True)


def test_revert_stores_a_new_revision_and_is_idempotent_by_ticket(stub: StubOrigin) -> None:
    routes = routes_of(stub)
    for at in range(4):
        stub.store.commit({"a": b"%d" % at, f"k{at}": b""}, RevisionMetadata(1.0, "ann", "", f"t{at}"))
    revert = {"number": 2, "author": "bob", "note": "wrong", "ticket": "r"}
    assert call_api(routes, "POST", REVERT_PATH, revert) == (201, {"position": "1.5"})
    assert call_api(routes, "POST", REVERT_PATH, revert) == (201, {"position": "1.5"})
    assert dict(stub.store.entries()) == {"a": b"1", "k0": b"", "k1": b""}
    content = call_api(routes, "POST", REVERT_PATH, revert | {"ticket": "other"})
    assert content == (400, {"reason": "there is nothing to revert: all is as it was at 2"})
    assert (
        call_api(routes, "POST", REVERT_PATH, revert | {"ticket": "x", "number": 1, "expect": "1.4"})[0]
        == 412
    )
    status, answer = call_api(routes, "POST", REVERT_PATH, revert | {"ticket": "x", "number": 9})
    assert (status, "there is no revision 9" in answer["reason"]) == (503, True)
    entry = stub.store.history(1)[0]
    assert (entry.author, entry.note, entry.position) == ("bob", "wrong", (1, 5))


# The commands


def test_changes_are_read_from_command_line_and_file(tmp_path: Path) -> None:
    file = tmp_path / "more.json"
    file.write_text('{"b": "2", "c": null}')
    arguments = ["deny/subject/a=b=c", "shard/x-", "y=", "z-=-"]
    assert config.read_changes(arguments, str(file)) == {
        "b": "2",
        "c": None,
        "deny/subject/a": "b=c",
        "shard/x": None,
        "y": "",
        "z-": "-",
    }
    twice = "'b' is changed twice"
    for arguments, wrong in ((["a"], "'a' is no change"), (["b=3"], twice), (["q-", "q=1"], "twice")):
        with pytest.raises(ConfigError, match=wrong):
            config.read_changes(arguments, str(file))
    with pytest.raises(ConfigError, match="there is no change"):
        config.read_changes([], None)
    with pytest.raises(ConfigError, match="No such file"):
        config.read_changes([], str(tmp_path / "none"))
    for text in ("", "[]", '{"a": 1}'):
        file.write_text(text)
        with pytest.raises(ConfigError, match="is no JSON object of keys and texts"):
            config.read_changes([], str(file))


ZONE = {"zone": "z", "proxies": 3, "lowest": "2.9", "refused": 0, "unreachable": 0, "stale": 0}
LAGGING_NODE = {"name": "n", "zone": "z", "in_force": "2.8", "why": "", "key": "", "reason": ""}


@pytest.mark.parametrize(
    ("content", "expected_verdict"),
    [
        ({"everywhere": True, "held": "2.9"}, True),
        ({"everywhere": True, "held": "2.8"}, False),
        ({"zones": [ZONE]}, True),
        ({"zones": [ZONE], "settled": False}, False),
        ({"zones": []}, False),
        ({"zones": [ZONE, ZONE | {"lowest": "2.8"}]}, False),
        ({"zones": [ZONE | {"lowest": "1.99"}]}, False),
        ({"zones": [ZONE | {"lowest": "3.9"}]}, True),
        ({"zones": [ZONE | {"refused": 1}]}, False),
        ({"zones": [ZONE | {"unreachable": 1}]}, False),
        (
            {"zones": [ZONE], "laggards": [LAGGING_NODE | {"why": "behind"}]},
            True,
        ),  # behind the head, not behind this one
        ({"zones": [ZONE], "laggards": [LAGGING_NODE | {"why": "unreachable"}]}, False),  # a relay
    ],
)
def test_position_is_applied_everywhere_only_if_no_node_may_lag(
    content: dict[str, Any], expected_verdict: bool
) -> None:
    usual = {"name": "c1", "role": "origin", "in_force": "2.12", "stale": False, "entries": 1}
    usual |= {"everywhere": False, "held": "2.12", "laggards": []}
    assert NodeStatus.from_json(usual | content).is_applied_everywhere(Position(2, 9)) is expected_verdict


@given(st.text(alphabet="0123456789.-+ x\u0663", max_size=45))
def test_position_is_parsed_or_rejected(text: str) -> None:
    try:
        position = read_position(text)
    except ValueError as error:
        assert "is no position" in str(error)
    else:
        assert tuple(map(int, text.split("."))) == position


class CommandRunner:
    """The admin API over a stub, and commands run as processes."""

    def __init__(self, stub: StubOrigin, writes: bool = True) -> None:
        self.scheduler = Scheduler()
        self.responses_to_lose = 0
        self.calls: list[ApiRequest] = []
        routes = routes_of(stub, writes)
        answer = routes.dispatch

        def lose_responses(call: ApiRequest) -> ApiResponse:
            self.calls.append(call)
            content = answer(call)
            if self.responses_to_lose:
                self.responses_to_lose -= 1
                raise ConnectionResetError
            return content

        routes.dispatch = lose_responses  # type: ignore[method-assign]
        self.server = AdminServer(self.scheduler, ("127.0.0.1", 0), routes)
        self.server.start()

    def run(self, *arguments: str, during: Callable[[], object] | None = None) -> tuple[int, str, str]:
        """The command's status, and what it wrote."""
        host, port = self.server.address
        arguments = tuple(f"{host}:{port}" if word == "CONTROL" else word for word in arguments)
        done: list[subprocess.Popen[str]] = []

        def scenario() -> None:
            popen = subprocess.Popen(
                [sys.executable, "-m", "ironmill", "config", *arguments],
                text=True,
                stdout=subprocess.PIPE,
                stderr=subprocess.PIPE,
            )
            done.append(popen)
            if during is not None:
                during()
            while popen.poll() is None:
                self.scheduler.sleep(0.01)

        run_scenario(self.scheduler, scenario, 60.0)
        out, err = done[0].communicate()
        return done[0].returncode, out, err


def test_push_history_revert_wait_and_status_commands(stub: StubOrigin) -> None:
    runner = CommandRunner(stub)
    more = ["--author=ann", "--note=a day", "--wait"]
    content = runner.run("push", "CONTROL", "shard/a=r1", "log/level=debug", *more)
    assert content == (0, "1.1 is kept\n1.1 is in force everywhere\n", "")
    assert runner.run("push", "CONTROL", "shard/a-", "--author=bob", "--expect=1.0")[::2] == (
        2,
        "ironmill: not taken: the newest revision is 1.1, not 1.0\n",
    )
    assert runner.run("push", "CONTROL", "bad/x=1")[::2] == (2, "ironmill: refused: bad/x: unknown key\n")
    assert runner.run("push", "CONTROL", "shard/a-", "--author=bob", "--expect=1.1")[:2] == (
        0,
        "1.2 is kept\n",
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
    assert reverted == (0, "1.3 is kept\n1.3 is in force everywhere\n", "")
    assert dict(stub.store.entries()) == {"shard/a": b"r1", "log/level": b"debug"}
    assert runner.run("wait", "CONTROL", "1.3")[0] == 0
    assert (
        runner.run("status", "CONTROL")[1] == "c1 is origin, holds 1.3, in force 1.3, heard of the origin "
        "0.0s ago, 2 keys\n"
    )


def test_lost_response_is_retried_and_stored_once(stub: StubOrigin) -> None:
    runner = CommandRunner(stub)
    runner.responses_to_lose = 2
    assert runner.run("push", "CONTROL", "a=1")[:2] == (0, "1.1 is kept\n")
    assert len({call.body for call in runner.calls}) == 1
    assert len(runner.calls) == 3
    runner.responses_to_lose = 2
    assert runner.run("revert", "CONTROL", "0")[:2] == (0, "1.2 is kept\n")
    runner.responses_to_lose = 99
    status, out, err = runner.run("push", "CONTROL", "a=2")
    assert (status, out) == (2, "")
    assert "tried 5 times, and it is not known whether it was kept" in err
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
    stub.overrides = {"everywhere": False, "lowest": "1.0", "zones": zones}
    stub.overrides |= {"laggards": laggards, "more_laggards": 4}
    expected = (
        "1.1 is not in force everywhere after 0.5s; the lowest is 1.0\n"
        "p1 in zone y: refused, in force 1.0: a: un\\x1bknown\n"
        "p2 in zone y: unreachable, in force 1.0\np3 in zone z: behind, in force 0.0\nand 4 more\n"
    )
    assert runner.run("wait", "CONTROL", "1.1", "--within=500ms") == (1, expected, "")
    status, out, _ = runner.run("status", "CONTROL")
    assert status == 0
    assert "1.1 is not everywhere in force; the lowest is 1.0\n" in out
    assert "y     3        1.0     1        1\n" in out
    # It is applied while the command waits.
    stub.overrides |= {"laggards": [], "zones": [ZONE]}

    def during() -> None:
        while not runner.calls:
            runner.scheduler.sleep(0.01)
        runner.scheduler.sleep(0.3)
        stub.overrides |= {"zones": [ZONE | {"lowest": "1.1"}]}

    stub.overrides["zones"] = [ZONE | {"lowest": "1.0"}]
    runner.calls.clear()
    content = runner.run("wait", "CONTROL", "1.1", "--within=30s", during=during)
    assert content == (0, "1.1 is in force everywhere\n", "")
    # Another store has taken over, and this revision is not in it.
    stub.overrides = {"held": "5.1"}
    assert runner.run("wait", "CONTROL", "1.2")[:2] == (
        1,
        "1.2 is not in the history of c1, which is at 5.1\n",
    )


def test_command_that_cannot_be_carried_out_exits_with_2(stub: StubOrigin) -> None:
    runner = CommandRunner(stub, writes=False)
    stub.overrides = {"role": "relay"}
    reason = "ironmill: not taken: this process is no origin; the origin is c1 or c9\n"
    assert runner.run("push", "CONTROL", "a=1") == (2, "", reason)
    assert runner.run("history", "CONTROL")[0] == 2
    assert runner.run("wait", "CONTROL", "1.1")[::2] == (
        2,
        "ironmill: c1 is a relay; only the origin knows of all proxies\n",
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
    assert "tried 5 times, and nothing was kept" in err
    began = time.monotonic()
    assert runner.run("wait", "CONTROL", "1.1", "--within=300ms")[0] == 2
    assert runner.run("status", "CONTROL")[0] == 2
    assert time.monotonic() - began < 30.0


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
    assert "answers something else" in runner.run("status", "CONTROL")[2]
    fails = ApiResponse(HTTPStatus.BAD_GATEWAY, msgspec.json.encode({"reason": "x"}))
    routes.add(STATUS_PATH, {"GET": lambda _: fails})
    assert "answers 502: x" in runner.run("status", "CONTROL")[2]
    runner.server.close()
