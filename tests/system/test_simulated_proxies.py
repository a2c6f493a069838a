"""Tests of simulated proxies on sockets: a small fleet with faults, and each check of such a run.

Waits have time limits, but no measured time is checked.
"""

from __future__ import annotations

import socket
import time
from collections import Counter
from pathlib import Path
from typing import Any

import psutil
import pytest

from ironmill.distribution.events import BecameFresh, BecameStale, ParentChanged, ParentLost, RevisionApplied
from ironmill.distribution.revision import START, Position
from ironmill_testbed import processes
from ironmill_testbed.capacity import on_sockets
from ironmill_testbed.faults.checker import LoggedEvent
from ironmill_testbed.faults.simulated_proxies import (
    PAIRED_KEYS,
    PairCheckingConsumer,
    ProxyReports,
    region,
    zone,
)
from ironmill_testbed.faults.socket_fleet import SocketFleet
from ironmill_testbed.processes import CommandedProcess

FIRST_KEY, SECOND_KEY = PAIRED_KEYS


def _applied_fields(epoch: int, number: int, digest: str = "a") -> dict[str, Any]:
    return {"epoch": epoch, "number": number, "changes": 1, "digest": digest}


def _logged(name: str, what: str, number: int = 0, digest: str = "a", at: float = 0.0) -> LoggedEvent:
    return LoggedEvent(at, name, what, _applied_fields(1, number, digest))


def test_thirty_simulated_proxies_and_a_real_one_lose_nothing_through_faults() -> None:
    own_process = psutil.Process()
    children_before = {child.pid for child in own_process.children(recursive=True)}
    results = on_sockets.run(30, 3, 2, 1, seconds=3.0, quick=True)
    assert (results["hollow_on_sockets"], results["real_processes"], results["real_proxies"]) == (30, 4, 1)
    assert results["changes"] > 20
    assert (results["refused_pushes"], results["refused_why"]) == (0, "")
    for name in ("lost_changes", "older_after_newer", "half_in_force", "false_everywhere", "clients_lost"):
        assert results[name] == 0, name
    assert results["clients_lines"] > 100
    assert results["reattached"] > 0  # the children of the killed relay have attached to another one
    assert results["not_reattached"] == 0
    assert results["stale_told"] == 30
    assert results["hollow_events"].get("refused", 0) == 0
    figures = (
        "change_p50_s",
        "change_p99_s",
        "change_max_s",
        "control_core_percent",
        "origin_core_percent",
        "control_memory_mb",
        "control_bytes_per_s",
        "proxy_core_percent",
        "serve_core_percent",
        "reattach_s",
        "peak_memory_mb",
        "wall_s",
    )
    assert all(isinstance(results[name], float) for name in figures)
    assert {child.pid for child in own_process.children(recursive=True)} == children_before


def test_processes_end_with_their_fleet(tmp_path: Path) -> None:
    with pytest.raises(ZeroDivisionError), SocketFleet(tmp_path, 2, 3, 1, 0) as fleet:
        fleet.start(*fleet.controls)
        fleet.start_simulated()
        (simulated_process,) = fleet.simulated
        assert simulated_process.execute("summary")["proxies"] == 2
        started_processes = fleet.all_processes()
        fleet.pause("c01")
        raise ZeroDivisionError
    assert all(process.popen.poll() is not None for process in started_processes)


def test_process_of_simulated_proxies_ends_when_its_input_does(tmp_path: Path) -> None:
    with SocketFleet(tmp_path, 2, 3, 1, 0) as fleet:
        fleet.start_simulated()
        (simulated_process,) = fleet.simulated
        report = simulated_process.execute("summary")
        assert (report["proxies"], report["in_force"], report["reached"]) == (2, {}, {})
        assert report["cpu"] > 0.0
        assert report["resident"] > 0
        assert simulated_process.popen.stdin is not None
        simulated_process.popen.stdin.close()
        assert simulated_process.popen.wait(20.0) == 0


def test_ended_process_is_reported_by_name(tmp_path: Path) -> None:
    with CommandedProcess(["-c", "raise SystemExit('no more')"], tmp_path, "short") as process:
        process.popen.wait(20.0)
        with pytest.raises(RuntimeError, match="short has ended: no more"):
            process.execute("summary")


def test_port_in_use_by_udp_or_already_assigned_is_not_free(monkeypatch: pytest.MonkeyPatch) -> None:
    port = processes.free_port()
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.bind(("127.0.0.1", port))
        monkeypatch.setattr(processes, "_reserved_ports", set[int]())
        monkeypatch.setattr(processes, "PORTS", (port, port + 1))
        with pytest.raises(RuntimeError, match="no free port"):
            processes.free_port()
    assert processes.free_port() == port
    with pytest.raises(RuntimeError, match="no free port"):
        processes.free_port()


def test_eleven_zones_in_five_regions() -> None:
    locations = {(zone(index), region(index)) for index in range(2800)}
    assert len(locations) == 11
    assert {name for _, name in locations} == {f"r{number}" for number in range(5)}


