"""Watches the key ring's file, so that a rotation needs no signal."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path

from ironmill.configuration.operator_files import read_ring
from ironmill.identity.keyring import KeyRing
from ironmill.protocol.json_object import MalformedError
from ironmill.runtime.logs import EventLog
from ironmill.runtime.scheduler import Timers

CHECK_INTERVAL_S = 0.25  # seconds between two looks at the file

log = EventLog("ironmill.keys")


class KeyRingWatcher:
    """Reads the ring anew whenever its file has changed; one that is not fit for use changes nothing."""

    def __init__(self, timers: Timers, path: str, take: Callable[[KeyRing], None]) -> None:
        self._timers = timers
        self._take = take
        self.path = path
        self._seen = self._stamp()

    def start(self) -> None:
        """Look from now on."""
        self._timers.call_later(CHECK_INTERVAL_S, self.look)

    def look(self) -> None:
        """One look, and another later."""
        self._timers.call_later(CHECK_INTERVAL_S, self.look)
        stamp = self._stamp()
        if stamp is None or stamp == self._seen:
            return
        self._seen = stamp
        try:
            ring = read_ring(self.path)
        except MalformedError as error:
            # Guards service against a file that is half written: the next look sees it whole.
            log.error("key ring refused", reason=str(error))
            return
        log.info("key ring taken", keys=sum(1 for _ in ring))
        self._take(ring)

    def _stamp(self) -> tuple[int, int, int] | None:
        try:
            found = Path(self.path).stat()
        except OSError:
            return None
        return found.st_mtime_ns, found.st_size, found.st_ino
