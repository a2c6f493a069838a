"""Tests of the admin API of distributed configuration and its commands, with a stub of the origin."""

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
from tests.support.configuration_api import ZONE, StubOrigin, call_api, create_routes, push_body


def test_push_is_idempotent_by_ticket_and_checks_the_expected_position(stub: StubOrigin) -> None:
    routes = create_routes(stub)
    assert call_api(routes, "POST", REVISIONS_PATH, push_body()) == (201, {"position": "1.1"})
    assert call_api(routes, "POST", REVISIONS_PATH, push_body()) == (201, {"position": "1.1"})  # stored once
    assert stub.push_times == [(50.0, 7.0)] * 2
    status, content = call_api(
        routes, "POST", REVISIONS_PATH, push_body({"b": "2"}, ticket="t2", expect="1.0")
    )
    assert (status, content) == (412, {"reason": "the newest revision is 1.1, not 1.0"})
    later = push_body({"ß": "straße", "a": None}, ticket="t2", expect="1.1")
    assert call_api(routes, "POST", REVISIONS_PATH, later)[0] == 201
    assert dict(stub.store.entries()) == {"ß": "straße".encode()}
    assert call_api(routes, "GET", STATUS_PATH)[1]["held"] == "1.2"


def test_rejected_push_names_key_and_reason_and_stores_nothing(stub: StubOrigin) -> None:
    routes = create_routes(stub)
    response = call_api(routes, "POST", REVISIONS_PATH, push_body({"a": "1", "bad/x": "1"}))
    assert response == (409, {"key": "bad/x", "reason": "unknown key"})
    for sent, expected_reason in (
        (push_body({}), "a revision has one change at least"),
        (push_body({"": "x"}), "a key has 1 to 200 bytes"),
        (push_body({"a": "x" * 641}), "a: a value has 640 bytes at most"),
        (push_body({"a\n": "x"}), "a key has printable characters only"),
    ):
        status, response_body = call_api(routes, "POST", REVISIONS_PATH, sent)
        assert status == 400
        assert expected_reason in response_body["reason"]
    assert stub.store.position == (0, 0)


@pytest.mark.parametrize(
    ("path", "sent", "expected_reason"),
    [
        (REVISIONS_PATH, b"", "the body is not right"),
        (REVISIONS_PATH, b"[]", "the body is not right"),
        (REVISIONS_PATH, b"\xff", "the body is not right"),
        (REVISIONS_PATH, b"[" * 60_000, "the body is not right"),
        (REVISIONS_PATH, {"changes": {"a": "1"}, "author": "ann"}, "ticket"),
        (REVISIONS_PATH, push_body({"a": 1}), "changes"),
        (REVISIONS_PATH, push_body(more=1), "more"),  # type: ignore[dict-item]
        (REVISIONS_PATH, push_body(author=""), "author"),
        (REVISIONS_PATH, push_body(author="x" * (MAX_AUTHOR_LENGTH + 1)), "author"),
        (REVISIONS_PATH, push_body(author="a\x1b[2J"), "author must contain only printable characters"),
        (REVISIONS_PATH, push_body(note="x" * (MAX_NOTE_LENGTH + 1)), "note"),
        (REVISIONS_PATH, push_body(note="a\nb"), "note must contain only printable characters"),
        (REVISIONS_PATH, push_body(ticket=""), "ticket"),
        (REVISIONS_PATH, push_body(ticket="x" * (MAX_TICKET_LENGTH + 1)), "ticket"),
        (REVISIONS_PATH, push_body(expect="1" * 41), "expect"),
        (REVISIONS_PATH, push_body(expect="now"), "'now' is not a position; expected EPOCH.NUMBER"),
        (REVISIONS_PATH, push_body(expect="1.\u0664"), "is not a position; expected EPOCH.NUMBER"),
        (REVERT_PATH, push_body(), "changes"),
        (REVERT_PATH, {"number": -1, "author": "a", "ticket": "t"}, "number"),
        (REVERT_PATH, {"number": 1 << 62, "author": "a", "ticket": "t"}, "number"),
        (REVERT_PATH, {"number": "1", "author": "a", "ticket": "t"}, "number"),
    ],
)
def test_invalid_body_is_rejected_with_the_reason(
    path: str, sent: object, expected_reason: str, stub: StubOrigin
) -> None:
    status, content = call_api(create_routes(stub), "POST", path, sent)
    assert status == 400
    assert expected_reason in content["reason"]
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

        def history(self, max_count: int) -> list[StoredRevision]:
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
    longest = push_body(
        author="ß" * MAX_AUTHOR_LENGTH, note="ß" * MAX_NOTE_LENGTH, ticket="ß" * MAX_TICKET_LENGTH
    )
    assert call_api(create_routes(stub), "POST", REVISIONS_PATH, longest)[0] == 201


