"""The admin API of distributed configuration: status, history, push and revert. No I/O.

Push and revert requests carry a ticket as idempotency key, so a client that got no response may retry.
"""

from __future__ import annotations

import re
import time
from collections.abc import Callable, Sequence
from http import HTTPStatus
from typing import Annotated, Protocol, TypeVar
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
from ironmill.errors import IronmillError

STATUS_PATH = "/admin/configuration"
REVISIONS_PATH = "/admin/configuration/revisions"
REVERT_PATH = "/admin/configuration/revert"

MAX_HISTORY = 1000  # revisions in one response
DEFAULT_HISTORY = 20
# Limit on the keys and values in one response. The newest revision is always included, even if it is larger.
MAX_HISTORY_BYTES = 1 << 20
MAX_POSITION_LENGTH = 40


class StatusSource(Protocol):
    """A node of configuration distribution."""

    def status(self, now: float) -> object:
        """Returns the node's status; if the node is a parent, also that of its descendants."""


class RevisionWriter(Protocol):
    """The origin, which stores revisions. An implementation also sends the datagrams that a push causes."""

    def push(
        self, changes: Changes, metadata: RevisionMetadata, now: float, expect: Position | None = None
    ) -> Position:
        """Stores the changes as the next revision and returns its position.

        If the ticket was used before, stores nothing and returns the position of that revision. Raises
        ``RevisionError``, ``RevisionRejectedError``, ``PositionConflictError``, ``NotOriginError`` or
        ``StoreError`` if nothing was stored.
        """

    def undo(self, number: int) -> Changes:
        """Returns the changes that restore all values as of revision ``number``. Raises ``StoreError``."""

    def history(self, max_count: int) -> list[StoredRevision]:
        """Returns the latest revisions, newest first. Raises ``StoreError``."""


_Author = Annotated[str, Meta(min_length=1, max_length=MAX_AUTHOR_LENGTH)]
_Note = Annotated[str, Meta(max_length=MAX_NOTE_LENGTH)]
_Ticket = Annotated[str, Meta(min_length=1, max_length=MAX_TICKET_LENGTH)]
_Expect = Annotated[str, Meta(max_length=MAX_POSITION_LENGTH)]


class PushBody(Struct, forbid_unknown_fields=True, kw_only=True):
    """Body of a push request. A key whose value is null is deleted."""

    changes: dict[str, str | None]
    author: _Author
    note: _Note = ""
    ticket: _Ticket
    expect: _Expect = ""  # the position that the latest revision must have; empty: any


class RevertBody(Struct, forbid_unknown_fields=True, kw_only=True):
    """Body of a revert request, which stores a new revision that restores the values as of an earlier one."""

    number: Annotated[int, Meta(ge=0, lt=NUMBER_LIMIT)]
    author: _Author
    note: _Note = ""
    ticket: _Ticket
    expect: _Expect = ""


class PositionBody(Struct):
    """Response to a successful push or revert."""

    position: str


class RejectionBody(Struct):
    """Response to a push or revert whose changes no proxy could apply."""

    key: str
    reason: str


class ReasonBody(Struct):
    """Response to a request that failed."""

    reason: str


class NotOriginBody(Struct):
    """Response of a process that is not the origin, with the names of the possible origins."""

    reason: str
    origins: list[str]


class RevisionBody(Struct):
    """One revision in a history response."""

    position: str
    at: float  # Unix time, seconds
    author: str
    note: str
    changes: dict[str, str | None]

    @classmethod
    def from_revision(cls, revision: StoredRevision) -> RevisionBody:
        """Returns the body for a revision. Bytes of values that are not UTF-8 are escaped."""
        changes = {
            key: None if value is None else value.decode(errors="backslashreplace")
            for key, value in revision.changes.items()
        }
        return cls(str(revision.position), revision.at, revision.author, revision.note, changes)


class HistoryBody(Struct):
    """Response with the history. ``cut`` is True if older revisions were omitted for lack of room."""

    revisions: list[RevisionBody]
    cut: bool


_Body = TypeVar("_Body", PushBody, RevertBody)


class InvalidCallError(IronmillError):
    """Raised if the query or body of a request is not valid. The message has one line."""


def read_position(text: str) -> Position:
    """Parses a position of the form EPOCH.NUMBER. Raises ``ValueError``."""
    if re.fullmatch(r"[0-9]{1,19}\.[0-9]{1,19}", text, re.ASCII) is None:
        raise ValueError(f"{text!r} is not a position; expected EPOCH.NUMBER, as in 3.17")
    epoch, _, number = text.partition(".")
    return Position(int(epoch), int(number))


