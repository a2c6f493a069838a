"""A stub of the origin and a client for the admin API of distributed configuration."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

from ironmill.administration.configuration_api import (
    ConfigurationApi,
)
from ironmill.administration.messages import ApiRequest
from ironmill.administration.routes import Routes
from ironmill.distribution.changes import Changes, check_changes
from ironmill.distribution.errors import (
    PositionConflictError,
    RevisionRejectedError,
)
from ironmill.distribution.rejection import Rejection
from ironmill.distribution.revision import (
    Position,
    RevisionMetadata,
    StoredRevision,
)
from ironmill.net.revision_store import SqliteStore

ZONE = {"zone": "z", "proxies": 3, "lowest": "2.9", "refused": 0, "unreachable": 0, "stale": 0}


class StubOrigin:
    """An origin with a real store and a simulated fleet status."""

    def __init__(self, folder: Path) -> None:
        self.store = SqliteStore(str(folder / "store"))
        self.error: Exception | None = None
        self.status_overrides: dict[str, Any] = {}
        self.push_times: list[tuple[float, float]] = []  # wall clock and monotonic clock of each push

    def push(
        self, changes: Changes, metadata: RevisionMetadata, now: float, expect: Position | None = None
    ) -> Position:
        self.push_times.append((metadata.at, now))
        if self.error is not None:
            raise self.error
        stored_position = self.store.committed(metadata.ticket)
        if stored_position is not None:
            return stored_position
        if expect is not None and expect != self.store.position:
            raise PositionConflictError(f"the newest revision is {self.store.position}, not {expect}")
        check_changes(changes)
        for key in changes:
            if key.startswith("bad/"):
                raise RevisionRejectedError(Rejection(key, "unknown key"))
        return self.store.commit(changes, metadata)

    def undo(self, number: int) -> Changes:
        return self.store.undo(number)

    def history(self, max_count: int) -> list[StoredRevision]:
        return self.store.history(max_count)

    def status(self, now: float) -> dict[str, Any]:
        latest_position = str(self.store.position)
        return {
            "name": "c1",
            "role": "origin",
            "lineage": self.store.lineage,
            "held": latest_position,
            "in_force": latest_position,
            "stale": False,
            "age_s": 0.0,
            "parent": "",
            "everywhere": True,
            "lowest": latest_position,
            "zones": [],
            "laggards": [],
            "more_laggards": 0,
            "entries": len(dict(self.store.entries())),
            "dropped": {},
        } | self.status_overrides


def create_routes(stub: StubOrigin, has_writer: bool = True) -> Routes:
    routes = Routes()
    ConfigurationApi(stub, stub if has_writer else None, ["c1", "c9"], lambda: 50.0, lambda: 7.0).add_to(
        routes
    )
    return routes


def call_api(routes: Routes, method: str, path: str, body: object = None, query: str = "") -> tuple[int, Any]:
    data = body if isinstance(body, bytes) else b"" if body is None else json.dumps(body).encode()
    response = routes.dispatch(ApiRequest(method, path, query, data))
    assert response.body.endswith(b"\n")
    return int(response.status), json.loads(response.body)


def push_body(changes: dict[str, str | None] | None = None, **fields: object) -> dict[str, object]:
    return {"changes": {"a": "1"} if changes is None else changes, "author": "ann", "ticket": "t1"} | fields
