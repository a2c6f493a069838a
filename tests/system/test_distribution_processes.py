"""Tests of eight proxies and three control machines as real processes, with faults of links and processes.

Waits have time limits, but no measured time is checked. Order, completeness and staleness are checked by
the logs and the admin API, and lost clients by their counters.
"""

from __future__ import annotations

import os
import signal
import subprocess
import sys
import time
from collections.abc import Iterator
from pathlib import Path

import pytest

from ironmill.membership.identity import format_address
from ironmill_testbed.client_load import ClientLoad
from ironmill_testbed.faults.checker import LoggedEvent
from ironmill_testbed.faults.control_plane_cluster import ORIGIN, ControlPlaneCluster, PositionPair
from ironmill_testbed.faults.schedule import Fault, both_ways

STALE_AFTER_S = 5.0  # time after which a proxy without contact must report itself as stale


@pytest.fixture
def cluster(tmp_path: Path) -> Iterator[ControlPlaneCluster]:
    with ControlPlaneCluster(tmp_path) as running:
        running.start()
        running.wait_until(
            lambda: (
                bool(running.status(ORIGIN).get("settled"))
                and _count_proxies(running) == len(running.proxies)
            )
        )
        yield running


def _count_proxies(cluster: ControlPlaneCluster) -> int:
    return sum(zone["proxies"] for zone in cluster.status(ORIGIN).get("zones", []))


def _is_fully_applied(cluster: ControlPlaneCluster, position: PositionPair) -> bool:
    status = cluster.status(ORIGIN)
    return bool(status.get("everywhere")) and status["held"] == f"{position[0]}.{position[1]}"


def _lagging_nodes(cluster: ControlPlaneCluster) -> dict[str, str]:
    return {node["name"]: node["why"] for node in cluster.status(ORIGIN)["laggards"]}


def _check_order(logged: list[LoggedEvent], proxies: list[str]) -> None:
    """Checks that no proxy applies an older position after a newer one, and each position has one state."""
    states: dict[PositionPair, set[str]] = {}
    last: dict[str, PositionPair] = {}
    for event in logged:
        if event.what == "distribution":
            last.pop(event.name, None)  # logged at the start of a process, which has no position yet
        if event.what != "in-force":
            continue
        position = int(event.fields["epoch"]), int(event.fields["number"])
        states.setdefault(position, set()).add(event.fields["digest"])
        if event.name in proxies:
            assert position >= last.get(event.name, (0, 0)), event
            last[event.name] = position
    assert states
    assert all(len(digests) == 1 for digests in states.values())


