"""Staff's calls on distributed configuration: push, revert, status and history. No I/O.

A call that pushes brings a ticket, so that who lost the answer asks again and nothing is done twice.
"""

from __future__ import annotations

import re
import time
from collections.abc import Callable, Sequence
from http import HTTPStatus
from typing import Annotated, Any, Protocol, TypeVar
from urllib.parse import parse_qs

import msgspec
from msgspec import Meta, Struct

from ironmill.administration.messages import ApiRequest, ApiResponse
from ironmill.administration.routes import Routes
from ironmill.distribution.changes import Changes
from ironmill.distribution.errors import (
    FencedError,
    NotOriginError,
    PositionConflictError,
    RevisionError,
    RevisionRejectedError,
    StoreError,
)
from ironmill.distribution.revision import (
    MAX_AUTHOR_LENGTH,
    MAX_NOTE_LENGTH,
    MAX_TICKET_LENGTH,
    NUMBER_LIMIT,
    Position,
    RevisionMetadata,
    StoredRevision,
)

STATUS = "/admin/configuration"
REVISIONS = "/admin/configuration/revisions"
REVERT = "/admin/configuration/revert"

MAX_HISTORY = 1000  # revisions in one answer
DEFAULT_HISTORY = 20
MAX_HISTORY_BYTES = 1 << 20  # of their keys and values in one answer; the newest is there however large it is


class Reader(Protocol):
    """Whoever takes part in distribution."""

    def status(self, now: float) -> dict[str, Any]:
        """What it holds and what is in force; where it is a parent, below it as well."""


class Writer(Protocol):
    """The origin, as calls see it; whoever is behind it also sends what there is to be sent."""

    def push(
        self, changes: Changes, metadata: RevisionMetadata, now: float, expect: Position | None = None
    ) -> Position:
        """Keep the changes as the next revision; its position, or the one that the ticket got before.

        RevisionError, RevisionRejectedError, PositionConflictError, NotOriginError, StoreError: then nothing
        was kept.
        """

    def undo(self, number: int) -> Changes:
        """What brings every key back to its value as of that revision. StoreError."""

    def history(self, max_count: int) -> list[StoredRevision]:
        """The last revisions, the newest first. StoreError."""


_Author = Annotated[str, Meta(min_length=1, max_length=MAX_AUTHOR_LENGTH)]
_Note = Annotated[str, Meta(max_length=MAX_NOTE_LENGTH)]
_Ticket = Annotated[str, Meta(min_length=1, max_length=MAX_TICKET_LENGTH)]
_Expect = Annotated[str, Meta(max_length=40)]


class Push(Struct, forbid_unknown_fields=True, kw_only=True):
    """The body of a call that pushes. A key without a value is deleted."""

    changes: dict[str, str | None]
    author: _Author
    note: _Note = ""
    ticket: _Ticket
    expect: _Expect = ""  # what the newest revision has to be; empty: whatever it is


class Revert(Struct, forbid_unknown_fields=True, kw_only=True):
    """The body of a call that goes back to what was in force as of a revision, by a new one."""

    number: Annotated[int, Meta(ge=0, lt=NUMBER_LIMIT)]
    author: _Author
    note: _Note = ""
    ticket: _Ticket
    expect: _Expect = ""


_Body = TypeVar("_Body", Push, Revert)


class _CallError(Exception):
    """A call that is not in form; one line."""


def read_position(text: str) -> Position:
    """EPOCH.NUMBER; ValueError if it is none."""
    if re.fullmatch(r"[0-9]{1,19}\.[0-9]{1,19}", text, re.ASCII) is None:
        raise ValueError(f"{text!r} is no position; it is EPOCH.NUMBER, as in 3.17")
    epoch, _, number = text.partition(".")
    return Position(int(epoch), int(number))


