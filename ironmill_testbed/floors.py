"""Floors for ``measure core``: the least that forwarding the same lines costs, without and with greenlets.

Both take a client's connection, open one to the target and copy bytes each way; nothing is parsed, counted
or decided. ``epoll`` is a bare loop, ``greenlet`` the project's scheduler with two tasks a connection.
"""

from __future__ import annotations

import contextlib
import select
import socket
import ssl
import sys

from ironmill.net.listener import Listener
from ironmill.net.sockets import READ_BYTES, Stream, TimedOutError
from ironmill.runtime.scheduler import Scheduler

Address = tuple[str, int]


def run(kind: str, target: str) -> int:
    """Serve until killed. The first line of standard output is the port."""
    host, _, port = target.rpartition(":")
    {"epoll": _epoll, "greenlet": _greenlet, "tls": _tls}[kind]((host, int(port)))
    return 0


def _say_port(address: Address) -> None:
    sys.stdout.write(f"{address[1]}\n")
    sys.stdout.flush()


def _tls(target: Address) -> None:
    """A bare echo server by ``ssl``, one connection after another; the target is the folder of its files."""
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.load_cert_chain(f"{target[0]}/server.crt", f"{target[0]}/server.key")
    listener = socket.create_server(("127.0.0.1", 0), backlog=1024)
    _say_port(listener.getsockname())
    while True:
        sock, _ = listener.accept()
        with contextlib.suppress(OSError), context.wrap_socket(sock, server_side=True) as secure:
            while data := secure.recv(READ_BYTES):
                secure.sendall(data)


def _epoll(target: Address) -> None:
    listener = socket.create_server(("127.0.0.1", 0), backlog=1024)
    listener.setblocking(False)
    _say_port(listener.getsockname())
    poll = select.epoll()
    poll.register(listener.fileno(), select.EPOLLIN)
    socks: dict[int, socket.socket] = {}
    other: dict[int, int] = {}
    while True:
        for fd, _ in poll.poll():
            if fd == listener.fileno():
                _epoll_accept(listener, target, poll, socks, other)
            elif fd in socks:
                try:
                    data = socks[fd].recv(READ_BYTES)
                    if data:
                        socks[other[fd]].sendall(data)
                        continue
                except OSError:
                    pass
                for end in (other[fd], fd):
                    del other[end]
                    socks.pop(end).close()


def _epoll_accept(
    listener: socket.socket,
    target: Address,
    poll: select.epoll,
    socks: dict[int, socket.socket],
    other: dict[int, int],
) -> None:
    try:
        client, _ = listener.accept()
    except BlockingIOError:
        return
    attempt = socket.create_connection(target)
    for sock, peer in ((client, attempt), (attempt, client)):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        socks[sock.fileno()] = sock
        other[sock.fileno()] = peer.fileno()
        poll.register(sock.fileno(), select.EPOLLIN)


def _greenlet(target: Address) -> None:
    scheduler = Scheduler()

    def copy(source: Stream, to: Stream) -> None:
        try:
            while data := source.receive():
                to.send(data)
        except OSError:
            pass
        to.shutdown_write()
        source.close()

    def relay(client: Stream) -> None:
        try:
            attempt = Stream.connect(scheduler, target, 5.0)
        except (OSError, TimedOutError):
            client.close()
            return
        scheduler.spawn(copy, attempt, client)
        copy(client, attempt)

    def take(stream: Stream) -> None:
        scheduler.spawn(relay, stream)

    listener = Listener(scheduler, ("127.0.0.1", 0), take)
    listener.start()
    _say_port(listener.address)
    scheduler.run()
