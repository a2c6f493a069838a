"""``ironmill config``: pushes changes, waits until they are applied everywhere, shows status and history.

The commands call the admin API of a control machine. A push whose response is lost is repeated with the same
ticket, and the origin stores a ticket only once.
"""

from __future__ import annotations

import getpass
import http.client
import secrets
import time
from collections.abc import Callable, Generator, Iterator, Mapping, Sequence
from pathlib import Path
from typing import Any

import msgspec
from msgspec import Struct

from ironmill.administration.configuration_api import (
    REVERT_PATH,
    REVISIONS_PATH,
    STATUS_PATH,
    HistoryBody,
    read_position,
)
from ironmill.commands.config_status import NodeStatus, lagging_lines, printable
from ironmill.distribution.revision import Position
from ironmill.errors import IronmillError

CALL_TIMEOUT_S = 2.0  # the admin API responds within one second
MAX_ATTEMPTS = 5  # calls of one push or revert, which is repeated if its response is lost
RETRY_INTERVAL_S = 0.3
POLL_INTERVAL_S = 0.2  # between two requests of the status while waiting
MAX_RESPONSE_BYTES = 16 << 20

Address = tuple[str, int]
Sleep = Callable[[float], object]


class ConfigError(IronmillError):
    """Raised if a command cannot be carried out or was rejected. The message is one line."""


class LostResponseError(ConfigError):
    """Raised if a call gets no response. If ``sent`` is true the call may have taken effect."""

    def __init__(self, message: str, *, sent: bool) -> None:
        """Creates the error; ``sent`` is True if a connection was established before the failure."""
        super().__init__(message)
        self.sent = sent


class ApiResult(Struct, frozen=True):
    """The HTTP status and the JSON object of one response."""

    status: int
    content: dict[str, Any]

    def reason(self, default: str) -> str:
        """Returns the reason in the response, or the default if there is none."""
        return str(self.content.get("reason", default))


class Authorship(Struct, frozen=True):
    """Who changes the configuration, and why.

    ``expect`` is the latest position that the origin must have for the change to be stored; empty means any.
    """

    author: str
    note: str = ""
    expect: str = ""

    def check(self) -> None:
        """Raises ``ConfigError`` if the expected position is malformed."""
        if self.expect:
            to_position(self.expect)


def call(address: Address, method: str, path: str, body: Mapping[str, object] | None = None) -> ApiResult:
    """Calls the admin API and returns its response.

    Raises ``LostResponseError`` if there is no response, ``ConfigError`` if it is not a JSON object or if the
    process has no distribution.
    """
    host, port = address
    connection = http.client.HTTPConnection(host, port, timeout=CALL_TIMEOUT_S)
    sent = False
    try:
        connection.connect()
        sent = True
        connection.request(method, path, None if body is None else msgspec.json.encode(body))
        response = connection.getresponse()
        data = response.read(MAX_RESPONSE_BYTES)
    except (OSError, http.client.HTTPException) as error:
        raise LostResponseError(f"{host}:{port} does not answer: {error}", sent=sent) from None
    finally:
        connection.close()
    if response.status == 404:
        raise ConfigError(f"the process at {host}:{port} has no distribution in its settings")
    try:
        content = msgspec.json.decode(data, type=dict[str, Any]) if data else {}
    except msgspec.DecodeError as error:
        raise ConfigError(f"{host}:{port} sent an unexpected response: {error}") from None
    return ApiResult(response.status, content)


def read_changes(arguments: Sequence[str], file: str | None) -> dict[str, str | None]:
    """Returns the changes of KEY=VALUE and KEY- arguments and of a JSON file. Raises ``ConfigError``."""
    changes = {} if file is None else _read_changes_file(file)
    for argument in arguments:
        key, equals, value = argument.partition("=")
        if not equals and key.endswith("-"):
            key = key[:-1]
        elif not equals:
            raise ConfigError(f"{argument!r} is not a change; expected KEY=VALUE, or KEY- to delete the key")
        if key in changes:
            raise ConfigError(f"{key!r} is changed twice")
        changes[key] = value if equals else None
    if not changes:
        raise ConfigError("there is no change; expected KEY=VALUE, KEY- or --file=JSON")
    return changes


def _read_changes_file(file: str) -> dict[str, str | None]:
    try:
        return msgspec.json.decode(Path(file).read_bytes(), type=dict[str, str | None])
    except OSError as error:
        raise ConfigError(f"{file}: {error.strerror}") from None
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise ConfigError(
            f"{file}: expected a JSON object whose values are strings or null: {error}"
        ) from None


def push(
    address: Address, changes: Mapping[str, str | None], authorship: Authorship, sleep: Sleep = time.sleep
) -> Position:
    """Pushes the changes and returns their position.

    Raises ``ConfigError``; its message says if it is unknown whether the revision was stored.
    """
    authorship.check()
    return _write(address, REVISIONS_PATH, {"changes": changes}, authorship, sleep)


def revert(address: Address, revision: str, authorship: Authorship, sleep: Sleep = time.sleep) -> Position:
    """Restores the values of a revision, given by number or position. Raises the same errors as ``push``."""
    authorship.check()
    number = revision.rpartition(".")[2]
    if not (number.isascii() and number.isdigit() and len(number) <= 19):
        raise ConfigError(
            f"{revision!r} is not a revision; expected a number or a position, for example 17 or 3.17"
        )
    return _write(address, REVERT_PATH, {"number": int(number)}, authorship, sleep)