class ConfigurationApi:
    """Handlers of the routes. Without a writer, push, revert and history return the names of the origins."""

    def __init__(
        self,
        source: StatusSource,
        writer: RevisionWriter | None,
        origins: Sequence[str],
        clock: Callable[[], float] = time.time,
        now: Callable[[], float] = time.monotonic,
    ) -> None:
        """Creates the handlers.

        ``writer`` is None if this process is not the origin. ``origins`` are the names of the control
        machines that may be the origin. ``clock`` returns wall clock time and ``now`` monotonic time, in
        seconds.
        """
        self._source = source
        self._writer = writer
        self._origins = origins
        self._clock = clock
        self._now = now

    def add_to(self, routes: Routes) -> None:
        """Adds the routes of this API."""
        routes.add(STATUS_PATH, {"GET": self._status})
        routes.add(REVISIONS_PATH, {"GET": self._history, "POST": self._push}, with_content=True)
        routes.add(REVERT_PATH, {"POST": self._revert}, with_content=True)

    def _status(self, _: ApiRequest) -> ApiResponse:
        return ApiResponse.from_json(HTTPStatus.OK, self._source.status(self._now()))

    # Push and revert

    def _push(self, request: ApiRequest) -> ApiResponse:
        def push(writer: RevisionWriter) -> Position:
            body = _decode(request, PushBody)
            try:
                changes = {key: None if text is None else text.encode() for key, text in body.changes.items()}
            except UnicodeEncodeError:
                raise InvalidCallError("the body has a value that is not UTF-8") from None
            return self._store(writer, changes, body)

        return self._write(push)

    def _revert(self, request: ApiRequest) -> ApiResponse:
        def revert(writer: RevisionWriter) -> Position:
            body = _decode(request, RevertBody)
            changes = writer.undo(body.number)
            try:
                return self._store(writer, changes, body)
            except RevisionError:
                if changes:
                    raise
                # This is not a repeated request: for a known ticket, the push returns the stored position.
                raise InvalidCallError(
                    f"there is nothing to revert: all is as it was at {body.number}"
                ) from None

        return self._write(revert)

    def _store(self, writer: RevisionWriter, changes: Changes, body: PushBody | RevertBody) -> Position:
        for name, text in (("author", body.author), ("note", body.note), ("ticket", body.ticket)):
            # Control characters could alter the terminal that shows the history.
            if not text.isprintable():
                raise InvalidCallError(f"{name} must contain only printable characters")
        try:
            expected_position = read_position(body.expect) if body.expect else None
        except ValueError as error:
            raise InvalidCallError(f"expect: {error}") from None
        metadata = RevisionMetadata(self._clock(), body.author, body.note, body.ticket)
        return writer.push(changes, metadata, self._now(), expected_position)

    def _write(self, operation: Callable[[RevisionWriter], Position]) -> ApiResponse:
        """Runs an operation of the writer and maps its errors to responses."""
        if self._writer is None:
            return self._not_origin()
        try:
            position = operation(self._writer)
        except RevisionRejectedError as error:
            rejection = RejectionBody(error.rejection.key, error.rejection.reason)
            return ApiResponse.from_json(HTTPStatus.CONFLICT, rejection)
        except (NotOriginError, FencedError) as error:
            return self._not_origin(str(error))
        except (InvalidCallError, RevisionError, PositionConflictError, StoreError) as error:
            return ApiResponse.from_json(_status_of(error), ReasonBody(str(error)))
        return ApiResponse.from_json(HTTPStatus.CREATED, PositionBody(str(position)))

    def _not_origin(self, reason: str = "this process is no origin") -> ApiResponse:
        origins = " or ".join(self._origins) or "not known here"
        body = NotOriginBody(f"{reason}; the origin is {origins}", list(self._origins))
        return ApiResponse.from_json(HTTPStatus.SERVICE_UNAVAILABLE, body)

    # History

    def _history(self, request: ApiRequest) -> ApiResponse:
        if self._writer is None:
            return self._not_origin()
        try:
            revisions = self._writer.history(_max_count(request))
        except (InvalidCallError, StoreError) as error:
            return ApiResponse.from_json(_status_of(error), ReasonBody(str(error)))
        return ApiResponse.from_json(HTTPStatus.OK, _history_body(revisions))


def _status_of(error: IronmillError) -> HTTPStatus:
    if isinstance(error, StoreError):
        return HTTPStatus.SERVICE_UNAVAILABLE
    if isinstance(error, PositionConflictError):
        return HTTPStatus.PRECONDITION_FAILED
    return HTTPStatus.BAD_REQUEST


def _max_count(request: ApiRequest) -> int:
    """Returns the number of revisions that the query requests. Raises ``InvalidCallError``."""
    text = parse_qs(request.query, max_num_fields=8).get("most", [str(DEFAULT_HISTORY)])[-1]
    if re.fullmatch(r"[0-9]{1,6}", text, re.ASCII) is None:
        raise InvalidCallError(f"most is no number: {text[:20]!r}")
    return min(int(text), MAX_HISTORY)


def _history_body(revisions: Sequence[StoredRevision]) -> HistoryBody:
    bodies: list[RevisionBody] = []
    size = 0
    for revision in revisions:
        size += sum(len(key) + len(value or b"") for key, value in revision.changes.items())
        if bodies and size > MAX_HISTORY_BYTES:
            break
        bodies.append(RevisionBody.from_revision(revision))
    return HistoryBody(bodies, len(bodies) < len(revisions))


def _decode(request: ApiRequest, body_type: type[_Body]) -> _Body:
    """Decodes the body of a request. Raises ``InvalidCallError``."""
    try:
        return msgspec.json.decode(request.body, type=body_type)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise InvalidCallError(f"the body is not right: {str(error).splitlines()[0]}") from None
