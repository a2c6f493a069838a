"""Two processes at one address: an upgrade under load."""

from __future__ import annotations

import socket
from collections.abc import Callable

import pytest

from ironmill.net.listener import Listener
from ironmill.net.sockets import Stream
from ironmill.runtime.scheduler import Scheduler
from ironmill_testbed.fleet import play


class Pair:
    """Two shared listeners at one address, and who accepted what."""

    def __init__(self) -> None:
        self.scheduler = Scheduler()
        self.taken: dict[str, list[Stream]] = {"old": [], "new": []}
        self.old = Listener(
            self.scheduler, ("127.0.0.1", 0), self.taken["old"].append, at_once=False, shared=True
        )
        self.address = self.old.address
        self.new = Listener(
            self.scheduler, self.address, self.taken["new"].append, at_once=False, shared=True
        )
        self.clients: list[socket.socket] = []

    def connect(self, count: int) -> None:
        for _ in range(count):
            self.clients.append(socket.create_connection(self.address))

    def run(self, story: Callable[[], None]) -> None:
        try:
            play(self.scheduler, story, 30.0)
        finally:
            self.old.close()
            self.new.close()
            for client in self.clients:
                client.close()
            for stream in [*self.taken["old"], *self.taken["new"]]:
                stream.close()

    def counts(self) -> tuple[int, int]:
        """What old and new have accepted, once all that came has been."""
        for _ in range(3000):
            if len(self.taken["old"]) + len(self.taken["new"]) == len(self.clients):
                break
            self.scheduler.sleep(0.001)
        return len(self.taken["old"]), len(self.taken["new"])


def test_the_second_one_gets_nothing_until_it_starts() -> None:
    pair = Pair()

    def story() -> None:
        assert (pair.old.succeeds, pair.new.succeeds) == (False, True)
        pair.old.start()
        pair.connect(40)
        assert pair.counts() == (40, 0)
        pair.new.start()
        pair.connect(200)
        old, new = pair.counts()
        assert old > 40
        assert new > 0

    pair.run(story)


def test_nothing_is_reset_when_the_first_one_gives_way_and_closes() -> None:
    pair = Pair()

    def story() -> None:
        pair.old.start()
        pair.new.start()
        pair.connect(50)  # some wait at the old one when it gives way
        pair.old.give_way()
        before = pair.counts()
        pair.connect(100)
        assert pair.counts() == (before[0], before[1] + 100)
        pair.connect(20)
        pair.old.close()
        pair.connect(20)
        assert pair.counts() == (before[0], before[1] + 140)
        # What the old one asked of the kernel does not outlive it: a third one shares with the second.
        third = Listener(pair.scheduler, pair.address, pair.taken["old"].append, at_once=False, shared=True)
        third.start()
        pair.connect(200)
        old, new = pair.counts()
        assert old > before[0]
        assert new > before[1] + 140
        third.close()

    pair.run(story)


def test_one_that_gives_way_to_nobody_goes_on_accepting() -> None:
    pair = Pair()

    def story() -> None:
        pair.old.start()
        pair.old.give_way()
        pair.connect(20)
        assert pair.counts() == (20, 0)

    pair.run(story)


def test_one_that_never_started_closes() -> None:
    pair = Pair()

    def story() -> None:
        pair.old.start()
        pair.new.close()
        pair.connect(10)
        assert pair.counts() == (10, 0)

    pair.run(story)


def test_an_address_that_is_not_shared_is_refused() -> None:
    with socket.create_server(("127.0.0.1", 0)) as other, pytest.raises(OSError, match="in use"):
        Listener(Scheduler(), other.getsockname(), lambda _: None, shared=True)
