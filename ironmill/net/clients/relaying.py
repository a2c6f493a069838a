"""Relay of bytes between a client and its server, in both directions."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ironmill.net.clients.closing import ConnectionCloser
from ironmill.net.sockets import TimedOutError
from ironmill.protocol.client import DataReceived
from ironmill.requests.gateway import Gateway

if TYPE_CHECKING:
    from ironmill.net.clients.connection import ClientConnection


class DataRelay:
    """Writes what one side sent to the other; holds at most the data of one read per direction."""

    __slots__ = ("_closer", "_gateway")

    def __init__(self, gateway: Gateway, closer: ConnectionCloser) -> None:
        """Creates a relay that reports lines to ``gateway`` and closes broken connections with ``closer``."""
        self._gateway = gateway
        self._closer = closer

    def forward(self, connection: ClientConnection, event: DataReceived) -> None:
        """Writes the client's bytes to the server, and parks until they are written."""
        driver = connection.attempt_driver
        attempt = connection.attempt
        if not event.data or driver is None or driver.stream is None or attempt is None:
            return
        try:
            driver.stream.send_from(event.data, connection.stream)
        except TimedOutError:
            self._closer.client_closed(connection, reset=True)  # not all of the client's bytes were written
            return
        except OSError:
            return  # the attempt's task notices the broken connection too, and handles it
        self._gateway.on_lines_sent(attempt, event.lines)

    def write(self, connection: ClientConnection, data: bytes) -> bool:
        """Writes the server's bytes to the client, parking as needed; returns False if that fails."""
        stream = connection.stream
        connection.is_writing = True
        try:
            rest = data[stream.send_nowait(data) :]
            if rest or stream.has_backpressure:
                self._write_slowly(connection, rest)
        except (OSError, TimedOutError):
            self._closer.client_closed(connection, reset=True)
            return False
        finally:
            connection.is_writing = False
        return True

    def _write_slowly(self, connection: ClientConnection, rest: bytes) -> None:
        """Waits for a client that does not read; its server's response delay is not measured meanwhile."""
        if connection.attempt is not None:
            self._gateway.on_client_stalled(connection.attempt)
        source = None if connection.attempt_driver is None else connection.attempt_driver.stream
        assert source is not None  # the bytes were read from it
        connection.stream.send_from(rest, source)
        if connection.attempt is not None:
            self._gateway.on_client_reading(connection.attempt)