def test_faults_of_links_and_processes_lose_no_change_and_no_client(cluster: ControlPlaneCluster) -> None:
    proxies = cluster.proxies
    load = ClientLoad([cluster.client_addresses[name] for name in proxies[:3]])  # these stay up

    first = cluster.push({"shard/a": "s-1", "shard/b": "s-2"})
    cluster.wait_until(lambda: _is_fully_applied(cluster, first))
    assert cluster.all_at(first)
    assert all(cluster.status(name)["entries"] == 2 for name in proxies)

    # 10% of the datagrams are lost, some are duplicated, delayed or corrupted, and a relay is killed.
    cluster.inject(
        [
            Fault("loss", 0.0, 1e9, fraction=0.1),
            Fault("duplicate", 0.0, 1e9, fraction=0.1, max_delay_s=0.3),
            Fault("corrupt", 0.0, 1e9, fraction=0.03),
            Fault("delay", 0.0, 1e9, fraction=0.2, max_delay_s=0.1),
        ]
    )
    for index in range(10):
        latest = cluster.push({f"shard/{index}": f"s-{index}", "shard/a": f"s-{index}"})
        if index == 4:
            cluster.kill("c01")
    cluster.wait_until(lambda: cluster.all_at(latest))
    cluster.wait_until(lambda: "c01" in _lagging_nodes(cluster))
    assert not cluster.status(ORIGIN)["everywhere"]  # the state of the proxies below it is unknown
    cluster.start("c01")
    cluster.wait_until(lambda: _is_fully_applied(cluster, latest))
    cluster.inject([])

    # One proxy is killed while it receives a revision of many datagrams, and another one is paused.
    paused = cluster.pause("p05")
    many_keys = {f"shard/many-{index:04d}": "x" * 60 for index in range(400)}
    large = cluster.push(many_keys)
    cluster.kill("p06")
    cluster.wait_until(
        lambda: cluster.all_at(large, [proxy for proxy in proxies if proxy not in ("p05", "p06")])
    )
    cluster.wait_until(lambda: _lagging_nodes(cluster) == {"p05": "unreachable", "p06": "unreachable"})
    cluster.wait_until(lambda: time.monotonic() > paused + STALE_AFTER_S)
    cluster.resume("p05")
    cluster.start("p06")
    cluster.wait_until(lambda: _is_fully_applied(cluster, large))
    assert [
        event
        for event in cluster.logged_events()
        if event.name == "p05" and event.what == "stale" and event.at > paused
    ]

    # p07 is cut off from all control machines, first in both directions and then in one: it reports itself as
    # stale and keeps its applied configuration.
    machines = tuple(cluster.machines)
    for faults, can_receive in (
        (both_ways(0.0, 1e9, ("p07",), machines), False),
        ([Fault("cut", 0.0, 1e9, machines, ("p07",))], False),
        # While p07 cannot send, its parent pushes revisions to it until the lease of its last poll ends.
        ([Fault("cut", 0.0, 1e9, ("p07",), machines)], True),
    ):
        cut_at = cluster.inject(faults)
        later = cluster.push({"shard/cut": str(cut_at)})
        cluster.wait_until(
            lambda since=cut_at: bool(
                [  # type: ignore[misc]
                    event
                    for event in cluster.logged_events()
                    if event.name == "p07" and event.what == "stale" and event.at >= since
                ]
            )
        )
        health = cluster.call("p07", "GET", "/admin/health")[1]
        assert health["configuration"]["stale"] is True
        assert can_receive or health["configuration"]["in_force"] != f"{later[0]}.{later[1]}"
        assert cluster.all_at(later, proxies[:-1])
        cluster.inject([])
        cluster.wait_until(lambda position=later: _is_fully_applied(cluster, position))  # type: ignore[misc]

    # The origin is killed and restarted: it begins a new epoch and continues the history of revisions.
    cluster.kill(ORIGIN)
    cluster.start(ORIGIN)
    cluster.wait_until(lambda: bool(cluster.status(ORIGIN)))
    after = cluster.push({"shard/after": "s-9"})
    assert after[0] == later[0] + 1
    assert after[1] == later[1] + 1
    cluster.wait_until(lambda: _is_fully_applied(cluster, after))

    clients = load.stop()
    assert clients.lost == 0
    assert clients.lines > 100
    _check_order(cluster.logged_events(), proxies)


def test_slow_relay_and_proxy_that_shuts_down_gracefully(cluster: ControlPlaneCluster) -> None:
    cluster.pause("c02")
    latest = cluster.push({"shard/a": "s-1"})
    cluster.wait_until(lambda: cluster.all_at(latest))  # the children of c02 have attached to another relay
    cluster.resume("c02")
    cluster.wait_until(lambda: _is_fully_applied(cluster, latest))
    assert cluster.shut_down("p07") == 0
    cluster.wait_until(lambda: _count_proxies(cluster) == len(cluster.proxies) - 1)
    last = cluster.push({"shard/a": "s-2"})
    cluster.wait_until(
        lambda: _is_fully_applied(cluster, last)
    )  # p07 has announced its shutdown, so it is not waited for
    assert "p07" not in _lagging_nodes(cluster)
    _check_order(cluster.logged_events(), cluster.proxies)


def test_cluster_keys_are_rotated_and_unknown_senders_are_dropped(cluster: ControlPlaneCluster) -> None:
    keys = cluster.folder / "members.keys"
    keys.write_text("0f" * 32 + "\n" + "a1" * 32 + "\n")
    cluster.processes["p00"].popen.send_signal(signal.SIGHUP)
    latest = cluster.push({"shard/a": "s-1"})
    cluster.wait_until(lambda: _is_fully_applied(cluster, latest))
    keys.write_text("b2" * 32 + "\n")
    cluster.kill("p01")
    cluster.start("p01")
    relays = [name for name in cluster.machines if name != ORIGIN]
    cluster.wait_until(lambda: all(cluster.status(name)["dropped"].get("forged") for name in relays))
    cluster.wait_until(lambda: cluster.call("p01", "GET", "/admin/health")[0] == 200)
    reported = cluster.call("p01", "GET", "/admin/health")[1]["configuration"]
    # p01 serves clients, and reports that it has no configuration.
    assert (reported["stale"], reported["in_force"]) == (True, "0.0")


