"""Reload at SIGHUP: the configuration file and the operators' files are read again and applied."""

from __future__ import annotations

import logging
import time
from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING

from ironmill.configuration.proxy_config import Address, Config, UnreadableNowError
from ironmill.protocol.json_object import MalformedError

if TYPE_CHECKING:
    from ironmill.configuration.operator_files import OperatorFiles

# Keys whose changes are not logged: each start has its own seed and list, and discovery's address is applied.
_UNLOGGED_KEYS = ("seed", "known", "discovery")
# How long a file is tried again that cannot be read for a transient reason. Changes count as notified 4 s
# after the signal, and the first poll of another discovery takes a second of that.
READ_RETRY_TIMEOUT_S = 2.0
READ_RETRY_INTERVAL_S = 0.02
MAX_LOGGED_KEYS = 8  # bounds the line if the files have nothing in common

log = logging.getLogger("ironmill.reload")


def no_operator_files(_: Config) -> OperatorFiles | None:
    """Reads nothing: no settings were named at the start."""
    return None


def _ignore(_: OperatorFiles) -> None:
    """Applies nothing."""


class Reload:
    """Applies a new configuration file; what cannot be applied while the process runs is logged."""

    def __init__(
        self,
        config: Config,
        read_config: Callable[[], Config],
        watch_at: Callable[[Address], object],
        sleep: Callable[[float], object] = time.sleep,
    ) -> None:
        """``watch_at`` moves the watch of the endpoint list to an address of discovery."""
        self._config = config
        self._read_config = read_config
        self._watch_at = watch_at
        self._sleep = sleep
        self.read_files: Callable[[Config], OperatorFiles | None] = no_operator_files
        self.apply_files: Callable[[OperatorFiles], None] = _ignore

    def run(self) -> None:
        """Reads all files again and applies them; if one of them is not valid, none is applied. Parks."""
        try:
            new = self._read_with_retries()
            files = self.read_files(new)
        except MalformedError as error:
            log.error("reload: %s; the old configuration stays in use", error)
            return
        self._log_ignored(self._config.raw_values, new.raw_values)
        log.info("reload: discovery is at %s:%d", *new.discovery)
        self._watch_at(new.discovery)
        if files is not None:
            log.info("reload: settings applied from %s", files.settings.path)
            self.apply_files(files)

    @staticmethod
    def _log_ignored(old: Mapping[str, object], new: Mapping[str, object]) -> None:
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
        """Reads the configuration, again while that fails for a transient reason. Parks."""
        deadline = time.monotonic() + READ_RETRY_TIMEOUT_S
        while True:
            try:
                return self._read_config()
            except UnreadableNowError:
                if time.monotonic() >= deadline:
                    raise
            self._sleep(READ_RETRY_INTERVAL_S)
