"""Measures what the processes of a simulated fleet send and receive in each second."""

from __future__ import annotations

from collections.abc import Mapping

from msgspec import Struct

from ironmill_testbed.faults.fleet_process import FleetProcess


class TrafficSecond(Struct):
    """Bytes and datagrams of one second, by role. The highest values are those of single processes."""

    proxies: int = 0  # running
    proxy_sent: int = 0
    proxy_received: int = 0
    proxy_highest: int = 0  # sent and received
    relays: int = 0
    relay_sent: int = 0
    relay_highest: int = 0
    relay_datagrams_highest: int = 0
    origin_sent: int = 0
    origin_received: int = 0
    origin_datagrams: int = 0


class _Counters(Struct):
    """Counters of one process at the last measurement."""

    sent: int = 0
    sent_datagrams: int = 0
    received: int = 0


class TrafficMeter:
    """Takes the differences of the processes' counters."""

    def __init__(self, processes: Mapping[str, FleetProcess]) -> None:
        """``processes`` are all of the fleet, by name."""
        self._processes = processes
        self._counters = {name: _Counters() for name in processes}
        self.seconds: list[TrafficSecond] = []

    def reset(self, name: str) -> None:
        """Begins at zero for a process that starts."""
        self._counters[name] = _Counters()

    def begin(self) -> None:
        """Ignores what was counted so far."""
        for name in self._processes:
            self._take(name)

    def measure(self) -> None:
        """Records what was counted since the last call, as one second."""
        second = TrafficSecond()
        for name, process in self._processes.items():
            taken = self._take(name)
            if taken is not None:
                _add(second, process.role, taken)
        self.seconds.append(second)

    def _take(self, name: str) -> _Counters | None:
        """Returns what a process has counted since the last call; None if it does not run."""
        process = self._processes[name]
        node = process.node
        if node is None:
            return None
        last = self._counters[name]
        current = _Counters(node.sent_bytes, node.link.sent_datagrams, process.received_bytes)
        self._counters[name] = current
        return _Counters(
            current.sent - last.sent,
            current.sent_datagrams - last.sent_datagrams,
            current.received - last.received,
        )


def _add(second: TrafficSecond, role: str, taken: _Counters) -> None:
    if role == "subscriber":
        second.proxies += 1
        second.proxy_sent += taken.sent
        second.proxy_received += taken.received
        second.proxy_highest = max(second.proxy_highest, taken.sent + taken.received)
    elif role == "relay":
        second.relays += 1
        second.relay_sent += taken.sent
        second.relay_highest = max(second.relay_highest, taken.sent)
        second.relay_datagrams_highest = max(second.relay_datagrams_highest, taken.sent_datagrams)
    else:
        second.origin_sent += taken.sent
        second.origin_received += taken.received
        second.origin_datagrams += taken.sent_datagrams
