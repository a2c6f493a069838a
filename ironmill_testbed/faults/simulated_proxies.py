"""Hollow proxies: many of the program's leaves of distribution in one process, each on a socket of its own.

State machine, driver, settings and hub are the program's. A hollow proxy has no clients, and its consumer
takes every change. What the leaves tell is summed in memory and asked for on standard input, as
``ironmill_testbed.emulate`` is. Moments are ``time.monotonic``, the clock that all processes of a machine
share.
"""

from __future__ import annotations

import time
from array import array
from collections import Counter, deque
from collections.abc import Mapping, Sequence
from dataclasses import replace
from typing import Any

import psutil

from ironmill.configuration.operator_files import read_operator_files
from ironmill.configuration.settings.model import DistributionSettings
from ironmill.distribution.events import (
    BecameFresh,
    BecameStale,
    Event,
    ParentChanged,
    ParentLost,
    RevisionApplied,
)
from ironmill.distribution.revision import START, Position, Rejection
from ironmill.distribution.timing import TICK_INTERVAL_S
from ironmill.membership.identity import Address, Datagram
from ironmill.net.datagrams import DatagramMachine
from ironmill.net.distribution import Distribution
from ironmill.net.distribution_log import log_line
from ironmill.runtime.scheduler import Scheduler
from ironmill_testbed.emulate import answer_commands

REGIONS, ZONES = 5, 11
TWINS = ("shard/twin-a", "shard/twin-b")  # whoever changes one changes both, to the same value
NUMBERS_MOST = 4096  # revisions of which moments are kept
MOVES_MOST = 1 << 16
SPREAD = 1.0  # seconds over which a process's proxies start, as proxies of a fleet do not tick together


def zone(at: int) -> str:
    """The zone of the process of that number."""
    return f"z{at % ZONES}"


def region(at: int) -> str:
    """The region that the zone lies in."""
    return f"r{at % ZONES % REGIONS}"


class Tally:
    """What the proxies of one process have told."""

    def __init__(self) -> None:
        self.in_force: dict[str, Position] = {}  # by proxy
        self.reached: dict[int, array[float]] = {}  # by number: when it, or a later one, was in force at each
        self.digests: dict[Position, Counter[str]] = {}
        self.parents: dict[str, str] = {}
        self.stale: set[str] = set()
        self.stale_at: dict[str, float] = {}  # when each was last seen to become so
        self.events: Counter[str] = Counter()
        self.out_of_order = 0
        self.torn = 0  # changes that came without what belongs to them
        self.received = 0  # bytes
        self._moves: deque[tuple[float, str]] = deque(maxlen=MOVES_MOST)  # when, and from whom
        self._left: dict[str, str] = {}

    def on_event(self, name: str, event: Event, now: float) -> None:
        """Takes an event of a proxy."""
        self.events[log_line(event).name] += 1
        match event:
            case RevisionApplied():
                self._in_force(name, event.position, f"{event.digest:x}", now)
            case BecameStale():
                self.stale.add(name)
                self.stale_at[name] = now
            case BecameFresh():
                self.stale.discard(name)
            case ParentLost():
                self._left[name] = event.parent
                self.parents.pop(name, None)
            case ParentChanged():
                before = event.previous or self._left.pop(name, "")
                self._moves.append((now, before))
                self.parents[name] = event.parent

    def moved(self, parent: str, since: float) -> dict[str, Any]:
        """Who has left that parent for another since then: how many, and when the last one."""
        moments = [at for at, before in self._moves if before == parent and at >= since]
        return {"count": len(moments), "last": max(moments, default=None)}

    def moments(self, first: int, last: int) -> dict[str, Any]:
        """When each of these numbers was in force at each proxy, and when proxies were last seen as stale."""
        numbers = range(first, last + 1)
        return {
            "reached": {
                str(at): [round(one, 4) for one in self.reached[at]] for at in numbers if at in self.reached
            },
            "stale": sorted(self.stale_at.values()),
        }

    def state(self) -> dict[str, Any]:
        """In short: how many have what in force, which parent, and are stale."""
        return {
            "in_force": Counter(str(one) for one in self.in_force.values()),
            "parents": Counter(self.parents.values()),
            "stale": len(self.stale),
        }

    def summed(self) -> dict[str, Any]:
        """All but the moments of each."""
        return self.state() | {
            "reached": {str(at): [len(all_), min(all_), max(all_)] for at, all_ in self.reached.items()},
            "digests": {str(at): dict(found) for at, found in self.digests.items()},
            "out_of_order": self.out_of_order,
            "torn": self.torn,
            "events": dict(self.events),
            "received": self.received,
        }

    def _in_force(self, name: str, position: Position, digest: str, now: float) -> None:
        before = self.in_force.get(name, START)
        self.in_force[name] = position
        if position <= before:
            self.out_of_order += 1
        self.digests.setdefault(position, Counter())[digest] += 1
        for number in range(max(before.number, position.number - NUMBERS_MOST) + 1, position.number + 1):
            self.reached.setdefault(number, array("d")).append(now)
        while len(self.reached) > NUMBERS_MOST:
            del self.reached[min(self.reached)]
        while len(self.digests) > NUMBERS_MOST:
            del self.digests[min(self.digests)]


