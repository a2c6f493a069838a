"""A fifth of the servers is silent for 6 s while connections that were open before the run come up again."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins2 import Attempt, Clients, Discovery, Proxy, Record, Server, config, run_case, settings, trouble

SERVERS = 5
CONNECTIONS = 4  # of each server
SILENT_S = 6.0
LOST_AFTER_S = 40.0


async def case(record: Record, folder: Path) -> list[str]:
    """Returns the connections of servers that can be reached that are not up after 40 s."""
    servers = [Server(record, f"s-{index}") for index in range(SERVERS)]
    discovery = Discovery(record)
    for server in servers:
        await server.start()
        discovery.put(server.entry())
    await discovery.start()
    proxy = Proxy(record, folder, config("n1", discovery, settings()))
    await proxy.start()
    silent_until = time.monotonic() + SILENT_S

    def answer(_: Attempt) -> str:
        # A connection of the silent span stays open and silent; a later one comes up.
        return "hang" if trouble() and time.monotonic() < silent_until else "up"

    servers[0].answer = answer
    clients = Clients(record)
    for index in range(SERVERS * CONNECTIONS):
        clients.request(proxy.port, f"c=index-sync,d=4294967,at=s-{index % SERVERS}", stays=120.0)
    await asyncio.sleep(SILENT_S + 0.5)
    record.add("s-0 can be reached again: one more connection to it")
    later = clients.request(proxy.port, "c=index-sync,d=4294967,at=s-0", stays=120.0)
    await asyncio.sleep(LOST_AFTER_S - SILENT_S)
    if not later.up:
        raise RuntimeError("the later connection did not come up either")
    return [
        f"{client.line}: {client.answer or 'no answer'!r} {LOST_AFTER_S:g} s after the line"
        for client in clients.all
        if not client.up
    ]


run_case(case, Path(__file__).resolve().parent)