class ConfigurationApi:
    """Answers them; without a writer those that write are told who could."""

    def __init__(
        self,
        reader: Reader,
        writer: Writer | None,
        origins: Sequence[str],
        clock: Callable[[], float] = time.time,
        now: Callable[[], float] = time.monotonic,
    ) -> None:
        """``origins`` are the control machines that may hold the order of changes, by name."""
        self._reader = reader
        self._writer = writer
        self._origins = origins
        self._clock = clock
        self._now = now

    def add_to(self, routes: Routes) -> None:
        """Take the calls from now on."""
        routes.add(STATUS, {"GET": self._status})
        routes.add(REVISIONS, {"GET": self._history, "POST": self._push}, detailed=True)
        routes.add(REVERT, {"POST": self._revert}, detailed=True)

    def _status(self, _: ApiRequest) -> ApiResponse:
        return _answer(HTTPStatus.OK, self._reader.status(self._now()))

    def _push(self, call: ApiRequest) -> ApiResponse:
        def push(writer: Writer) -> Position:
            told = _body(call, Push)
            try:
                changes = {key: None if text is None else text.encode() for key, text in told.changes.items()}
            except UnicodeEncodeError:
                raise _CallError("the body has a value that is not UTF-8") from None
            return self._keep(writer, changes, told)

        return self._written(push)

    def _revert(self, call: ApiRequest) -> ApiResponse:
        def revert(writer: Writer) -> Position:
            told = _body(call, Revert)
            changes = writer.undo(told.number)
            try:
                return self._keep(writer, changes, told)
            except RevisionError:
                if changes:
                    raise
                # A ticket that has reverted before gets its position again, and does not come here.
                raise _CallError(f"there is nothing to revert: all is as it was at {told.number}") from None

        return self._written(revert)

    def _keep(self, writer: Writer, changes: Changes, told: Push | Revert) -> Position:
        for name, text in (("author", told.author), ("note", told.note), ("ticket", told.ticket)):
            # Guards the terminals of those who look at the history.
            if not text.isprintable():
                raise _CallError(f"{name} has printable characters only")
        try:
            expect = read_position(told.expect) if told.expect else None
        except ValueError as error:
            raise _CallError(f"expect: {error}") from None
        metadata = RevisionMetadata(self._clock(), told.author, told.note, told.ticket)
        return writer.push(changes, metadata, self._now(), expect)

    def _history(self, call: ApiRequest) -> ApiResponse:
        if self._writer is None:
            return self._no_origin()
        words = parse_qs(call.query, max_num_fields=8).get("most", [str(DEFAULT_HISTORY)])[-1]
        if re.fullmatch(r"[0-9]{1,6}", words, re.ASCII) is None:
            return _reason(HTTPStatus.BAD_REQUEST, f"most is no number: {words[:20]!r}")
        most = min(int(words), MAX_HISTORY)
        try:
            entries = self._writer.history(most)
        except StoreError as error:
            return _reason(HTTPStatus.SERVICE_UNAVAILABLE, str(error))
        shown: list[dict[str, Any]] = []
        size = 0
        for entry in entries:
            size += sum(len(key) + len(value or b"") for key, value in entry.changes.items())
            if shown and size > MAX_HISTORY_BYTES:
                break
            shown.append(_entry(entry))
        return _answer(HTTPStatus.OK, {"revisions": shown, "cut": len(shown) < len(entries)})

    def _written(self, write: Callable[[Writer], Position]) -> ApiResponse:
        if self._writer is None:
            return self._no_origin()
        try:
            position = write(self._writer)
        except (_CallError, RevisionError) as error:
            return _reason(HTTPStatus.BAD_REQUEST, str(error))
        except RevisionRejectedError as error:
            rejection = error.rejection
            return _answer(HTTPStatus.CONFLICT, {"key": rejection.key, "reason": rejection.reason})
        except PositionConflictError as error:
            return _reason(HTTPStatus.PRECONDITION_FAILED, str(error))
        except (NotOriginError, FencedError) as error:
            return self._no_origin(str(error))
        except StoreError as error:
            return _reason(HTTPStatus.SERVICE_UNAVAILABLE, str(error))
        return _answer(HTTPStatus.CREATED, {"position": str(position)})

    def _no_origin(self, why: str = "this process is no origin") -> ApiResponse:
        who = " or ".join(self._origins) or "not known here"
        told = {"reason": f"{why}; the origin is {who}", "origins": list(self._origins)}
        return _answer(HTTPStatus.SERVICE_UNAVAILABLE, told)


def _body(call: ApiRequest, kind: type[_Body]) -> _Body:
    try:
        return msgspec.json.decode(call.body, type=kind)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise _CallError(f"the body is not right: {str(error).splitlines()[0]}") from None


def _entry(entry: StoredRevision) -> dict[str, Any]:
    changes = {
        key: None if value is None else value.decode(errors="backslashreplace")
        for key, value in entry.changes.items()
    }
    return {
        "position": str(entry.position),
        "at": entry.at,
        "author": entry.author,
        "note": entry.note,
        "changes": changes,
    }


def _reason(status: HTTPStatus, why: str) -> ApiResponse:
    return _answer(status, {"reason": why})


def _answer(status: HTTPStatus, told: dict[str, Any]) -> ApiResponse:
    return ApiResponse(status, msgspec.json.encode(told) + b"\n")
