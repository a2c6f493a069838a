"""Instants in which something ends while something is still owed, each made certain by construction.

Clients here are plain sockets: what they send and how they end is in the kernel before the proxy's next turn.
"""

from __future__ import annotations

import contextlib
import errno
import socket
from collections.abc import Iterator
from contextlib import contextmanager

import pytest
from msgspec import structs

from ironmill.balancing.balancer import Balancer
from ironmill.balancing.interface import (
    DeduplicationScope,
    Ended,
    Event,
    Outcome,
    Reject,
    Request,
    Resumed,
    TimerFired,
)
from ironmill.net import discovery as discovery_module
from ironmill.net import health_check as health_check_module
from ironmill.net import shutdown as shutdown_module
from ironmill.net import sockets as sockets_module
from ironmill.net.attempt import AttemptDriver
from ironmill.net.clients import attempts as attempts_module
from ironmill.net.clients import connection as connection_module
from ironmill.net.clients import reading as reading_module
from ironmill.net.clients.attempts import ClientAttempt
from ironmill.net.clients.connection import ClientConnection
from ironmill.net.discovery import Discovery
from ironmill.net.health_check import MAX_CONNECTIONS, HealthCheckDriver
from ironmill.net.listener import Listener
from ironmill.net.migration import Migration
from ironmill.net.shutdown import Shutdown, ShutdownContext
from ironmill.net.sockets import READ_BYTES, Stream, TimedOutError
from ironmill.protocol.discovery import EndpointUpdate
from ironmill.requests import discovery_backoff
from ironmill.runtime.lifecycle import LifecycleEvent, ProcessState
from tests.support.balancing import KEYED, SAFE, SETTINGS, UNSAFE
from tests.system.test_net import ONE, OPEN, Town, answer, pace, read_line

LIMITS = {"read": 2.0, "write": 2.0, "order": 2.0}


@contextmanager
def dialled(town: Town, data: bytes = b"") -> Iterator[socket.socket]:
    """A client whose bytes are at the proxy's socket before the proxy looks."""
    with socket.create_connection(town.listener.address) as client:
        client.sendall(data)
        yield client


def rest(town: Town, client: socket.socket) -> bytes:
    """All that the client is told until the end, which must not be a reset."""
    stream, data = Stream(town.scheduler, client.dup()), b""
    while piece := stream.receive(5.0):
        data += piece
    stream.close()
    return data


def instant(town: Town) -> list[Stream]:
    """Connections to servers come up without a wait; the other ends, as they are made."""
    held: list[Stream] = []

    def dial(address: tuple[str, int], timeout: float) -> Stream:
        ours, theirs = socket.socketpair()
        held.append(Stream(town.scheduler, theirs))
        return Stream(town.scheduler, ours)

    town.dial = dial
    return held


def test_who_left_before_it_was_heard_is_not_sent_on() -> None:
    """Its end lies behind its first line, and the attempt would be written before that end is read."""

    def story(town: Town) -> None:
        held = instant(town)
        with dialled(town, OPEN):
            pass
        town.until(lambda: town.gateway.metrics.classes["read"].abandoned == 1)
        assert town.gateway.metrics.attempts == 0
        assert not held  # nor was anybody disturbed
        assert not town.gateway.request_count()
        assert not town.admission.used()

    Town().run(story)


def test_who_leaves_while_its_attempt_comes_up_is_not_sent_on() -> None:
    def story(town: Town) -> None:
        held = instant(town)
        dial = town.dial
        assert dial is not None
        with dialled(town, OPEN) as client:

            def slow(address: tuple[str, int], timeout: float) -> Stream:
                client.close()  # in the very turn in which the connection comes up
                return dial(address, timeout)

            town.dial = slow
            town.until(lambda: town.gateway.metrics.classes["read"].abandoned == 1)
        assert held[0].receive(5.0) == b""
        assert town.gateway.counts == {"attempts": 1, "attempt CANCELLED": 1}

    Town().run(story)


