"""Watches the key ring file, so that key rotation needs no signal."""

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
    """Metadata that distinguishes two versions of a file."""

    modified_ns: int
    size: int
    inode: int


class KeyRingWatcher:
    """Reloads the key ring whenever its file has changed. An unreadable or invalid ring is not applied."""

    def __init__(self, timers: Timers, path: str, on_change: Callable[[KeyRing], None]) -> None:
        """Creates a watcher that does nothing until ``start``.

        The first check reads the file in any case, since it may have changed after the caller read it.
        """
        self._timers = timers
        self._on_change = on_change
        self.path = path
        self._loaded_version: FileVersion | None = None
        self._rejected_version: FileVersion | None = None  # the latest version whose rejection was logged

    def start(self) -> None:
        """Starts to check the file every ``CHECK_INTERVAL_S``."""
        self._timers.call_later(CHECK_INTERVAL_S, self._check)

    def _check(self) -> None:
        self._timers.call_later(CHECK_INTERVAL_S, self._check)
        version = self._current_version()
        if version is None or version == self._loaded_version:
            return
        try:
            ring = read_ring(self.path)
        except MalformedError as error:
            # The file may be partly written, or the read may have failed temporarily: the next check retries.
            if version != self._rejected_version:
                self._rejected_version = version
                log.error("key ring rejected", reason=str(error))
            return
        self._loaded_version = version
        log.info("key ring loaded", keys=sum(1 for _ in ring))
        self._on_change(ring)

    def _current_version(self) -> FileVersion | None:
        """Returns the current version of the file, or None if its metadata cannot be read."""
        try:
            status = Path(self.path).stat()
        except OSError:
            return None
        return FileVersion(status.st_mtime_ns, status.st_size, status.st_ino)
