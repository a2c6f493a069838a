"""The process of the emulated neighbours: servers and discovery, told what to do in JSON lines.

It reads one command a line from standard input, ``["drain", "s-2"]`` for one, and writes one line with the
answer. It ends when its input does, so it never outlives the process that started it.
"""

from __future__ import annotations

import os
import sys
from collections.abc import Callable, Mapping
from typing import Any

import orjson

from ironmill.net.sockets import READ_BYTES
from ironmill.runtime.scheduler import READ, Scheduler
from ironmill_testbed.discovery import EmulatedDiscovery
from ironmill_testbed.hosts import Attempts, EmulatedHost, Mode

ZONES = "ab"


class Neighbourhood:
    """Servers ``s-0`` and so on, listed by one discovery."""

    def __init__(self, scheduler: Scheduler, hosts: int) -> None:
        self._scheduler = scheduler
        self.discovery = EmulatedDiscovery(scheduler)
        self.attempts = Attempts()
        self.hosts: dict[str, EmulatedHost] = {}
        for at in range(hosts):
            self.add(f"s-{at}")

    def add(self, uid: str, boot: float = 0.0) -> None:
        """One more server, listed as up."""
        host = EmulatedHost(self._scheduler, uid, ZONES[len(self.hosts) % len(ZONES)], attempts=self.attempts)
        self.hosts[uid] = host
        self.discovery.put(uid, host.address, host.zone, "up", boot)

    def drain(self, uid: str, stay: float = 2.0, over: float = 2.0) -> None:
        """Tell discovery, wait so long, send away what is left over so many seconds, then be gone."""
        host = self.hosts[uid]
        host.drain()
        self.discovery.put(uid, host.address, host.zone, "draining")
        self._scheduler.spawn(self._leave, host, stay, over)

    def _leave(self, host: EmulatedHost, stay: float, over: float) -> None:
        self._scheduler.sleep(stay)
        host.send_away(over)
        host.close()
        self.discovery.put(host.uid, host.address, host.zone, "removed")

    def treat(self, uid: str, mode: str) -> None:
        """From now on the server treats first lines so."""
        self.hosts[uid].mode = Mode(mode)

    def crash(self, uid: str) -> None:
        """The server's process dies, and discovery tells that it is gone."""
        host = self.hosts[uid]
        host.crash()
        self.discovery.put(uid, host.address, host.zone, "removed")

    def seen(self) -> dict[str, Any]:
        """What the servers have seen of each request."""
        return {"began": self.attempts.began, "overlaps": self.attempts.overlaps}

    def told(self) -> dict[str, Any]:
        """What the servers have seen."""
        return {
            "discovery": self.discovery.address,
            "asked": self.discovery.asked,
            "hosts": [host.told() for host in self.hosts.values()],
        }


def run(hosts: int) -> int:
    """Serve until standard input ends; the exit status."""
    scheduler = Scheduler()
    neighbourhood = Neighbourhood(scheduler, hosts)

    def told_after(action: Callable[..., object]) -> Callable[..., object]:
        def answer(*args: object) -> object:
            action(*args)
            return neighbourhood.told()

        return answer

    scheduler.spawn(
        answer_commands,
        scheduler,
        {
            "told": neighbourhood.told,
            "seen": neighbourhood.seen,
            "treat": told_after(neighbourhood.treat),
            "crash": told_after(neighbourhood.crash),
            "add": told_after(neighbourhood.add),
            "drain": told_after(neighbourhood.drain),
        },
    )
    scheduler.run()
    return 0


def answer_commands(scheduler: Scheduler, commands: Mapping[str, Callable[..., object]]) -> None:
    """A task: read a command a line from standard input and write its answer, until that ends; then stop."""
    descriptor, held = sys.stdin.fileno(), b""
    os.set_blocking(descriptor, False)
    try:
        while True:
            scheduler.wait(descriptor, READ)
            data = os.read(descriptor, READ_BYTES)
            if not data:
                break
            *lines, held = (held + data).split(b"\n")
            for line in lines:
                word, *args = orjson.loads(line)
                sys.stdout.buffer.write(orjson.dumps(commands[word](*args)) + b"\n")
                sys.stdout.buffer.flush()
    finally:
        scheduler.stop()  # also after a failure: who asked must not wait for ever
