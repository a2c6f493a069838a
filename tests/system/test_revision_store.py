"""Tests of the revision store: a model, a second writer, a killed process, a full disk and damaged files."""

from __future__ import annotations

import os
import random
import shutil
import sqlite3
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator
from pathlib import Path

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from ironmill.distribution.changes import MAX_KEY_BYTES, MAX_REVISION_CHANGES, MAX_VALUE_BYTES, Changes
from ironmill.distribution.errors import FencedError, RevisionError, StoreError
from ironmill.distribution.interfaces import RevisionStore
from ironmill.distribution.revision import (
    MAX_AUTHOR_LENGTH,
    MAX_NOTE_LENGTH,
    MAX_TICKET_LENGTH,
    NUMBER_LIMIT,
    START,
    Position,
    RevisionMetadata,
    StoredRevision,
)
from ironmill.net import revision_store
from ironmill.net.revision_store import SqliteStore

KEYS = st.sampled_from([f"shard/{name}" for name in "abcdefgh"] + ["straße", "x" * MAX_KEY_BYTES])
CHANGES = st.dictionaries(KEYS, st.none() | st.binary(max_size=4), min_size=1, max_size=5)
KEPT_REVISIONS = 12
MEMORY_FOLDER = Path("/dev/shm")


@pytest.fixture
def store(tmp_path: Path) -> Iterator[SqliteStore]:
    store = SqliteStore(str(tmp_path / "store"))
    yield store
    store.close()


def commit_changes(store: RevisionStore, changes: Changes, ticket: str = "") -> Position:
    ticket = ticket or f"t{store.position.number + 1}-{store.epoch}"
    return store.commit(changes, RevisionMetadata(1.5, "ann", "a note", ticket))


def apply_changes(state: dict[str, bytes], changes: Changes) -> dict[str, bytes]:
    return {key: value for key, value in (state | changes).items() if value is not None}


def test_new_store_is_empty_and_each_opening_takes_an_epoch(tmp_path: Path) -> None:
    path = str(tmp_path / "store")
    lineages = set()
    for epoch in (1, 2, 3):
        store = SqliteStore(path)
        assert (store.epoch, store.position, list(store.entries()), store.history(9)) == (
            epoch,
            START,
            [],
            [],
        )
        assert store.undo(0) == {}
        lineages.add(store.lineage)
        store.close()
    other = SqliteStore(str(tmp_path / "other"))
    assert len(lineages) == 1
    assert lineages != {other.lineage}
    assert all(0 < lineage < 1 << 62 for lineage in (*lineages, other.lineage))
    assert os.stat(path).st_mode & 0o077 == 0
    other.close()


