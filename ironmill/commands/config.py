"""``ironmill config``: push changes, wait until they are in force everywhere, look at status and history.

A control machine is asked at its staff's address. A push whose answer is lost is sent again with its ticket,
which the origin keeps once however often it comes.
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

from ironmill.administration.configuration_api import REVERT_PATH, REVISIONS_PATH, STATUS_PATH, read_position
from ironmill.distribution.revision import Position

CALL_WAIT = 2.0  # seconds; the process answers within one
TRIES = 5  # of a push whose answer is lost
PAUSE = 0.3  # seconds between two of them
LOOK = 0.2  # between two looks whether a revision is in force everywhere
ANSWER_MOST = 16 << 20  # bytes; guards memory against an answer that is something else
NAMED = 50  # proxies, where not all are in force

Address = tuple[str, int]
Later = Callable[[float], object]


class ConfigError(Exception):
    """What was asked for is not to be had, or was not taken; one line."""


class LostError(ConfigError):
    """There was no answer, and if it was ``asked`` it may have done what it was to do."""

    def __init__(self, text: str, asked: bool) -> None:
        super().__init__(text)
        self.asked = asked


def call(
    address: Address, method: str, path: str, body: Mapping[str, object] | None = None
) -> tuple[int, dict[str, Any]]:
    """One call: the status, and what the answer holds. LostError where none comes."""
    host, port = address
    connection = http.client.HTTPConnection(host, port, timeout=CALL_WAIT)
    asked = False
    try:
        connection.connect()
        asked = True
        connection.request(method, path, None if body is None else msgspec.json.encode(body))
        answer = connection.getresponse()
        data = answer.read(ANSWER_MOST)
    except (OSError, http.client.HTTPException) as error:
        raise LostError(f"{host}:{port} does not answer: {error}", asked) from None
    finally:
        connection.close()
    if answer.status == 404:
        raise ConfigError(f"the process at {host}:{port} has no distribution in its settings")
    try:
        told = msgspec.json.decode(data, type=dict[str, Any]) if data else {}
    except msgspec.DecodeError as error:
        raise ConfigError(f"{host}:{port} answers something else: {error}") from None
    return answer.status, told


def read_changes(words: Sequence[str], file: str | None) -> dict[str, str | None]:
    """KEY=VALUE and KEY- of the command line, and a file's object of keys and texts or null."""
    changes: dict[str, str | None] = {}
    if file is not None:
        try:
            changes |= msgspec.json.decode(Path(file).read_bytes(), type=dict[str, str | None])
        except OSError as error:
            raise ConfigError(f"{file}: {error.strerror}") from None
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            raise ConfigError(f"{file}: is no JSON object of keys and texts, or null: {error}") from None
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


def push(
    address: Address,
    changes: Mapping[str, str | None],
    author: str,
    note: str,
    expect: str,
    later: Later = time.sleep,
) -> Position:
    """Have the changes kept; their position. ConfigError says why not, or that it is not known."""
    if expect:
        to_position(expect)
    body: dict[str, object] = {"changes": changes, "author": author, "note": note, "expect": expect}
    return _written(address, REVISIONS_PATH, body, later)


def revert(
    address: Address, number: str, author: str, note: str, expect: str, later: Later = time.sleep
) -> Position:
    """Go back to what was in force as of a revision, named by its number or its whole position."""
    if expect:
        to_position(expect)
    text = number.rpartition(".")[2]
    if not (text.isascii() and text.isdigit() and len(text) <= 19):
        raise ConfigError(f"{number!r} is no revision; it is its number, as in 17 or 3.17")
    body: dict[str, object] = {"number": int(text), "author": author, "note": note, "expect": expect}
    return _written(address, REVERT_PATH, body, later)


def _written(address: Address, path: str, body: dict[str, object], later: Later) -> Position:
    """Ask with one ticket until there is an answer, so many times at the most."""
    body["ticket"] = secrets.token_hex(16)
    lost: LostError | None = None
    asked = False
    for _ in range(TRIES):
        if lost is not None:
            later(PAUSE)
        try:
            status, told = call(address, "POST", path, body)
        except LostError as error:
            lost = error
            asked = asked or error.asked
            continue
        if status == 201:
            return to_position(told.get("position"))
        reason = told.get("reason", f"the answer is {status}")
        if status == 409:
            raise ConfigError(f"refused: {told.get('key', '')}: {reason}")
        raise ConfigError(f"not taken: {reason}")
    outcome = "it is not known whether it was kept" if asked else "nothing was kept"
    raise ConfigError(f"{lost}; tried {TRIES} times, and {outcome}")


def status(address: Address) -> dict[str, Any]:
    """What the process tells of itself and of those below it."""
    code, told = call(address, "GET", STATUS_PATH)
    if code != 200:
        raise ConfigError(f"{address[0]}:{address[1]} answers {code}: {told.get('reason', '')}")
    return told


