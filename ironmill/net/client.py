"""The driver of one client's connection, with the task that reads it and the task of its attempt.

What the gateway orders is done in a task of its own, one turn later: an order may come from within
either of the two tasks, and neither can end itself halfway through telling the gateway something.
"""

from __future__ import annotations

import contextlib
import logging
import math
import time
from collections.abc import Callable
from functools import partial
from typing import TYPE_CHECKING, Any

from ironmill.balancing.interface import Outcome
from ironmill.configuration.proxy_config import Config
from ironmill.net.server import AttemptDriver, AttemptEnd, Dial
from ironmill.net.sockets import Stream, TimedOutError
from ironmill.protocol.client import (
    Asked,
    ClientEvent,
    ClientSide,
    ClientState,
    FirstLine,
    Left,
    Malformed,
    MalformedLineError,
    Onward,
    Opened,
    SendingEnded,
    Shown,
    parse_first_line,
)
from ironmill.protocol.lines import END
from ironmill.protocol.request import busy_line, request_fields
from ironmill.protocol.server import Relayed
from ironmill.requests.admission import Admission, Ticket
from ironmill.requests.gateway import Attempt, ClientRequest, Gateway
from ironmill.requests.metrics import Count
from ironmill.runtime.scheduler import Scheduler, Task

if TYPE_CHECKING:
    from ironmill.identity.callers import Callers

# From the accept to the first line's end, however the bytes drip; after an answered PING it begins anew. Some
# clients take 2 s to write it (DAYS), and who stops half way is owed its error within 3 s (STANDING).
FIRST_LINE_WAIT = 2.5
GENTLE = 1.0  # for the other side to take its last line and end as well
REFUSED_WAIT = 0.2  # the same, where the client was turned away
MOVE_WAIT = 0.9  # for the line under way to end; the client must not wait longer for its MOVE
HALF_CLOSED_WAIT = 6.0  # for a server to end once its client has
CARRY_WAIT = 38.0  # for a connection that was open before the run to be up again
CARRY_PAUSE = 0.25
RETRY_FULL = 0.5  # what a client is told when no descriptor is left for it
RETRY_DRAINED = 0.2  # and when this proxy drains: by then the front sends it to another one

log = logging.getLogger("ironmill.client")


