"""The embedded store of revisions: one SQLite file, on disk before a commit returns.

A revision is one transaction. An opening takes the next epoch in one as well, and each commit asks in its own
whether the epoch is still the one it took, so of two processes on one file the later one writes alone.
"""

from __future__ import annotations

import contextlib
import os
import secrets
import sqlite3
from collections.abc import Iterator

from ironmill.distribution.revision import (
    AUTHOR_MOST,
    NOTE_MOST,
    NUMBER_MOST,
    REVISION_CHANGES_MOST,
    START,
    TICKET_MOST,
    Changes,
    Entry,
    FencedError,
    Position,
    RevisionError,
    StoreError,
    check_changes,
)

REVISIONS_KEPT = 100_000  # two days of 45,000; what is older cannot be undone, and its ticket is not known
READ_MOST = 1000  # revisions of one look at the history; guards memory
BUSY_WAIT = 1.0  # seconds for another process that writes just now
FORM = 1
APPLICATION = int.from_bytes(b"IMrv")  # in the file's header: that it is one of these

_TABLES = """
CREATE TABLE numbers (name TEXT PRIMARY KEY, value INTEGER NOT NULL) WITHOUT ROWID;
CREATE TABLE current (key TEXT PRIMARY KEY, value BLOB NOT NULL) WITHOUT ROWID;
CREATE TABLE revisions (
    number INTEGER PRIMARY KEY, epoch INTEGER NOT NULL, at REAL NOT NULL, author TEXT NOT NULL,
    note TEXT NOT NULL, ticket TEXT NOT NULL UNIQUE
);
CREATE TABLE changes (
    number INTEGER NOT NULL, key TEXT NOT NULL, value BLOB, previous BLOB, PRIMARY KEY (number, key)
) WITHOUT ROWID
"""

# Of each key that later revisions changed the value before the first of those, where it is another one now.
_UNDO = """
SELECT changes.key, changes.previous
FROM (SELECT key, min(number) AS number FROM changes WHERE number > ? GROUP BY key) AS first
JOIN changes USING (number, key) LEFT JOIN current ON current.key = changes.key
WHERE changes.previous IS NOT current.value LIMIT ?
"""


