"""Checks that recorded wire formats and stored data are decoded, encoded, read and written byte for byte."""

from __future__ import annotations

import gzip
import hashlib
import io
import shutil
import sqlite3
from http import HTTPStatus
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import msgspec
import pytest

from ironmill.administration.configuration_api import ConfigurationApi, read_position
from ironmill.administration.http import HttpExchange
from ironmill.administration.messages import ApiRequest, ApiResponse
from ironmill.administration.proxy_api import ProxyApi
from ironmill.administration.routes import Routes
from ironmill.balancing.interface import Outcome, Stage
from ironmill.configuration.proxy_config import load_config
from ironmill.distribution.changes import pack_entry, unpack_entries
from ironmill.distribution.keyspace import Keyspace
from ironmill.distribution.revision import RevisionMetadata
from ironmill.identity.keyring import KeyState, parse_ring
from ironmill.net.revision_store import SqliteStore
from ironmill.protocol.client import (
    ClientClosed,
    ClientHalfClosed,
    ClientProtocol,
    CredentialPresented,
    DataReceived,
    PingReceived,
    ProtocolViolated,
    RequestReceived,
)
from ironmill.protocol.discovery import ListedServer, parse_endpoint_update
from ironmill.protocol.http import ResponseParser
from ironmill.protocol.json_object import JsonObject
from ironmill.protocol.request import busy_line, request_attributes
from ironmill.protocol.server import (
    AttemptEstablished,
    AttemptProtocol,
    AttemptRejected,
    HealthCheckProtocol,
    ServerDataReceived,
)
from ironmill.requests.metrics import RequestMetrics
from ironmill.runtime.lifecycle import Lifecycle, LifecycleEvent
from ironmill.simulator.loop import main as simulate
from tests.support.golden import GOLDEN, recorded

# Entries and digests of the keyspace

CHANGES = {"deny/farm-1": b"1", "log.level": b"debug", "caf\u00e9": b"", "gone": None}


def test_packed_entries_are_as_recorded() -> None:
    data = b"".join(pack_entry(key, value) for key, value in CHANGES.items())
    assert data.hex() == recorded("datagrams.json")["entries"]
    assert dict(unpack_entries(data)) == CHANGES


def test_the_digest_of_a_keyspace_is_as_recorded() -> None:
    keyspace = Keyspace()
    keyspace.apply({key: value for key, value in CHANGES.items() if value is not None})
    assert f"{keyspace.digest:x}" == recorded("datagrams.json")["keyspace digest"]


# The store of revisions


