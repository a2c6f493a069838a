"""Stand-ins of the review's cases: the platform, discovery's agent and the record. Standard library only.

They follow the protocol page and listen on loopback addresses and free ports.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import secrets
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
MAX_RUN_S = 110.0
READY_TIMEOUT_S = 20.0
MAX_WATCH_S = 60.0


class CouldNotRunError(Exception):
    """The case could not be played, so that it says nothing about the rule."""


class Record:
    """The record of a run: what was sent, answered and run, a line each, in ``record.txt``."""

    def __init__(self, folder: Path) -> None:
        """Starts an empty record in the folder."""
        self._file = (folder / "record.txt").open("w")
        self._started_at = time.monotonic()

    def add(self, text: str) -> None:
        """Adds a line, with the seconds since the start of the run."""
        self._file.write(f"{time.monotonic() - self._started_at:8.3f} {text}\n")
        self._file.flush()

    def conclude(self, text: str) -> None:
        """Adds the conclusion and prints it."""
        self.add(text)
        print(text, flush=True)


class Agent:
    """Discovery's agent on a proxy's machine: the whole list, and watches of its changes."""

    def __init__(self, record: Record) -> None:
        """Creates an agent that ``start`` makes listen."""
        self.port = 0
        self._record = record
        self._revision = 1
        self._targets: dict[str, dict[str, Any]] = {}
        self._changed_at: dict[str, int] = {}
        self._news = asyncio.Event()

    async def start(self) -> None:
        """Listens on a free port."""
        server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = server.sockets[0].getsockname()[1]

    def put(self, uid: str, port: int, zone: str, state: str, boot_ms: int = 0) -> None:
        """Lists a server in this state; ``boot_ms`` is its last start, 0 for long ago."""
        self._revision += 1
        self._changed_at[uid] = self._revision
        self._targets[uid] = {
            "uid": uid,
            "endpoint": f"{HOST}:{port}",
            "az": zone,
            "model": "std-4",
            "pod_group": 0,
            "state": state,
            "capacity_hint": 1.0,
            "boot_ms": boot_ms,
        }
        self._record.add(f"discovery: {uid} at {HOST}:{port} is {state}, rev {self._revision}")
        self._news.set()
        self._news = asyncio.Event()

    def whole_list(self) -> dict[str, Any]:
        """Returns the whole list."""
        listed = [target for target in self._targets.values() if target["state"] != "removed"]
        return {"rev": self._revision, "all": True, "targets": listed}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                query = parse_qs(urlsplit(head.split(b" ")[1].decode()).query)
                if "after" in query:
                    wait_s = min(MAX_WATCH_S, int(query.get("wait_ms", ["0"])[0]) / 1000.0)
                    message = await self._changes(int(query["after"][0]), wait_s)
                else:
                    message = self.whole_list()
                body = json.dumps(message).encode()
                writer.write(
                    b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%b"
                    % (len(body), body)
                )
                await writer.drain()
        writer.close()

    async def _changes(self, after: int, wait_s: float) -> dict[str, Any]:
        if self._revision <= after:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._news.wait(), wait_s)
        changed = [target for uid, target in self._targets.items() if self._changed_at[uid] > after]
        return {"rev": self._revision, "all": False, "targets": changed}


def site_settings(mode: str, effect: str = "pure") -> dict[str, Any]:
    """Returns the settings of a small deployment, named and sized as in the example of the wire page."""
    names = (("index-sync", 0.5, 2.0, 2.0), ("archive-fetch", 0.8, 3.2, 6.0))
    return {
        "balancers": 2,
        "categories": [
            {
                "aimS": aim_s,
                "effect": effect,
                "group": "all",
                "hardLimitS": limit_s,
                "lateWorth": 0.0,
                "name": name,
                "points": points,
                "streamed": True,
                "windowS": 5.0,
            }
            for name, aim_s, limit_s, points in names
        ],
        "ceilings": {
            "connectTimeoutS": 0.12,
            "cpuUsPerRequest": 0.0,
            "cpuUsPerS": 400000,
            "keepaliveS": 30.0,
            "maxOpen": 1000000,
            "maxRetryAfterS": 1.5,
            "mayCancel": True,
            "mayDuplicate": False,
            "multiplex": 1048576,
            "peers": False,
            "probes": True,
            "retryAfter": True,
            "sendCap": 3,
        },
        "clientHabits": {"marksRetry": True},
        "discovery": "push",
        "family": "conn",
        "familyInfo": {
            "groups": True,
            "messageAimS": [0.25, 0.15],
            "mode": mode,
            "parkS": 6.0,
            "tellsDelay": True,
            "tellsLoad": False,
            "tenantQuotaConnections": [],
        },
        "feedback": {"fields": ["x0", "eps", "queue"], "how": "on_probe"},
        "flavors": ["std-4"],
        "me": 0,
        "myZone": "hall-a",
        "overShareWorth": 0.1,
        "prices": {"handshake": 0.0, "moves": 0.03, "probe": 0.0032, "waste": 0.02},
        "projects": [],
        "roundS": 0.002,
        "rules": {
            "answerSlackS": 0.008,
            "askWithinS": 10.0,
            "coldFrom": 0.32,
            "drainGraceS": 0.25,
            "fallMultiple": 3.0,
            "rampTimeS": 8.8,
            "tipAfterS": 2.0,
        },
        "tier": 0,
        "tiers": ["index-stream"],
        "valueBy": "request",
        "weightSource": "nominal",
        "zones": ["hall-a", "hall-b"],
    }


class Proxy:
    """A proxy process, started by the deploy file's ``run`` as the deployment page tells."""

    def __init__(self, name: str, folder: Path, record: Record) -> None:
        """Chooses the proxy's address. ``folder`` is for its configuration, its log and its ``TMPDIR``."""
        self.name = name
        self.port = free_port()
        self._folder = folder
        self._record = record
        self._process: subprocess.Popen[bytes] | None = None

    def start(self, agent: Agent, settings: dict[str, Any], known: dict[str, Any] | None = None) -> None:
        """Starts the process with these settings and this known list, the agent's present one if None."""
        listen, discovery = f"{HOST}:{self.port}", f"{HOST}:{agent.port}"
        config_path = self._folder / f"{self.name}.json"
        config = {
            "name": self.name,
            "listen": listen,
            "discovery": discovery,
            "seed": secrets.token_hex(8),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": agent.whole_list() if known is None else known,
            "settings": settings,
        }
        config_path.write_text(json.dumps(config))
        command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        environment = os.environ | {
            "PROXY_NAME": self.name,
            "PROXY_LISTEN": listen,
            "PROXY_DISCOVERY": discovery,
            "PROXY_CONFIG": str(config_path),
            "TMPDIR": tempfile.mkdtemp(dir=self._folder),
        }
        with (self._folder / f"{self.name}.log").open("ab") as log:
            self._process = subprocess.Popen(
                ["/bin/sh", "-c", command], cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self._record.add(f"platform: started {self.name} at {listen}")

    async def wait_ready(self) -> None:
        """Waits until the proxy answers ``PING`` with ``PONG``, as the front does."""
        deadline = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < deadline:
            with contextlib.suppress(OSError, TimeoutError):
                reader, writer = await asyncio.open_connection(HOST, self.port)
                writer.write(b"PING\r\n")
                answer = await asyncio.wait_for(reader.readline(), 1.0)
                writer.close()
                if answer == b"PONG\r\n":
                    self._record.add(f"platform: {self.name} is ready")
                    return
            await asyncio.sleep(0.05)
        raise CouldNotRunError(f"{self.name} was not ready within {READY_TIMEOUT_S} s")

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process."""
        if self._process is not None and self._process.poll() is None:
            self._record.add(f"platform: {number.name} to {self.name}")
            self._process.send_signal(number)

    def exit_status(self) -> int | None:
        """Returns the exit status, None while the process runs."""
        return None if self._process is None else self._process.poll()

    def end(self) -> None:
        """Kills the process and adds its log to the record."""
        if self._process is None:
            return
        if self._process.poll() is None:
            self._process.kill()
        self._process.wait()
        for line in (self._folder / f"{self.name}.log").read_text(errors="replace").splitlines():
            self._record.add(f"log of {self.name}: {line}")


def free_port() -> int:
    """Returns a free port below the ephemeral range, which no outgoing connection takes."""
    for _ in range(1000):
        port = 12000 + secrets.randbelow(18000)
        with socket.socket() as sock, contextlib.suppress(OSError):
            sock.bind((HOST, port))
            return port
    raise CouldNotRunError("no free port")


def has_trouble() -> bool:
    """Returns False if the case is played without its disruption (``TROUBLE=0``)."""
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(
    folder: Path, play: Callable[[Record, Path, list[Proxy]], Awaitable[int]], max_run_s: float = MAX_RUN_S
) -> None:
    """Plays a case and exits with its status. Ends the proxies that ``play`` adds to its list."""
    record = Record(folder)
    proxies: list[Proxy] = []
    signal.signal(signal.SIGTERM, lambda _number, _frame: sys.exit(COULD_NOT_RUN))  # ends the proxies as well

    async def play_in_time(temporary: Path) -> int:
        # Connections that are still open at the end are cancelled, which asyncio would report as errors.
        asyncio.get_running_loop().set_exception_handler(lambda _loop, _context: None)
        return await asyncio.wait_for(play(record, temporary, proxies), max_run_s)

    with tempfile.TemporaryDirectory() as temporary:
        try:
            status = asyncio.run(play_in_time(Path(temporary)))
        except Exception as error:  # noqa: BLE001 (whatever keeps the case from being played)
            record.conclude(f"could not run: {type(error).__name__} {error}")
            status = COULD_NOT_RUN
        finally:
            for proxy in proxies:
                proxy.end()
    sys.exit(status)
