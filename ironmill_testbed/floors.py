"""Baselines for measurements: forwarding without the logic of a proxy, and a TLS echo server.

``epoll`` and ``greenlet`` open a connection to the target for each client and copy bytes in both directions
without parsing them. ``epoll`` is a plain event loop; ``greenlet`` uses ironmill's scheduler, with two tasks
per connection. ``tls`` echoes bytes over TLS.
"""

from __future__ import annotations

import contextlib
import select
import socket
import ssl
import sys

from ironmill.membership.identity import Address
from ironmill.net.listener import Listener
from ironmill.net.sockets import READ_BYTES, Stream, TimedOutError
from ironmill.runtime.scheduler import Scheduler

CONNECT_TIMEOUT_S = 5.0
BACKLOG = 1024


def run(kind: str, target: str) -> int:
    """Serves until the process is killed. The first line of standard output is the port."""
    host, _, port = target.rpartition(":")
    servers = {"epoll": _serve_epoll, "greenlet": _serve_greenlets, "tls": _serve_tls}
    servers[kind]((host, int(port)))
    return 0


def _print_port(address: Address) -> None:
    sys.stdout.write(f"{address[1]}\n")
    sys.stdout.flush()


def _serve_tls(target: Address) -> None:
    """Echoes bytes over TLS, one connection at a time. The target's host is the folder of the certificate."""
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.load_cert_chain(f"{target[0]}/server.crt", f"{target[0]}/server.key")
    listener = socket.create_server(("127.0.0.1", 0), backlog=BACKLOG)
    _print_port(listener.getsockname())
    while True:
        sock, _ = listener.accept()
        with contextlib.suppress(OSError), context.wrap_socket(sock, server_side=True) as secure:
            while data := secure.recv(READ_BYTES):
                secure.sendall(data)


def _serve_epoll(target: Address) -> None:
    listener = socket.create_server(("127.0.0.1", 0), backlog=BACKLOG)
    listener.setblocking(False)
    _print_port(listener.getsockname())
    poll = select.epoll()
    poll.register(listener.fileno(), select.EPOLLIN)
    socks: dict[int, socket.socket] = {}
    peers: dict[int, int] = {}  # descriptor of the other connection, by descriptor
    while True:
        for fd, _ in poll.poll():
            if fd == listener.fileno():
                _accept_epoll(listener, target, poll, socks, peers)
            elif fd in socks:
                try:
                    data = socks[fd].recv(READ_BYTES)
                    if data:
                        socks[peers[fd]].sendall(data)
                        continue
                except OSError:
                    pass
                for end in (peers[fd], fd):
                    del peers[end]
                    socks.pop(end).close()


def _accept_epoll(
    listener: socket.socket,
    target: Address,
    poll: select.epoll,
    socks: dict[int, socket.socket],
    peers: dict[int, int],
) -> None:
    try:
        client, _ = listener.accept()
    except BlockingIOError:
        return
    attempt = socket.create_connection(target)
    for sock, peer in ((client, attempt), (attempt, client)):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        socks[sock.fileno()] = sock
        peers[sock.fileno()] = peer.fileno()
        poll.register(sock.fileno(), select.EPOLLIN)


def _serve_greenlets(target: Address) -> None:
    scheduler = Scheduler()

    def copy(source: Stream, destination: Stream) -> None:
        try:
            while data := source.receive():
                destination.send(data)
        except OSError:
            pass
        destination.shutdown_write()
        source.close()

    def relay(client: Stream) -> None:
        try:
            attempt = Stream.connect(scheduler, target, CONNECT_TIMEOUT_S)
        except (OSError, TimedOutError):
            client.close()
            return
        scheduler.spawn(copy, attempt, client)
        copy(client, attempt)

    def accept(stream: Stream) -> None:
        scheduler.spawn(relay, stream)

    listener = Listener(scheduler, ("127.0.0.1", 0), accept)
    listener.start()
    _print_port(listener.address)
    scheduler.run()
