"""A store whose syncs fail, and a process that is killed then."""

from __future__ import annotations

import shutil
import sqlite3
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest

from ironmill.distribution.changes import Changes
from ironmill.distribution.errors import StoreError
from ironmill.distribution.revision import Position, RevisionMetadata
from ironmill.net.revision_store import SqliteStore


class UnsyncedConnection:
    """A connection whose commits reach the write-ahead log whole, and then fail as by fsync(2) with EIO.

    SQLite takes such a transaction for rolled back, but leaves its frames in the log. They are made by the
    same statements on a copy of the files, which continues the same chain of checksums.
    """

    def __init__(self, inner: sqlite3.Connection, path: Path, folder: Path) -> None:
        self.inner, self.path, self.folder = inner, path, folder
        self.failed_commits = 0
        self._synced_size = Path(f"{path}-wal").stat().st_size
        self._statements: list[tuple[str, Any]] = []

    def __getattr__(self, name: str) -> Any:
        return getattr(self.inner, name)

    def execute(self, statement: str, parameters: Any = ()) -> sqlite3.Cursor:
        if statement.startswith("BEGIN"):
            self._statements = []
        if statement == "COMMIT":
            self.failed_commits += 1
            self._write_frames()
            raise sqlite3.OperationalError("disk I/O error")
        self._statements.append((statement, parameters))
        return self.inner.execute(statement, parameters)

    def _write_frames(self) -> None:
        copied = copy_of(self.path, self.folder / str(self.failed_commits))
        copied_log = Path(f"{copied}-wal")
        with copied_log.open("r+b") as file:
            file.truncate(self._synced_size)  # without what failed before
        connection = sqlite3.connect(copied, isolation_level=None)
        for statement, parameters in self._statements:
            connection.execute(statement, parameters)
        connection.execute("COMMIT")
        frames = copied_log.read_bytes()[self._synced_size :]
        connection.close()
        with Path(f"{self.path}-wal").open("r+b") as file:
            file.seek(self._synced_size)
            file.write(frames)


def copy_of(path: Path, folder: Path) -> Path:
    """Returns a copy of the files as a process that is killed now leaves them."""
    folder.mkdir(parents=True)
    for suffix in ("", "-wal"):
        shutil.copy(f"{path}{suffix}", folder)
    return folder / path.name


def put(store: SqliteStore, changes: Changes, ticket: str) -> Position:
    return store.commit(changes, RevisionMetadata(1.0, "ann", "", ticket))


@pytest.fixture
def store(tmp_path: Path) -> Iterator[SqliteStore]:
    it = SqliteStore(str(tmp_path / "store"))
    yield it
    it.close()


@pytest.mark.parametrize("keys", [1, 300])
def test_revision_whose_sync_failed_is_not_in_force_after_a_kill(
    store: SqliteStore, tmp_path: Path, keys: int
) -> None:
    """The log holds it whole, and the next opening would take it for committed."""
    first = put(store, {"a": b"1"}, "t1")
    connection = UnsyncedConnection(store._connection, tmp_path / "store", tmp_path / "frames")
    store._connection = connection  # type: ignore[assignment]
    with pytest.raises(StoreError):
        put(store, {f"b{at}": bytes(100) for at in range(keys)}, "t2")
    assert store.committed("t2") is None
    reopened = SqliteStore(str(copy_of(tmp_path / "store", tmp_path / "killed")))
    assert (reopened.position, dict(reopened.entries())) == (first, {"a": b"1"})
    reopened.close()
