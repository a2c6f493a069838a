"""Plain-socket clients of a proxy under test: what they send is in the kernel before its next turn."""

from __future__ import annotations

import socket
from collections.abc import Iterator
from contextlib import contextmanager

from ironmill.net.sockets import READ_BYTES, Stream, TimedOutError
from tests.support.proxy_under_test import ProxyUnderTest, read_line

DEADLINES_S = {"read": 2.0, "write": 2.0, "order": 2.0}  # by class


@contextmanager
def raw_client(proxy: ProxyUnderTest, data: bytes = b"") -> Iterator[socket.socket]:
    """Connects a client whose bytes are at the proxy's socket before the proxy reads it."""
    with socket.create_connection(proxy.listener.address) as client:
        client.sendall(data)
        yield client


def read_to_end(proxy: ProxyUnderTest, client: socket.socket) -> bytes:
    """Returns everything that the client receives until the end; raises if that is a reset."""
    stream, data = Stream(proxy.scheduler, client.dup()), b""
    while piece := stream.receive(5.0):
        data += piece
    stream.close()
    return data


def connect_instantly(proxy: ProxyUnderTest) -> list[Stream]:
    """Makes connections to servers complete without a wait; returns the servers' ends as they are made."""
    servers: list[Stream] = []

    def dial(address: tuple[str, int], timeout: float) -> Stream:
        ours, theirs = socket.socketpair()
        servers.append(Stream(proxy.scheduler, theirs))
        return Stream(proxy.scheduler, ours)

    proxy.dial = dial
    return servers


def requested_path(agent: Stream) -> bytes:
    """Reads a call to discovery and returns its path with the query."""
    return read_line(agent).split(b" ")[1]


def fill_buffers(proxy: ProxyUnderTest, writer: Stream) -> None:
    """Sends until the buffers on the way are full, for the other end reads nothing."""
    piece = b"z" * READ_BYTES
    while True:
        try:
            writer.send(piece, 0.05)
        except TimedOutError:
            return