def history(address: Address, most: str) -> Iterator[str]:
    """The last revisions as lines of text, the newest first."""
    if not (most.isascii() and most.isdigit() and len(most) <= 6):
        raise ConfigError(f"{most!r} is no number of revisions")
    code, told = call(address, "GET", f"{REVISIONS_PATH}?most={int(most)}")
    if code != 200:
        raise ConfigError(str(told.get("reason", f"the answer is {code}")))
    for one in told["revisions"]:
        when = time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime(one["at"]))
        yield f"{one['position']}  {when}  {_safe(one['author'])}  {_safe(one['note'])}".rstrip()
        for key, value in one["changes"].items():
            yield f"  {_safe(key)}-" if value is None else f"  {_safe(key)}={_safe(value)}"
    if told["cut"]:
        yield "and older ones, which are too large for one answer"


def table(told: Mapping[str, Any]) -> Iterator[str]:
    """The status as lines of text."""
    age = told.get("age_s")
    heard = "" if age is None else f", heard of the origin {age:.1f}s ago"
    yield (
        f"{told['name']} is {told['role']}, holds {told['held']}, in force {told['in_force']}"
        f"{', STALE' if told['stale'] else ''}{heard}, {told['entries']} keys"
    )
    if told.get("parent"):
        yield f"parent: {told['parent']}"
    if zones := told.get("zones"):
        everywhere = "everywhere" if told["everywhere"] else "not everywhere"
        yield f"{told['held']} is {everywhere} in force; the lowest is {told['lowest']}"
        columns = ("zone", "proxies", "lowest", "refused", "unreachable")
        rows = [[name.upper() for name in columns]]
        rows += [[str(one[name]) for name in columns] for one in zones]
        widths = [max(len(row[at]) for row in rows) for at in range(len(columns))]
        for row in rows:
            yield "  ".join(text.ljust(width) for text, width in zip(row, widths, strict=True)).rstrip()
    yield from laggards(told)
    if told.get("dropped"):
        yield "dropped: " + ", ".join(f"{count} {why}" for why, count in sorted(told["dropped"].items()))


def laggards(told: Mapping[str, Any]) -> Iterator[str]:
    """Who refuses, is behind or is unreachable, by name."""
    named = told.get("laggards") or []
    for one in named[:NAMED]:
        reason = ": ".join(_safe(one[name]) for name in ("key", "reason") if one[name])
        yield (
            f"{one['name']} in zone {one['zone']}: {one['why']}, in force {one['in_force']}"
            f"{f': {reason}' if reason else ''}"
        )
    if more := told.get("more_laggards", 0) + max(0, len(named) - NAMED):
        yield f"and {more} more"


def in_force_everywhere(told: Mapping[str, Any], position: Position) -> bool:
    """True if the status says that no proxy there is has less than the position in force."""
    if told["everywhere"] and to_position(told["held"]) >= position:
        return True
    zones = told.get("zones") or []
    if not zones or not told.get("settled", True):
        return False
    if any(one["refused"] or one["unreachable"] for one in zones):
        return False
    # A relay that is away is in no zone's count, and nobody knows what the proxies behind it have.
    if any(one["why"] != "behind" for one in told.get("laggards") or []):
        return False
    return all(to_position(one["lowest"]) >= position for one in zones)


def wait(
    address: Address,
    position: Position,
    within: float,
    later: Later = time.sleep,
    clock: Callable[[], float] = time.monotonic,
) -> Generator[str, None, int]:
    """Look until the position is in force everywhere. Lines of text, and at the end the exit status.

    0: it is everywhere. 1: not in time, and the lines say where not. ConfigError: nobody could be asked.
    """
    until = clock() + within
    told: Mapping[str, Any] | None = None
    while True:
        try:
            told = status(address)
        except LostError:
            if told is None and clock() >= until:
                raise
        else:
            if told["role"] != "origin":
                raise ConfigError(f"{told['name']} is a {told['role']}; only the origin knows of all proxies")
            held = to_position(told["held"])
            if held > position and held.number < position.number:
                yield f"{position} is not in the history of {told['name']}, which is at {held}"
                return 1
            if in_force_everywhere(told, position):
                yield f"{position} is in force everywhere"
                return 0
        if clock() >= until:
            break
        later(LOOK)
    assert told is not None
    yield f"{position} is not in force everywhere after {within:g}s; the lowest is {told['lowest']}"
    yield from laggards(told)
    return 1


def author() -> str:
    """Who runs the command."""
    try:
        return getpass.getuser()
    except (KeyError, OSError):  # a user without a name
        return "unknown"


def to_position(text: object) -> Position:
    """EPOCH.NUMBER, as staff write it; ConfigError if it is none."""
    try:
        return read_position(str(text))
    except ValueError as error:
        raise ConfigError(str(error)) from None


def _safe(text: str) -> str:
    """Guards the terminal against what others have written."""
    return text if text.isprintable() else ascii(text)[1:-1]
