"""``ironmill config``: pushes changes, waits until they are applied everywhere, shows status and history.

A control machine is called at the address of its admin API. A push whose response is lost is repeated with
its ticket, which the origin stores once.
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

CALL_TIMEOUT_S = 2.0  # the process answers within one second
MAX_ATTEMPTS = 5  # of a push whose response is lost
RETRY_INTERVAL_S = 0.3
POLL_INTERVAL_S = 0.2  # of the status, while waiting
MAX_RESPONSE_BYTES = 16 << 20

Address = tuple[str, int]
Sleep = Callable[[float], object]


class ConfigError(IronmillError):
    """A command that cannot be carried out, or was rejected. The message has one line."""


class LostResponseError(ConfigError):
    """A call without a response. If it was ``sent`` it may have had its effect."""

    def __init__(self, text: str, *, sent: bool) -> None:
        """``sent``: the connection was established, so the call may have been received."""
        super().__init__(text)
        self.sent = sent


class ApiResult(Struct, frozen=True):
    """Status and JSON of one response."""

    status: int
    content: dict[str, Any]

    def reason(self, default: str) -> str:
        """Returns the reason that the response gives."""
        return str(self.content.get("reason", default))


class Authorship(Struct, frozen=True):
    """Who changes the configuration, and why. ``expect``: the required latest position; empty: any."""

    author: str
    note: str = ""
    expect: str = ""

    def check(self) -> None:
        """Raises ``ConfigError`` if the expected position is malformed."""
        if self.expect:
            to_position(self.expect)


def call(address: Address, method: str, path: str, body: Mapping[str, object] | None = None) -> ApiResult:
    """Calls the admin API. Raises ``LostResponseError`` without a response, ``ConfigError`` if it is none."""
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
        raise ConfigError(f"{host}:{port} answers something else: {error}") from None
    return ApiResult(response.status, content)


def read_changes(words: Sequence[str], file: str | None) -> dict[str, str | None]:
    """Reads KEY=VALUE and KEY- of the command line, and a file's JSON object. Raises ``ConfigError``."""
    changes = {} if file is None else _read_changes_file(file)
    for word in words:
        key, equals, value = word.partition("=")
        if not equals and key.endswith("-"):
            key = key[:-1]
        elif not equals:
            raise ConfigError(f"{word!r} is no change; it is KEY=VALUE, or KEY- to delete the key")
        if key in changes:
            raise ConfigError(f"{key!r} is changed twice")
        changes[key] = value if equals else None
    if not changes:
        raise ConfigError("there is no change; it is KEY=VALUE, KEY- or --file=JSON")
    return changes


def _read_changes_file(file: str) -> dict[str, str | None]:
    try:
        return msgspec.json.decode(Path(file).read_bytes(), type=dict[str, str | None])
    except OSError as error:
        raise ConfigError(f"{file}: {error.strerror}") from None
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise ConfigError(f"{file}: is no JSON object of keys and texts, or null: {error}") from None


def push(
    address: Address, changes: Mapping[str, str | None], authorship: Authorship, sleep: Sleep = time.sleep
) -> Position:
    """Pushes the changes and returns their position.

    Raises ``ConfigError``, whose message says if it is unknown whether the revision was stored.
    """
    authorship.check()
    return _write(address, REVISIONS_PATH, {"changes": changes}, authorship, sleep)


def revert(address: Address, revision: str, authorship: Authorship, sleep: Sleep = time.sleep) -> Position:
    """Restores the values as of a revision, given as number or position. Raises as ``push`` does."""
    authorship.check()
    number = revision.rpartition(".")[2]
    if not (number.isascii() and number.isdigit() and len(number) <= 19):
        raise ConfigError(f"{revision!r} is no revision; it is its number, as in 17 or 3.17")
    return _write(address, REVERT_PATH, {"number": int(number)}, authorship, sleep)


