"""Watches the file of the key ring, so that a rotation of keys needs no signal."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path

from msgspec import Struct

from ironmill.configuration.operator_files import read_ring
from ironmill.identity.keyring import KeyRing
from ironmill.protocol.json_object import MalformedError
from ironmill.runtime.logs import EventLog
from ironmill.runtime.scheduler import Timers

CHECK_INTERVAL_S = 0.25

log = EventLog("ironmill.keys")


class FileVersion(Struct, frozen=True):
    """Metadata by which two versions of a file are distinguished."""

    modified_ns: int
    size: int
    inode: int


class KeyRingWatcher:
    """Reads the key ring again whenever its file has changed. A ring that cannot be read changes nothing."""

    def __init__(self, timers: Timers, path: str, on_change: Callable[[KeyRing], None]) -> None:
        """Does nothing until ``start``. The first check reads the file, which may have changed meanwhile."""
        self._timers = timers
        self._on_change = on_change
        self.path = path
        self._version: FileVersion | None = None  # that was read
        self._rejected_version: FileVersion | None = None  # that was reported

    def start(self) -> None:
        """Starts to check the file every ``CHECK_INTERVAL_S``."""
        self._timers.call_later(CHECK_INTERVAL_S, self._check)

    def _check(self) -> None:
        self._timers.call_later(CHECK_INTERVAL_S, self._check)
        version = self._current_version()
        if version is None or version == self._version:
            return
        try:
            ring = read_ring(self.path)
        except MalformedError as error:
            # The file may be half written, or reading may fail for a moment: the next check tries again.
            if version != self._rejected_version:
                self._rejected_version = version
                log.error("key ring rejected", reason=str(error))
            return
        self._version = version
        log.info("key ring loaded", keys=sum(1 for _ in ring))
        self._on_change(ring)

    def _current_version(self) -> FileVersion | None:
        """The version of the file; None if it cannot be examined."""
        try:
            status = Path(self.path).stat()
        except OSError:
            return None
        return FileVersion(status.st_mtime_ns, status.st_size, status.st_ino)