def test_reports_of_all_proxies_are_summed() -> None:
    reports = ProxyReports()
    reports.on_event("h0", ParentChanged("c01", ""), 1.0)
    reports.on_event("h1", ParentChanged("c01", ""), 1.0)
    reports.on_event("h0", RevisionApplied(Position(1, 2), 1, 0xA), 2.0)
    reports.on_event("h1", RevisionApplied(Position(1, 1), 1, 0xA), 3.0)
    reports.on_event("h1", RevisionApplied(Position(1, 2), 1, 0xB), 4.0)
    reports.on_event("h1", BecameStale(4.0, START), 5.0)
    summary = reports.summary()
    assert summary["in_force"] == {"1.2": 2}
    # Applying a later revision counts for all earlier ones.
    assert summary["reached"] == {"1": [2, 2.0, 3.0], "2": [2, 2.0, 4.0]}
    assert summary["digests"] == {"1.2": {"a": 1, "b": 1}, "1.1": {"a": 1}}
    assert (summary["out_of_order"], summary["stale"]) == (0, 1)
    assert reports.moments(2, 9) == {"reached": {"2": [2.0, 4.0]}, "stale": [5.0]}
    reports.on_event("h1", RevisionApplied(Position(1, 1), 1, 0xA), 6.0)
    reports.on_event("h1", BecameFresh(0.0, START), 6.0)
    assert (reports.out_of_order, reports.state()["stale"]) == (1, 0)
    reports.on_event("h0", ParentLost("c01"), 7.0)
    assert reports.state()["parents"] == {"c01": 1}
    reports.on_event("h0", ParentChanged("c02", ""), 8.0)
    reports.on_event("h1", ParentChanged("c02", "c01"), 9.0)
    assert reports.moved("c01", 1.5) == {"count": 2, "last": 9.0}
    assert reports.moved("c01", 8.5) == {"count": 1, "last": 9.0}
    assert reports.moved("c02", 0.0) == {"count": 0, "last": None}


def test_change_that_breaks_the_pair_of_keys_is_counted() -> None:
    reports = ProxyReports()
    consumer = PairCheckingConsumer(reports)
    for changes in (
        {FIRST_KEY: b"1", SECOND_KEY: b"1"},
        {"shard/a": b"2"},
        {FIRST_KEY: None, SECOND_KEY: None},
    ):
        assert consumer.check(changes) is None
        consumer.apply(changes)
    assert reports.torn == 0
    consumer.apply({FIRST_KEY: b"1"})
    consumer.apply({SECOND_KEY: None})
    consumer.apply({FIRST_KEY: b"1", SECOND_KEY: b"2"})
    assert reports.torn == 3


def test_lost_changes_are_counted_for_each_proxy() -> None:
    latest = Position(2, 7)
    assert on_sockets.lost([(latest, 30), (Position(2, 8), 1)], latest) == 0
    assert on_sockets.lost([(latest, 3), (Position(1, 5), 2), (START, 1)], latest) == 2 * 2 + 7


def test_different_state_at_the_same_position_is_counted() -> None:
    logged = [_logged("c00", "in-force", 1), _logged("c01", "in-force", 1), _logged("p00", "in-force", 1)]
    origin = on_sockets.origin_states(logged)
    assert on_sockets.differing(on_sockets.states_of(logged), origin) == 0
    logged.append(_logged("p01", "in-force", 1, "b"))
    assert on_sockets.differing(on_sockets.states_of(logged), origin) == 1
    # The origin never had this position.
    assert on_sockets.differing({Position(1, 9): Counter({"a": 4})}, origin) == 4


def test_older_position_after_a_newer_one_is_counted_unless_restarted() -> None:
    logged = [
        _logged("p00", "distribution"),
        _logged("p00", "in-force", 1),
        _logged("p00", "in-force", 2),
        _logged("p00", "distribution"),
        _logged("p00", "in-force", 1),
    ]
    assert on_sockets.out_of_order(logged) == 0
    assert on_sockets.out_of_order([*logged, _logged("p00", "in-force", 1)]) == 1


def test_fully_applied_reported_too_early_is_counted() -> None:
    logged = [_logged("c00", "everywhere", 1, at=5.0)]
    assert on_sockets.false_everywhere(logged, {1: [4.0, 4.9]}, 2) == 0
    assert on_sockets.false_everywhere(logged, {1: [4.0, 5.1]}, 2) == 1
    assert on_sockets.false_everywhere(logged, {1: [4.0]}, 2) == 1


def test_load_keeps_its_rate_and_the_times_of_actions(monkeypatch: pytest.MonkeyPatch) -> None:
    clock, steps = [100.0], list[str]()
    monkeypatch.setattr(time, "monotonic", lambda: clock[0])
    monkeypatch.setattr(time, "sleep", lambda delay: clock.__setitem__(0, clock[0] + delay))

    class RecordingLoad(on_sockets.OperatorLoad):
        def push_once(self, phase: str) -> None:
            steps.append(phase)

    load = RecordingLoad(None)  # type: ignore[arg-type]
    load.run("x", 2.0, 2.0, [(0.7, lambda: steps.append("kill")), (3.0, lambda: steps.append("late"))])
    assert steps == ["x", "x", "kill", "x", "x", "late"]