def _write(
    address: Address, path: str, content: Mapping[str, object], authorship: Authorship, sleep: Sleep
) -> Position:
    """Calls with one ticket until there is a response, at most ``MAX_ATTEMPTS`` times."""
    body = {
        **content,
        "author": authorship.author,
        "note": authorship.note,
        "expect": authorship.expect,
        "ticket": secrets.token_hex(16),
    }
    lost: LostResponseError | None = None
    sent = False
    for _ in range(MAX_ATTEMPTS):
        if lost is not None:
            sleep(RETRY_INTERVAL_S)
        try:
            return _position_of(call(address, "POST", path, body))
        except LostResponseError as error:
            lost = error
            sent = sent or error.sent
    outcome = "it is not known whether it was kept" if sent else "nothing was kept"
    raise ConfigError(f"{lost}; tried {MAX_ATTEMPTS} times, and {outcome}")


def _position_of(result: ApiResult) -> Position:
    """The position of a revision that was stored. Raises ``ConfigError`` if it was not."""
    if result.status == 201:
        return to_position(result.content.get("position"))
    reason = result.reason(f"the answer is {result.status}")
    if result.status == 409:
        raise ConfigError(f"refused: {result.content.get('key', '')}: {reason}")
    raise ConfigError(f"not taken: {reason}")


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
        raise ConfigError(f"{address[0]}:{address[1]} answers something else: {error}") from None


def history(address: Address, max_count: str) -> Iterator[str]:
    """Yields the last revisions as lines of text, the newest first. Raises ``ConfigError``."""
    if not (max_count.isascii() and max_count.isdigit() and len(max_count) <= 6):
        raise ConfigError(f"{max_count!r} is no number of revisions")
    result = call(address, "GET", f"{REVISIONS_PATH}?most={int(max_count)}")
    if result.status != 200:
        raise ConfigError(result.reason(f"the answer is {result.status}"))
    try:
        page = msgspec.convert(result.content, HistoryBody)
    except msgspec.ValidationError as error:
        raise ConfigError(f"{address[0]}:{address[1]} answers something else: {error}") from None
    for revision in page.revisions:
        when = time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime(revision.at))
        author, note = printable(revision.author), printable(revision.note)
        yield f"{revision.position}  {when}  {author}  {note}".rstrip()
        for key, value in revision.changes.items():
            yield f"  {printable(key)}-" if value is None else f"  {printable(key)}={printable(value)}"
    if page.cut:
        yield "and older ones, which are too large for one answer"


def wait(
    address: Address,
    position: Position,
    within_s: float,
    sleep: Sleep = time.sleep,
    clock: Callable[[], float] = time.monotonic,
) -> Generator[str, None, int]:
    """Polls until the position is applied everywhere. Yields lines of text and returns the exit status.

    0: it is applied everywhere. 1: not in time, and the lines name the lagging nodes. Raises ``ConfigError``
    if no process answered.
    """
    deadline = clock() + within_s
    last: NodeStatus | None = None
    while True:
        try:
            last = status(address)
        except LostResponseError:
            if last is None and clock() >= deadline:
                raise
        else:
            verdict = _verdict(last, position)
            if verdict is not None:
                yield verdict.line
                return verdict.exit_status
        if clock() >= deadline:
            break
        sleep(POLL_INTERVAL_S)
    assert last is not None
    yield f"{position} is not in force everywhere after {within_s:g}s; the lowest is {last.lowest_position}"
    yield from lagging_lines(last)
    return 1


class Verdict(Struct, frozen=True):
    """The end of a wait."""

    exit_status: int
    line: str


def _verdict(current: NodeStatus, position: Position) -> Verdict | None:
    """The end of a wait for the position, None if it goes on. Raises ``ConfigError``."""
    if current.role != "origin":
        raise ConfigError(f"{current.name} is a {current.role}; only the origin knows of all proxies")
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
    except (KeyError, OSError):  # a user without a name
        return "unknown"


def to_position(text: object) -> Position:
    """Parses EPOCH.NUMBER. Raises ``ConfigError``."""
    try:
        return read_position(str(text))
    except ValueError as error:
        raise ConfigError(str(error)) from None
