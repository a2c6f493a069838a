"""Stand-ins of the second review: servers, discovery, clients and the start of a proxy.

They follow PROTOCOL, WIRE and DEPLOY of the operators' pages, and use the standard library alone. Everything
runs on loopback addresses in the process of one case, except the proxies.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import secrets
import signal
import socket
import struct
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
RUN = "exec .venv/bin/python -m ironmill serve"
HOST = "127.0.0.1"
RESET = struct.pack("ii", 1, 0)


def run_command() -> str:
    """Returns the command ``run`` of the deploy file."""
    for line in (ROOT / "deploy" / "balancer.toml").read_text().splitlines():
        if line.startswith("run = "):
            return line.split('"')[1]
    return RUN


def free_port() -> int:
    """Returns a port that is free now, below the ephemeral ports."""
    while True:
        port = 12000 + secrets.randbelow(20000)
        with contextlib.suppress(OSError), socket.socket() as sock:
            sock.bind((HOST, port))
            return port


class Record:
    """What was sent, answered and run, with the time since the start."""

    def __init__(self, path: Path) -> None:
        """Creates an empty record that ``save`` writes to the path."""
        self.started_at = time.monotonic()
        self.path = path
        self.lines: list[str] = []

    def add(self, text: str) -> None:
        """Adds a line."""
        self.lines.append(f"{time.monotonic() - self.started_at:9.4f} {text}")

    def save(self) -> None:
        """Writes all lines."""
        self.path.write_text("\n".join(self.lines) + "\n")


@dataclass
class Attempt:
    """One request line that a server has received."""

    id: str
    uid: str
    at: float
    first_byte_at: float
    line: str
    out: bool = True  # neither answered nor given up


class Server:
    """A server that accepts connections and echoes lines, unless it is told otherwise."""

    def __init__(self, record: Record, uid: str, zone: str = "hall-a", cell: int = 0) -> None:
        """Creates a server that ``start`` lets listen."""
        self.record, self.uid, self.zone, self.cell = record, uid, zone, cell
        self.port = 0
        self.attempts: list[Attempt] = []
        self.open: dict[str, asyncio.StreamWriter] = {}  # established connections by id
        self.answer: Callable[[Attempt], str] = lambda attempt: "up"
        self.echoes = True
        self.report: Callable[[], float] = lambda: 0.1  # load asked of it over what it can do
        self.stream_interval = 0.0  # of lines that nobody asked for; 0 for none
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Starts to listen, at the same port again after ``stop``."""
        self._server = await asyncio.start_server(self._serve, HOST, self.port, limit=1 << 20)
        self.port = self._server.sockets[0].getsockname()[1]

    def entry(self, state: str = "up", boot_ms: int = 0) -> dict[str, Any]:
        """Returns the server's entry in discovery's list."""
        return {
            "uid": self.uid,
            "endpoint": f"{HOST}:{self.port}",
            "az": self.zone,
            "model": "std-4",
            "pod_group": self.cell,
            "state": state,
            "capacity_hint": 1.0,
            "boot_ms": boot_ms,
        }

    def reset(self, connection: str) -> None:
        """Resets an established connection."""
        abort(self.open.pop(connection))

    async def stop(self) -> None:
        """Ends as a killed process does: its connections are reset, new ones refused."""
        if self._server is not None:
            self._server.close()
        for attempt in self.open:
            self.record.add(f"{self.uid} {attempt} cut off: the server ends")
        self.open.clear()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.sleep(0)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            await self._converse(reader, writer)
        except (OSError, asyncio.IncompleteReadError):
            pass
        except asyncio.CancelledError:
            abort(writer)
        finally:
            self._tasks.discard(task)
            writer.close()

    async def _converse(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        attempt = await self._read_attempt(reader, writer)
        if attempt is None:
            return
        how = self.answer(attempt)
        if how.startswith("late "):  # answers UP after so many seconds
            try:
                await asyncio.wait_for(reader.read(1), float(how[5:]))
            except TimeoutError:
                how = "up"
        if how.startswith("late ") or how == "hang":
            while await reader.read(4096):
                pass
            attempt.out = False
            self.record.add(f"{self.uid} {attempt.id} given up by the proxy")
            return
        attempt.out = False
        if how == "reset":
            self.record.add(f"{self.uid} {attempt.id} reset")
            abort(writer)
        elif how == "up":
            await self._hold(attempt, reader, writer)
        else:
            self.record.add(f"{self.uid} {attempt.id} answered {how}")
            writer.write(how.encode() + b"\r\n")

    async def _read_attempt(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> Attempt | None:
        """Answers probes, and returns the first other line; None after a line that no client sends."""
        while True:
            first = await reader.readexactly(1)
            first_byte_at = time.monotonic()
            line = (first + await reader.readuntil(b"\r\n")).decode().rstrip("\r\n")
            if line not in ("PING", "STATS"):
                break
            noise = 0.98 + 0.04 * secrets.randbelow(1000) / 1000.0
            writer.write(b"PONG x0=%.4f,eps=0,queue=0\r\n" % (self.report() * noise))
        words = line.split(" ")
        if len(words) != 4 or words[0] != "OPEN":
            self.record.add(f"{self.uid} SYNTAX {line!r}")
            writer.write(b"SYNTAX\r\n")
            return None
        attempt = Attempt(words[1], self.uid, time.monotonic(), first_byte_at, line)
        self.attempts.append(attempt)
        self.record.add(f"{self.uid} got {line}")
        return attempt

    async def _hold(
        self, attempt: Attempt, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answers UP and echoes lines until the proxy ends the connection."""
        writer.write(f"UP {self.uid}-{attempt.id}\r\n".encode())
        self.record.add(f"{self.uid} {attempt.id} answered UP")
        self.open[attempt.id] = writer
        streaming = asyncio.ensure_future(self._stream(writer)) if self.stream_interval else None
        try:
            while data := await reader.readline():
                if self.echoes:
                    writer.write(data)
        finally:
            if streaming is not None:
                streaming.cancel()
            if self.open.pop(attempt.id, None) is not None:
                self.record.add(f"{self.uid} {attempt.id} ended by the proxy")

    async def _stream(self, writer: asyncio.StreamWriter) -> None:
        while not writer.is_closing():
            writer.write(b"index update\r\n")
            await asyncio.sleep(self.stream_interval)


def abort(writer: asyncio.StreamWriter) -> None:
    """Resets a connection."""
    sock = writer.get_extra_info("socket")
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    writer.transport.abort()


class Discovery:
    """Discovery at one address: the whole list, and watches on changes."""

    def __init__(self, record: Record, rev: int = 41) -> None:
        """Creates discovery with an empty list."""
        self.record = record
        self.rev = rev
        self.port = 0
        self.entries: dict[str, dict[str, Any]] = {}
        self.changed: dict[str, int] = {}  # revision of the last change, by uid
        self.told: dict[str, float] = {}  # when a state other than up was written to the proxy, by uid
        self.silent = False
        self.delay = 0.0  # of each answer
        self.calls = 0
        self._server: asyncio.Server | None = None
        self._news = asyncio.Event()

    async def start(self) -> None:
        """Starts to listen."""
        self._server = await asyncio.start_server(self._serve, HOST, self.port)
        self.port = self._server.sockets[0].getsockname()[1]

    def put(self, entry: dict[str, Any]) -> None:
        """Adds or changes an entry."""
        self.rev += 1
        self.entries[entry["uid"]] = entry
        self.changed[entry["uid"]] = self.rev
        self._news.set()
        self._news = asyncio.Event()

    def known(self) -> dict[str, Any]:
        """Returns the list in the form of ``known``."""
        listed = [entry for entry in self.entries.values() if entry["state"] != "removed"]
        return {"rev": self.rev, "all": True, "targets": listed}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                path = head.split(" ")[1]
                self.calls += 1
                called_at = time.monotonic()
                if self.delay:  # in turn, and at work
                    await asyncio.sleep(self.delay)
                body = await self._body(path)
                while self.silent:
                    await asyncio.sleep(0.01)
                if writer.is_closing() or reader.at_eof():
                    self.record.add(f"discovery GET {path}: given up by the proxy")
                    break
                took = time.monotonic() - called_at
                news = [(entry["uid"], entry["state"]) for entry in body["targets"]]
                self.record.add(f"discovery GET {path}: 200 after {took:.2f} s, {news}")
                text = json.dumps(body).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(text), text))
                for entry in body["targets"]:
                    if entry["state"] != "up":
                        self.told.setdefault(entry["uid"], time.monotonic())
        writer.close()

    async def _body(self, path: str) -> dict[str, Any]:
        _, _, query = path.partition("?")
        fields = dict(item.split("=") for item in query.split("&")) if query else {}
        after = int(fields.get("after", -1))
        if after < 0 or after > self.rev:
            return self.known()
        if after == self.rev:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._news.wait(), int(fields.get("wait_ms", 0)) / 1000.0)
        changes = [self.entries[uid] for uid, rev in self.changed.items() if rev > after]
        return {"rev": self.rev, "all": False, "targets": changes}


@dataclass
class Client:
    """One client connection and what became of it."""

    id: str
    line: str = ""
    sent_at: float = 0.0
    answer: str = ""  # the first line; "refused", "reset", "end" or "none" if there was none
    answered_at: float = 0.0
    end: str = ""  # how the established connection ended: "MOVE", "BYE", "end", "reset", "left"
    ended_at: float = 0.0
    lines: list[str] = field(default_factory=list)
    reader: asyncio.StreamReader | None = None
    writer: asyncio.StreamWriter | None = None

    @property
    def up(self) -> bool:
        """Whether it was served."""
        return self.answer.startswith("UP ")


class Clients:
    """Clients that open connections at a proxy, wait for the answer and send a line every 2 s."""

    def __init__(self, record: Record) -> None:
        """Creates no client yet."""
        self.record = record
        self.all: list[Client] = []
        self.tasks: list[asyncio.Task[None]] = []
        self.line_interval = 2.0

    def request(self, port: int, fields: str = "c=index-sync,d=2000", stays: float = 60.0) -> Client:
        """Starts a client that leaves after ``stays`` seconds."""
        client = Client(secrets.token_hex(8))
        client.line = f"OPEN {client.id} {secrets.token_hex(8)} {fields}"
        self.all.append(client)
        self.tasks.append(asyncio.ensure_future(self._run(client, port, stays)))
        return client

    async def _run(self, client: Client, port: int, stays: float) -> None:
        try:
            await self._connect(client, port)
            if client.up:
                await asyncio.wait_for(self._stay(client), stays)
        except TimeoutError:
            client.end = "left"
        except OSError as error:
            if client.up:
                client.end = "reset"
            else:
                client.answer = "refused" if isinstance(error, ConnectionRefusedError) else "reset"
        client.ended_at = time.monotonic()
        self.record.add(f"client {client.id} answer {client.answer!r} end {client.end!r}")
        if client.writer is not None:
            client.writer.close()

    async def _connect(self, client: Client, port: int) -> None:
        client.reader, client.writer = await asyncio.open_connection(HOST, port)
        client.writer.write(client.line.encode() + b"\r\n")
        client.sent_at = time.monotonic()
        self.record.add(f"client {client.id} sent {client.line}")
        try:
            data = await asyncio.wait_for(client.reader.readline(), 60.0)
        except TimeoutError:
            data = b"none"
        client.answer = data.decode().rstrip("\r\n") or "end"
        client.answered_at = time.monotonic()

    async def _stay(self, client: Client) -> None:
        assert client.reader is not None
        assert client.writer is not None
        sending = asyncio.ensure_future(self._send(client))
        try:
            while data := await client.reader.readline():
                line = data.decode().rstrip("\r\n")
                client.lines.append(line)
                if line.split(" ")[0] in ("MOVE", "BYE"):
                    client.end = line.split(" ")[0]
                    return
            client.end = "end"
        finally:
            sending.cancel()

    async def _send(self, client: Client) -> None:
        assert client.writer is not None
        number = 0
        while True:
            await asyncio.sleep(self.line_interval)
            number += 1
            client.writer.write(f"line {number}\r\n".encode())


started: list[Proxy] = []


class Proxy:
    """A proxy, started with the deploy file's command."""

    def __init__(self, record: Record, folder: Path, config: dict[str, Any], label: str = "") -> None:
        """Writes the configuration; ``start`` starts the process."""
        self.record, self.folder, self.config = record, folder, config
        self.label = label or config["name"]
        self.port = int(config["listen"].rpartition(":")[2])
        self.process: asyncio.subprocess.Process | None = None
        self.path = folder / f"{self.label}.json"
        self.command = run_command()
        started.append(self)

    def write(self) -> None:
        """Writes the configuration file."""
        self.path.write_text(json.dumps(self.config))

    async def start(self, *, wait: bool = True) -> None:
        """Starts the process, and waits until it answers PING with PONG."""
        self.write()
        environment = {name: value for name, value in os.environ.items() if not name.startswith("PROXY_")}
        environment |= {"PROXY_CONFIG": str(self.path), "TMPDIR": str(self.folder)}
        with (self.folder / f"{self.label}.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", self.command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.record.add(f"{self.label} started")
        if wait:
            await self.ready()

    async def ready(self, within: float = 30.0) -> bool:
        """Waits until PING is answered with PONG; returns False if it is not in time."""
        deadline = time.monotonic() + within
        while time.monotonic() < deadline:
            if await self.ping() == "PONG":
                self.record.add(f"{self.label} ready")
                return True
            await asyncio.sleep(0.02)
        return False

    async def ping(self) -> str:
        """Returns the answer to PING; empty if there is none."""
        with contextlib.suppress(OSError, TimeoutError):
            reader, writer = await asyncio.open_connection(HOST, self.port)
            writer.write(b"PING\r\n")
            answer = await asyncio.wait_for(reader.readline(), 1.0)
            writer.close()
            return answer.decode().rstrip("\r\n")
        return ""

    def signal(self, number: int) -> None:
        """Sends a signal to the process."""
        assert self.process is not None
        self.record.add(f"{self.label} gets {signal.Signals(number).name}")
        if self.process.returncode is None:
            self.process.send_signal(number)

    async def call(self, method: str, path: str) -> tuple[int, bytes]:
        """Calls the admin API at ``control`` and returns status and body."""
        host, _, port = self.config["control"].rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(f"{method} {path} HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n".encode())
        data = await asyncio.wait_for(reader.read(), 5.0)
        writer.close()
        self.record.add(f"{self.label} {method} {path}: {data[:15]!r}")
        return int(data.split(b" ")[1]), data.partition(b"\r\n\r\n")[2]

    async def kill(self) -> None:
        """Kills the process if it still runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
        if self.process is not None:
            await self.process.wait()


def settings(**changes: Any) -> dict[str, Any]:
    """Returns the settings of WIRE's example (pos-registry); changes are by top-level key."""
    classes = [
        {"name": "index-sync", "aimS": 0.5, "hardLimitS": 2.0, "points": 2.0},
        {"name": "archive-fetch", "aimS": 0.8, "hardLimitS": 3.2, "points": 6.0},
    ]
    common = {"effect": "pure", "group": "all", "lateWorth": 0.0, "streamed": True, "windowS": 5.0}
    value: dict[str, Any] = {
        "balancers": 4,
        "categories": [item | common for item in classes],
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
            "mode": "pass",
            "parkS": 6.096582,
            "tellsDelay": True,
            "tellsLoad": False,
            "tenantQuotaConnections": [],
        },
        "feedback": {"fields": ["x0", "eps", "queue"], "how": "on_probe"},
        "flavors": ["std-4", "slow-4"],
        "me": 0,
        "myZone": "hall-a",
        "overShareWorth": 0.1,
        "prices": {"connection": 0.0, "crossZone": 0.017, "handshake": 0.0, "moves": 0.03, "probe": 0.0032},
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
        "weightSource": "live",
        "zones": ["hall-a", "hall-b", "hall-c", "hall-d"],
    }
    return value | changes


def config(name: str, discovery: Discovery, values: dict[str, Any], **changes: Any) -> dict[str, Any]:
    """Returns a proxy's configuration."""
    return {
        "name": name,
        "listen": f"{HOST}:{free_port()}",
        "discovery": f"{HOST}:{discovery.port}",
        "control": f"{HOST}:{free_port()}",
        "seed": secrets.token_hex(8),
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": discovery.known(),
        "settings": values,
    } | changes


def trouble() -> bool:
    """Whether the disruption takes place: not with ``TROUBLE=0``."""
    return os.environ.get("TROUBLE", "1") != "0"


async def _run(
    case: Callable[[Record, Path], Awaitable[list[str]]], record: Record, folder: Path
) -> list[str]:
    """Runs a case and ends its proxies, also when it fails."""
    try:
        return await asyncio.wait_for(case(record, folder), 110.0)
    finally:
        for proxy in started:
            await proxy.kill()
            log = folder / f"{proxy.label}.log"
            if log.exists():
                record.lines += [f"    log {line}" for line in log.read_text().splitlines()[-60:]]


def run_case(case: Callable[[Record, Path], Awaitable[list[str]]], folder: Path) -> None:
    """Runs a case, which returns the breaches of its rule, and exits with 0, 1 or 2."""
    record = Record(folder / "record.txt")
    status = 2
    try:
        with tempfile.TemporaryDirectory() as temporary:
            breaches = asyncio.run(_run(case, record, Path(temporary)))
        for breach in breaches:
            record.add(f"BREACH {breach}")
        status = 1 if breaches else 0
        record.add(f"{len(breaches)} breaches")
    except Exception as error:  # noqa: BLE001 (any failure of the case itself is reported as 2)
        record.add(f"the case could not run: {type(error).__name__}: {error}")
    record.save()
    print(record.lines[-1])
    sys.exit(status)
