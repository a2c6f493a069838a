"""Two listeners that share an address, as the old and the new process do in an upgrade."""

from __future__ import annotations

import socket
from collections.abc import Callable

import pytest

from ironmill.net.listener import Listener
from ironmill.net.sockets import Stream
from ironmill.runtime.scheduler import Scheduler
from ironmill_testbed.fleet import run_scenario


class ListenerPair:
    """Two listeners that share an address, and the connections that each has accepted."""

    def __init__(self) -> None:
        self.scheduler = Scheduler()
        self.accepted: dict[str, list[Stream]] = {"old": [], "new": []}
        self.old = Listener(self.scheduler, ("127.0.0.1", 0), self.accepted["old"].append, shared=True)
        self.address = self.old.address
        self.new = Listener(self.scheduler, self.address, self.accepted["new"].append, shared=True)
        self.clients: list[socket.socket] = []

    def connect(self, count: int) -> None:
        for _ in range(count):
            self.clients.append(socket.create_connection(self.address))

    def run(self, scenario: Callable[[], None]) -> None:
        try:
            run_scenario(self.scheduler, scenario, 30.0)
        finally:
            self.old.close()
            self.new.close()
            for client in self.clients:
                client.close()
            for stream in [*self.accepted["old"], *self.accepted["new"]]:
                stream.close()

    def counts(self) -> tuple[int, int]:
        """Waits until every connection is accepted; returns the counts of the old and the new listener."""
        for _ in range(3000):
            if len(self.accepted["old"]) + len(self.accepted["new"]) == len(self.clients):
                break
            self.scheduler.sleep(0.001)
        return len(self.accepted["old"]), len(self.accepted["new"])


def test_successor_gets_no_connections_until_it_starts() -> None:
    pair = ListenerPair()

    def scenario() -> None:
        assert (pair.old.has_predecessor, pair.new.has_predecessor) == (False, True)
        pair.old.start()
        pair.connect(40)
        assert pair.counts() == (40, 0)
        pair.new.start()
        pair.connect(200)
        old, new = pair.counts()
        assert old > 40
        assert new > 0

    pair.run(scenario)


def test_no_connection_is_reset_when_the_first_listener_gives_way_and_closes() -> None:
    pair = ListenerPair()

    def scenario() -> None:
        pair.old.start()
        pair.new.start()
        pair.connect(50)  # some are queued at the old listener when it yields
        pair.old.yield_to_successor()
        counts_before = pair.counts()
        pair.connect(100)
        assert pair.counts() == (counts_before[0], counts_before[1] + 100)
        pair.connect(20)
        pair.old.close()
        pair.connect(20)
        assert pair.counts() == (counts_before[0], counts_before[1] + 140)
        # A closed listener no longer redirects connections: a third one shares them with the second.
        third = Listener(pair.scheduler, pair.address, pair.accepted["old"].append, shared=True)
        third.start()
        pair.connect(200)
        old, new = pair.counts()
        assert old > counts_before[0]
        assert new > counts_before[1] + 140
        third.close()

    pair.run(scenario)


def test_listener_without_successor_goes_on_accepting_after_giving_way() -> None:
    pair = ListenerPair()

    def scenario() -> None:
        pair.old.start()
        pair.old.yield_to_successor()
        pair.connect(20)
        assert pair.counts() == (20, 0)

    pair.run(scenario)


def test_listener_that_never_started_closes() -> None:
    pair = ListenerPair()

    def scenario() -> None:
        pair.old.start()
        pair.new.close()
        pair.connect(10)
        assert pair.counts() == (10, 0)

    pair.run(scenario)


def test_unshared_address_is_not_available() -> None:
    with socket.create_server(("127.0.0.1", 0)) as unshared_socket, pytest.raises(OSError, match="in use"):
        Listener(Scheduler(), unshared_socket.getsockname(), lambda _: None, shared=True)