class ClientDriver:
    """Owns the client's socket and the attempt's; a ``Holder`` to the gateway."""

    __slots__ = (
        "_admission",
        "_attempt",
        "_attempt_task",
        "_client_ended",
        "_config",
        "_count",
        "_dial",
        "_driver",
        "_first",
        "_first_by",
        "_gateway",
        "_guest",
        "_move_wanted",
        "_reader",
        "_request",
        "_scheduler",
        "_side",
        "_stream",
        "_ticket",
        "_writing",
    )

    def __init__(
        self,
        scheduler: Scheduler,
        gateway: Gateway,
        config: Config,
        admission: Admission,
        stream: Stream,
        callers: Callers | None = None,
        dial: Dial | None = None,
    ) -> None:
        self._scheduler = scheduler
        self._gateway = gateway
        self._config = config
        self._admission = admission
        self._dial = dial or partial(Stream.connect, scheduler)
        self._ticket: Ticket | None = None
        self._stream = stream
        self._side = ClientSide(may_show=callers is not None)
        # None where it does not matter who calls.
        self._guest = None if callers is None else callers.guest(self, stream.peer())
        self._first: FirstLine | None = None
        self._count: Count | None = None  # from its request on
        self._request: ClientRequest | None = None
        self._reader: Task | None = None
        self._attempt: Attempt | None = None  # out or standing, as the gateway knows it
        self._attempt_task: Task | None = None
        self._driver: AttemptDriver | None = None
        self._writing = False  # to the client
        self._client_ended = False
        self._move_wanted = False
        self._first_by = 0.0  # when the first line must have come

    def start(self) -> None:
        """Begin to read, if there is room."""
        self._ticket = self._admission.enter(self._evicted)
        if self._ticket is None:
            self._count_unheard()
            self._send_off(RETRY_FULL)
            return
        self._stream.on_close = self._closed
        self._reader = self._scheduler.spawn(self.guarded, self._read)

    def _count_unheard(self) -> None:
        """There is no room to wait for its first line; what has come of it by now says what was refused."""
        line, end, _ = self._stream.receive_now().partition(END)
        with contextlib.suppress(MalformedLineError):
            class_name = parse_first_line(line).fields["c"] if end else ""
            if self._gateway.knows(class_name):
                self._gateway.figures.take(class_name).dropped()

    def guarded(self, function: Callable[..., object], *args: object) -> None:
        """Run a task of this connection. Guards the others: its exception is logged and ends it alone."""
        try:
            function(*args)
        except Exception:
            log.exception("a connection failed")
            standing = self._side.state is ClientState.STANDING
            self._side.close()
            if self._count is not None:
                self._count.failed()
            try:
                if self._request is not None:
                    self._gateway.left(self._request)
                self._finish(b"" if standing else b"ERR\r\n")
            finally:  # guards its descriptor, its id and its slot against what failed a second time
                self._stream.abort()

    def _closed(self) -> None:
        """The client's socket is closed: nothing of it counts any more."""
        if self._ticket is not None:
            self._admission.gone(self._ticket)
        if self._count is not None:
            self._count.ended()
        if self._guest is not None:
            self._guest.left()

    # From the client

    def _evicted(self, at_once: bool) -> bool:
        """Make room, or end with the process: it has said nothing. False if it has, and is about to be read.

        It is told that trying again is harmless: a request may be on its way, and nothing of it has run.
        """
        if self._stream.has_unread():
            return False
        self._side.close()
        self._scheduler.kill(self._reader)
        if at_once:
            self._send_off(RETRY_FULL)
        else:
            self._scheduler.spawn(self.guarded, self._finish, self._busy(RETRY_DRAINED))
        return True

    def _busy(self, retry_after: float) -> bytes:
        """``BUSY``, with the time to come again where the settings allow one."""
        return busy_line(retry_after if self._config.settings.max_retry_after > 0.0 else 0.0)

    def _send_off(self, retry_after: float) -> None:
        """The last answer and the close, without a wait: its descriptor is needed."""
        with contextlib.suppress(OSError):
            self._stream.send_now(self._busy(retry_after))
        self._stream.close_now()

    def _read(self) -> None:
        """Read until the end, or until a standing connection has nothing more to say for now."""
        if self._side.state is ClientState.FIRST:
            self._first_by = time.monotonic() + FIRST_LINE_WAIT
        try:
            if self._side.state is ClientState.FIRST:
                self._greet()
            while self._side.state is not ClientState.OVER:
                if self._side.state is ClientState.STANDING and self._stream.drained:
                    self._reader = self._stream.when_readable(self.guarded, self._read)
                    return
                wait = None
                if self._side.state is ClientState.FIRST:
                    wait = max(0.0, self._first_by - time.monotonic())
                data = self._stream.receive(wait)  # also where it is too late: what has come by now counts
                for event in self._side.receive(data) if data else self._side.end():
                    self._take(event)
                self._stream.waits_since = None
                if not data:
                    break
                if self._side.state is ClientState.FIRST and time.monotonic() >= self._first_by:
                    raise TimedOutError  # guards against bytes that drip, each of them in time
        except TimedOutError:
            self._too_late()
        except OSError as error:
            if self._side.state is ClientState.FIRST and not isinstance(error, ConnectionResetError):
                self._admission.complain(str(error))
            self._client_gone(reset=True)
        else:
            if self._side.state is ClientState.OVER and self._request is None and self._first is None:
                self._finish(b"")  # it left without a word

    def _too_late(self) -> None:
        """No first line in time: malformed if it was begun. Who has said nothing may be about to, and nothing
        of that will have run."""
        if self._side.begun:
            self._turn_away("no whole first line in time")
        else:
            self._admission.complain("no first line in time")
            self._finish(self._busy(RETRY_FULL))

    def _greet(self) -> None:
        """The handshake, where there is one; it counts into the time for the first line."""
        self._stream.shake(self._first_by)
        shown = None if self._guest is None else self._stream.certificate()
        if self._guest is not None and shown is not None:
            self._go_on(self._guest.show_certificate(shown))

    def _turn_away(self, reason: str | None) -> None:
        """A client that does not keep to the protocol gets one plain answer and an end."""
        if reason is not None:
            self._admission.complain(reason)
        self._side.close()
        if self._count is not None:
            self._count.failed()
        if self._request is not None:
            self._gateway.left(self._request)
        self._finish(b"ERR\r\n")

    def _take(self, event: ClientEvent) -> None:
        match event:
            case Asked():
                self._first_by = time.monotonic() + FIRST_LINE_WAIT
                pong = self._gateway.lifecycle.policy.answers_pong
                self._stream.send(b"PONG\r\n" if pong else b"DRAINING\r\n", GENTLE)
            case Shown():
                self._show(event.token)
            case Opened():
                self._open(event.first)
            case Malformed():
                self._turn_away(event.reason)
            case Onward():
                self._onward(event)
            case SendingEnded():
                self._client_ended = True
                if self._driver is not None and self._driver.stream is not None:
                    self._driver.stream.finish()
                self._scheduler.sleep(HALF_CLOSED_WAIT)  # the attempt's end ends this task
                self._client_gone(reset=False)
            case Left():
                self._client_gone(reset=False)

    def _show(self, token: bytes) -> None:
        if self._guest is not None and self._side.state is not ClientState.OVER:
            self._go_on(self._guest.show(token))

    def _go_on(self, refused: float | None) -> bool:
        """False if the client was turned away: it may come again so many seconds later, or never."""
        if refused is None:
            return True
        if math.isinf(refused):
            self._turn_away(None)  # it is logged and counted by its kind, and the client is not told
        else:
            self._refuse(refused)
        return False

    def _refuse(self, retry_after: float) -> None:
        """The final answer, before anything was decided: trying again is harmless, and when."""
        if self._count is not None:
            self._count.dropped()
        self._finish(self._busy(retry_after))

    def _open(self, first: FirstLine) -> None:
        if self._side.state is ClientState.OVER:
            return  # its credential was refused, and its first line came in the same bytes
        came_at = self._gateway.now()
        if self._stream.waits_since is not None:  # its time counts from when it was sent
            came_at -= time.monotonic() - self._stream.waits_since
        ticket = self._ticket
        assert ticket is not None
        if not self._gateway.knows(first.fields["c"]):
            self._turn_away("a class that does not exist")
            return
        self._count = self._gateway.figures.take(first.fields["c"])
        if not self._gateway.lifecycle.policy.admits_requests:
            self._refuse(RETRY_DRAINED)
            return
        if self._guest is not None and not self._go_on(self._guest.ask(first.fields["c"])):
            return
        if not self._admission.claim(ticket, first.id):
            self._turn_away("the id of an open connection")
            return
        if not self._admission.admit(ticket):
            self._refuse(RETRY_FULL)
            return
        self._first = first
        if "at" in first.fields:
            self._attempt_task = self._scheduler.spawn(self.guarded, self._carry, first)
            return
        wait = int(first.fields["d"]) / 1000.0 if "d" in first.fields else None
        self._request = self._gateway.take_request(
            self, first.fields["c"], wait, came_at, self._count, **self._request_fields(first)
        )

    def _request_fields(self, first: FirstLine) -> dict[str, Any]:
        """What the line says; where it matters who calls, the tenant is the credential's and no other."""
        fields = request_fields(first)
        return fields if self._guest is None else fields | {"tenant": self._guest.tenant}

    def _onward(self, onward: Onward) -> None:
        """Bytes to the server. Reading waits meanwhile, so no more than a chunk is ever held."""
        driver, attempt = self._driver, self._attempt
        if not onward.data or driver is None or driver.stream is None or attempt is None:
            return
        try:
            driver.stream.send_beside(onward.data, self._stream)
        except TimedOutError:
            self._client_gone(reset=True)  # not all that it sent has got through
            return
        except OSError:
            return  # the attempt's task sees the end as well, and deals with it
        self._gateway.lines_sent(attempt, onward.lines)

    def _client_gone(self, reset: bool) -> None:
        """The client is gone; its server is told in the same way. Called in either task."""
        self._side.close()
        if self._request is not None:
            self._gateway.left(self._request)
        self._drop_attempt(Outcome.CANCELLED, reset)
        self._stream.close()

    # From the gateway

    def start_attempt(self, attempt: Attempt) -> None:
        """Run the attempt in a task of its own."""
        self._attempt = attempt
        self._attempt_task = self._scheduler.spawn(self.guarded, self._run_attempt, attempt)

    def stop_attempt(self) -> bool:
        """End the attempt that is out; the client still waits for its answer."""
        driver, task = self._driver, self._attempt_task
        self._driver = self._attempt_task = self._attempt = None
        self._scheduler.kill(task)
        if driver is None:
            return False
        may_have_run = not driver.side.unwritten
        driver.close()
        return may_have_run

    def refuse(self, retry_after: float) -> None:
        """``BUSY MS``, at once."""
        self._answer(self._busy(retry_after))

    def fail(self) -> None:
        """Any other line than UP or BUSY means that it failed."""
        if self._count is not None:
            self._count.failed()
        self._answer(b"ERR\r\n")

    def move(self) -> None:
        """``MOVE``, as soon as no line is under way."""
        if not self._move_wanted:
            self._move_wanted = True
            self._scheduler.call_later(MOVE_WAIT, self._scheduler.spawn, self.guarded, self._move, True)
        self._scheduler.spawn(self.guarded, self._move, False)

    def _answer(self, line: bytes) -> None:
        self._side.close()
        self._scheduler.spawn(self.guarded, self._finish, line)

    def _finish(self, line: bytes, wait: float = REFUSED_WAIT) -> None:
        """The last line, and the end of all that is left."""
        self._side.close()
        self._drop_attempt(Outcome.CANCELLED)
        if self._stream.closed:
            return
        lingers = self._ticket is None or self._admission.part(self._ticket)
        try:
            self._stream.send(line, GENTLE)
        except (OSError, TimedOutError):
            self._stream.abort()
            return
        if lingers:
            self._stream.close_gently(wait)
        else:
            self._stream.close_now()

    def _move(self, at_last: bool) -> None:
        """End a standing connection, between two lines unless the one under way does not end."""
        driver = self._driver
        if driver is None or self._attempt is None or self._side.state is not ClientState.STANDING:
            return
        between = not self._writing and driver.side.between_lines
        if between or at_last:
            self._side.close()
            self._finish(b"MOVE\r\n" if between else b"", GENTLE)

    # The attempt

    def _run_attempt(self, attempt: Attempt) -> None:
        first = self._first
        assert first is not None
        if not self._still_there():
            return
        line = first.with_wait(max(1, int(attempt.timeout * 1000.0)))
        driver = AttemptDriver(self._dial, line)
        self._driver = driver
        driver.run(
            self,
            attempt.server.address,
            self._config.connect_timeout,
            attempt.timeout,
            lambda: self._gateway.may_start(attempt) and self._still_there(),
        )

    def _still_there(self) -> bool:
        """False if the client has gone, which is then dealt with. Asked last of all before an attempt begins.

        Guards servers against work for nobody: who left while its connection waited to be accepted has
        sent its end behind its first line, and the attempt would be written before that end is read.
        """
        if self._stream.ended():
            self._client_gone(reset=False)
            return False
        return True

    def _carry(self, first: FirstLine) -> None:
        """A connection that was open before the run goes back to the server that holds it."""
        self._gateway.carrying.add(self)
        try:
            stood = self._carry_until(first, time.monotonic() + CARRY_WAIT)
        finally:
            self._gateway.carrying.discard(self)
        if not stood and not self._stream.closed:
            self.fail()

    def _carry_until(self, first: FirstLine, deadline: float) -> bool:
        """Try until it stands; False if it does not in time, or its client has gone."""
        while time.monotonic() < deadline:
            if not self._still_there():
                return False
            server = self._gateway.server(first.fields["at"])
            if server is not None:
                self._driver = AttemptDriver(self._dial, first.raw)
                left = deadline - time.monotonic()
                self._driver.run(self, server.address, self._config.connect_timeout, left, self._still_there)
                if self._driver.side.stood:
                    return True
            self._scheduler.sleep(CARRY_PAUSE)
        return False

    def attempt_asked(self) -> None:
        """An attempt is written whole."""
        if self._count is not None:
            self._count.tried()

    def attempt_up(self, driver: AttemptDriver, data: bytes) -> bool:
        """Pass UP back; from now on all bytes go on unchanged."""
        first = self._first
        if self._side.state is not ClientState.WAITING or first is None:
            driver.close()
            return False
        if self._attempt is None:
            server = self._gateway.server(first.fields["at"])
            assert server is not None
            self._attempt = self._gateway.carry(
                self, server, first.fields["c"], self._count, **self._request_fields(first)
            )
            self._request = self._attempt.request
        elif not self._gateway.up(self._attempt):
            driver.close()
            return False
        self._first = None
        if self._guest is not None:
            self._guest.stands()
        early = self._side.stand()
        if not self._write(data):
            return False
        self._onward(early)
        return not self._stream.closed

    def attempt_data(self, relayed: Relayed) -> bool:
        """Bytes to the client. Reading from the server waits meanwhile."""
        if self._attempt is not None:
            self._gateway.lines_back(self._attempt, relayed.answers)
            for load in relayed.loads:
                self._gateway.load(self._attempt, load)
        if not self._write(relayed.data):
            return False
        if self._move_wanted:
            self._scheduler.spawn(self.guarded, self._move, False)
        return True

    def attempt_over(self, driver: AttemptDriver, end: AttemptEnd) -> None:
        """The server has ended it: the client's side ends in the same way, or the next attempt follows."""
        attempt = self._attempt
        if not end.stood:
            if attempt is None:
                return  # one that was open before the run: its task tries again
            self._driver = self._attempt_task = self._attempt = None
            if end.outcome is Outcome.OK:
                self._answer(end.line)
            self._gateway.ended(attempt, end.outcome, end.report)
            return
        self._side.close()
        self._scheduler.kill(self._reader)
        driver.close()
        self._attempt = self._attempt_task = None
        if attempt is not None:
            left = self._client_ended and end.outcome is Outcome.RESET
            self._gateway.ended(attempt, Outcome.CANCELLED if left else end.outcome, end.report)
        if end.broke:
            self._stream.abort()
        else:
            self._stream.close_gently(GENTLE)

    def _write(self, data: bytes) -> bool:
        self._writing = True
        try:
            rest = data[self._stream.send_now(data) :]
            if rest or self._stream.behind:
                if self._attempt is not None:
                    self._gateway.client_slow(self._attempt)
                source = None if self._driver is None else self._driver.stream
                assert source is not None  # what is written comes from there
                self._stream.send_beside(rest, source)
                if self._attempt is not None:
                    self._gateway.client_reads(self._attempt)
        except (OSError, TimedOutError):
            self._client_gone(reset=True)
            return False
        finally:
            self._writing = False
        return True

    def _drop_attempt(self, outcome: Outcome, reset: bool = False) -> None:
        """End both tasks but the running one, then the attempt's connection; tell the gateway."""
        attempt, self._attempt = self._attempt, None
        driver = self._driver
        for task in (self._reader, self._attempt_task, None if driver is None else driver.task):
            if task is not None and not task.is_current():
                self._scheduler.kill(task)
        if driver is not None:
            driver.close(reset)
        if attempt is not None:
            self._gateway.ended(attempt, outcome)
