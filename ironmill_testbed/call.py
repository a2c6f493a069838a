"""One client, by hand: ask a proxy for a connection, send a line and print what came."""

from __future__ import annotations

import socket
import ssl
import sys
import time

from ironmill.net.sockets import TimedOutError
from ironmill.net.tls import TlsStream
from ironmill.runtime.scheduler import Scheduler
from ironmill_testbed.fleet import Client, NotServedError, play

LIMIT = 15.0  # seconds


def run(address: str, token: str, class_name: str, authorities: str, certificate: str) -> int:
    """Status 0 if the connection was served and its line came back, 1 if not.

    With ``authorities``, a path, it speaks TLS to a server for localhost, and shows the ``certificate``, a
    path without its .crt, if there is one.
    """
    host, _, port = address.rpartition(":")
    shown = sys.stdin.readline() if token == "-" else token
    scheduler = Scheduler()
    client = Client(scheduler, (host, int(port)), class_name)
    context = None
    if authorities:
        context = ssl.create_default_context(cafile=authorities)
        if certificate:
            context.load_cert_chain(f"{certificate}.crt", f"{certificate}.key")

    def story() -> int:
        try:
            if context is not None:
                sock = socket.create_connection((host, int(port)))
                client.stream = stream = TlsStream.for_client(scheduler, sock, context, "localhost")
                stream.handshake(time.monotonic() + LIMIT)
            client.open(token=shown.strip().encode())
            print(f"UP at {client.host}; a line came back: {client.ask(b'hello').decode()}")
        except NotServedError as error:
            print(str(error) or "closed without an answer")
            return 1
        except (OSError, TimedOutError) as error:
            print(f"no answer: {error}")
            return 1
        finally:
            client.close()
        return 0

    status: int = play(scheduler, story, LIMIT)
    return status
