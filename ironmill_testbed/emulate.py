"""The process of the emulated dependencies: servers and discovery, controlled by JSON commands.

It reads one command per line from standard input, such as ``["drain", "s-2"]``, and writes the response to
standard output as one line. It exits when standard input ends, so it never outlives the process that started
it.
"""

from __future__ import annotations

import os
import sys
from collections.abc import Callable, Mapping

import msgspec
import orjson

from ironmill.net.sockets import READ_BYTES
from ironmill.runtime.scheduler import READ, Scheduler
from ironmill_testbed.dependency_status import AttemptHistory, DependenciesStatus, ServerStatus
from ironmill_testbed.emulated_discovery import EmulatedDiscovery
from ironmill_testbed.emulated_servers import AttemptRecorder, EmulatedServer, Mode

ZONES = "ab"


class EmulatedDependencies:
    """Emulated servers ``s-0`` and so on, and a discovery that lists them."""

    def __init__(self, scheduler: Scheduler, server_count: int) -> None:
        self._scheduler = scheduler
        self.discovery = EmulatedDiscovery(scheduler)
        self.recorder = AttemptRecorder()
        self.servers: dict[str, EmulatedServer] = {}
        for number in range(server_count):
            self.add(f"s-{number}")

    def add(self, server_id: str, boot: float = 0.0) -> None:
        """Starts another server and lists it as up. ``boot`` is its start time as Unix time in seconds."""
        zone = ZONES[len(self.servers) % len(ZONES)]
        server = EmulatedServer(self._scheduler, server_id, zone, recorder=self.recorder)
        self.servers[server_id] = server
        self.discovery.put(server_id, server.address, server.zone, "up", boot)

    def drain(self, server_id: str, delay_s: float = 2.0, duration_s: float = 2.0) -> ServerStatus:
        """Announces the drain of a server, and returns the server's status at that time.

        After the delay, the connections are migrated evenly over the duration, and the server is removed.
        """
        server = self.servers[server_id]
        server.drain()
        self.discovery.put(server_id, server.address, server.zone, "draining")
        self._scheduler.spawn(self._remove, server, delay_s, duration_s)
        return server.status()

    def _remove(self, server: EmulatedServer, delay_s: float, duration_s: float) -> None:
        self._scheduler.sleep(delay_s)
        server.migrate_all(duration_s)
        server.close()
        self.discovery.put(server.server_id, server.address, server.zone, "removed")

    def set_mode(self, server_id: str, mode: str) -> None:
        """Changes how a server answers request lines. Raises ``ValueError`` if the mode is unknown."""
        self.servers[server_id].mode = Mode(mode)

    def crash(self, server_id: str) -> None:
        """Crashes a server and removes it from the endpoint list."""
        server = self.servers[server_id]
        server.crash()
        self.discovery.put(server_id, server.address, server.zone, "removed")

    def attempts(self) -> AttemptHistory:
        """Returns the attempts that all servers have received."""
        return self.recorder.history

    def status(self) -> DependenciesStatus:
        """Returns counters of discovery and of all servers."""
        servers = tuple(server.status() for server in self.servers.values())
        return DependenciesStatus(self.discovery.address, self.discovery.calls, servers)


def run(server_count: int) -> int:
    """Runs the dependencies until standard input ends; returns the exit status."""
    scheduler = Scheduler()
    dependencies = EmulatedDependencies(scheduler, server_count)
    commands: dict[str, Callable[..., object]] = {
        "status": dependencies.status,
        "attempts": dependencies.attempts,
        "set_mode": dependencies.set_mode,
        "crash": dependencies.crash,
        "add": dependencies.add,
        "drain": dependencies.drain,
    }
    scheduler.spawn(answer_commands, scheduler, commands)
    scheduler.run()
    return 0


def answer_commands(scheduler: Scheduler, commands: Mapping[str, Callable[..., object]]) -> None:
    """Executes commands from standard input until it ends, then stops the scheduler."""
    descriptor, buffer = sys.stdin.fileno(), b""
    os.set_blocking(descriptor, False)
    try:
        while True:
            scheduler.wait(descriptor, READ)
            data = os.read(descriptor, READ_BYTES)
            if not data:
                break
            *lines, buffer = (buffer + data).split(b"\n")
            for line in lines:
                command, *args = orjson.loads(line)
                response = commands[command](*args)
                sys.stdout.buffer.write(orjson.dumps(response, default=msgspec.to_builtins) + b"\n")
                sys.stdout.buffer.flush()
    finally:
        scheduler.stop()  # also after an error, so that the calling process does not wait for a response