def test_process_that_is_not_the_origin_names_the_origins(stub: StubOrigin) -> None:
    relay = create_routes(stub, has_writer=False)
    reason = "this process is no origin; the origin is c1 or c9"
    not_origin_response = (503, {"reason": reason, "origins": ["c1", "c9"]})
    assert call_api(relay, "POST", REVISIONS_PATH, push_body()) == not_origin_response
    assert call_api(relay, "POST", REVERT_PATH, {}) == not_origin_response
    assert call_api(relay, "GET", REVISIONS_PATH) == not_origin_response
    assert call_api(relay, "GET", STATUS_PATH)[0] == 200
    routes = create_routes(stub)
    for error in (NotOriginError("c1 is no origin any more"), FencedError("another process has opened")):
        stub.error = error
        status, response_body = call_api(routes, "POST", REVISIONS_PATH, push_body())
        assert (status, response_body["reason"]) == (503, f"{error}; the origin is c1 or c9")
    stub.error = StoreError("no room")
    assert call_api(routes, "POST", REVISIONS_PATH, push_body()) == (503, {"reason": "no room"})
    stub.store.close()
    assert call_api(routes, "GET", REVISIONS_PATH)[0] == 503
    assert call_api(routes, "POST", REVERT_PATH, {"number": 0, "author": "a", "ticket": "t"})[0] == 503


def test_history_is_limited_by_count_and_size(stub: StubOrigin, monkeypatch: pytest.MonkeyPatch) -> None:
    routes = create_routes(stub)
    for index in range(30):
        stub.store.commit(
            {"a": b"%d" % index, "b": None}, RevisionMetadata(float(index), "ann", "why", f"t{index}")
        )
    stub.store.commit({"raw": b"\xff\x00"}, RevisionMetadata(99.5, "bob", "", "raw"))
    status, content = call_api(routes, "GET", REVISIONS_PATH)
    assert (status, len(content["revisions"]), content["cut"]) == (200, 20, False)
    assert content["revisions"][:2] == [
        {"position": "1.31", "at": 99.5, "author": "bob", "note": "", "changes": {"raw": "\\xff\x00"}},
        {"position": "1.30", "at": 29.0, "author": "ann", "note": "why", "changes": {"a": "29", "b": None}},
    ]
    assert len(call_api(routes, "GET", REVISIONS_PATH, query="most=3&x=y")[1]["revisions"]) == 3
    assert call_api(routes, "GET", REVISIONS_PATH, query="most=0")[1]["revisions"] == []
    for invalid_query in ("most=all", "most=-1", "most=1e3", "most=9999999", "most=\u0663"):
        assert call_api(routes, "GET", REVISIONS_PATH, query=invalid_query)[0] == 400
    requested_counts: list[int] = []
    monkeypatch.setattr(stub, "history", lambda max_count: requested_counts.append(max_count) or [])
    call_api(routes, "GET", REVISIONS_PATH, query="most=999999")
    assert requested_counts == [MAX_HISTORY]
    monkeypatch.undo()
    monkeypatch.setattr(configuration_api, "MAX_HISTORY_BYTES", 10)
    content = call_api(routes, "GET", REVISIONS_PATH)[1]
    assert (len(content["revisions"]), content["cut"]) == (2, True)


def test_revert_stores_a_new_revision_and_is_idempotent_by_ticket(stub: StubOrigin) -> None:
    routes = create_routes(stub)
    for index in range(4):
        stub.store.commit(
            {"a": b"%d" % index, f"k{index}": b""}, RevisionMetadata(1.0, "ann", "", f"t{index}")
        )
    revert_body = {"number": 2, "author": "bob", "note": "wrong", "ticket": "r"}
    assert call_api(routes, "POST", REVERT_PATH, revert_body) == (201, {"position": "1.5"})
    assert call_api(routes, "POST", REVERT_PATH, revert_body) == (201, {"position": "1.5"})
    assert dict(stub.store.entries()) == {"a": b"1", "k0": b"", "k1": b""}
    response = call_api(routes, "POST", REVERT_PATH, revert_body | {"ticket": "other"})
    assert response == (400, {"reason": "there is nothing to revert: all is as it was at 2"})
    assert (
        call_api(routes, "POST", REVERT_PATH, revert_body | {"ticket": "x", "number": 1, "expect": "1.4"})[0]
        == 412
    )
    status, response_body = call_api(routes, "POST", REVERT_PATH, revert_body | {"ticket": "x", "number": 9})
    assert (status, "there is no revision 9" in response_body["reason"]) == (503, True)
    revision = stub.store.history(1)[0]
    assert (revision.author, revision.note, revision.position) == ("bob", "wrong", (1, 5))


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
    changed_twice = "'b' is changed twice"
    for arguments, expected_message in (
        (["a"], "'a' is not a change"),
        (["b=3"], changed_twice),
        (["q-", "q=1"], "twice"),
    ):
        with pytest.raises(ConfigError, match=expected_message):
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
        # This node lags behind the latest position, but not behind the one that is checked.
        ({"zones": [ZONE], "laggards": [LAGGING_NODE | {"why": "behind"}]}, True),
        # The unreachable node is a relay.
        ({"zones": [ZONE], "laggards": [LAGGING_NODE | {"why": "unreachable"}]}, False),
    ],
)
def test_position_is_applied_everywhere_only_if_no_node_may_lag(
    content: dict[str, Any], expected_verdict: bool
) -> None:
    status = {"name": "c1", "role": "origin", "in_force": "2.12", "stale": False, "entries": 1}
    status |= {"everywhere": False, "held": "2.12", "laggards": []}
    assert NodeStatus.from_json(status | content).is_applied_everywhere(Position(2, 9)) is expected_verdict


@given(st.text(alphabet="0123456789.-+ x\u0663", max_size=45))
def test_position_is_parsed_or_rejected(text: str) -> None:
    try:
        position = read_position(text)
    except ValueError as error:
        assert "is not a position; expected EPOCH.NUMBER" in str(error)
    else:
        assert tuple(map(int, text.split("."))) == position
