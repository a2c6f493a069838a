"""The embedded store of revisions in one SQLite file. A commit is durable before it returns.

Each revision is one transaction. Opening the store takes the next epoch in a transaction, and each commit
checks in its transaction that no later epoch has been taken. Of two processes that open one file, only the
later one can therefore write.
"""

from __future__ import annotations

import contextlib
import os
import secrets
import sqlite3
from collections.abc import Iterator

from ironmill.distribution.changes import MAX_REVISION_CHANGES, Changes, check_changes
from ironmill.distribution.errors import FencedError, RevisionError, StoreError
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

MAX_KEPT_REVISIONS = 100_000  # older revisions cannot be restored, and their tickets are not recognized
MAX_HISTORY_REVISIONS = 1000  # returned by one call of history
BUSY_TIMEOUT_S = 1.0  # for a lock that another process holds
FILE_MODE = 0o600
FORMAT_VERSION = 1
APPLICATION_ID = int.from_bytes(b"IMrv")  # SQLite application ID in the file header

# Names of the rows of the table ``numbers``.
LINEAGE, EPOCH, OBSERVED_EPOCH = "lineage", "epoch", "observed"

_CREATE_TABLES = """
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

_COUNT_TABLES = "SELECT count(*) FROM sqlite_master"
_SELECT_NUMBER = "SELECT value FROM numbers WHERE name = ?"
_SET_NUMBER = "INSERT OR REPLACE INTO numbers (name, value) VALUES (?, ?)"
_ADD_TO_NUMBERS = "UPDATE numbers SET value = value + ?"
_SELECT_ENTRIES = "SELECT key, value FROM current ORDER BY key"
_SET_ENTRY = "INSERT OR REPLACE INTO current (key, value) VALUES (?, ?)"
_DELETE_ENTRY = "DELETE FROM current WHERE key = ?"
_INSERT_REVISION = "INSERT INTO revisions (number, epoch, at, author, note, ticket) VALUES (?, ?, ?, ?, ?, ?)"
_INSERT_CHANGE = (
    "INSERT INTO changes (number, key, value, previous) "
    "VALUES (?1, ?2, ?3, (SELECT value FROM current WHERE key = ?2))"
)
_DELETE_OLD_CHANGES = "DELETE FROM changes WHERE number <= ?"
_DELETE_OLD_REVISIONS = "DELETE FROM revisions WHERE number <= ?"
_SELECT_BY_TICKET = "SELECT epoch, number FROM revisions WHERE ticket = ?"
_SELECT_LATEST = "SELECT epoch, number FROM revisions ORDER BY number DESC LIMIT 1"
_SELECT_OLDEST_NUMBER = "SELECT min(number) FROM revisions"
_SELECT_HISTORY = "SELECT epoch, number, at, author, note FROM revisions ORDER BY number DESC LIMIT ?"
_SELECT_CHANGES = "SELECT key, value FROM changes WHERE number = ?"
# For each key changed after the given revision, selects the value before the first of these changes, unless
# it equals the current value.
_SELECT_UNDO = """
SELECT changes.key, changes.previous
FROM (SELECT key, min(number) AS number FROM changes WHERE number > ? GROUP BY key) AS first
JOIN changes USING (number, key) LEFT JOIN current ON current.key = changes.key
WHERE changes.previous IS NOT current.value LIMIT ?
"""


class SqliteStore:
    """A ``RevisionStore`` in an SQLite file, opened for writing."""

    def __init__(self, path: str, max_kept_revisions: int = MAX_KEPT_REVISIONS) -> None:
        """Opens the file and takes the next epoch; creates the file if it does not exist.

        Raises ``StoreError`` if the file cannot be used.
        """
        self.path = path
        self._max_kept_revisions = max_kept_revisions
        try:
            # SQLite would create a file that other users can read, and would report the system error less
            # precisely.
            os.close(os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, FILE_MODE))
        except OSError as error:
            raise StoreError(f"{path}: the store cannot be opened: {error.strerror}") from None
        with self._translate_errors():
            self._connection = sqlite3.connect(path, BUSY_TIMEOUT_S, isolation_level=None)
        try:
            with self._translate_errors():
                self._open()
        except BaseException:
            self.close()
            raise

    def _open(self) -> None:
        self._check_format()  # before the first change to the file
        # With WAL, EXTRA equals FULL. If WAL is not available, EXTRA also syncs the directory of the journal.
        self._connection.execute("PRAGMA journal_mode = WAL")
        self._connection.execute("PRAGMA synchronous = EXTRA")
        with self._transaction():
            if not self._check_format():
                self._create()
            self.lineage = self._read_number(LINEAGE)
            self.epoch = max(self._read_number(EPOCH), self._read_number(OBSERVED_EPOCH)) + 1
            if self.epoch >= NUMBER_LIMIT:
                raise StoreError(f"{self.path}: the store has no epochs left")
            self._write_number(EPOCH, self.epoch)
            self.position = self._latest_position()

    def _check_format(self) -> bool:
        """Returns True for a store and False for an empty file. Raises ``StoreError`` for any other file."""
        if self._query_int(_COUNT_TABLES) == 0:
            return False
        if self._query_int("PRAGMA application_id") != APPLICATION_ID:
            raise StoreError(f"{self.path}: the file is an SQLite database, but not a revision store")
        if (version := self._query_int("PRAGMA user_version")) != FORMAT_VERSION:
            raise StoreError(
                f"{self.path}: the store has format {version}; this program supports format {FORMAT_VERSION}"
            )
        return True

    def _create(self) -> None:
        for statement in _CREATE_TABLES.split(";"):
            self._connection.execute(statement)
        self._connection.execute(f"PRAGMA application_id = {APPLICATION_ID}")
        self._connection.execute(f"PRAGMA user_version = {FORMAT_VERSION}")
        self._write_number(LINEAGE, 1 + secrets.randbelow(NUMBER_LIMIT - 1))
        self._write_number(EPOCH, 0)
        self._write_number(OBSERVED_EPOCH, 0)

    def close(self) -> None:
        """Closes the file. Later calls of other methods raise ``StoreError``."""
        with contextlib.suppress(sqlite3.Error):
            self._connection.close()

    # Interface of RevisionStore

    def entries(self) -> Iterator[tuple[str, bytes]]:
        """Yields all keys and values in the order of keys. Must be exhausted before the next commit.

        Raises ``StoreError``.
        """
        with self._translate_errors():
            for key, value in self._connection.execute(_SELECT_ENTRIES):
                if not isinstance(key, str) or not isinstance(value, bytes):
                    raise StoreError(
                        f"{self.path}: the store is damaged: an entry has a key or value of the wrong type"
                    )
                yield key, value

    def commit(self, changes: Changes, metadata: RevisionMetadata) -> Position:
        """Stores the changes durably as the next revision and returns its position.

        If a kept revision has the same ticket, stores nothing and returns the position of that revision.
        Raises ``RevisionError``, ``FencedError`` and ``StoreError``.
        """
        check_changes(changes)
        _check_metadata(metadata)
        with self._translate_errors():
            with self._transaction():
                if self._read_number(EPOCH) != self.epoch:
                    raise FencedError(f"{self.path}: another process has opened the store since this one did")
                known = self._position_by_ticket(metadata.ticket)
                if known is not None:
                    return known
                target = Position(self.epoch, self.position.number + 1)
                if target.number >= NUMBER_LIMIT:
                    raise StoreError(f"{self.path}: the store has no revision numbers left")
                self._insert_revision(target, changes, metadata)
            self.position = target
            return target

    def committed(self, ticket: str) -> Position | None:
        """Returns the position of the kept revision with this ticket, or None if there is none.

        Raises ``StoreError``.
        """
        with self._translate_errors():
            return self._position_by_ticket(ticket)

    def history(self, max_count: int) -> list[StoredRevision]:
        """Returns the latest kept revisions, newest first, at most ``MAX_HISTORY_REVISIONS``.

        Raises ``StoreError``.
        """
        limit = max(0, min(max_count, MAX_HISTORY_REVISIONS))
        with self._translate_errors():
            rows = self._connection.execute(_SELECT_HISTORY, (limit,)).fetchall()
            return [
                StoredRevision(Position(epoch, number), at, author, note, self._changes_of(number))
                for epoch, number, at, author, note in rows
            ]

    def undo(self, number: int) -> Changes:
        """Returns the changes that restore all values as of revision ``number``; 0 is the empty store.

        Raises ``StoreError`` if the revision is no longer kept, or if one revision cannot hold the changes.
        """
        with self._translate_errors():
            self._check_undo(number)
            parameters = (number, MAX_REVISION_CHANGES + 1)
            changes: Changes = dict(self._connection.execute(_SELECT_UNDO, parameters))
            if len(changes) > MAX_REVISION_CHANGES:
                raise StoreError(
                    f"{self.path}: a revert to revision {number} requires more than {MAX_REVISION_CHANGES} "
                    "changes, the maximum of one revision"
                )
            return changes

    def fenced(self) -> bool:
        """Returns True if another process has opened the store after this one. Raises ``StoreError``."""
        with self._translate_errors():
            return self._read_number(EPOCH) != self.epoch

    def observe(self, epoch: int) -> None:
        """Records an epoch of another process, so that the next opening takes a higher one.

        Raises ``StoreError`` if the epoch is invalid or cannot be stored.
        """
        if not 0 <= epoch < NUMBER_LIMIT - 1:
            raise StoreError(f"{self.path}: {epoch} is not a valid epoch")
        if epoch <= self.epoch:
            return  # the next opening takes a higher epoch in any case
        with self._translate_errors(), self._transaction():
            self._write_number(OBSERVED_EPOCH, max(epoch, self._read_number(OBSERVED_EPOCH)))

    # Statements

    def _check_undo(self, number: int) -> None:
        oldest = self._query_int(_SELECT_OLDEST_NUMBER)
        last = self.position.number
        if not 0 <= number <= last:
            raise StoreError(f"{self.path}: there is no revision {number}; the last one is {last}")
        if number < last and (oldest is None or number < oldest - 1):
            raise StoreError(
                f"{self.path}: revision {number} is too old to revert to; "
                f"the oldest kept revision is {oldest}"
            )

    def _insert_revision(self, target: Position, changes: Changes, metadata: RevisionMetadata) -> None:
        execute = self._connection.execute
        number = target.number
        execute(
            _INSERT_REVISION,
            (number, target.epoch, metadata.at, metadata.author, metadata.note, metadata.ticket),
        )
        for key, value in changes.items():
            execute(_INSERT_CHANGE, (number, key, value))  # first, since it copies the previous value
            if value is None:
                execute(_DELETE_ENTRY, (key,))
            else:
                execute(_SET_ENTRY, (key, value))
        last_deleted = number - self._max_kept_revisions
        execute(_DELETE_OLD_CHANGES, (last_deleted,))
        execute(_DELETE_OLD_REVISIONS, (last_deleted,))

    def _position_by_ticket(self, ticket: str) -> Position | None:
        row = self._connection.execute(_SELECT_BY_TICKET, (ticket,)).fetchone()
        return None if row is None else Position(*row)

    def _changes_of(self, number: int) -> Changes:
        return dict(self._connection.execute(_SELECT_CHANGES, (number,)).fetchall())

    def _latest_position(self) -> Position:
        row = self._connection.execute(_SELECT_LATEST).fetchone()
        return START if row is None else Position(*row)

    def _read_number(self, name: str) -> int:
        value = self._query_int(_SELECT_NUMBER, name)
        if value is None:
            raise StoreError(f"{self.path}: the store is damaged: it has no {name}")
        return value

    def _write_number(self, name: str, value: int) -> None:
        self._connection.execute(_SET_NUMBER, (name, value))

    def _query_int(self, statement: str, *parameters: object) -> int | None:
        row = self._connection.execute(statement, parameters).fetchone()
        if row is None or row[0] is None:
            return None
        if not isinstance(row[0], int):
            raise StoreError(f"{self.path}: the store is damaged: {statement!r} does not return an integer")
        return row[0]

    @contextlib.contextmanager
    def _transaction(self) -> Iterator[None]:
        """Commits the changes of the ``with`` block, or rolls them all back on an exception."""
        self._connection.execute("BEGIN IMMEDIATE")
        try:
            yield
        except BaseException:
            self._roll_back()
            raise
        try:
            self._connection.execute("COMMIT")
        except sqlite3.Error:
            self._roll_back()
            self._overwrite_failed_commit()
            raise

    def _roll_back(self) -> None:
        if self._connection.in_transaction:  # SQLite rolls back by itself on some errors, such as a full disk
            with contextlib.suppress(sqlite3.Error):
                self._connection.execute("ROLLBACK")

    def _overwrite_failed_commit(self) -> None:
        """Overwrites a transaction whose commit failed with a transaction that has no effect.

        If only the sync failed, the write-ahead log may hold the complete failed transaction, and if the
        process is killed, the next opening would treat it as committed. The new transaction overwrites it in
        the log even if it cannot be synced either.
        """
        with contextlib.suppress(sqlite3.Error):
            self._connection.execute("BEGIN IMMEDIATE")
            for difference in (1, -1):  # SQLite does not write a page whose values are unchanged
                self._connection.execute(_ADD_TO_NUMBERS, (difference,))
            self._connection.execute("COMMIT")
        self._roll_back()

    @contextlib.contextmanager
    def _translate_errors(self) -> Iterator[None]:
        """Converts errors of SQLite to ``StoreError`` with a one-line message."""
        try:
            yield
        except sqlite3.Error as error:
            # Errors raised by the Python module itself, such as for a closed connection, have no error name.
            name = getattr(error, "sqlite_errorname", "")
            hint = "; free disk space to store revisions again" if name == "SQLITE_FULL" else ""
            raise StoreError(f"{self.path}: the store failed: {error}{hint}") from None


def _check_metadata(metadata: RevisionMetadata) -> None:
    """Raises ``RevisionError`` if a text is longer than its limit, or the ticket is empty."""
    for name, text, limit in (
        ("author", metadata.author, MAX_AUTHOR_LENGTH),
        ("note", metadata.note, MAX_NOTE_LENGTH),
    ):
        if len(text) > limit:
            raise RevisionError(f"{name}: must have at most {limit} characters")
    if not 0 < len(metadata.ticket) <= MAX_TICKET_LENGTH:
        raise RevisionError(f"ticket: must have 1 to {MAX_TICKET_LENGTH} characters")
