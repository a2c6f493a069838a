"""The embedded store of revisions: against a model, beside a second writer, killed, without room, damaged."""

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
KEEP = 12
MEMORY = Path("/dev/shm")


@pytest.fixture
def store(tmp_path: Path) -> Iterator[SqliteStore]:
    it = SqliteStore(str(tmp_path / "store"))
    yield it
    it.close()


def put(store: RevisionStore, changes: Changes, ticket: str = "") -> Position:
    ticket = ticket or f"t{store.position.number + 1}-{store.epoch}"
    return store.commit(changes, RevisionMetadata(1.5, "ann", "a note", ticket))


def applied(state: dict[str, bytes], changes: Changes) -> dict[str, bytes]:
    return {key: value for key, value in (state | changes).items() if value is not None}


def test_new_store_is_empty_and_each_opening_takes_an_epoch(tmp_path: Path) -> None:
    path = str(tmp_path / "store")
    lineages = set()
    for epoch in (1, 2, 3):
        it = SqliteStore(path)
        assert (it.epoch, it.position, list(it.entries()), it.history(9)) == (epoch, START, [], [])
        assert it.undo(0) == {}
        lineages.add(it.lineage)
        it.close()
    other = SqliteStore(str(tmp_path / "other"))
    assert len(lineages) == 1
    assert lineages != {other.lineage}
    assert all(0 < it < 1 << 62 for it in (*lineages, other.lineage))
    assert os.stat(path).st_mode & 0o077 == 0
    other.close()


class StoreMachine(RuleBasedStateMachine):
    """The store and a model of it: each state that there ever was."""

    def __init__(self) -> None:
        super().__init__()
        # In memory, for on a disk each commit waits for it.
        self.folder = Path(tempfile.mkdtemp(dir=MEMORY if MEMORY.is_dir() else None))
        self.store = SqliteStore(str(self.folder / "store"), KEEP)
        self.fenced: SqliteStore | None = None
        self.states: list[dict[str, bytes]] = [{}]
        self.entries: list[StoredRevision] = []
        self.tickets: dict[str, Position] = {}

    def teardown(self) -> None:
        for one in (self.store, self.fenced):
            if one is not None:
                one.close()
        shutil.rmtree(self.folder)

    def keep(self, changes: Changes) -> None:
        ticket = f"ticket-{len(self.tickets)}"
        number = len(self.states)
        position = self.store.commit(changes, RevisionMetadata(float(number), f"by-{number}", "", ticket))
        assert position == Position(self.store.epoch, number) == self.store.position
        assert self.store.committed(ticket) == position
        self.tickets[ticket] = position
        self.states.append(applied(self.states[-1], changes))
        self.entries.append(StoredRevision(position, float(number), f"by-{number}", "", changes))

    @rule(changes=CHANGES)
    def commit(self, changes: Changes) -> None:
        self.keep(changes)

    @precondition(lambda self: self.tickets)
    @rule(data=st.data(), changes=CHANGES)
    def again(self, data: st.DataObject, changes: Changes) -> None:
        ticket = data.draw(st.sampled_from(list(self.tickets)[-KEEP:]))
        assert self.store.commit(changes, RevisionMetadata(0.0, "", "", ticket)) == self.tickets[ticket]

    @rule(back=st.integers(0, KEEP))
    def undo(self, back: int) -> None:
        number = max(0, len(self.states) - 1 - back)
        changes = self.store.undo(number)
        assert applied(self.states[-1], changes) == self.states[number]
        now = self.states[-1]
        assert all(now.get(key) != value for key, value in changes.items())  # what is as it was is left out
        if changes:
            self.keep(changes)

    @rule()
    def reopen(self) -> None:
        epoch = self.store.epoch
        self.store.close()
        self.store = SqliteStore(str(self.folder / "store"), KEEP)
        assert self.store.epoch == epoch + 1

    @rule()
    def second_writer(self) -> None:
        if self.fenced is not None:
            self.fenced.close()
        assert not self.store.fenced()
        self.fenced, self.store = self.store, SqliteStore(str(self.folder / "store"), KEEP)
        assert self.fenced.fenced()
        assert not self.store.fenced()

    @precondition(lambda self: self.fenced is not None)
    @rule(changes=CHANGES)
    def the_first_one_writes(self, changes: Changes) -> None:
        assert self.fenced is not None
        assert self.fenced.fenced()
        with pytest.raises(FencedError, match="another process has opened the store"):
            self.fenced.commit(changes, RevisionMetadata(0.0, "", "", "fenced"))

    @rule()
    def no_room(self) -> None:
        connection = self.store._connection
        (pages,) = connection.execute("PRAGMA page_count").fetchone()
        connection.execute(f"PRAGMA max_page_count = {pages}")
        many: Changes = {f"big/{at}": b"x" * MAX_VALUE_BYTES for at in range(80)}
        with pytest.raises(StoreError, match="is full; make room") as caught:
            self.store.commit(many, RevisionMetadata(0.0, "", "", "full"))
        assert "\n" not in str(caught.value)
        connection.execute("PRAGMA max_page_count = 1000000")
        assert self.store.committed("full") is None

    @rule(more=st.integers(0, 3))
    def observe(self, more: int) -> None:
        self.store.observe(self.store.epoch + more)
        if more:  # and the next opening is above it
            epoch = self.store.epoch
            self.store.close()
            self.store = SqliteStore(str(self.folder / "store"), KEEP)
            assert self.store.epoch == epoch + more + 1

    @invariant()
    def agrees(self) -> None:
        assert dict(self.store.entries()) == self.states[-1]
        assert self.store.position.number == len(self.states) - 1
        assert not self.store.fenced()
        assert self.store.history(1000) == self.entries[::-1][:KEEP]
        assert self.store.history(2) == self.entries[::-1][:2]