def _run(*arguments: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "ironmill", *arguments],
        capture_output=True,
        text=True,
        timeout=60.0,
        check=False,
    )


def test_operators_push_watch_and_revert_revisions(cluster: ControlPlaneCluster) -> None:
    origin_address = format_address(cluster.admin_addresses[ORIGIN])
    pushed = _run(
        "config", "push", origin_address, "shard/a=s-1", "log/level=debug", "--author=ann", "--wait"
    )
    assert (pushed.returncode, pushed.stderr) == (0, "")
    unknown_key = _run("config", "push", origin_address, "no/such=1", "--author=ann")
    assert unknown_key.returncode == 2
    assert "no/such" in unknown_key.stderr
    # The origin accepts this revision, but the proxies reject it: they report its key and keep the previous
    # revision.
    arguments = ["deny/subject/mallory=ticket 7", "--author=ann", "--wait", "--within=3s"]
    rejected = _run("config", "push", origin_address, *arguments)
    assert rejected.returncode == 1
    listed = [name for name in cluster.proxies if f"{name} in zone" in rejected.stdout]
    assert len(listed) >= 3  # a relay has room for this many, and all proxies may be below one relay
    assert rejected.stdout.count("deny/subject/mallory: this proxy's settings hold no identity") == len(
        listed
    )

    # The listed and the omitted lagging nodes are all proxies, once no proxy is changing its relay.
    def all_proxies_reject() -> bool:
        status = cluster.status(ORIGIN)
        assert not status["everywhere"]
        assert set(_lagging_nodes(cluster).values()) == {"refused"}
        return len(status["laggards"]) + int(status["more_laggards"]) == len(cluster.proxies)

    cluster.wait_until(all_proxies_reject)
    assert {cluster.status(name)["in_force"] for name in cluster.proxies} == {"1.1"}
    reverted = _run("config", "revert", origin_address, "1", "--author=ann", "--wait")
    assert (reverted.returncode, reverted.stderr) == (0, "")
    assert {cluster.status(name)["in_force"] for name in cluster.proxies} == {"1.3"}
    assert "c01" not in _run("config", "status", origin_address).stderr
    history = _run("config", "history", origin_address)
    assert history.returncode == 0
    assert "ann" in history.stdout
    pushed_to_relay = _run(
        "config", "push", format_address(cluster.admin_addresses["c01"]), "shard/a=1", "--author=ann"
    )
    assert pushed_to_relay.returncode == 2
    assert ORIGIN in pushed_to_relay.stderr


def test_distribution_is_not_imported_without_settings(tmp_path: Path) -> None:
    program = (
        "import sys; import ironmill.cli, ironmill.net.proxy; "
        "own = ['ironmill.configuration'] + ['ironmill.configuration.' + name for name in "
        "('proxy_config', 'site_settings', 'units')]; "  # modules that every proxy imports
        "print([name for name in sys.modules if 'distribution' in name or 'sqlite' in name or "
        "'distributed' in name or name.startswith('ironmill.membership') or "
        "'configuration' in name and name not in own])"
    )
    imported = subprocess.run([sys.executable, "-c", program], capture_output=True, text=True, check=True)
    assert imported.stdout.strip() == "[]"


def test_control_machine_that_cannot_start_reports_one_line(tmp_path: Path) -> None:
    (tmp_path / "members.keys").write_text("0f" * 32 + "\n")
    (tmp_path / "store").write_text("something else" * 100)
    settings = tmp_path / "c00.xml"
    text = (
        '<ironmill xmlns="urn:ironmill:settings:1"><distribution cluster="town" listen="127.0.0.1:{port}" '
        'keys="members.keys" role="{role}"{store}><control name="c00" address="127.0.0.1:9" origin="true"/>'
        "</distribution></ironmill>"
    )
    for role, store, message in (
        ("origin", ' store="store"', "file is not a database"),
        ("subscriber", "", "no settings of a control machine"),
    ):
        settings.write_text(text.format(port=40000 + os.getpid() % 20000, role=role, store=store))
        ended = _run("control", "c00", f"--settings={settings}", "--staff=127.0.0.1:0")
        assert ended.returncode == 2
        assert len(ended.stderr.splitlines()) == 1
        assert message in ended.stderr