@pytest.mark.parametrize(
    ("cls", "written", "answer"),
    [
        ("read", True, b"BUSY"),
        ("read", False, b"BUSY"),
        ("order", False, b"BUSY"),
        ("order", True, b"ERR"),
        ("write", False, b"BUSY"),
        ("write", True, b"ERR"),
    ],
)
def test_what_is_out_at_the_end_is_answered_as_what_it_is(cls: str, written: bool, answer: bytes) -> None:
    """What may have run must not be told that trying again is harmless, unless it is."""

    def story(town: Town) -> None:
        if not written:
            town.dial = lambda address, timeout: town.scheduler.sleep(60.0)  # type: ignore[assignment,return-value]
        client = town.client(OPEN.replace(b"c=read", b"c=" + cls.encode()))
        if written:
            attempt = town.attempt()
            read_line(attempt)
        town.until(lambda: town.gateway.counts.get("attempts") == 1)
        town.gateway.resolve_all()
        assert not town.gateway.pending_count()
        assert read_line(client).split()[0] == answer
        assert client.receive(5.0) == b""
        if written:
            assert attempt.receive(5.0) == b""
        town.until(lambda: not town.gateway.request_count())
        assert town.gateway.counts["attempts"] == 1
        assert "overdue" not in town.gateway.counts

    Town(default_deadlines_s=LIMITS).run(story)


def test_a_waiting_request_is_answered_at_the_end() -> None:
    def story(town: Town) -> None:
        client = town.client(OPEN.replace(b"c=read", b"c=order"))
        town.until(lambda: town.gateway.pending_count() == 1)
        town.gateway.resolve_all()
        assert read_line(client).startswith(b"BUSY ")

    Town(0, default_deadlines_s=LIMITS).run(story)


def end_of(town: Town, monkeypatch: pytest.MonkeyPatch) -> Shutdown:
    for name, value in {"ACCEPT_PERIOD_S": 0.02, "MAX_DEADLINE_S": 0.05, "KILL_GRACE_S": 0.6}.items():
        monkeypatch.setattr(shutdown_module, name, value)
    return Shutdown(ShutdownContext(town.scheduler, town.gateway, town.listener, town.config, town.admission))


def test_resting_connections_are_told_at_the_end(monkeypatch: pytest.MonkeyPatch) -> None:
    """A request that comes in that instant has its answer already, and no reset overtakes it."""
    told_all: list[bytes] = []

    def story(town: Town) -> None:
        with dialled(town, b"PING\r\n") as resting, dialled(town) as silent, dialled(town) as speaking:
            town.until(lambda: len(town.admission._silent) == 3)

            def told(state: ProcessState) -> None:
                if state is ProcessState.FINALIZING:
                    speaking.sendall(OPEN)  # not read yet when the resting ones are ended

            town.gateway.lifecycle.add_listener(told)
            town.scheduler.spawn(end_of(town, monkeypatch).run)
            assert read_line(Stream(town.scheduler, silent.dup())) == b"BUSY 200\r\n"
            silent.sendall(OPEN)  # too late: it has its answer
            told_all.extend(rest(town, client) for client in (silent, resting, speaking))

    town = Town()
    town.run(story)  # until the process would exit
    assert told_all == [b"", b"PONG\r\nBUSY 200\r\n", b"BUSY 200\r\n"]
    assert not town.arrived
    assert town.gateway.metrics.classes["read"].rejected == 1


def test_nothing_begins_in_the_last_moment() -> None:
    def story(town: Town) -> None:
        client = town.client(b"PING\r\n")
        assert read_line(client) == b"PONG\r\n"
        for step in (
            LifecycleEvent.STARTED,
            LifecycleEvent.SHUTDOWN_REQUESTED,
            LifecycleEvent.GRACE_PERIOD_ENDED,
        ):
            town.gateway.lifecycle.handle(step)
        client.send(OPEN)
        assert read_line(client) == b"BUSY 200\r\n"
        assert client.receive(5.0) == b""
        assert not town.arrived

    Town().run(story)


def test_where_nobody_may_linger_the_last_answer_is_not_overtaken_by_a_reset() -> None:
    def story(town: Town) -> None:
        town.admission.max_leaving = 0
        with dialled(town, b"HELLO\r\n" + b"x" * (READ_BYTES + 9)) as client:
            assert rest(town, client) == b"ERR\r\n"
        town.admission.max_descriptors = 0
        with dialled(town, OPEN + b"x" * READ_BYTES) as client:
            assert rest(town, client) == b"BUSY 500\r\n"

    Town().run(story)