TestStoreMachine = StoreMachine.TestCase
TestStoreMachine.settings = settings(max_examples=40, stateful_step_count=25)


def test_undo_beyond_the_kept_history_fails(tmp_path: Path) -> None:
    it = SqliteStore(str(tmp_path / "store"), max_kept_revisions=3)
    for at in range(6):
        put(it, {"a": b"%d" % at})
    assert it.undo(3) == {"a": b"2"}
    for number in (0, 2):
        with pytest.raises(StoreError, match=f"revision {number} is too old to go back to; .* is 4"):
            it.undo(number)
    for number in (-1, 7):
        with pytest.raises(StoreError, match=f"there is no revision {number}; the last one is 6"):
            it.undo(number)
    assert it.committed("t3-1") is None
    assert it.committed("t4-1") == Position(1, 4)
    it.close()


def test_undo_spans_several_revisions(store: SqliteStore) -> None:
    put(store, {"a": b"1", "b": b"1", "gone": b"1"})
    put(store, {"a": b"2", "new": b"2", "gone": None})
    put(store, {"a": b"3", "new": b"3", "b": b"2"})
    put(store, {"b": b"1", "gone": b"other"})
    assert store.undo(1) == {"a": b"1", "new": None, "gone": b"1"}  # b has its value again already
    assert put(store, store.undo(1)) == Position(1, 5)
    assert dict(store.entries()) == {"a": b"1", "b": b"1", "gone": b"1"}
    assert store.undo(1) == {}
    assert store.undo(3) == {"a": b"3", "new": b"3", "gone": None, "b": b"2"}
    assert store.undo(0) == {"a": None, "b": None, "gone": None}


