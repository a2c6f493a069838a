"""Hollow proxies on sockets: a small fleet with faults, and that each check finds what it looks for.

Waits end a test; no time is judged.
"""

from __future__ import annotations

import socket
import time
from collections import Counter
from pathlib import Path
from typing import Any

import psutil
import pytest

from ironmill.distribution.revision import START, Position
from ironmill_testbed import processes
from ironmill_testbed.capacity import on_sockets
from ironmill_testbed.faults.checker import LoggedEvent
from ironmill_testbed.faults.simulated_proxies import TWINS, Taker, Tally, region, zone
from ironmill_testbed.faults.socket_fleet import Fleet
from ironmill_testbed.processes import CommandedProcess

ONE, OTHER = TWINS


def _in_force(epoch: int, number: int, digest: str = "a") -> dict[str, Any]:
    return {"epoch": epoch, "number": number, "changes": 1, "digest": digest}


def _seen(name: str, what: str, number: int = 0, digest: str = "a", at: float = 0.0) -> LoggedEvent:
    return LoggedEvent(at, name, what, _in_force(1, number, digest))


def test_thirty_hollow_ones_and_a_whole_proxy_lose_nothing_whoever_is_killed() -> None:
    me = psutil.Process()
    before = {child.pid for child in me.children(recursive=True)}
    found = on_sockets.run(30, 3, 2, 1, seconds=3.0, quick=True)
    assert (found["hollow_on_sockets"], found["real_processes"], found["real_proxies"]) == (30, 4, 1)
    assert found["changes"] > 20
    assert (found["refused_pushes"], found["refused_why"]) == (0, "")
    for name in ("lost_changes", "older_after_newer", "half_in_force", "false_everywhere", "clients_lost"):
        assert found[name] == 0, name
    assert found["clients_lines"] > 100
    assert found["reattached"] > 0  # the killed relay's children have found another one
    assert found["not_reattached"] == 0
    assert found["stale_told"] == 30
    assert found["hollow_events"].get("refused", 0) == 0
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
    assert all(isinstance(found[name], float) for name in figures)
    assert {child.pid for child in me.children(recursive=True)} == before


def test_processes_end_with_what_started_them(tmp_path: Path) -> None:
    with pytest.raises(ZeroDivisionError), Fleet(tmp_path, 2, 3, 1, 0) as fleet:
        fleet.start(*fleet.controls)
        fleet.start_hollow()
        (hollow,) = fleet.hollow
        assert hollow.ask("told")["proxies"] == 2
        started = fleet.all()
        fleet.pause("c01")
        raise ZeroDivisionError
    assert all(process.popen.poll() is not None for process in started)


def test_a_hollow_process_ends_when_its_input_does(tmp_path: Path) -> None:
    with Fleet(tmp_path, 2, 3, 1, 0) as fleet:
        fleet.start_hollow()
        (hollow,) = fleet.hollow
        told = hollow.ask("told")
        assert (told["proxies"], told["in_force"], told["reached"]) == (2, {}, {})
        assert told["cpu"] > 0.0
        assert told["resident"] > 0
        assert hollow.popen.stdin is not None
        hollow.popen.stdin.close()
        assert hollow.popen.wait(20.0) == 0


def test_one_that_has_ended_is_told_by_name(tmp_path: Path) -> None:
    with CommandedProcess(["-c", "raise SystemExit('no more')"], tmp_path, "short") as process:
        process.popen.wait(20.0)
        with pytest.raises(RuntimeError, match="short has ended: no more"):
            process.ask("told")


def test_a_port_that_udp_uses_or_that_was_given_is_not_free(monkeypatch: pytest.MonkeyPatch) -> None:
    port = processes.free_port()
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.bind(("127.0.0.1", port))
        monkeypatch.setattr(processes, "_given", set[int]())
        monkeypatch.setattr(processes, "PORTS", (port, port + 1))
        with pytest.raises(RuntimeError, match="no free port"):
            processes.free_port()
    assert processes.free_port() == port
    with pytest.raises(RuntimeError, match="no free port"):
        processes.free_port()


def test_eleven_zones_in_five_regions() -> None:
    places = {(zone(at), region(at)) for at in range(2800)}
    assert len(places) == 11
    assert {name for _, name in places} == {f"r{at}" for at in range(5)}