def test_what_is_not_read_in_time_is_read_before_the_close(monkeypatch: pytest.MonkeyPatch) -> None:
    """The wait for the other side's end is over and its bytes have just come."""

    def story(town: Town) -> None:
        ours, theirs = socket.socketpair()
        stream = Stream(town.scheduler, ours)

        def late(timeout: float | None = None) -> bytes:
            theirs.sendall(b"late")
            raise TimedOutError

        monkeypatch.setattr(Stream, "receive", lambda self, timeout=None: late(timeout))
        stream.send_nowait(b"last\r\n")
        stream.close_gracefully(1.0)
        assert theirs.recv(99) == b"last\r\n"
        assert theirs.recv(99) == b""  # a Unix socket, too, tells of a close over unread bytes
        theirs.close()

    Town().run(story)


def test_a_silent_client_whose_request_has_just_come_does_not_give_way() -> None:
    def story(town: Town) -> None:
        with dialled(town) as oldest, dialled(town) as second:
            town.until(lambda: len(town.admission._silent) == 2)
            town.admission.max_silent = 2
            oldest.sendall(OPEN)
            ticket = town.admission.enter(lambda *, immediately: True)
            assert ticket is not None
            assert rest(town, second) == b"BUSY 500\r\n"
            read_line(town.attempt())
            town.admission.leave(ticket)

    Town().run(story)


