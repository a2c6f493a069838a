"""Tests of a store whose syncs fail before the process is killed."""

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
    """A connection whose commits are written completely to the write-ahead log, but then fail with EIO.

    Emulates a failing fsync(2): SQLite treats the transaction as rolled back, but leaves its frames in the
    log. The frames come from running the same statements on a copy of the files, whose log has the same chain
    of checksums.
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
        copied = copy_files(self.path, self.folder / str(self.failed_commits))
        copied_log = Path(f"{copied}-wal")
        with copied_log.open("r+b") as file:
            file.truncate(self._synced_size)  # removes the frames of earlier failed commits
        connection = sqlite3.connect(copied, isolation_level=None)
        for statement, parameters in self._statements:
            connection.execute(statement, parameters)
        connection.execute("COMMIT")
        frames = copied_log.read_bytes()[self._synced_size :]
        connection.close()
        with Path(f"{self.path}-wal").open("r+b") as file:
            file.seek(self._synced_size)
            file.write(frames)


def copy_files(path: Path, folder: Path) -> Path:
    """Returns a copy of the files in the state that a process killed now would leave."""
    folder.mkdir(parents=True)
    for suffix in ("", "-wal"):
        shutil.copy(f"{path}{suffix}", folder)
    return folder / path.name


def commit_changes(store: SqliteStore, changes: Changes, ticket: str) -> Position:
    return store.commit(changes, RevisionMetadata(1.0, "ann", "", ticket))


@pytest.fixture
def store(tmp_path: Path) -> Iterator[SqliteStore]:
    store = SqliteStore(str(tmp_path / "store"))
    yield store
    store.close()


@pytest.mark.parametrize("key_count", [1, 300])
def test_revision_whose_sync_failed_is_not_applied_after_a_kill(
    store: SqliteStore, tmp_path: Path, key_count: int
) -> None:
    """Guards against a write-ahead log with the complete transaction, which the next opening would apply."""
    first = commit_changes(store, {"a": b"1"}, "t1")
    connection = UnsyncedConnection(store._connection, tmp_path / "store", tmp_path / "frames")
    store._connection = connection  # type: ignore[assignment]
    with pytest.raises(StoreError):
        commit_changes(store, {f"b{index}": bytes(100) for index in range(key_count)}, "t2")
    assert store.committed("t2") is None
    reopened = SqliteStore(str(copy_files(tmp_path / "store", tmp_path / "killed")))
    assert (reopened.position, dict(reopened.entries())) == (first, {"a": b"1"})
    reopened.close()
