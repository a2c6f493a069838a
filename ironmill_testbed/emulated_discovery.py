"""An emulated discovery that serves the endpoint list and watches of its changes over HTTP/1.1."""

from __future__ import annotations

from urllib.parse import parse_qs, urlsplit

import orjson

from ironmill.membership.identity import Address
from ironmill.net.listener import Listener
from ironmill.net.sockets import Stream, TimedOutError
from ironmill.runtime.scheduler import Scheduler

MAX_REQUEST_HEAD_BYTES = 16 * 1024
MAX_WATCH_S = 60.0
IDLE_TIMEOUT_S = 2.0 * MAX_WATCH_S
WATCH_CHECK_INTERVAL_S = 0.01
NOT_FOUND_TIMEOUT_S = 1.0
RESPONSE_TIMEOUT_S = 5.0
HEAD_END = b"\r\n\r\n"


class EmulatedDiscovery:
    """A server of the endpoint list that ``put`` updates. Each change answers all open watches."""

    def __init__(self, scheduler: Scheduler) -> None:
        """Starts listening on a free port of 127.0.0.1."""
        self._scheduler = scheduler
        self._targets: dict[str, dict[str, object]] = {}
        self._changed: dict[str, int] = {}  # the revision at which each target last changed
        self.revision = 1
        self.calls = 0  # number of requests for the list
        self._listener = Listener(scheduler, ("127.0.0.1", 0), self._accept)
        self._listener.start()

    @property
    def address(self) -> Address:
        """The address that it listens on."""
        return self._listener.address

    def put(self, server_id: str, address: Address, zone: str, state: str, boot: float = 0.0) -> None:
        """Lists a server as ``up``, ``draining`` or ``removed``. ``boot`` is its start as Unix time."""
        self.revision += 1
        self._changed[server_id] = self.revision
        self._targets[server_id] = {
            "uid": server_id,
            "endpoint": f"{address[0]}:{address[1]}",
            "az": zone,
            "model": "m1",
            "pod_group": 0,
            "state": state,
            "capacity_hint": 1.0,
            "boot_ms": round(boot * 1000.0),
        }

    def response_body(self, after: int | None) -> bytes:
        """Returns the list as JSON: the complete one for None, otherwise the changes after a revision."""
        targets = [
            target
            for server_id, target in self._targets.items()
            if (target["state"] != "removed" if after is None else self._changed[server_id] > after)
        ]
        return orjson.dumps({"rev": self.revision, "all": after is None, "targets": targets})

    def _accept(self, stream: Stream) -> None:
        self._scheduler.spawn(self._serve, stream)

    def _serve(self, stream: Stream) -> None:
        buffer = b""
        try:
            while data := stream.receive(IDLE_TIMEOUT_S):
                buffer += data
                while HEAD_END in buffer:
                    head, _, buffer = buffer.partition(HEAD_END)
                    self._respond(stream, head)
                if len(buffer) > MAX_REQUEST_HEAD_BYTES:
                    return
        except (OSError, TimedOutError):
            pass
        finally:
            stream.close()

    def _respond(self, stream: Stream, head: bytes) -> None:
        method, _, rest = head.split(b"\r\n", 1)[0].partition(b" ")
        url = urlsplit(rest.partition(b" ")[0].decode("ascii", "replace"))
        if method != b"GET" or url.path != "/api/targets":
            stream.send(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n", NOT_FOUND_TIMEOUT_S)
            return
        self.calls += 1
        query = parse_qs(url.query)
        after = int(query["after"][0]) if "after" in query else None
        if after is not None:
            self._wait_for_change(after, min(MAX_WATCH_S, int(query.get("wait_ms", ["0"])[0]) / 1000.0))
        body = self.response_body(after)
        stream.send(
            b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n" % len(body)
            + body,
            RESPONSE_TIMEOUT_S,
        )

    def _wait_for_change(self, revision: int, timeout_s: float) -> None:
        waited_s = 0.0
        while self.revision <= revision and waited_s < timeout_s:
            self._scheduler.sleep(WATCH_CHECK_INTERVAL_S)
            waited_s += WATCH_CHECK_INTERVAL_S