def test_a_tally_sums_what_is_told() -> None:
    tally = Tally()
    tally.told("h0", "parent", {"parent": "c01", "was": ""}, 1.0)
    tally.told("h1", "parent", {"parent": "c01", "was": ""}, 1.0)
    tally.told("h0", "in-force", _in_force(1, 2), 2.0)
    tally.told("h1", "in-force", _in_force(1, 1), 3.0)
    tally.told("h1", "in-force", _in_force(1, 2, "b"), 4.0)
    tally.told("h1", "stale", {"age": 4.0}, 5.0)
    summed = tally.summed()
    assert summed["in_force"] == {"1.2": 2}
    assert summed["reached"] == {"1": [2, 2.0, 3.0], "2": [2, 2.0, 4.0]}  # a later one is in force as well
    assert summed["digests"] == {"1.2": {"a": 1, "b": 1}, "1.1": {"a": 1}}
    assert (summed["out_of_order"], summed["stale"]) == (0, 1)
    assert tally.moments(2, 9) == {"reached": {"2": [2.0, 4.0]}, "stale": [5.0]}
    tally.told("h1", "in-force", _in_force(1, 1), 6.0)
    tally.told("h1", "fresh", {"age": 0.0}, 6.0)
    assert (tally.out_of_order, tally.state()["stale"]) == (1, 0)
    tally.told("h0", "parent-lost", {"parent": "c01"}, 7.0)
    assert tally.state()["parents"] == {"c01": 1}
    tally.told("h0", "parent", {"parent": "c02", "was": ""}, 8.0)
    tally.told("h1", "parent", {"parent": "c02", "was": "c01"}, 9.0)
    assert tally.moved("c01", 1.5) == {"count": 2, "last": 9.0}
    assert tally.moved("c01", 8.5) == {"count": 1, "last": 9.0}
    assert tally.moved("c02", 0.0) == {"count": 0, "last": None}


def test_what_belongs_together_and_comes_alone_is_seen() -> None:
    tally = Tally()
    taker = Taker(tally)
    for changes in ({ONE: b"1", OTHER: b"1"}, {"shard/a": b"2"}, {ONE: None, OTHER: None}):
        assert taker.check(changes) is None
        taker.apply(changes)
    assert tally.torn == 0
    taker.apply({ONE: b"1"})
    taker.apply({OTHER: None})
    taker.apply({ONE: b"1", OTHER: b"2"})
    assert tally.torn == 3


def test_changes_that_are_lost_are_counted_for_each_proxy() -> None:
    last = Position(2, 7)
    assert on_sockets.lost([(last, 30), (Position(2, 8), 1)], last) == 0
    assert on_sockets.lost([(last, 3), (Position(1, 5), 2), (START, 1)], last) == 2 * 2 + 7


def test_another_state_at_the_same_position_is_found() -> None:
    seen = [_seen("c00", "in-force", 1), _seen("c01", "in-force", 1), _seen("p00", "in-force", 1)]
    origin = on_sockets.origin_states(seen)
    assert on_sockets.differing(on_sockets.states_of(seen), origin) == 0
    seen.append(_seen("p01", "in-force", 1, "b"))
    assert on_sockets.differing(on_sockets.states_of(seen), origin) == 1
    assert on_sockets.differing({Position(1, 9): Counter({"a": 4})}, origin) == 4  # never was


def test_an_older_one_after_a_newer_one_is_found_and_a_restart_is_none() -> None:
    seen = [
        _seen("p00", "distribution"),
        _seen("p00", "in-force", 1),
        _seen("p00", "in-force", 2),
        _seen("p00", "distribution"),
        _seen("p00", "in-force", 1),
    ]
    assert on_sockets.out_of_order(seen) == 0
    assert on_sockets.out_of_order([*seen, _seen("p00", "in-force", 1)]) == 1


def test_everywhere_told_too_early_is_found() -> None:
    seen = [_seen("c00", "everywhere", 1, at=5.0)]
    assert on_sockets.false_everywhere(seen, {1: [4.0, 4.9]}, 2) == 0
    assert on_sockets.false_everywhere(seen, {1: [4.0, 5.1]}, 2) == 1
    assert on_sockets.false_everywhere(seen, {1: [4.0]}, 2) == 1


def test_changes_come_at_their_pace_and_actions_at_their_moments(monkeypatch: pytest.MonkeyPatch) -> None:
    clock, steps = [100.0], list[str]()
    monkeypatch.setattr(time, "monotonic", lambda: clock[0])
    monkeypatch.setattr(time, "sleep", lambda delay: clock.__setitem__(0, clock[0] + delay))

    class Counting(on_sockets.Staff):
        def once(self, phase: str) -> None:
            steps.append(phase)

    staff = Counting(None)  # type: ignore[arg-type]
    staff.tell("x", 2.0, 2.0, [(0.7, lambda: steps.append("kill")), (3.0, lambda: steps.append("late"))])
    assert steps == ["x", "x", "kill", "x", "x", "late"]
