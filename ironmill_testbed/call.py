"""A command-line client that opens one connection through a proxy and prints the echo of a line."""

from __future__ import annotations

import socket
import ssl
import sys
import time

from ironmill.membership.identity import Address
from ironmill.net.sockets import TimedOutError
from ironmill.net.tls import TlsStream
from ironmill.runtime.scheduler import Scheduler
from ironmill_testbed.fleet import Client, NotServedError, run_scenario

TIMEOUT_S = 15.0


def run(address: str, token: str, class_name: str, authorities: str, certificate: str) -> int:
    """Opens a connection and sends a line; returns status 0 if the line was echoed, otherwise 1.

    A ``token`` of ``-`` is read from standard input. If ``authorities``, the path of a PEM file, is given,
    the client uses TLS and expects a server certificate for localhost. If ``certificate`` is also given, the
    client presents the certificate in that path plus ``.crt``, with the key in that path plus ``.key``.
    """
    host, _, port = address.rpartition(":")
    credential = sys.stdin.readline() if token == "-" else token
    scheduler = Scheduler()
    client = Client(scheduler, (host, int(port)), class_name)
    context = _tls_context(authorities, certificate) if authorities else None

    def scenario() -> int:
        try:
            if context is not None:
                client.stream = _connect_tls(scheduler, (host, int(port)), context)
            client.open(token=credential.strip().encode())
            print(f"UP at {client.server_id}; a line came back: {client.exchange(b'hello').decode()}")
        except NotServedError as error:
            print(str(error) or "closed without an answer")
            return 1
        except (OSError, TimedOutError) as error:
            print(f"no answer: {error}")
            return 1
        finally:
            client.close()
        return 0

    status: int = run_scenario(scheduler, scenario, TIMEOUT_S)
    return status


def _tls_context(authorities: str, certificate: str) -> ssl.SSLContext:
    context = ssl.create_default_context(cafile=authorities)
    if certificate:
        context.load_cert_chain(f"{certificate}.crt", f"{certificate}.key")
    return context


def _connect_tls(scheduler: Scheduler, address: Address, context: ssl.SSLContext) -> TlsStream:
    sock = socket.create_connection(address)
    stream = TlsStream.for_client(scheduler, sock, context, "localhost")
    try:
        stream.handshake(time.monotonic() + TIMEOUT_S)
    except BaseException:
        stream.close()
        raise
    return stream
