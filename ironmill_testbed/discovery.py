"""An emulated discovery: the list of servers over HTTP/1.1, whole or as a watch on its changes."""

from __future__ import annotations

from urllib.parse import parse_qs, urlsplit

import orjson

from ironmill.net.listener import Listener
from ironmill.net.sockets import Stream, TimedOutError
from ironmill.runtime.scheduler import Scheduler

HEAD_MOST = 16 * 1024
WAIT_MOST = 60.0  # seconds that a watch may ask for
LOOK = 0.01  # between two looks of a waiting watch


class EmulatedDiscovery:
    """Lists what it is told to list, and tells every watch of a change."""

    def __init__(self, scheduler: Scheduler) -> None:
        self._scheduler = scheduler
        self._targets: dict[str, dict[str, object]] = {}
        self._changed: dict[str, int] = {}  # the revision in which each target last changed
        self.revision = 1
        self.asked = 0
        self._listener = Listener(scheduler, ("127.0.0.1", 0), self._take)
        self._listener.start()

    @property
    def address(self) -> tuple[str, int]:
        """Where it listens."""
        return self._listener.address

    def put(self, uid: str, address: tuple[str, int], zone: str, state: str, boot: float = 0.0) -> None:
        """List the server in this state: ``up``, ``draining`` or ``removed``; its boot as Unix time."""
        self.revision += 1
        self._changed[uid] = self.revision
        self._targets[uid] = {
            "uid": uid,
            "endpoint": f"{address[0]}:{address[1]}",
            "az": zone,
            "model": "m1",
            "pod_group": 0,
            "state": state,
            "capacity_hint": 1.0,
            "boot_ms": round(boot * 1000.0),
        }

    def answer(self, after: int | None) -> bytes:
        """The list as JSON: whole, or what changed after the revision."""
        whole = after is None
        targets = [
            target
            for uid, target in self._targets.items()
            if (target["state"] != "removed" if after is None else self._changed[uid] > after)
        ]
        return orjson.dumps({"rev": self.revision, "all": whole, "targets": targets})

    def _take(self, stream: Stream) -> None:
        self._scheduler.spawn(self._serve, stream)

    def _serve(self, stream: Stream) -> None:
        held = b""
        try:
            while data := stream.receive(WAIT_MOST * 2.0):
                held += data
                while b"\r\n\r\n" in held:
                    head, _, held = held.partition(b"\r\n\r\n")
                    self._answer(stream, head)
                if len(held) > HEAD_MOST:
                    return
        except (OSError, TimedOutError):
            pass
        finally:
            stream.close()

    def _answer(self, stream: Stream, head: bytes) -> None:
        method, _, rest = head.split(b"\r\n", 1)[0].partition(b" ")
        url = urlsplit(rest.partition(b" ")[0].decode("ascii", "replace"))
        if method != b"GET" or url.path != "/api/targets":
            stream.send(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n", 1.0)
            return
        self.asked += 1
        query = parse_qs(url.query)
        after = int(query["after"][0]) if "after" in query else None
        if after is not None:
            self._wait_past(after, min(WAIT_MOST, int(query.get("wait_ms", ["0"])[0]) / 1000.0))
        body = self.answer(after)
        stream.send(
            b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n" % len(body)
            + body,
            5.0,
        )

    def _wait_past(self, revision: int, wait: float) -> None:
        waited = 0.0
        while self.revision <= revision and waited < wait:
            self._scheduler.sleep(LOOK)
            waited += LOOK
