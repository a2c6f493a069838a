"""Reloads the configuration file and the operators' files at SIGHUP."""

from __future__ import annotations

import logging
import time
from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING

from ironmill.configuration.proxy_config import Address, Config, UnreadableNowError
from ironmill.protocol.json_object import MalformedError

if TYPE_CHECKING:
    from ironmill.configuration.operator_files import OperatorFiles

# Keys whose changes are not logged: each start has its own seed and endpoint list, and a new address of
# discovery is applied.
_UNLOGGED_KEYS = ("seed", "known", "discovery")
# The time for which reading a file is retried after a transient failure. Changes count as notified 4 s after
# the signal, and the first poll at a new address of discovery takes 1 s of these 4 s.
READ_RETRY_TIMEOUT_S = 2.0
READ_RETRY_INTERVAL_S = 0.02
MAX_LOGGED_KEYS = 8  # bounds the log line if the two files have little in common

log = logging.getLogger("ironmill.reload")


def no_operator_files(_: Config) -> OperatorFiles | None:
    """Returns None. Used if no settings file was named at the start."""
    return None


def _ignore(_: OperatorFiles) -> None:
    """Does nothing. The default of ``Reload.apply_files``."""


class Reload:
    """Applies changed configuration, and logs the changes that require a restart."""

    def __init__(
        self,
        config: Config,
        read_config: Callable[[], Config],
        watch_at: Callable[[Address], object],
        sleep: Callable[[float], object] = time.sleep,
    ) -> None:
        """Creates a reload of ``config``; ``watch_at`` moves the watch on discovery to an address."""
        self._config = config
        self._read_config = read_config
        self._watch_at = watch_at
        self._sleep = sleep
        self.read_files: Callable[[Config], OperatorFiles | None] = no_operator_files
        self.apply_files: Callable[[OperatorFiles], None] = _ignore

    def run(self) -> None:
        """Reads all files again and applies them; if one is invalid, none is applied. Parks."""
        try:
            new = self._read_with_retries()
            files = self.read_files(new)
        except MalformedError as error:
            log.error("reload: %s; the old configuration stays in use", error)
            return
        self._log_unapplied(self._config.raw_values, new.raw_values)
        log.info("reload: discovery is at %s:%d", *new.discovery)
        self._watch_at(new.discovery)
        if files is not None:
            log.info("reload: settings applied from %s", files.settings.path)
            self.apply_files(files)

    @staticmethod
    def _log_unapplied(old: Mapping[str, object], new: Mapping[str, object]) -> None:
        changed = [
            key
            for key in sorted(old.keys() | new.keys())
            if old.get(key) != new.get(key) and key.partition(".")[0] not in _UNLOGGED_KEYS
        ]
        if not changed:
            return
        more = f" and {len(changed) - MAX_LOGGED_KEYS} more" if len(changed) > MAX_LOGGED_KEYS else ""
        log.warning("reload: requires a restart: %s%s", ", ".join(changed[:MAX_LOGGED_KEYS]), more)

    def _read_with_retries(self) -> Config:
        """Reads the configuration, with retries while that fails for a transient reason. Parks.

        Raises ``MalformedError`` if the file is invalid or stays unreadable.
        """
        deadline = time.monotonic() + READ_RETRY_TIMEOUT_S
        while True:
            try:
                return self._read_config()
            except UnreadableNowError:
                if time.monotonic() >= deadline:
                    raise
            self._sleep(READ_RETRY_INTERVAL_S)
