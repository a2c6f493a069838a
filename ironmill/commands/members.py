"""``ironmill members``: prints the membership view of a running process, fetched from its admin API."""

from __future__ import annotations

import http.client
import time
from collections.abc import Iterator, Sequence
from http import HTTPStatus

import msgspec
from msgspec import Struct

from ironmill.errors import IronmillError

RESPONSE_TIMEOUT_S = 2.0
WATCH_INTERVAL_S = 1.0
COLUMNS = ("name", "address", "zone", "region", "incarnation", "state")


class MembersError(IronmillError):
    """Raised if the view cannot be fetched; the message is one line."""


class MemberEntry(Struct):
    """One member. A member that was removed from the view has only a name and a state."""

    name: str
    state: str
    address: str = ""
    zone: str = ""
    region: str = ""
    incarnation: int | None = None

    @property
    def cells(self) -> list[str]:
        """The texts of this member's row, in the order of ``COLUMNS``."""
        incarnation = "" if self.incarnation is None else str(self.incarnation)
        return [self.name, self.address, self.zone, self.region, incarnation, self.state]


class ViewReport(Struct):
    """The response to ``GET /admin/members``."""

    name: str
    cluster: str
    view: str
    joined: bool
    is_isolated: bool = msgspec.field(name="cut_off")
    superseded: bool
    members: list[MemberEntry]
    removed: list[MemberEntry] = msgspec.field(name="out")
    dropped: dict[str, int]
    differing_s: dict[str, float] = msgspec.field(name="differs", default_factory=dict)

    @property
    def state(self) -> str:
        """The state of the process that sent the report, as ``format_view`` prints it before the cluster."""
        if self.superseded:
            return "superseded"
        if self.is_isolated:
            return "an isolated member"
        return "a member" if self.joined else "joining"


def fetch_view(host: str, port: int) -> ViewReport:
    """Returns the membership view of a process. Raises ``MembersError`` if it cannot be fetched."""
    connection = http.client.HTTPConnection(host, port, timeout=RESPONSE_TIMEOUT_S)
    try:
        connection.request("GET", "/admin/members")
        response = connection.getresponse()
        body = response.read()
    except (OSError, http.client.HTTPException) as error:
        raise MembersError(f"{host}:{port} does not answer: {error}") from None
    finally:
        connection.close()
    if response.status == HTTPStatus.NOT_FOUND:
        raise MembersError(f"the process at {host}:{port} has no membership in its settings")
    if response.status != HTTPStatus.OK:
        raise MembersError(f"{host}:{port} answers {response.status}")
    try:
        return msgspec.json.decode(body, type=ViewReport)
    except msgspec.DecodeError as error:
        raise MembersError(f"{host}:{port} sent an unexpected response: {error}") from None


def format_view(report: ViewReport) -> Iterator[str]:
    """Yields the view as lines of text."""
    count = len(report.members)
    yield f"{report.name} is {report.state} of {report.cluster}, view {report.view}, {count} members"
    yield from _format_table([*report.members, *report.removed])
    if report.differing_s:
        differing = (f"{name} for {age_s:.0f} s" for name, age_s in sorted(report.differing_s.items()))
        yield "different views: " + ", ".join(differing)
    if report.dropped:
        counts = (f"{count} {reason}" for reason, count in sorted(report.dropped.items()))
        yield "dropped: " + ", ".join(counts)


def watch_view(host: str, port: int) -> Iterator[str]:
    """Yields the view as lines of text, and again after each change. Raises ``MembersError``."""
    last_view = ""
    while True:
        report = fetch_view(host, port)
        if report.view != last_view:
            last_view = report.view
            yield from format_view(report)
        time.sleep(WATCH_INTERVAL_S)


def _format_table(entries: Sequence[MemberEntry]) -> Iterator[str]:
    rows = [[name.upper() for name in COLUMNS], *(entry.cells for entry in entries)]
    widths = [max(len(row[column]) for row in rows) for column in range(len(COLUMNS))]
    for row in rows:
        yield "  ".join(text.ljust(width) for text, width in zip(row, widths, strict=True)).rstrip()