class Taker:
    """A consumer that takes all, and looks whether what belongs together comes together."""

    looked_up: tuple[str, ...] = ()

    def __init__(self, tally: Tally) -> None:
        self._tally = tally

    def check(self, changes: Mapping[str, bytes | None]) -> Rejection | None:
        """Nothing is refused."""
        return None

    def apply(self, changes: Mapping[str, bytes | None]) -> None:
        """In force from now on."""
        one, other = TWINS
        if (one in changes) is not (other in changes) or changes.get(one) != changes.get(other):
            self._tally.torn += 1


class _Counted:
    """A machine whose datagrams are counted as they come."""

    def __init__(self, machine: DatagramMachine, tally: Tally) -> None:
        self._machine = machine
        self._tally = tally

    def tick(self, now: float) -> Sequence[Datagram]:
        """As the machine's."""
        return self._machine.tick(now)

    def receive(self, data: bytes, source: Address, now: float) -> Sequence[Datagram]:
        """As the machine's."""
        self._tally.received += len(data)
        return self._machine.receive(data, source, now)


class HollowProxy(Distribution):
    """One proxy's part in distribution, as in ``ironmill serve``, without the proxy."""

    def __init__(
        self,
        scheduler: Scheduler,
        at: int,
        settings: DistributionSettings,
        keys: Sequence[bytes],
        tally: Tally,
    ) -> None:
        self.name = f"h{at:04d}"
        self._tally = tally
        own = replace(settings, listen=("127.0.0.1", 0), zone=zone(at), region=region(at))
        super().__init__(scheduler, self.name, own, keys)
        self.use_proxy_node(Taker(tally))

    def start(self) -> None:
        """Take part from now on."""
        assert self.node is not None
        self._datagrams.start(_Counted(self.node, self._tally), TICK_INTERVAL_S)

    def _on_event(self, event: Event) -> None:
        self._tally.on_event(self.name, event, time.monotonic())


def run(settings: str, first: int, count: int) -> int:
    """Serve until standard input ends; the exit status. MalformedError where the settings are not fit."""
    operator = read_operator_files(settings, ())
    distribution = operator.settings.distribution
    assert distribution is not None
    scheduler, tally, ps = Scheduler(), Tally(), psutil.Process()
    proxies = [
        HollowProxy(scheduler, at, distribution, operator.distribution_keys, tally)
        for at in range(first, first + count)
    ]

    def start() -> None:
        for proxy in proxies:
            proxy.start()
            scheduler.sleep(SPREAD / count)

    def told() -> dict[str, Any]:
        dropped: Counter[str] = Counter()
        for proxy in proxies:
            assert proxy.node is not None
            dropped.update(proxy.node.dropped)
        return tally.summed() | {
            "proxies": len(proxies),
            "dropped": dict(dropped),
            "cpu": time.process_time(),
            "resident": ps.memory_info().rss,
            "sent": sum(proxy.node.sent_bytes for proxy in proxies if proxy.node is not None),
        }

    scheduler.spawn(start)
    scheduler.spawn(
        answer_commands,
        scheduler,
        {
            "told": told,
            "state": tally.state,
            "moved": tally.moved,
            "moments": tally.moments,
        },
    )
    scheduler.run()
    return 0
