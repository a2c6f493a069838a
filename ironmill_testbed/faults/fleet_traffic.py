"""Traffic of a simulated fleet in each second, by role."""

from __future__ import annotations

from collections.abc import Mapping

from msgspec import Struct

from ironmill_testbed.faults.fleet_process import FleetProcess


class TrafficSecond(Struct):
    """Bytes and datagrams of one second, by role. ``highest`` fields are the maximum of a single process."""

    proxies: int = 0  # number of running proxies
    proxy_sent: int = 0
    proxy_received: int = 0
    proxy_highest: int = 0  # sent and received bytes
    relays: int = 0  # number of running relays
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
    """Measures the traffic of each second by the differences of the processes' counters."""

    def __init__(self, processes: Mapping[str, FleetProcess]) -> None:
        """Creates a meter for all processes of the fleet, which are given by name."""
        self._processes = processes
        self._counters = {name: _Counters() for name in processes}
        self.seconds: list[TrafficSecond] = []

    def reset(self, name: str) -> None:
        """Resets the counters of a process that starts."""
        self._counters[name] = _Counters()

    def begin(self) -> None:
        """Discards the traffic so far."""
        for name in self._processes:
            self._measure_process(name)

    def measure(self) -> None:
        """Records the traffic since the last call as one second."""
        second = TrafficSecond()
        for name, process in self._processes.items():
            traffic = self._measure_process(name)
            if traffic is not None:
                _add_to_second(second, process.role, traffic)
        self.seconds.append(second)

    def _measure_process(self, name: str) -> _Counters | None:
        """Returns the traffic of a process since the last call; None if the process does not run."""
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


def _add_to_second(second: TrafficSecond, role: str, traffic: _Counters) -> None:
    if role == "subscriber":
        second.proxies += 1
        second.proxy_sent += traffic.sent
        second.proxy_received += traffic.received
        second.proxy_highest = max(second.proxy_highest, traffic.sent + traffic.received)
    elif role == "relay":
        second.relays += 1
        second.relay_sent += traffic.sent
        second.relay_highest = max(second.relay_highest, traffic.sent)
        second.relay_datagrams_highest = max(second.relay_datagrams_highest, traffic.sent_datagrams)
    else:
        second.origin_sent += traffic.sent
        second.origin_received += traffic.received
        second.origin_datagrams += traffic.sent_datagrams
