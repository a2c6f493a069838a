"""Clients of a proxy under test that use blocking sockets.

The bytes that they send are in the kernel before the proxy's scheduler runs its next task.
"""

from __future__ import annotations

import socket
from collections.abc import Iterator
from contextlib import contextmanager

from ironmill.net.sockets import READ_BYTES, Stream, TimedOutError
from tests.support.proxy_under_test import ProxyUnderTest, read_line

DEADLINES_S = {"read": 2.0, "write": 2.0, "order": 2.0}  # by request class


@contextmanager
def raw_client(proxy: ProxyUnderTest, data: bytes = b"") -> Iterator[socket.socket]:
    """Connects a client whose bytes reach the proxy's socket before the proxy first reads from it."""
    with socket.create_connection(proxy.listener.address) as client:
        client.sendall(data)
        yield client


def read_to_end(proxy: ProxyUnderTest, client: socket.socket) -> bytes:
    """Returns all bytes that the client receives until the end. Raises if the connection is reset."""
    stream, data = Stream(proxy.scheduler, client.dup()), b""
    while piece := stream.receive(5.0):
        data += piece
    stream.close()
    return data


def connect_instantly(proxy: ProxyUnderTest) -> list[Stream]:
    """Makes connections to servers complete at once. Returns a list to which the servers' ends are added."""
    servers: list[Stream] = []

    def dial(address: tuple[str, int], timeout: float) -> Stream:
        proxy_end, server_end = socket.socketpair()
        servers.append(Stream(proxy.scheduler, server_end))
        return Stream(proxy.scheduler, proxy_end)

    proxy.dial = dial
    return servers


def requested_path(discovery: Stream) -> bytes:
    """Reads a request to discovery and returns its path with the query."""
    return read_line(discovery).split(b" ")[1]


def fill_buffers(proxy: ProxyUnderTest, writer: Stream) -> None:
    """Sends until the socket buffers are full. The other end must not read."""
    piece = b"z" * READ_BYTES
    while True:
        try:
            writer.send(piece, 0.05)
        except TimedOutError:
            return
