"""A load of clients that stay connected to several proxies and send lines, in a separate thread."""

from __future__ import annotations

import threading
from collections.abc import Sequence

from msgspec import Struct

from ironmill.membership.identity import Address
from ironmill.runtime.scheduler import Scheduler
from ironmill_testbed.fleet import Fleet, run_scenario

CLIENTS = 60
MAX_RUN_S = 600.0
STOP_CHECK_INTERVAL_S = 0.1


class ClientLoadResult(Struct, frozen=True):
    """The result of a client load."""

    lost: int  # lost connections, and requests that were unanswered, failed or not accepted
    lines: int  # echoed lines that the clients received


class ClientLoad:
    """A client load that runs from its creation until ``stop``."""

    def __init__(self, addresses: Sequence[Address]) -> None:
        """Starts the thread. Each connection goes to a random one of the addresses."""
        self._is_stopping = False
        self._result = ClientLoadResult(0, 0)
        self._thread = threading.Thread(target=self._run, args=(list(addresses),), daemon=True)
        self._thread.start()

    def stop(self) -> ClientLoadResult:
        """Ends the clients and returns the result."""
        self._is_stopping = True
        self._thread.join()
        return self._result

    def _run(self, addresses: list[Address]) -> None:
        scheduler = Scheduler()

        def run_clients() -> None:
            fleet = Fleet(scheduler, addresses, CLIENTS)
            while not self._is_stopping:
                scheduler.sleep(STOP_CHECK_INTERVAL_S)
            counts = fleet.counts
            lost = counts.lost + counts.unanswered + counts.failed + counts.unreachable
            self._result = ClientLoadResult(lost, counts.lines)
            fleet.end()

        run_scenario(scheduler, run_clients, MAX_RUN_S)
