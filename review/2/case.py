"""Case 2: connections whose server streams lines are cut off without MOVE when that server drains."""

from __future__ import annotations

import asyncio
import contextlib
import random
import secrets
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins import (  # noqa: E402
    BROKEN,
    HELD,
    HOST,
    Agent,
    CouldNotRunError,
    Proxy,
    Record,
    has_trouble,
    run_case,
    site_settings,
)

SERVERS = 4
CLIENTS = 16
LINE_BYTES = (300, 1200)  # lengths of the streamed lines
BLOCK_BYTES = 2048  # a server writes whole blocks of its output, as a buffered writer does
BLOCK_INTERVAL_S = 0.04  # so a line is under way for 0.04 s at most: 50 kB a second for each connection
CLIENT_LINE_INTERVAL_S = 2.0
QUIET_S = 5.0  # streaming before the drain
DRAIN_S = 20.0  # how long the draining server is watched; it stays up and keeps its connections


class StreamServer:
    """A server that accepts each connection, streams lines on it and echoes the client's lines."""

    def __init__(self, uid: str, record: Record) -> None:
        """Creates a server that ``start`` makes listen."""
        self.uid = uid
        self.port = 0
        self.is_draining = False
        self.ended_by_proxy: dict[str, float] = {}  # by connection id: when the proxy ended it
        self._record = record
        self._rng = random.Random(uid)

    async def start(self) -> None:
        """Listens on a free port."""
        server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError):
            while line := await reader.readline():
                if line == b"STATS\r\n":
                    writer.write(b"PONG x0=%.3f,eps=0,queue=0\r\n" % (0.2 + 0.05 * self._rng.random()))
                elif line == b"PING\r\n":
                    writer.write(b"PONG\r\n")
                elif not line.startswith(b"OPEN "):
                    writer.write(b"SYNTAX\r\n")
                elif self.is_draining:
                    writer.write(b"BUSY\r\n")
                    break
                else:
                    await self._stream(line.split()[1].decode(), reader, writer)
                    break
        writer.close()

    async def _stream(self, uid: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._record.add(f"{self.uid}: OPEN {uid}, answered UP")
        writer.write(b"UP %b-%b\r\n" % (self.uid.encode(), secrets.token_hex(4).encode()))
        pending = bytearray()

        async def echo() -> None:
            with contextlib.suppress(OSError):
                while line := await reader.readline():
                    pending.extend(line)  # between two streamed lines
            self.ended_by_proxy[uid] = time.monotonic()
            self._record.add(f"{self.uid}: the proxy has ended {uid}; this server was still streaming on it")

        task = asyncio.create_task(echo())
        with contextlib.suppress(OSError):
            while not task.done():
                while len(pending) < BLOCK_BYTES:
                    pending += secrets.token_hex(self._rng.randint(*LINE_BYTES) // 2).encode() + b"\r\n"
                writer.write(bytes(pending[:BLOCK_BYTES]))
                del pending[:BLOCK_BYTES]
                await writer.drain()
                await asyncio.sleep(BLOCK_INTERVAL_S)
        await task


class Client:
    """A client that opens a connection through the proxy, sends a line each 2 s and reads all that comes."""

    def __init__(self, number: int, record: Record) -> None:
        """Creates a client that ``run`` plays to the end of its connection."""
        self.uid = f"{number:02d}{secrets.token_hex(7)}"
        self.answer = b""
        self.end = ""  # "MOVE", "ended" or "reset", once the connection has ended
        self.echoes = 0
        self.echoed_at = 0.0
        self.ended_at = 0.0
        self._record = record

    async def run(self, port: int) -> None:
        """Opens the connection and reads until it ends."""
        reader, writer = await asyncio.open_connection(HOST, port)
        class_name = "archive-fetch" if int(self.uid[:2]) % 2 else "index-sync"
        writer.write(f"OPEN {self.uid} {secrets.token_hex(8)} c={class_name},d=2000\r\n".encode())
        self.answer = (await reader.readline()).strip()
        self._record.add(f"client {self.uid}: answered {self.answer.decode()}")
        sender = asyncio.create_task(self._send_lines(writer))
        last = b""
        try:
            while piece := await reader.readline():  # the last piece may be without its CRLF
                last = piece
                if piece.startswith(b"line ") and piece.endswith(f" {self.uid}\r\n".encode()):
                    self.echoes += 1
                    self.echoed_at = time.monotonic()
            self.end = "MOVE" if last == b"MOVE\r\n" else "ended"
        except OSError:
            self.end = "reset"
        self.ended_at = time.monotonic()
        sender.cancel()
        writer.close()
        whole = last.endswith(b"\r\n")
        self._record.add(
            f"client {self.uid}: its connection has ended: {self.end}, last line "
            + ("MOVE" if self.end == "MOVE" else f"{len(last)} bytes, {'whole' if whole else 'cut off'}")
        )

    async def _send_lines(self, writer: asyncio.StreamWriter) -> None:
        number = 0
        with contextlib.suppress(OSError):
            while True:
                await asyncio.sleep(CLIENT_LINE_INTERVAL_S)
                number += 1
                writer.write(f"line {number} of {self.uid}\r\n".encode())
                await writer.drain()


async def play(record: Record, temporary: Path, proxies: list[Proxy]) -> int:
    """Plays the case: connections stream, one server drains, and every connection's end is judged."""
    agent = Agent(record)
    await agent.start()
    servers = [StreamServer(f"s-{index}", record) for index in range(SERVERS)]
    for server in servers:
        await server.start()
        agent.put(server.uid, server.port, "hall-a", "up")
    proxies.extend(Proxy(f"n{index}", temporary, record) for index in range(2))
    for proxy in proxies:
        proxy.start(agent, site_settings("pass"))
    for proxy in proxies:
        await proxy.wait_ready()
    clients = [Client(number, record) for number in range(CLIENTS)]
    tasks = []
    for number, client in enumerate(clients):
        tasks.append(asyncio.create_task(client.run(proxies[number % 2].port)))
        await asyncio.sleep(0.1)
    await asyncio.sleep(QUIET_S)
    if not all(client.answer.startswith(b"UP ") and not client.end for client in clients):
        raise CouldNotRunError("not every connection stands before the drain")
    draining = servers[0]
    if has_trouble():
        draining.is_draining = True
        agent.put(draining.uid, draining.port, "hall-a", "draining")
    await asyncio.sleep(DRAIN_S)
    for task in tasks:
        task.cancel()
    moved = [client for client in clients if client.end == "MOVE"]
    ended = {uid for server in servers for uid in server.ended_by_proxy}
    # No server ends a connection before the end of the run, so each end is the proxy's. A server still
    # answers if it has brought back the last line that was due: clients send one each 2 s.
    lost = [
        client
        for client in clients
        if client.end not in ("", "MOVE")
        and client.uid in ended
        and client.ended_at - client.echoed_at < CLIENT_LINE_INTERVAL_S + 0.5
    ]
    standing = [client for client in clients if not client.end]
    if any(client.echoes < 2 for client in standing):
        raise CouldNotRunError("a standing connection did not bring the client's lines back")
    counts = f"{len(clients)} connections: {len(moved)} moved, {len(standing)} stand, {len(lost)} cut off"
    record.conclude(f"{counts} by the proxy without MOVE while the server was still sending")
    return BROKEN if lost else HELD


if __name__ == "__main__":
    run_case(FOLDER, play)