def test_a_first_line_that_has_come_by_its_time_is_heard(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(reading_module, "REQUEST_LINE_TIMEOUT_S", 0.0)

    def story(town: Town) -> None:
        with dialled(town, OPEN):
            read_line(town.attempt())

    Town().run(story)


@pytest.mark.parametrize(
    ("scope", "answer"), [(DeduplicationScope.ZONE, b"ERR"), (DeduplicationScope.ALL, b"BUSY")]
)
def test_a_repeat_whose_connection_comes_up_late_is_not_sent(
    scope: DeduplicationScope, answer: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Repeats are dropped within the window alone: what begins later could take effect a second time."""
    window = 10.0
    keyed = structs.replace(KEYED, deduplication_scope=scope, deduplication_window=window)
    settings = structs.replace(SETTINGS, classes=(SAFE, keyed, UNSAFE))

    def story(town: Town) -> None:
        dial, now = Stream.connect, town.gateway.now

        def late(address: tuple[str, int], timeout: float) -> Stream:
            stream = dial(town.scheduler, address, timeout)
            if town.gateway.counts["attempts"] == 2:
                # The connection comes up as the window ends. The clock is moved: the machine may be busy, and
                # in a window that passes in real time the second attempt might never have begun.
                monkeypatch.setattr(town.gateway, "now", lambda: now() + window)
            return stream

        town.dial = late
        line = OPEN.replace(b"c=read", b"c=write").replace(b"d=1500", b"d=15000")
        client = town.client(line)
        first = town.attempt()
        read_line(first)
        first.abort()  # it may have run
        second = town.attempt()
        assert second.receive(5.0) == b""
        assert read_line(client).split()[0] == answer
        assert town.gateway.counts == {"attempts": 2, "attempt RESET": 1, "attempt NOT_SENT": 1}

    Town(2, settings=settings, default_deadlines_s=LIMITS).run(story)


def test_without_leave_to_name_a_time_a_refusal_names_none() -> None:
    def story(town: Town) -> None:
        town.admission.max_descriptors = 0
        with dialled(town, OPEN) as client:
            assert rest(town, client) == b"BUSY\r\n"

    Town(settings=structs.replace(SETTINGS, max_retry_after=0.0)).run(story)


def test_every_accepted_connection_sends_small_writes_at_once() -> None:
    def story(town: Town) -> None:
        with socket.create_connection(town.listeners[0].address):
            assert town.attempt()._sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)

    Town().run(story)


def asked(agent: Stream) -> bytes:
    return read_line(agent).split(b" ")[1]


@pytest.mark.parametrize("part", ["head", "body"])
def test_an_answer_of_discovery_that_never_ends_does_not_hold_the_watch(
    monkeypatch: pytest.MonkeyPatch, part: str
) -> None:
    """Each piece of it comes in time."""
    monkeypatch.setattr(discovery_module, "ANSWER_WAIT", 0.1)
    monkeypatch.setattr(discovery_backoff, "REJOIN", 0.01)

    def story(town: Town) -> None:
        Discovery(town.scheduler, town.listeners[0].address, lambda _: None, pace).start()
        agent = town.attempt()
        agent.send(b"HTTP/1.1 200 OK\r\n" + (b"Content-Length: 9999\r\n\r\n" if part == "body" else b""))

        def drip() -> None:
            while True:
                agent.send(b"x")
                town.scheduler.sleep(0.01)

        dripper = town.scheduler.spawn(drip)
        assert asked(town.attempt()) == b"/api/targets"  # on a new connection
        town.scheduler.kill(dripper)

    Town().run(story)


@pytest.mark.parametrize("late", [True, False])
def test_a_second_answer_of_discovery_does_not_bring_back_what_has_left(late: bool) -> None:
    """To an earlier call, behind the answer or some milliseconds later, when the next call is out."""
    told: list[EndpointUpdate] = []

    def story(town: Town) -> None:
        Discovery(town.scheduler, town.listeners[0].address, told.append, pace).start()
        agent = town.attempt()
        asked(agent)
        if late:
            answer(agent, 41)
            assert asked(agent) == b"/api/targets?after=41&wait_ms=1000"
            answer(agent, 40, ONE)
        else:
            old = b'{"rev":40,"all":true,"targets":[%b]}' % ONE
            new = b'{"rev":41,"all":true,"targets":[]}'
            head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n"
            agent.send(head % len(new) + new + head % len(old) + old)
        agent = town.attempt()  # asked for anew, on a connection that holds no old answers
        assert asked(agent) == b"/api/targets?after=41&wait_ms=%d" % (0 if late else 1000)
        answer(agent, 7, ONE)  # a discovery that began anew is believed there
        town.until(lambda: told[-1].revision == 7)

    Town().run(story)
    assert [routing.revision for routing in told] == [41, 7]


def test_a_watch_outlives_a_list_that_the_program_fails_at(caplog: pytest.LogCaptureFixture) -> None:
    """Without it nothing would ever be heard again; and what was not taken is asked for once more."""
    told: list[EndpointUpdate] = []

    def take(routing: EndpointUpdate) -> None:
        told.append(routing)
        if len(told) == 1:
            raise ZeroDivisionError

    def story(town: Town) -> None:
        Discovery(town.scheduler, town.listeners[0].address, take, pace).start()
        for _ in range(2):
            agent = town.attempt()
            assert asked(agent) == b"/api/targets"
            answer(agent, 41, ONE)
        town.until(lambda: len(told) == 2)

    Town().run(story)
    assert "a call failed" in caplog.text


def test_a_watch_whose_connection_was_closed_between_two_calls_goes_on_at_once(
    caplog: pytest.LogCaptureFixture,
) -> None:
    def story(town: Town) -> None:
        Discovery(town.scheduler, town.listeners[0].address, lambda _: None, pace).start()
        agent = town.attempt()
        asked(agent)
        answer(agent, 41)
        agent.close()  # before the next call is written
        assert asked(town.attempt()) == b"/api/targets?after=41&wait_ms=1000"

    Town().run(story)
    assert not caplog.records


def test_a_connection_open_before_the_run_may_wait_as_long_as_it_says() -> None:
    """Where connections end at the proxy each of them comes so; turned away, all were lost."""

    def story(town: Town) -> None:
        client = town.client(b"OPEN 1a 2b c=read,d=4294967,g=3c,at=s-0\r\n")
        attempt = town.attempt()
        read_line(attempt)
        attempt.send(b"UP r1\r\n")
        assert read_line(client) == b"UP r1\r\n"

    Town().run(story)


def test_the_tenant_that_a_line_names_is_told_to_the_decisions(monkeypatch: pytest.MonkeyPatch) -> None:
    """Its share is in the settings, and without it nobody is over his share."""
    told: list[Request] = []
    handle = Balancer.handle

    def recorded(balancer: Balancer, event: Event, now: float) -> object:
        if isinstance(event, Request | Resumed):
            told.append(event.request if isinstance(event, Resumed) else event)
        return handle(balancer, event, now)

    monkeypatch.setattr(Balancer, "handle", recorded)

    def story(town: Town) -> None:
        held = []
        for at, line in enumerate((b"t=club,d=900", b"d=900", b"t=press,d=900,at=s-0")):
            held.append(town.client(b"OPEN %d 2b c=read,%b\r\n" % (at, line)))
            held.append(town.attempt())
            read_line(held[-1])
            held[-1].send(b"UP r1\r\n")
        town.until(lambda: len(town.gateway.established()) == 3)

    Town().run(story)
    assert [request.tenant for request in told] == ["club", "", "press"]


def blocked(town: Town, writer: Stream) -> None:
    """Send until nothing more is taken, for the reader at the other end reads nothing."""
    piece = b"z" * READ_BYTES
    while True:
        try:
            writer.send(piece, 0.05)
        except TimedOutError:
            return


@pytest.mark.parametrize("end", ["reset", "finish"])
def test_a_server_s_end_gets_past_a_client_that_reads_nothing(end: str) -> None:
    """Nobody reads the server while the write to the client waits."""

    def story(town: Town) -> None:
        client, attempt = town.pair()
        (standing,) = town.gateway.established()
        driver = standing.handler
        assert isinstance(driver, ClientConnection)
        if end == "reset":
            blocked(town, attempt)
            attempt.abort()
        else:
            # So little is held on the way to the client that the rest waits at the proxy, the end behind it.
            driver.stream._sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
            client._sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            while not driver.is_writing:
                attempt.send(b"z" * 1024)
                town.scheduler.sleep(0.0)
            attempt.shutdown_write()
        town.until(lambda: not town.gateway.request_count())
        assert not town.admission.used()

    Town().run(story)


def test_a_client_s_end_gets_past_a_server_that_reads_nothing() -> None:
    def story(town: Town) -> None:
        client, attempt = town.pair()
        blocked(town, client)
        client.abort()
        town.until(lambda: not town.gateway.request_count())
        with pytest.raises(ConnectionResetError):  # what came is not all that was sent
            while attempt.receive(5.0):
                pass

    Town().run(story)


def test_a_slow_reader_gets_all_of_a_server_that_has_ended(monkeypatch: pytest.MonkeyPatch) -> None:
    """Only who takes nothing at all is given up."""
    monkeypatch.setattr(sockets_module, "BLOCKED_WRITE_CHECK_INTERVAL_S", 0.01)
    monkeypatch.setattr(sockets_module, "BLOCKED_WRITE_TIMEOUT_S", 0.4)

    def story(town: Town) -> None:
        client, attempt = town.pair()
        client._sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
        (standing,) = town.gateway.established()
        assert isinstance(standing.handler, ClientConnection)
        standing.handler.stream._sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 65536)
        attempt.send(b"z" * 800_000)
        attempt.shutdown_write()
        got = 0
        while piece := client.receive(5.0):
            got += len(piece)
            town.scheduler.sleep(0.02)  # longer in all than the wait for one who takes nothing
        assert got == 800_000

    Town().run(story)


def prober(town: Town, told: list[tuple[Outcome, object]]) -> HealthCheckDriver:
    return HealthCheckDriver(town.scheduler, 0.5, lambda _, outcome, report: told.append((outcome, report)))


@pytest.mark.parametrize("between", [b"", b"PONG x0=9\r\n"])
def test_a_probe_does_not_go_by_what_came_between_two_questions(between: bytes) -> None:
    """Its connection was closed as idle, or a second answer came: neither says anything of the load."""
    told: list[tuple[Outcome, object]] = []

    def story(town: Town) -> None:
        driver, host = prober(town, told), town.gateway.server("s-0")
        assert host is not None
        for _ in range(2):
            driver.check(host)
            attempt = town.attempt()  # the second one is a new connection
            read_line(attempt)
            attempt.send(b"PONG x0=0.5\r\n")
            town.until(lambda: bool(told))
            if between:
                attempt.send(between)
            else:
                attempt.close()
        town.until(lambda: len(told) == 2)

    Town().run(story)
    assert told == [(Outcome.OK, (("x0", 0.5),))] * 2


def test_probes_keep_to_the_descriptors_that_are_set_aside_for_them(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(health_check_module, "REPLY_TIMEOUT_S", 60.0)
    told: list[tuple[Outcome, object]] = []

    def story(town: Town) -> None:
        driver, held = prober(town, told), []
        hosts = [host for at in range(MAX_CONNECTIONS + 3) if (host := town.gateway.server(f"s-{at}"))]
        for host in hosts:
            driver.check(host)
            held.append(town.attempt())
            if len(held) > 1:
                read_line(held[-1])
                held[-1].send(b"PONG x0=0.5\r\n")
                town.until(lambda: len(told) == len(held) - 1)
        assert len(driver._streams) == MAX_CONNECTIONS
        assert read_line(held[0]) == b"STATS\r\n"  # a question is out there: it stays
        assert [attempt.is_closed_by_peer() for attempt in held[:5]] == [False, True, True, True, False]
        assert {outcome for outcome, _ in told} == {Outcome.OK}

    Town(MAX_CONNECTIONS + 3).run(story)


def test_descriptors_that_run_out_cost_a_probe_and_a_call_of_discovery_no_more(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The server is not to blame, and the watch goes on."""
    told: list[tuple[Outcome, object]] = []
    connect, failed = Stream.connect, list[bool]()

    def full(*args: object) -> Stream:
        if len(failed) < 2:
            failed.append(True)
            raise OSError(errno.EMFILE, "too many")
        return connect(*args)  # type: ignore[arg-type]

    def story(town: Town) -> None:
        host = town.gateway.server("s-0")
        assert host is not None
        monkeypatch.setattr(Stream, "connect", full)
        prober(town, told).check(host)
        town.until(lambda: bool(told))
        Discovery(town.scheduler, town.listeners[0].address, lambda _: None, pace).start()
        assert asked(town.attempt()) == b"/api/targets"

    Town().run(story)
    assert told == [(Outcome.NOT_SENT, ())]
    assert len(failed) == 2


@pytest.mark.parametrize("step", ["_request", "close_gracefully"])
def test_a_task_that_fails_settles_all_that_its_connection_owes(
    monkeypatch: pytest.MonkeyPatch, step: str
) -> None:
    """While its attempt is out, or while its last answer is given: no slot, id or descriptor stays behind."""
    told: list[Ended] = []
    handle = Balancer.handle

    def recorded(balancer: Balancer, event: Event, now: float) -> object:
        if isinstance(event, Ended):
            told.append(event)
        return handle(balancer, event, now)

    def fails(*_: object) -> None:
        raise ZeroDivisionError

    def story(town: Town) -> None:
        client = town.client()
        monkeypatch.setattr(Balancer, "handle", recorded)
        monkeypatch.setattr(AttemptDriver if step == "_request" else Stream, step, fails)
        client.send(OPEN)
        attempt = town.attempt()
        if step == "close_gracefully":
            read_line(attempt)
            town.gateway.resolve_all()
        assert read_line(client).split()[0] == (b"ERR" if step == "_request" else b"BUSY")
        town.until(lambda: not town.admission.used())
        assert not town.gateway.request_count()
        assert not town.admission._client_ids
        counted = town.gateway.metrics.classes["read"]
        assert (counted.received, counted.failed + counted.rejected, counted.pending) == (1, 1, 0)
        assert town.gateway.metrics.in_progress == 0

    Town().run(story)
    assert len(told) == 1


def test_an_order_that_fails_does_not_take_the_others_along(monkeypatch: pytest.MonkeyPatch) -> None:
    """One event may bring about the answers of several clients."""

    def story(town: Town) -> None:
        first, second = (town.client(OPEN.replace(b"1a", name)) for name in (b"1a", b"1b"))
        town.until(lambda: town.gateway.pending_count() == 2)
        ids = list(town.gateway.requests.by_id)
        orders = [Reject(ids[0], 0.1), Reject(ids[1], 0.1)]
        handler = town.gateway.requests.by_id[ids[0]].handler

        def failing(self: ClientConnection, retry_after: float) -> None:
            if self is handler:
                raise ZeroDivisionError
            reject(self, retry_after)

        monkeypatch.setattr(ClientConnection, "reject", failing)
        monkeypatch.setattr(Balancer, "handle", lambda *_: orders)
        town.gateway.feed(TimerFired("any"))
        monkeypatch.undo()
        assert read_line(second) == b"BUSY 100\r\n"
        first.close()
        town.until(lambda: not town.admission.used())

    reject = ClientConnection.reject
    Town(0).run(story)


def test_who_waits_to_be_up_again_and_leaves_is_asked_for_no_more(monkeypatch: pytest.MonkeyPatch) -> None:
    """A connection that was open before the run is tried again and again: not for nobody."""
    monkeypatch.setattr(attempts_module, "RESUME_RETRY_INTERVAL_S", 0.0)

    def story(town: Town) -> None:
        held = instant(town)
        dial = town.dial
        assert dial is not None
        with dialled(town, b"OPEN 1a 2b c=read,at=s-0\r\n") as client:

            def leaves(address: tuple[str, int], timeout: float) -> Stream:
                client.close()
                return dial(address, timeout)

            town.dial = leaves
            town.until(lambda: town.gateway.metrics.classes["read"].abandoned == 1)
        for _ in range(20):
            town.scheduler.sleep(0.0)
        assert len(held) == 1
        assert held[0].receive(5.0) == b""

    Town().run(story)


def test_early_bytes_that_nobody_takes_end_with_their_client(monkeypatch: pytest.MonkeyPatch) -> None:
    """The server has taken the connection and reads nothing, and the client has left."""
    failed: list[object] = []
    monkeypatch.setattr(connection_module.log, "exception", lambda *args: failed.append(args))

    def story(town: Town) -> None:
        def gives_up(stream: Stream, data: bytes, source: Stream) -> None:
            raise TimedOutError

        monkeypatch.setattr(Stream, "send_from", gives_up)
        client = town.client(OPEN.replace(b"g=3c", b"g=3c,mid=1") + b"early\r\n")
        server = town.attempt()
        read_line(server)
        server.send(b"UP r1\r\n")
        assert read_line(client) == b"UP r1\r\n"
        town.until(lambda: not town.gateway.request_count())
        assert not town.admission.used()

    Town().run(story)
    assert not failed


@pytest.mark.parametrize("known", [True, False])
def test_who_waits_to_be_up_again_is_answered_at_the_end(known: bool) -> None:
    """Its server has not answered, or discovery has not told of it yet."""

    def story(town: Town) -> None:
        client = town.client(b"OPEN 1a 2b c=read,at=%b\r\n" % (b"s-0" if known else b"s-9"))
        if known:
            read_line(town.attempt())
        town.until(lambda: bool(town.gateway.resuming))
        town.gateway.resolve_all()
        assert read_line(client) == b"ERR\r\n"
        assert client.receive(5.0) == b""
        client.close()
        town.until(lambda: not town.admission.used())
        assert not town.gateway.resuming
        assert town.gateway.metrics.classes["read"].failed == 1

    Town().run(story)


def test_what_comes_to_stand_after_the_last_look_is_sent_away_all_the_same(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    got: list[bytes] = []
    monkeypatch.setattr(
        Migration, "migrate_all", lambda self, deadline: None
    )  # it has looked, and nothing stood

    def story(town: Town) -> None:
        client, _ = town.pair()
        town.scheduler.spawn(end_of(town, monkeypatch).run)
        got.append(read_line(client))
        got.append(client.receive(5.0))

    Town().run(story)
    assert got == [b"MOVE\r\n", b""]


def test_who_is_up_again_is_not_answered_a_second_time_at_the_end(monkeypatch: pytest.MonkeyPatch) -> None:
    """Its first line still waits to be taken when the process ends."""

    def story(town: Town) -> None:
        monkeypatch.setattr(ClientAttempt, "on_server_data", lambda *_: town.scheduler.sleep(60.0))
        client = town.client(b"OPEN 1a 2b c=read,at=s-0\r\n")
        server = town.attempt()
        read_line(server)
        server.send(b"UP r1\r\nline\r\n")
        assert read_line(client) == b"UP r1\r\n"
        town.gateway.resolve_all()
        (standing,) = town.gateway.established()
        standing.handler.migrate()
        assert read_line(client) == b"MOVE\r\n"  # and nothing before it

    Town().run(story)


def test_probes_that_come_up_at_once_keep_to_their_descriptors_too() -> None:
    told: list[tuple[Outcome, object]] = []

    def story(town: Town) -> None:
        dialling: list[int] = []

        def dial(address: tuple[str, int], timeout: float) -> Stream:
            dialling.append(address[1])
            town.scheduler.sleep(60.0)
            raise TimedOutError

        driver = prober(town, told)
        driver._dial = dial
        for at in range(MAX_CONNECTIONS + 2):
            host = town.gateway.server(f"s-{at}")
            assert host is not None
            driver.check(host)
        town.until(lambda: len(told) == 2)
        assert len(dialling) == MAX_CONNECTIONS

    Town(MAX_CONNECTIONS + 2).run(story)
    assert told == [(Outcome.NOT_SENT, ())] * 2


class Broken:
    """A socket some of whose calls fail."""

    def __init__(self, sock: socket.socket, **errors: int) -> None:
        self._sock, self._errors = sock, errors

    def __getattr__(self, name: str) -> object:
        if name in self._errors:
            code = self._errors[name]

            def fail(*_: object) -> None:
                raise OSError(code, "broken")

            return fail
        return getattr(self._sock, name)


@pytest.mark.parametrize("code", [errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ENETRESET])
@pytest.mark.parametrize("call", ["recv", "send", "setsockopt"])
def test_a_connection_that_breaks_in_any_way_is_closed_and_counted(call: str, code: int) -> None:
    """The operators' notes: a broken connection may show as ETIMEDOUT or EHOSTUNREACH. Nothing leaks."""

    def story(town: Town) -> None:
        taken: list[Stream] = []
        take = town.listener._take
        town.listener._take = lambda stream: (taken.append(stream), take(stream))[1]
        client, attempt = town.pair()
        (stream,) = taken
        stream._sock = Broken(stream._sock, **{call: code})  # type: ignore[assignment]
        if call == "setsockopt":
            attempt.abort()  # the client's side is to be aborted as well
        elif call == "send":
            attempt.send(b"line\r\n")
        else:
            client.send(b"line\r\n")
        town.until(lambda: not town.gateway.request_count() and not town.admission.used())
        assert stream.closed
        if call != "setsockopt":
            with contextlib.suppress(ConnectionResetError):
                while attempt.receive(5.0):
                    pass
        assert town.gateway.metrics.classes["read"].established == 1

    Town().run(story)


def test_a_connect_that_is_interrupted_goes_on(monkeypatch: pytest.MonkeyPatch) -> None:
    """connect(2): EINTR, and the connection comes up all the same."""

    class Interrupted(socket.socket):
        def connect_ex(self, address: object) -> int:
            code = super().connect_ex(address)  # type: ignore[arg-type]
            return errno.EINTR if code == errno.EINPROGRESS else code

    def story(town: Town) -> None:
        monkeypatch.setattr(sockets_module.socket, "socket", Interrupted)
        assert town.pair()

    Town().run(story)


def test_a_client_that_left_is_not_tried_again() -> None:
    """The operators' notes: an attempt that begins more than 0.1 s after that is a lost request."""

    def story(town: Town) -> None:
        client = town.client(OPEN)
        attempt = town.attempt()
        read_line(attempt)
        attempt.send(b"ERR\r\n")  # another attempt follows after a pause
        client.close()
        town.until(lambda: town.gateway.metrics.classes["read"].abandoned == 1)
        town.scheduler.sleep(0.3)
        assert not town.arrived
        assert town.gateway.counts["attempts"] == 1

    Town(2).run(story)


def test_who_is_turned_away_at_once_gets_a_whole_answer_though_writes_are_short(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Found by the soak: of BUSY a few bytes went out, and the connection was closed."""

    class Short(socket.socket):
        def send(self, data: bytes, flags: int = 0) -> int:  # type: ignore[override]
            return super().send(data[:1], flags)

    def story(town: Town) -> None:
        town.admission.max_descriptors = 0
        monkeypatch.setattr(sockets_module.socket, "socket", Short)
        with dialled(town, OPEN) as client:
            assert rest(town, client) == b"BUSY 500\r\n"

    Town().run(story)


def test_what_waited_to_be_accepted_has_so_much_less_time() -> None:
    """PROTOCOL: ``d`` counts from the moment the client sent the line, also while nobody accepts it yet."""

    def story(town: Town) -> None:
        late = Listener(town.scheduler, ("127.0.0.1", 0), town._take, at_once=False)

        def left() -> float:
            """Until the last request is given up."""
            read_line(town.attempt())
            *_, request = town.gateway.requests.by_id.values()
            return request.give_up_at - town.gateway.now()

        with socket.create_connection(late.address) as early, socket.create_connection(late.address) as slow:
            early.sendall(OPEN)
            town.scheduler.sleep(0.5)
            late.start()
            assert left() <= 1.0
            slow.sendall(OPEN.replace(b"1a", b"1b"))  # came just now, though its connection has waited
            assert left() > 1.1
        late.close()

    Town().run(story)
