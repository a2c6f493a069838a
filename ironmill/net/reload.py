"""SIGHUP: the configuration file is read again, and what can be taken from it is taken."""

from __future__ import annotations

import logging
import time
from collections.abc import Callable
from typing import TYPE_CHECKING

from ironmill.configuration.proxy_config import Address, Config, UnreadableNowError
from ironmill.protocol.json_object import MalformedError

if TYPE_CHECKING:
    from ironmill.configuration.operator_files import OperatorFiles

# Nothing to log: each start has its own, and the list that was known then is old news.
_PER_START = ("seed", "known", "discovery")
# A file that cannot be read for a moment is tried again so long. What the discovery that it names has counts
# as told 4 s after the signal (STANDING), and asking there takes a second.
READ_PATIENCE = 2.0
READ_PAUSE = 0.02
_NAMED = 8  # changed keys in one line; guards the log against a file that has nothing in common

log = logging.getLogger("ironmill.reload")


def no_operator(_: Config) -> OperatorFiles | None:
    """No settings were named at the start."""
    return None


def _ignore(_: OperatorFiles) -> None:
    """Nobody takes settings."""


class Reload:
    """Takes in a new configuration file; what was told with the old one goes on otherwise."""

    def __init__(
        self,
        config: Config,
        read: Callable[[], Config],
        watch_at: Callable[[Address], object],
        read_operator_files: Callable[[Config], OperatorFiles | None] = no_operator,
        take: Callable[[OperatorFiles], None] = _ignore,
        sleep: Callable[[float], object] = time.sleep,
    ) -> None:
        self._config = config
        self._read = read
        self._watch_at = watch_at
        self._read_operator = read_operator_files
        self._take = take
        self._sleep = sleep

    def run(self) -> None:
        """Read the files once more: all of them are taken, or none."""
        try:
            new = self._read_in_time()
            operator = self._read_operator(new)
        except MalformedError as error:
            # Guards service against a bad file: the old configuration is still fit for use.
            log.error("reload: %s; the old configuration goes on", error)
            return
        old = self._config.stated
        changed = [
            key
            for key in sorted(old.keys() | new.stated.keys())
            if old.get(key) != new.stated.get(key) and key.partition(".")[0] not in _PER_START
        ]
        if changed:
            more = f" and {len(changed) - _NAMED} more" if len(changed) > _NAMED else ""
            log.warning("reload: takes a restart: %s%s", ", ".join(changed[:_NAMED]), more)
        log.info("reload: discovery is at %s:%d", *new.discovery)
        self._watch_at(new.discovery)
        if operator is not None:
            log.info("reload: settings taken from %s", operator.settings.path)
            self._take(operator)

    def _read_in_time(self) -> Config:
        """The configuration, read again while that fails for a moment. Parks."""
        until = time.monotonic() + READ_PATIENCE
        while True:
            try:
                return self._read()
            except UnreadableNowError:
                if time.monotonic() >= until:
                    raise
            self._sleep(READ_PAUSE)
