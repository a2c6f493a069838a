"""Servers that keep sending, and what their clients receive."""

from __future__ import annotations

from ironmill.net.sockets import Stream
from tests.support.proxy_under_test import ProxyUnderTest

LINE = b"0123456789abcdef" * 40 + b"\r\n"
BLOCK_BYTES = 256  # no multiple of it is a multiple of the line's length within a test
BLOCK_INTERVAL_S = 0.005
LARGE_BLOCK_BYTES = 16_000


def stream_blocks(
    proxy: ProxyUnderTest,
    server: Stream,
    block_bytes: int = BLOCK_BYTES,
    interval_s: float = BLOCK_INTERVAL_S,
) -> bytearray:
    """Starts to send lines in blocks that end within a line; returns the bytes sent so far, which grow."""
    sent = bytearray()
    lines = LINE * (2 + block_bytes // len(LINE))

    def send_until_closed() -> None:
        try:
            while True:
                block = lines[len(sent) % len(LINE) :][:block_bytes]
                sent.extend(block)
                server.send(block)
                proxy.scheduler.sleep(interval_s)
        except OSError:
            server.close()

    proxy.scheduler.spawn(send_until_closed)
    return sent


def read_all(client: Stream) -> bytes:
    """Returns all that the client receives until the end. Raises if the connection is reset."""
    data = b""
    while piece := client.receive(5.0):
        data += piece
    return data


def assert_moved_between_lines(data: bytes, sent: bytes) -> None:
    """Checks that the client got a part of the stream that ends with a line, and then MOVE, and no more."""
    assert data.endswith(b"\r\nMOVE\r\n")
    relayed = data.removesuffix(b"MOVE\r\n")
    assert sent.startswith(relayed)