class SqliteStore:
    """A ``RevisionStore`` in one file, opened for writing. StoreError, one line, if it is not fit for use."""

    def __init__(self, path: str, keep: int = REVISIONS_KEPT) -> None:
        self.path = path
        self._keep = keep
        try:
            # Made here, for nobody else is to read what it will hold, and for the system's own word on it.
            os.close(os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600))
        except OSError as error:
            raise StoreError(f"{path}: the store cannot be opened: {error.strerror}") from None
        with self._plain():
            self._connection = sqlite3.connect(path, BUSY_WAIT, isolation_level=None)
        try:
            with self._plain():
                self._open()
        except BaseException:
            self.close()
            raise

    def _open(self) -> None:
        self._is_one()  # before anything of the file is changed
        # EXTRA is FULL in this mode; where the file system cannot do it the journal's folder is synced too.
        self._connection.execute("PRAGMA journal_mode = WAL")
        self._connection.execute("PRAGMA synchronous = EXTRA")
        with self._transaction():
            if not self._is_one():
                self._make()
            self.lineage = self._number("lineage")
            self.epoch = max(self._number("epoch"), self._number("observed")) + 1
            if self.epoch >= NUMBER_MOST:
                raise StoreError(f"{self.path}: the store has no epoch left")
            self._set("epoch", self.epoch)
            self.position = self._head()

    def _is_one(self) -> bool:
        """True if the file is a store, False if it is empty; StoreError if it is something else."""
        if self._one("SELECT count(*) FROM sqlite_master") == 0:
            return False
        if self._one("PRAGMA application_id") != APPLICATION:
            raise StoreError(f"{self.path}: is a database, but no store of revisions")
        if (form := self._one("PRAGMA user_version")) != FORM:
            raise StoreError(f"{self.path}: the store is of form {form}; this program reads form {FORM}")
        return True

    def _make(self) -> None:
        for statement in _TABLES.split(";"):
            self._connection.execute(statement)
        self._connection.execute(f"PRAGMA application_id = {APPLICATION}")
        self._connection.execute(f"PRAGMA user_version = {FORM}")
        self._set("lineage", 1 + secrets.randbelow((1 << 62) - 1))
        self._set("epoch", 0)
        self._set("observed", 0)

    def close(self) -> None:
        """Write no more. Afterwards every call is a StoreError."""
        with contextlib.suppress(sqlite3.Error):
            self._connection.close()

    # As RevisionStore says

    def entries(self) -> Iterator[tuple[str, bytes]]:
        """All keys and values, by key. To be read to its end before the next commit. StoreError."""
        with self._plain():
            for key, value in self._connection.execute("SELECT key, value FROM current ORDER BY key"):
                if not isinstance(key, str) or not isinstance(value, bytes):
                    raise StoreError(f"{self.path}: the store is damaged: an entry is of no right kind")
                yield key, value

    def commit(self, changes: Changes, at: float, author: str, note: str, ticket: str) -> Position:
        """One more revision, on disk when this returns. RevisionError, FencedError, StoreError."""
        check_changes(changes)
        for name, text, most in (("author", author, AUTHOR_MOST), ("note", note, NOTE_MOST)):
            if len(text) > most:
                raise RevisionError(f"{name}: it has {most} characters at most")
        if not 0 < len(ticket) <= TICKET_MOST:
            raise RevisionError(f"ticket: it has 1 to {TICKET_MOST} characters")
        with self._plain():
            with self._transaction():
                if self._number("epoch") != self.epoch:
                    raise FencedError(f"{self.path}: another process has opened the store since this one did")
                known = self._by_ticket(ticket)
                if known is not None:
                    return known
                target = Position(self.epoch, self.position.number + 1)
                if target.number >= NUMBER_MOST:
                    raise StoreError(f"{self.path}: the store has no number left")
                self._keep_revision(target, changes, at, author, note, ticket)
            self.position = target
            return target

    def committed(self, ticket: str) -> Position | None:
        """The position that the ticket got, None if it is of no revision that is kept. StoreError."""
        with self._plain():
            return self._by_ticket(ticket)

    def history(self, most: int) -> list[Entry]:
        """The last revisions, the newest first; no more than are kept, and READ_MOST. StoreError."""
        with self._plain():
            rows = self._connection.execute(
                "SELECT epoch, number, at, author, note FROM revisions ORDER BY number DESC LIMIT ?",
                (max(0, min(most, READ_MOST)),),
            ).fetchall()
            return [
                Entry(Position(epoch, number), at, author, note, self._changes(number))
                for epoch, number, at, author, note in rows
            ]

    def undo(self, number: int) -> Changes:
        """What brings every key back to its value as of that revision, 0 for before the first; none if all
        are as they were. StoreError if that is not kept, or is more than one revision may hold.
        """
        with self._plain():
            oldest = self._one("SELECT min(number) FROM revisions")
            last = self.position.number
            if not 0 <= number <= last:
                raise StoreError(f"{self.path}: there is no revision {number}; the last one is {last}")
            if number < last and (oldest is None or number < oldest - 1):
                raise StoreError(
                    f"{self.path}: revision {number} is too old to go back to; "
                    f"the oldest one that is kept is {oldest}"
                )
            changes: Changes = dict(self._connection.execute(_UNDO, (number, REVISION_CHANGES_MOST + 1)))
            if len(changes) > REVISION_CHANGES_MOST:
                raise StoreError(
                    f"{self.path}: to go back to revision {number} takes more than {REVISION_CHANGES_MOST} "
                    "changes, more than one revision may hold"
                )
            return changes

    def fenced(self) -> bool:
        """True once another process has opened the store since this one did. StoreError."""
        with self._plain():
            return self._number("epoch") != self.epoch

    def observe(self, epoch: int) -> None:
        """An epoch was seen in the fleet: the next opening takes a higher one. StoreError."""
        if not 0 <= epoch < NUMBER_MOST - 1:
            raise StoreError(f"{self.path}: {epoch} is no epoch")
        if epoch <= self.epoch:
            return  # the next opening takes a higher one anyway
        with self._plain(), self._transaction():
            self._set("observed", max(epoch, self._number("observed")))

    # Within a transaction

    def _keep_revision(
        self, target: Position, changes: Changes, at: float, author: str, note: str, ticket: str
    ) -> None:
        execute = self._connection.execute
        execute(
            "INSERT INTO revisions (number, epoch, at, author, note, ticket) VALUES (?, ?, ?, ?, ?, ?)",
            (target.number, target.epoch, at, author, note, ticket),
        )
        for key, value in changes.items():
            execute(
                "INSERT INTO changes (number, key, value, previous) "
                "VALUES (?1, ?2, ?3, (SELECT value FROM current WHERE key = ?2))",
                (target.number, key, value),
            )
            if value is None:
                execute("DELETE FROM current WHERE key = ?", (key,))
            else:
                execute("INSERT OR REPLACE INTO current (key, value) VALUES (?, ?)", (key, value))
        for table in ("changes", "revisions"):
            execute(f"DELETE FROM {table} WHERE number <= ?", (target.number - self._keep,))

    def _by_ticket(self, ticket: str) -> Position | None:
        found = self._connection.execute(
            "SELECT epoch, number FROM revisions WHERE ticket = ?", (ticket,)
        ).fetchone()
        return None if found is None else Position(*found)

    def _changes(self, number: int) -> Changes:
        rows = self._connection.execute("SELECT key, value FROM changes WHERE number = ?", (number,))
        return dict(rows.fetchall())

    def _head(self) -> Position:
        found = self._connection.execute(
            "SELECT epoch, number FROM revisions ORDER BY number DESC LIMIT 1"
        ).fetchone()
        return START if found is None else Position(*found)

    def _number(self, name: str) -> int:
        value = self._one("SELECT value FROM numbers WHERE name = ?", name)
        if value is None:
            raise StoreError(f"{self.path}: the store is damaged: it has no {name}")
        return value

    def _set(self, name: str, value: int) -> None:
        self._connection.execute("INSERT OR REPLACE INTO numbers (name, value) VALUES (?, ?)", (name, value))

    def _one(self, statement: str, *values: object) -> int | None:
        found = self._connection.execute(statement, values).fetchone()
        if found is None or found[0] is None:
            return None
        if not isinstance(found[0], int):
            raise StoreError(f"{self.path}: the store is damaged: {statement!r} gives no number")
        return found[0]

    @contextlib.contextmanager
    def _transaction(self) -> Iterator[None]:
        """All that is written within it, or nothing of it."""
        self._connection.execute("BEGIN IMMEDIATE")
        try:
            yield
            self._connection.execute("COMMIT")
        except BaseException:
            if self._connection.in_transaction:  # a full disk may have ended it already
                with contextlib.suppress(sqlite3.Error):
                    self._connection.execute("ROLLBACK")
            raise

    @contextlib.contextmanager
    def _plain(self) -> Iterator[None]:
        """SQLite's errors as one line."""
        try:
            yield
        except sqlite3.Error as error:
            # Only errors of the module itself, such as a closed connection, have no name.
            name = getattr(error, "sqlite_errorname", "")
            hint = "; make room, and it takes revisions again" if name == "SQLITE_FULL" else ""
            raise StoreError(f"{self.path}: the store fails: {error}{hint}") from None
