"""The admin API of distributed configuration over a stub of the origin."""

from __future__ import annotations

from pathlib import Path
from typing import Any

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
from ironmill.administration.messages import ApiRequest
from ironmill.administration.routes import Routes
from ironmill.commands import config
from ironmill.commands.config import ConfigError
from ironmill.commands.config_status import NodeStatus
from ironmill.distribution.changes import Changes
from ironmill.distribution.errors import (
    FencedError,
    NotOriginError,
    StoreError,
)
from ironmill.distribution.revision import (
    MAX_AUTHOR_LENGTH,
    MAX_NOTE_LENGTH,
    MAX_TICKET_LENGTH,
    Position,
    RevisionMetadata,
    StoredRevision,
)
from ironmill.net import revision_store
from tests.support.configuration_api import ZONE, StubOrigin, body, call_api, routes_of


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
    for arguments, wrong in ((["a"], "'a' is not a change"), (["b=3"], twice), (["q-", "q=1"], "twice")):
        with pytest.raises(ConfigError, match=wrong):
            config.read_changes(arguments, str(file))
    with pytest.raises(ConfigError, match="there is no change"):
        config.read_changes([], None)
    with pytest.raises(ConfigError, match="No such file"):
        config.read_changes([], str(tmp_path / "none"))
    for text in ("", "[]", '{"a": 1}'):
        file.write_text(text)
        with pytest.raises(ConfigError, match="expected a JSON object whose values are strings or null"):
            config.read_changes([], str(file))


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