def _write(
    address: Address, path: str, content: Mapping[str, object], authorship: Authorship, sleep: Sleep
) -> Position:
    """Repeats a call with the same ticket until there is a response, at most ``MAX_ATTEMPTS`` times."""
    body = {
        **content,
        "author": authorship.author,
        "note": authorship.note,
        "expect": authorship.expect,
        "ticket": secrets.token_hex(16),
    }
    last_error: LostResponseError | None = None
    sent = False
    for _ in range(MAX_ATTEMPTS):
        if last_error is not None:
            sleep(RETRY_INTERVAL_S)
        try:
            return _position_of(call(address, "POST", path, body))
        except LostResponseError as error:
            last_error = error
            sent = sent or error.sent
    outcome = "it is unknown whether the revision was stored" if sent else "no revision was stored"
    raise ConfigError(f"{last_error}; tried {MAX_ATTEMPTS} times, and {outcome}")


def _position_of(result: ApiResult) -> Position:
    """Returns the position of the stored revision. Raises ``ConfigError`` if none was stored."""
    if result.status == 201:
        return to_position(result.content.get("position"))
    reason = result.reason(f"the HTTP status is {result.status}")
    if result.status == 409:
        raise ConfigError(f"refused: {result.content.get('key', '')}: {reason}")
    raise ConfigError(f"not accepted: {reason}")


def fetch_status(address: Address) -> dict[str, Any]:
    """Returns the status of a process as the JSON of its admin API. Raises ``ConfigError``."""
    result = call(address, "GET", STATUS_PATH)
    if result.status != 200:
        raise ConfigError(f"{address[0]}:{address[1]} answers {result.status}: {result.reason('')}")
    return result.content


def status(address: Address) -> NodeStatus:
    """Returns the status of a process and of the nodes below it. Raises ``ConfigError``."""
    try:
        return NodeStatus.from_json(fetch_status(address))
    except msgspec.ValidationError as error:
        raise ConfigError(f"{address[0]}:{address[1]} sent an unexpected response: {error}") from None


def history(address: Address, max_count: str) -> Iterator[str]:
    """Yields the last revisions as lines of text, the newest first. Raises ``ConfigError``."""
    if not (max_count.isascii() and max_count.isdigit() and len(max_count) <= 6):
        raise ConfigError(f"{max_count!r} is not a number of revisions; expected 1 to 6 digits")
    result = call(address, "GET", f"{REVISIONS_PATH}?most={int(max_count)}")
    if result.status != 200:
        raise ConfigError(result.reason(f"the HTTP status is {result.status}"))
    try:
        page = msgspec.convert(result.content, HistoryBody)
    except msgspec.ValidationError as error:
        raise ConfigError(f"{address[0]}:{address[1]} sent an unexpected response: {error}") from None
    for revision in page.revisions:
        time_text = time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime(revision.at))
        author, note = printable(revision.author), printable(revision.note)
        yield f"{revision.position}  {time_text}  {author}  {note}".rstrip()
        for key, value in revision.changes.items():
            yield f"  {printable(key)}-" if value is None else f"  {printable(key)}={printable(value)}"
    if page.cut:
        yield "older revisions are left out: one response has no room for them"


def wait(
    address: Address,
    position: Position,
    within_s: float,
    sleep: Sleep = time.sleep,
    clock: Callable[[], float] = time.monotonic,
) -> Generator[str, None, int]:
    """Polls until the position is applied everywhere. Yields lines of text and returns the exit status.

    The status is 0 if the position is applied everywhere, and 1 if it is not applied in time or is not in
    the history of the origin. If the time has run out, the lines name the lagging nodes. Raises
    ``ConfigError`` if there was no response or the process is not the origin.
    """
    deadline = clock() + within_s
    last_status: NodeStatus | None = None
    while True:
        try:
            last_status = status(address)
        except LostResponseError:
            if last_status is None and clock() >= deadline:
                raise
        else:
            verdict = _verdict(last_status, position)
            if verdict is not None:
                yield verdict.line
                return verdict.exit_status
        if clock() >= deadline:
            break
        sleep(POLL_INTERVAL_S)
    assert last_status is not None
    yield (
        f"{position} is not in force everywhere after {within_s:g}s; "
        f"the lowest is {last_status.lowest_position}"
    )
    yield from lagging_lines(last_status)
    return 1


class Verdict(Struct, frozen=True):
    """The result of a wait: the exit status and the line to print."""

    exit_status: int
    line: str


def _verdict(current: NodeStatus, position: Position) -> Verdict | None:
    """Returns the result of a wait for the position, None if the wait goes on. Raises ``ConfigError``."""
    if current.role != "origin":
        raise ConfigError(
            f"{current.name} is a {current.role}; only the origin has the status of all proxies"
        )
    received = to_position(current.received_position)
    if received > position and received.number < position.number:
        line = f"{position} is not in the history of {current.name}, which is at {received}"
        return Verdict(1, line)
    try:
        applied = current.is_applied_everywhere(position)
    except ValueError as error:
        raise ConfigError(str(error)) from None
    return Verdict(0, f"{position} is in force everywhere") if applied else None


def current_user() -> str:
    """Returns the name of the user who runs the command."""
    try:
        return getpass.getuser()
    except (KeyError, OSError):  # the user id has no name
        return "unknown"


def to_position(text: object) -> Position:
    """Parses EPOCH.NUMBER. Raises ``ConfigError``."""
    try:
        return read_position(str(text))
    except ValueError as error:
        raise ConfigError(str(error)) from None