class StoreMachine(RuleBasedStateMachine):
    """Compares the store with a model that records the state after each revision."""

    def __init__(self) -> None:
        super().__init__()
        # In memory if possible, because on a disk each commit waits for a sync.
        self.folder = Path(tempfile.mkdtemp(dir=MEMORY_FOLDER if MEMORY_FOLDER.is_dir() else None))
        self.store = SqliteStore(str(self.folder / "store"), KEPT_REVISIONS)
        self.fenced_store: SqliteStore | None = None
        self.states: list[dict[str, bytes]] = [{}]
        self.revisions: list[StoredRevision] = []
        self.tickets: dict[str, Position] = {}

    def teardown(self) -> None:
        for store in (self.store, self.fenced_store):
            if store is not None:
                store.close()
        shutil.rmtree(self.folder)

    def commit_and_record(self, changes: Changes) -> None:
        ticket = f"ticket-{len(self.tickets)}"
        number = len(self.states)
        position = self.store.commit(changes, RevisionMetadata(float(number), f"by-{number}", "", ticket))
        assert position == Position(self.store.epoch, number) == self.store.position
        assert self.store.committed(ticket) == position
        self.tickets[ticket] = position
        self.states.append(apply_changes(self.states[-1], changes))
        self.revisions.append(StoredRevision(position, float(number), f"by-{number}", "", changes))

    @rule(changes=CHANGES)
    def commit(self, changes: Changes) -> None:
        self.commit_and_record(changes)

    @precondition(lambda self: self.tickets)
    @rule(data=st.data(), changes=CHANGES)
    def commit_with_used_ticket(self, data: st.DataObject, changes: Changes) -> None:
        ticket = data.draw(st.sampled_from(list(self.tickets)[-KEPT_REVISIONS:]))
        assert self.store.commit(changes, RevisionMetadata(0.0, "", "", ticket)) == self.tickets[ticket]

    @rule(revisions_back=st.integers(0, KEPT_REVISIONS))
    def undo(self, revisions_back: int) -> None:
        number = max(0, len(self.states) - 1 - revisions_back)
        changes = self.store.undo(number)
        assert apply_changes(self.states[-1], changes) == self.states[number]
        current = self.states[-1]
        # ``undo`` omits keys whose values would not change.
        assert all(current.get(key) != value for key, value in changes.items())
        if changes:
            self.commit_and_record(changes)

    @rule()
    def reopen(self) -> None:
        epoch = self.store.epoch
        self.store.close()
        self.store = SqliteStore(str(self.folder / "store"), KEPT_REVISIONS)
        assert self.store.epoch == epoch + 1

    @rule()
    def open_second_store(self) -> None:
        if self.fenced_store is not None:
            self.fenced_store.close()
        assert not self.store.fenced()
        self.fenced_store, self.store = self.store, SqliteStore(str(self.folder / "store"), KEPT_REVISIONS)
        assert self.fenced_store.fenced()
        assert not self.store.fenced()

    @precondition(lambda self: self.fenced_store is not None)
    @rule(changes=CHANGES)
    def commit_to_fenced_store(self, changes: Changes) -> None:
        assert self.fenced_store is not None
        assert self.fenced_store.fenced()
        with pytest.raises(FencedError, match="another process has opened the store"):
            self.fenced_store.commit(changes, RevisionMetadata(0.0, "", "", "fenced"))

    @rule()
    def commit_to_full_disk(self) -> None:
        connection = self.store._connection
        (pages,) = connection.execute("PRAGMA page_count").fetchone()
        connection.execute(f"PRAGMA max_page_count = {pages}")
        large_changes: Changes = {f"big/{index}": b"x" * MAX_VALUE_BYTES for index in range(80)}
        with pytest.raises(StoreError, match="is full; free disk space") as caught:
            self.store.commit(large_changes, RevisionMetadata(0.0, "", "", "full"))
        assert "\n" not in str(caught.value)
        connection.execute("PRAGMA max_page_count = 1000000")
        assert self.store.committed("full") is None

    @rule(epochs_ahead=st.integers(0, 3))
    def observe(self, epochs_ahead: int) -> None:
        self.store.observe(self.store.epoch + epochs_ahead)
        if epochs_ahead:  # the next opening takes a higher epoch than the observed one
            epoch = self.store.epoch
            self.store.close()
            self.store = SqliteStore(str(self.folder / "store"), KEPT_REVISIONS)
            assert self.store.epoch == epoch + epochs_ahead + 1

    @invariant()
    def store_matches_model(self) -> None:
        assert dict(self.store.entries()) == self.states[-1]
        assert self.store.position.number == len(self.states) - 1
        assert not self.store.fenced()
        assert self.store.history(1000) == self.revisions[::-1][:KEPT_REVISIONS]
        assert self.store.history(2) == self.revisions[::-1][:2]


TestStoreMachine = StoreMachine.TestCase
TestStoreMachine.settings = settings(max_examples=40, stateful_step_count=25)


def test_undo_beyond_the_kept_history_fails(tmp_path: Path) -> None:
    store = SqliteStore(str(tmp_path / "store"), max_kept_revisions=3)
    for index in range(6):
        commit_changes(store, {"a": b"%d" % index})
    assert store.undo(3) == {"a": b"2"}
    for number in (0, 2):
        with pytest.raises(StoreError, match=f"revision {number} is too old to revert to; .* is 4"):
            store.undo(number)
    for number in (-1, 7):
        with pytest.raises(StoreError, match=f"there is no revision {number}; the last one is 6"):
            store.undo(number)
    assert store.committed("t3-1") is None
    assert store.committed("t4-1") == Position(1, 4)
    store.close()


def test_undo_spans_several_revisions(store: SqliteStore) -> None:
    commit_changes(store, {"a": b"1", "b": b"1", "gone": b"1"})
    commit_changes(store, {"a": b"2", "new": b"2", "gone": None})
    commit_changes(store, {"a": b"3", "new": b"3", "b": b"2"})
    commit_changes(store, {"b": b"1", "gone": b"other"})
    assert store.undo(1) == {"a": b"1", "new": None, "gone": b"1"}  # the value of b is already restored
    assert commit_changes(store, store.undo(1)) == Position(1, 5)
    assert dict(store.entries()) == {"a": b"1", "b": b"1", "gone": b"1"}
    assert store.undo(1) == {}
    assert store.undo(3) == {"a": b"3", "new": b"3", "gone": None, "b": b"2"}
    assert store.undo(0) == {"a": None, "b": None, "gone": None}