def test_undo_larger_than_a_revision_fails(store: SqliteStore) -> None:
    for half in range(2):
        put(store, {f"{half}-{at}": b"" for at in range(MAX_REVISION_CHANGES // 2 + 1)})
    assert len(store.undo(1)) == MAX_REVISION_CHANGES // 2 + 1
    with pytest.raises(StoreError, match="to go back to revision 0 takes more than 4096 changes"):
        store.undo(0)


@pytest.mark.parametrize(
    ("changes", "author", "note", "ticket", "wrong"),
    [
        ({}, "", "", "t", "one change at least"),
        ({"": b""}, "", "", "t", "a key has 1 to"),
        ({"a": b"x" * (MAX_VALUE_BYTES + 1)}, "", "", "t", "a: a value has"),
        ({"a": b""}, "x" * (MAX_AUTHOR_LENGTH + 1), "", "t", "author: it has 128 characters at most"),
        ({"a": b""}, "", "x" * (MAX_NOTE_LENGTH + 1), "t", "note: it has 1024 characters at most"),
        ({"a": b""}, "", "", "", "ticket: it has 1 to 64 characters"),
        ({"a": b""}, "", "", "t" * (MAX_TICKET_LENGTH + 1), "ticket: it has 1 to 64 characters"),
    ],
)
def test_rejects_revisions_out_of_bounds(
    store: SqliteStore, changes: Changes, author: str, note: str, ticket: str, wrong: str
) -> None:
    with pytest.raises(RevisionError, match=wrong):
        store.commit(changes, RevisionMetadata(1.0, author, note, ticket))
    assert (store.position, list(store.entries())) == (START, [])


def test_invalid_time_leaves_the_store_unchanged(store: SqliteStore) -> None:
    with pytest.raises(StoreError, match="NOT NULL"):
        store.commit({"a": b"1"}, RevisionMetadata(float("nan"), "", "", "t"))
    assert (list(store.entries()), put(store, {"a": b"2"})) == ([], Position(1, 1))


def test_restored_backup_takes_an_epoch_above_the_observed_ones(tmp_path: Path) -> None:
    path, backup = tmp_path / "store", tmp_path / "backup"
    it = SqliteStore(str(path))
    put(it, {"a": b"1"})
    it.close()
    shutil.copy(path, backup)
    for epoch in (2, 3, 4):
        it = SqliteStore(str(path))
        put(it, {"a": b"later %d" % epoch})
        it.close()
    shutil.copy(backup, path)
    it = SqliteStore(str(path))
    assert (it.epoch, it.position) == (2, Position(1, 1))
    it.observe(4)  # a proxy shows what it holds: 4.4
    it.observe(3)
    it.close()
    it = SqliteStore(str(path))
    assert it.epoch == 5
    assert put(it, {"a": b"after"}) == Position(5, 2) > Position(4, 4)
    for epoch in (-1, NUMBER_LIMIT - 1, 1 << 70):  # what would leave no epoch is not taken
        with pytest.raises(StoreError, match="is no epoch"):
            it.observe(epoch)
    it.close()
    it = SqliteStore(str(path))
    assert it.epoch == 6
    it.close()


def test_store_locked_by_another_process_is_a_one_line_error(
    store: SqliteStore, monkeypatch: pytest.MonkeyPatch
) -> None:
    store._connection.execute("PRAGMA busy_timeout = 50")
    other = sqlite3.connect(store.path, isolation_level=None)
    other.execute("BEGIN IMMEDIATE")
    with pytest.raises(StoreError, match="the store fails: database is locked"):
        put(store, {"a": b"1"})
    other.execute("ROLLBACK")
    other.close()
    assert put(store, {"a": b"1"}) == Position(1, 1)


def test_every_call_after_close_is_a_one_line_error(store: SqliteStore) -> None:
    store.close()
    for call in (
        lambda: put(store, {"a": b"1"}),
        lambda: list(store.entries()),
        lambda: store.history(1),
        lambda: store.undo(0),
        lambda: store.committed("t"),
        lambda: store.observe(9),
        store.fenced,
    ):
        with pytest.raises(StoreError, match="the store fails: Cannot operate on a closed database"):
            call()


def fails(path: Path, wrong: str) -> None:
    with pytest.raises(StoreError, match=wrong) as caught:
        SqliteStore(str(path))
    assert str(caught.value).startswith(f"{path}: ")
    assert "\n" not in str(caught.value)


def test_rejects_files_that_are_no_store(tmp_path: Path) -> None:
    path = tmp_path / "store"
    fails(tmp_path, "the store cannot be opened: Is a directory")
    fails(tmp_path / "none" / "store", "the store cannot be opened: No such file or directory")
    path.write_bytes(b"something else " * 500)
    fails(path, "the store fails: file is not a database")
    assert path.read_bytes() == b"something else " * 500
    path.unlink()
    other = sqlite3.connect(path)
    other.execute("CREATE TABLE shop (a)")
    other.commit()
    other.close()
    before = path.read_bytes()
    fails(path, "is a database, but no store of revisions")
    assert path.read_bytes() == before
    path.unlink()
    SqliteStore(str(path)).close()
    other = sqlite3.connect(path)
    other.execute("PRAGMA user_version = 7")
    other.close()
    fails(path, "the store is of form 7; this program reads form 1")


def test_damaged_store_is_a_one_line_error_and_yields_no_wrong_values(tmp_path: Path) -> None:
    path = tmp_path / "store"
    it = SqliteStore(str(path))
    for at in range(50):
        put(it, {f"k{at}-{more}": b"v" * MAX_VALUE_BYTES for more in range(20)})
    it.close()
    whole = path.read_bytes()
    expected = {f"k{at}-{more}": b"v" * MAX_VALUE_BYTES for at in range(50) for more in range(20)}
    rng, found = random.Random(5), 0
    for _ in range(40):
        data = bytearray(whole)
        page = rng.randrange(len(data) // 4096) * 4096
        data[page : page + 4096] = rng.randbytes(4096)
        path.write_bytes(data)
        try:
            damaged = SqliteStore(str(path))
            try:
                # A page of the history or a free one may be hit: then the values are those there were.
                assert dict(damaged.entries()) == expected
            finally:
                damaged.close()
        except StoreError as error:
            found += 1
            assert "\n" not in str(error)
    assert found > 5
    path.write_bytes(whole[: len(whole) // 3])
    with pytest.raises(StoreError):
        list(SqliteStore(str(path)).entries())


@pytest.fixture
def nobody() -> Iterator[None]:
    """Whoever runs the tests as root is somebody else meanwhile, for root may write everywhere."""
    root = os.geteuid() == 0
    if root:
        os.seteuid(65534)
    yield
    if root:
        os.seteuid(0)


def test_rejects_a_read_only_file(nobody: None) -> None:
    folder = Path(tempfile.mkdtemp())
    path = folder / "store"
    try:
        SqliteStore(str(path)).close()
        path.chmod(0o400)
        fails(path, "the store cannot be opened: Permission denied")
        path.chmod(0o600)
        folder.chmod(0o500)  # and where it may be written, but nothing beside it
        fails(path, "the store fails: (unable to open database file|attempt to write a readonly database)")
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
    told = store.commit({f"k{at}": value for at in range(200)}, metadata)
    print(told.number, flush=True)
"""


def test_process_killed_during_commits_keeps_complete_revisions(tmp_path: Path) -> None:
    path, rng, last = str(tmp_path / "store"), random.Random(3), 0
    for turn in range(8):
        child = subprocess.Popen([sys.executable, "-c", WRITER, path], stdout=subprocess.PIPE, text=True)
        assert child.stdout is not None
        assert child.stdout.readline().strip() == str(last + 1)
        time.sleep(0.02 + 0.2 * rng.random())
        child.kill()
        told = [int(line) for line in child.stdout.read().split()]
        child.wait(10.0)
        it = SqliteStore(path)
        last = it.position.number
        assert it.epoch == 2 * turn + 2
        assert told[-1] <= last <= told[-1] + 1  # what was told is there; one more may be, and is whole
        state = dict(it.entries())
        assert state == {f"k{at}": b"%d" % last * 20 for at in range(200)}
        assert [entry.position.number for entry in it.history(3)] == [last, last - 1, last - 2]
        assert it.undo(last - 1) == {f"k{at}": b"%d" % (last - 1) * 20 for at in range(200)}
        assert it._connection.execute("PRAGMA integrity_check").fetchall() == [("ok",)]
        it.close()


def test_implements_the_store_interface(store: SqliteStore) -> None:
    it: RevisionStore = store  # mypy says whether it is
    assert it.position == START
    assert revision_store.MAX_KEPT_REVISIONS == 100_000