@pytest.fixture
def store_path(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> str:
    monkeypatch.chdir(tmp_path)  # error messages contain the path, which must be the same in each run
    return str(shutil.copy(GOLDEN / "revisions.sqlite3", "revisions.sqlite3"))


def test_the_recorded_store_is_read(store_path: str) -> None:
    expected = recorded("revisions.json")
    store = SqliteStore(store_path)
    assert store.lineage == expected["lineage"]
    assert (store.epoch, str(store.position)) == (expected["epoch"] + 1, expected["position"])
    assert {key: value.decode() for key, value in store.entries()} == expected["entries"]
    history = [
        {
            "position": str(entry.position),
            "at": entry.at,
            "author": entry.author,
            "note": entry.note,
            "changes": {
                key: None if value is None else value.decode() for key, value in entry.changes.items()
            },
        }
        for entry in store.history(100)
    ]
    assert history == expected["history"]
    for ticket, position in expected["tickets"].items():
        assert store.committed(ticket) == read_position(position)
    for number, changes in expected["undo"].items():
        undo_changes = {
            key: None if value is None else value.decode() for key, value in store.undo(int(number)).items()
        }
        assert undo_changes == changes
    store.close()


def test_the_recorded_store_takes_the_next_revision(store_path: str) -> None:
    expected = recorded("revisions.json")
    store = SqliteStore(store_path)
    position = store.commit({"log.level": b"info"}, RevisionMetadata(1764700100.0, "ann", "", "t9"))
    assert position == (expected["epoch"] + 1, read_position(expected["position"]).number + 1)
    assert dict(store.entries())["log.level"] == b"info"
    store.close()


def test_a_new_store_has_the_recorded_form(tmp_path: Path) -> None:
    path = tmp_path / "new.sqlite3"
    SqliteStore(str(path)).close()

    def schema(file: Path) -> dict[str, Any]:
        connection = sqlite3.connect(file)
        tables = connection.execute("SELECT name, sql FROM sqlite_master ORDER BY name").fetchall()
        pragmas = [
            connection.execute(f"PRAGMA {name}").fetchone()[0]
            for name in ("application_id", "user_version", "journal_mode")
        ]
        numbers = connection.execute("SELECT name FROM numbers ORDER BY name").fetchall()
        connection.close()
        return {"tables": tables, "pragmas": pragmas, "numbers": numbers}

    shutil.copy(GOLDEN / "revisions.sqlite3", tmp_path / "old.sqlite3")
    assert schema(path) == schema(tmp_path / "old.sqlite3")


def test_the_recorded_store_file_is_unchanged() -> None:
    # A test that does not copy the file first would change it.
    data = (GOLDEN / "revisions.sqlite3").read_bytes()
    assert hashlib.sha256(data).hexdigest() == recorded("revisions.json")["sha256"]


# The key ring


def test_the_recorded_key_ring_is_read_and_written() -> None:
    data = (GOLDEN / "ring.json").read_bytes()
    ring = parse_ring(data)
    assert ring.dump() == data
    assert {key.kid: key.state for key in ring} == {
        "a": KeyState.SIGNING,
        "b": KeyState.COMING,
        "c": KeyState.ACCEPTED,
        "d": KeyState.RETIRED,
    }
    assert {key.kid: key.thumbprint for key in ring} == recorded("thumbprints.json")


# The line protocol

OPEN = b"OPEN 9b1f03aa5c7e2d41 7f3a9c21e0b4d655 c=chat,d=2000,g=5c0f6e1a2b3d4c59,t=acme,h=0.5,r=1\r\n"


def test_what_a_client_sends() -> None:
    protocol = ClientProtocol(accepts_credential=True)
    events = protocol.receive(b"PING\r\nAUTH abc.def.ghi\r\n" + OPEN)
    assert [type(event) for event in events] == [PingReceived, CredentialPresented, RequestReceived]
    assert isinstance(events[1], CredentialPresented) and events[1].token == b"abc.def.ghi"
    request_event = events[2]
    assert isinstance(request_event, RequestReceived)
    request_line = request_event.line
    assert (request_line.raw, request_line.id, request_line.key) == (
        OPEN,
        "9b1f03aa5c7e2d41",
        "7f3a9c21e0b4d655",
    )
    assert request_line.fields == {
        "c": "chat",
        "d": "2000",
        "g": "5c0f6e1a2b3d4c59",
        "t": "acme",
        "h": "0.5",
        "r": "1",
    }
    assert request_line.with_deadline(1234) == OPEN.replace(b"d=2000", b"d=1234")
    assert msgspec.structs.asdict(request_attributes(request_line)) == {
        "tenant": "acme",
        "key": 0x7F3A9C21E0B4D655,
        "group": 0x5C0F6E1A2B3D4C59,
        "load_hint": 0.5,
        "returning": True,
        "rerouted": False,
    }


def test_what_a_client_sends_on_an_established_connection() -> None:
    protocol = ClientProtocol()
    line = OPEN.replace(b"r=1", b"mid=1")
    request_event = protocol.receive(line + b"early\r\n")[0]
    assert isinstance(request_event, RequestReceived) and request_attributes(request_event.line).rerouted
    assert protocol.establish() == DataReceived(b"early\r\n", 1)
    assert protocol.receive(b"one\r\ntw") == [DataReceived(b"one\r\ntw", 1)]
    assert protocol.end_of_stream() == [ClientHalfClosed()]


def test_a_client_that_goes_while_it_waits() -> None:
    protocol = ClientProtocol()
    protocol.receive(OPEN)
    assert protocol.end_of_stream() == [ClientClosed()]


@pytest.mark.parametrize(
    "line",
    [
        b"OPEN a b\r\n",
        b"OPEN a b d=1\r\n",
        b"OPEN a b c=chat,c=chat\r\n",
        b"OPEN a b c=chat,d=x\r\n",
        b"open a b c=chat\r\n",
        b"OPEN a b c=ch\xe9t\r\n",
        b"AUTH x\r\n",
        b"x" * 4097,
    ],
)
def test_lines_that_are_malformed(line: bytes) -> None:
    assert [type(event) for event in ClientProtocol().receive(line)] == [ProtocolViolated]


def test_reply_to_a_rejected_client() -> None:
    assert [busy_line(seconds) for seconds in (0.0, -1.0, 0.0001, 1.5)] == [
        b"BUSY\r\n",
        b"BUSY\r\n",
        b"BUSY 1\r\n",
        b"BUSY 1500\r\n",
    ]


def test_what_a_server_answers() -> None:
    for line, outcome in {
        b"BUSY inflight=7,queue=2,util=0.61": Outcome.FULL,
        b"ERR": Outcome.ERROR,
        b"BYE": Outcome.OK,
        b"MOVE": Outcome.CANCELLED,
        b"NO": Outcome.ERROR,
    }.items():
        protocol = AttemptProtocol(OPEN)
        assert protocol.connected() == OPEN
        assert protocol.wrote(len(OPEN)) == b""
        assert protocol.receive(line + b"\r\n") == [AttemptRejected(outcome, line + b"\r\n")]
    assert protocol.report == ()


def test_what_a_server_sends_on_an_established_connection() -> None:
    protocol = AttemptProtocol(OPEN)
    protocol.connected()
    protocol.wrote(len(OPEN))
    assert protocol.receive(b"UP 17\r\nLOAD 0.5\r\n") == [AttemptEstablished(b"UP 17\r\n", b"LOAD 0.5\r\n")]
    assert protocol.receive(b"LOAD 0.5\r\nBYE inflight=7,queue=2\r\n") == [
        ServerDataReceived(b"LOAD 0.5\r\nBYE inflight=7,queue=2\r\n", 0, (0.5,))
    ]
    assert protocol.report == (("inflight", 7.0), ("queue", 2.0))
    assert protocol.end_of_stream() is Outcome.OK


def test_what_a_probe_asks_and_is_answered() -> None:
    assert HealthCheckProtocol.REQUEST == b"STATS\r\n"
    assert HealthCheckProtocol().receive(b"PONG inflight=7,util=0.61\r\n") == (
        Outcome.OK,
        (("inflight", 7.0), ("util", 0.61)),
    )
    assert HealthCheckProtocol().receive(b"NO\r\n") == (Outcome.ERROR, ())


# The simulator's protocol, with every decision of a recorded day


def simulator_lines(name: str) -> list[str]:
    """Returns the lines of a recording."""
    return gzip.decompress((GOLDEN / name).read_bytes()).decode().splitlines()


def simulated_answers() -> list[str]:
    """Returns the answers to the recorded day's events."""
    text = "".join(f"{line}\n" for line in simulator_lines("simulator.in.gz"))
    streams = SimpleNamespace(stdin=io.StringIO(text), stdout=io.StringIO(), stderr=io.StringIO())
    assert simulate(streams) == 0
    return streams.stdout.getvalue().splitlines()


def test_the_simulator_is_answered_as_recorded() -> None:
    """The recording was made anew when the pace of migrations off draining servers changed."""
    assert simulated_answers() == simulator_lines("simulator_drains.out.gz")


def test_the_simulator_is_answered_as_first_recorded_until_a_server_drains() -> None:
    first_recorded = simulator_lines("simulator.out.gz")
    drain = next(index for index, line in enumerate(first_recorded) if "name=drain:" in line)
    assert simulated_answers()[:drain] == first_recorded[:drain]


# Discovery


def test_discovery_answers() -> None:
    data = (GOLDEN / "discovery.http").read_bytes()
    full_response, changes = ResponseParser().feed(data)
    update = parse_endpoint_update(JsonObject(msgspec.json.decode(full_response.body), "", "routing table"))
    assert (update.revision, update.full) == (41, True)
    assert update.servers == (
        ListedServer("s-5be2a07c", "10.1.0.18", 3000, Stage.READY, "a", 3, 1.0, 0.0),
        ListedServer("s-6be2a07c", "10.1.0.19", 3001, Stage.DRAINING, "b", 0, 0.5, 1764700000.5),
    )
    update = parse_endpoint_update(JsonObject(msgspec.json.decode(changes.body), "", "routing table"))
    assert (update.revision, update.full) == (43, False)
    assert update.servers == (ListedServer("s-5be2a07c", "10.1.0.18", 3000, Stage.GONE, "", 0, 1.0, 0.0),)


# The configuration


def test_the_configuration_is_read() -> None:
    config = load_config({}, str(GOLDEN / "config.json"))
    assert (config.name, config.listen, config.discovery) == (
        "n3",
        ("127.0.0.4", 3000),
        ("127.0.1.1", 8500),
    )
    assert (config.seed, config.sockets, config.admin_address) == (
        0x8C1F30D27A5BE964,
        4096,
        ("127.0.0.4", 3100),
    )
    assert config.initial_endpoints.servers[0].uid == "s-5be2a07c"
    assert config.default_deadlines_s == {"chat": 4.0, "sync": 10.0}
    assert (config.connect_timeout_s, config.drain_grace_s, config.packets_pass_through) == (0.75, 0.25, True)


# The admin API


class FixedMetricsProxy:
    """A proxy with fixed metrics."""

    def __init__(self) -> None:
        self.lifecycle = Lifecycle()
        self.metrics = RequestMetrics(["chat"])
        for outcome in ("established", "rejected", "failed", "abandoned"):
            getattr(self.metrics.start("chat"), outcome)()
        request_metrics = self.metrics.start("sync")
        request_metrics.attempt_sent()

    def known_servers(self) -> int:
        return 3

    def skipped_servers(self) -> int:
        return 1


def call(routes: Routes, request: bytes) -> bytes:
    exchange = HttpExchange(routes.content_paths)
    received = exchange.receive(request)
    assert received is not None
    return exchange.encode(routes.dispatch(received) if isinstance(received, ApiRequest) else received)


def request(method: str, path: str, body: bytes = b"") -> bytes:
    return f"{method} {path} HTTP/1.1\r\nHost: x\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body


def test_the_calls_of_a_proxy() -> None:
    fixed_proxy = FixedMetricsProxy()
    api = ProxyApi(fixed_proxy)
    responses = []
    for step in (
        ("GET", "/admin/health"),
        LifecycleEvent.STARTED,
        ("GET", "/admin/health"),
        ("GET", "/admin/stats"),
        ("POST", "/admin/quiesce"),
        ("GET", "/admin/health"),
        LifecycleEvent.DRAIN_PROPAGATED,
        ("GET", "/admin/health"),
        ("POST", "/admin/resume"),
        ("GET", "/admin/resume"),
        ("GET", "/admin/nothing"),
        LifecycleEvent.SHUTDOWN_REQUESTED,
        ("POST", "/admin/resume"),
        LifecycleEvent.GRACE_PERIOD_ENDED,
        ("GET", "/admin/health"),
    ):
        if isinstance(step, LifecycleEvent):
            fixed_proxy.lifecycle.handle(step)
        else:
            responses.append([*step, call(api, request(*step)).decode()])
    assert responses == recorded("admin.json")["proxy"]


def test_the_states_of_a_process() -> None:
    found = []
    for steps in (
        (LifecycleEvent.DRAIN_REQUESTED, LifecycleEvent.STARTED, LifecycleEvent.RESUME_REQUESTED),
        (LifecycleEvent.DRAIN_REQUESTED, LifecycleEvent.RESUME_REQUESTED, LifecycleEvent.SHUTDOWN_REQUESTED),
        (
            LifecycleEvent.STARTED,
            LifecycleEvent.DRAIN_REQUESTED,
            LifecycleEvent.DRAIN_PROPAGATED,
            LifecycleEvent.SHUTDOWN_REQUESTED,
        ),
    ):
        lifecycle = Lifecycle()
        states = [lifecycle.state.value]
        for step in steps:
            lifecycle.handle(step)
            states.append(lifecycle.state.value)
        found.append(states)
    assert found == recorded("admin.json")["states"]


class FixedStatusNode:
    """A distribution node with a fixed status."""

    def status(self, now: float) -> dict[str, Any]:
        return {"role": "origin", "head": "4.300"}


def test_the_calls_on_configuration(store_path: str) -> None:
    store = SqliteStore(store_path)

    class StoreWriter:
        """An origin that stores every change without validating it."""

        def push(self, changes, metadata, now, expect=None):  # type: ignore[no-untyped-def]
            return store.commit(changes, metadata)

        undo, history = store.undo, store.history

    responses = []
    for api in (
        ConfigurationApi(FixedStatusNode(), None, ["c1", "c2"], clock=lambda: 1764700200.0, now=lambda: 1.0),
        ConfigurationApi(
            FixedStatusNode(), StoreWriter(), ["c1"], clock=lambda: 1764700200.0, now=lambda: 1.0
        ),
    ):
        routes = Routes()
        api.add_to(routes)
        for method, path, body in recorded("admin.json")["configuration calls"]:
            data = call(routes, request(method, path, body.encode()))
            responses.append([method, path, data.decode()])
    store.close()
    assert responses == recorded("admin.json")["configuration"]


def test_a_call_that_is_too_large() -> None:
    exchange = HttpExchange(["/x"])
    response = exchange.receive(request("POST", "/x", b"x" * 65537))
    assert isinstance(response, ApiResponse) and response.status is HTTPStatus.REQUEST_ENTITY_TOO_LARGE