def test_undo_larger_than_a_revision_fails(store: SqliteStore) -> None:
    for half in range(2):
        commit_changes(store, {f"{half}-{index}": b"" for index in range(MAX_REVISION_CHANGES // 2 + 1)})
    assert len(store.undo(1)) == MAX_REVISION_CHANGES // 2 + 1
    with pytest.raises(StoreError, match="a revert to revision 0 requires more than 4096 changes"):
        store.undo(0)


@pytest.mark.parametrize(
    ("changes", "author", "note", "ticket", "expected_error"),
    [
        ({}, "", "", "t", "one change at least"),
        ({"": b""}, "", "", "t", "a key has 1 to"),
        ({"a": b"x" * (MAX_VALUE_BYTES + 1)}, "", "", "t", "a: a value has"),
        ({"a": b""}, "x" * (MAX_AUTHOR_LENGTH + 1), "", "t", "author: must have at most 128 characters"),
        ({"a": b""}, "", "x" * (MAX_NOTE_LENGTH + 1), "t", "note: must have at most 1024 characters"),
        ({"a": b""}, "", "", "", "ticket: must have 1 to 64 characters"),
        ({"a": b""}, "", "", "t" * (MAX_TICKET_LENGTH + 1), "ticket: must have 1 to 64 characters"),
    ],
)
def test_rejects_revisions_out_of_bounds(
    store: SqliteStore, changes: Changes, author: str, note: str, ticket: str, expected_error: str
) -> None:
    with pytest.raises(RevisionError, match=expected_error):
        store.commit(changes, RevisionMetadata(1.0, author, note, ticket))
    assert (store.position, list(store.entries())) == (START, [])


def test_invalid_time_leaves_the_store_unchanged(store: SqliteStore) -> None:
    with pytest.raises(StoreError, match="NOT NULL"):
        store.commit({"a": b"1"}, RevisionMetadata(float("nan"), "", "", "t"))
    assert (list(store.entries()), commit_changes(store, {"a": b"2"})) == ([], Position(1, 1))


def test_restored_backup_takes_an_epoch_above_the_observed_ones(tmp_path: Path) -> None:
    path, backup = tmp_path / "store", tmp_path / "backup"
    store = SqliteStore(str(path))
    commit_changes(store, {"a": b"1"})
    store.close()
    shutil.copy(path, backup)
    for epoch in (2, 3, 4):
        store = SqliteStore(str(path))
        commit_changes(store, {"a": b"later %d" % epoch})
        store.close()
    shutil.copy(backup, path)
    store = SqliteStore(str(path))
    assert (store.epoch, store.position) == (2, Position(1, 1))
    store.observe(4)  # as when a proxy reports its position 4.4
    store.observe(3)
    store.close()
    store = SqliteStore(str(path))
    assert store.epoch == 5
    assert commit_changes(store, {"a": b"after"}) == Position(5, 2) > Position(4, 4)
    for epoch in (-1, NUMBER_LIMIT - 1, 1 << 70):  # epochs that leave none for the next opening are rejected
        with pytest.raises(StoreError, match="is not a valid epoch"):
            store.observe(epoch)
    store.close()
    store = SqliteStore(str(path))
    assert store.epoch == 6
    store.close()


def test_store_locked_by_another_process_is_a_one_line_error(
    store: SqliteStore, monkeypatch: pytest.MonkeyPatch
) -> None:
    store._connection.execute("PRAGMA busy_timeout = 50")
    other = sqlite3.connect(store.path, isolation_level=None)
    other.execute("BEGIN IMMEDIATE")
    with pytest.raises(StoreError, match="the store failed: database is locked"):
        commit_changes(store, {"a": b"1"})
    other.execute("ROLLBACK")
    other.close()
    assert commit_changes(store, {"a": b"1"}) == Position(1, 1)


def test_every_call_after_close_is_a_one_line_error(store: SqliteStore) -> None:
    store.close()
    for call in (
        lambda: commit_changes(store, {"a": b"1"}),
        lambda: list(store.entries()),
        lambda: store.history(1),
        lambda: store.undo(0),
        lambda: store.committed("t"),
        lambda: store.observe(9),
        store.fenced,
    ):
        with pytest.raises(StoreError, match="the store failed: Cannot operate on a closed database"):
            call()


def assert_open_fails(path: Path, expected_error: str) -> None:
    with pytest.raises(StoreError, match=expected_error) as caught:
        SqliteStore(str(path))
    assert str(caught.value).startswith(f"{path}: ")
    assert "\n" not in str(caught.value)


def test_rejects_files_that_are_not_a_store(tmp_path: Path) -> None:
    path = tmp_path / "store"
    assert_open_fails(tmp_path, "the store cannot be opened: Is a directory")
    assert_open_fails(tmp_path / "none" / "store", "the store cannot be opened: No such file or directory")
    path.write_bytes(b"something else " * 500)
    assert_open_fails(path, "the store failed: file is not a database")
    assert path.read_bytes() == b"something else " * 500
    path.unlink()
    other = sqlite3.connect(path)
    other.execute("CREATE TABLE shop (a)")
    other.commit()
    other.close()
    before = path.read_bytes()
    assert_open_fails(path, "the file is an SQLite database, but not a revision store")
    assert path.read_bytes() == before
    path.unlink()
    SqliteStore(str(path)).close()
    other = sqlite3.connect(path)
    other.execute("PRAGMA user_version = 7")
    other.close()
    assert_open_fails(path, "the store has format 7; this program supports format 1")


def test_damaged_store_is_a_one_line_error_and_yields_no_wrong_values(tmp_path: Path) -> None:
    path = tmp_path / "store"
    store = SqliteStore(str(path))
    for revision in range(50):
        commit_changes(store, {f"k{revision}-{index}": b"v" * MAX_VALUE_BYTES for index in range(20)})
    store.close()
    undamaged = path.read_bytes()
    expected = {
        f"k{revision}-{index}": b"v" * MAX_VALUE_BYTES for revision in range(50) for index in range(20)
    }
    rng, detected = random.Random(5), 0
    for _ in range(40):
        data = bytearray(undamaged)
        page = rng.randrange(len(data) // 4096) * 4096
        data[page : page + 4096] = rng.randbytes(4096)
        path.write_bytes(data)
        try:
            damaged = SqliteStore(str(path))
            try:
                # The damaged page may belong to the history or be free; the values are correct then.
                assert dict(damaged.entries()) == expected
            finally:
                damaged.close()
        except StoreError as error:
            detected += 1
            assert "\n" not in str(error)
    assert detected > 5
    path.write_bytes(undamaged[: len(undamaged) // 3])
    with pytest.raises(StoreError):
        list(SqliteStore(str(path)).entries())


@pytest.fixture
def unprivileged_user() -> Iterator[None]:
    """Drops root privileges during the test, because root may write to any file."""
    is_root = os.geteuid() == 0
    if is_root:
        os.seteuid(65534)
    yield
    if is_root:
        os.seteuid(0)


def test_rejects_a_read_only_file(unprivileged_user: None) -> None:
    folder = Path(tempfile.mkdtemp())
    path = folder / "store"
    try:
        SqliteStore(str(path)).close()
        path.chmod(0o400)
        assert_open_fails(path, "the store cannot be opened: Permission denied")
        path.chmod(0o600)
        folder.chmod(0o500)  # the file is writable, but SQLite cannot create files beside it
        assert_open_fails(
            path, "the store failed: (unable to open database file|attempt to write a readonly database)"
        )
    finally:
        folder.chmod(0o700)
        shutil.rmtree(folder)


WRITER = """
import sys
from ironmill.distribution.revision import RevisionMetadata
from ironmill.net.revision_store import SqliteStore
store = SqliteStore(sys.argv[1])
state = dict(store.entries())
assert len(set(state.values())) <= 1
while True:
    number = store.position.number + 1
    value = b"%d" % number * 20
    metadata = RevisionMetadata(1.0, "a", "", f"{number}-{store.epoch}")
    position = store.commit({f"k{index}": value for index in range(200)}, metadata)
    print(position.number, flush=True)
"""


def test_process_killed_during_commits_keeps_complete_revisions(tmp_path: Path) -> None:
    path, rng, last_number = str(tmp_path / "store"), random.Random(3), 0
    for run in range(8):
        child = subprocess.Popen([sys.executable, "-c", WRITER, path], stdout=subprocess.PIPE, text=True)
        assert child.stdout is not None
        assert child.stdout.readline().strip() == str(last_number + 1)
        time.sleep(0.02 + 0.2 * rng.random())
        child.kill()
        reported = [int(line) for line in child.stdout.read().split()]
        child.wait(10.0)
        store = SqliteStore(path)
        last_number = store.position.number
        assert store.epoch == 2 * run + 2
        # Every reported revision is kept; one more may have been committed before the process was killed.
        assert reported[-1] <= last_number <= reported[-1] + 1
        state = dict(store.entries())
        assert state == {f"k{index}": b"%d" % last_number * 20 for index in range(200)}
        assert [revision.position.number for revision in store.history(3)] == [
            last_number,
            last_number - 1,
            last_number - 2,
        ]
        assert store.undo(last_number - 1) == {
            f"k{index}": b"%d" % (last_number - 1) * 20 for index in range(200)
        }
        assert store._connection.execute("PRAGMA integrity_check").fetchall() == [("ok",)]
        store.close()


def test_implements_the_store_interface(store: SqliteStore) -> None:
    interface: RevisionStore = store  # mypy checks the assignment
    assert interface.position == START
    assert revision_store.MAX_KEPT_REVISIONS == 100_000
