"""Eight proxies and three control machines as real processes, with faults of links and processes.

Waits have limits, but no time is checked. Order, completeness, staleness and clients are, from logs.
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

STALE_AFTER = 5.0  # seconds: by then a proxy must know


@pytest.fixture
def cluster(tmp_path: Path) -> Iterator[ControlPlaneCluster]:
    with ControlPlaneCluster(tmp_path) as it:
        it.start()
        it.wait_until(lambda: bool(it.status(ORIGIN).get("settled")) and _counted(it) == len(it.proxies))
        yield it


def _counted(cluster: ControlPlaneCluster) -> int:
    return sum(zone["proxies"] for zone in cluster.status(ORIGIN).get("zones", []))


def _is_fully_applied(cluster: ControlPlaneCluster, position: PositionPair) -> bool:
    status = cluster.status(ORIGIN)
    return bool(status.get("everywhere")) and status["held"] == f"{position[0]}.{position[1]}"


def _lagging_nodes(cluster: ControlPlaneCluster) -> dict[str, str]:
    return {one["name"]: one["why"] for one in cluster.status(ORIGIN)["laggards"]}


def _check_order(logged: list[LoggedEvent], proxies: list[str]) -> None:
    """Checks that no process applies an older position after a newer one, and each has one state."""
    states: dict[PositionPair, set[str]] = {}
    last: dict[str, PositionPair] = {}
    for one in logged:
        if one.what == "distribution":
            last.pop(one.name, None)  # a process that has just begun
        if one.what != "in-force":
            continue
        at = int(one.fields["epoch"]), int(one.fields["number"])
        states.setdefault(at, set()).add(one.fields["digest"])
        if one.name in proxies:
            assert at >= last.get(one.name, (0, 0)), one
            last[one.name] = at
    assert states
    assert all(len(digests) == 1 for digests in states.values())


def test_faults_of_links_and_processes_lose_no_change_and_no_client(cluster: ControlPlaneCluster) -> None:
    proxies = cluster.proxies
    load = ClientLoad([cluster.client_addresses[name] for name in proxies[:3]])  # which stay up

    first = cluster.push({"shard/a": "s-1", "shard/b": "s-2"})
    cluster.wait_until(lambda: _is_fully_applied(cluster, first))
    assert cluster.all_at(first)
    assert all(cluster.status(name)["entries"] == 2 for name in proxies)

    # A tenth of all datagrams is lost, some come twice, late or spoilt, and a relay is killed meanwhile.
    cluster.inject(
        [
            Fault("loss", 0.0, 1e9, fraction=0.1),
            Fault("duplicate", 0.0, 1e9, fraction=0.1, max_delay_s=0.3),
            Fault("corrupt", 0.0, 1e9, fraction=0.03),
            Fault("delay", 0.0, 1e9, fraction=0.2, max_delay_s=0.1),
        ]
    )
    for at in range(10):
        latest = cluster.push({f"shard/{at}": f"s-{at}", "shard/a": f"s-{at}"})
        if at == 4:
            cluster.kill("c01")
    cluster.wait_until(lambda: cluster.all_at(latest))
    cluster.wait_until(lambda: "c01" in _lagging_nodes(cluster))
    assert not cluster.status(ORIGIN)["everywhere"]  # the state of the proxies below it is unknown
    cluster.start("c01")
    cluster.wait_until(lambda: _is_fully_applied(cluster, latest))
    cluster.inject([])

    # A proxy is killed in the midst of a revision of many parts, and another one pauses.
    paused = cluster.pause("p05")
    many = {f"shard/many-{at:04d}": "x" * 60 for at in range(400)}
    whole = cluster.push(many)
    cluster.kill("p06")
    cluster.wait_until(lambda: cluster.all_at(whole, [n for n in proxies if n not in ("p05", "p06")]))
    cluster.wait_until(lambda: _lagging_nodes(cluster) == {"p05": "unreachable", "p06": "unreachable"})
    cluster.wait_until(lambda: time.monotonic() > paused + STALE_AFTER)
    cluster.resume("p05")
    cluster.start("p06")
    cluster.wait_until(lambda: _is_fully_applied(cluster, whole))
    assert [
        one
        for one in cluster.logged_events()
        if one.name == "p05" and one.what == "stale" and one.at > paused
    ]

    # Cut off from all control machines, both ways, then only one way: stale, and goes on with what it has.
    machines = tuple(cluster.machines)
    for faults, hears in (
        (both_ways(0.0, 1e9, ("p07",), machines), False),
        ([Fault("cut", 0.0, 1e9, machines, ("p07",))], False),
        # What is pushed within the lease of its last poll still reaches it.
        ([Fault("cut", 0.0, 1e9, ("p07",), machines)], True),
    ):
        began = cluster.inject(faults)
        later = cluster.push({"shard/cut": str(began)})
        cluster.wait_until(
            lambda since=began: bool(
                [  # type: ignore[misc]
                    one
                    for one in cluster.logged_events()
                    if one.name == "p07" and one.what == "stale" and one.at >= since
                ]
            )
        )
        health = cluster.call("p07", "GET", "/admin/health")[1]
        assert health["configuration"]["stale"] is True
        assert hears or health["configuration"]["in_force"] != f"{later[0]}.{later[1]}"
        assert cluster.all_at(later, proxies[:-1])
        cluster.inject([])
        cluster.wait_until(lambda at=later: _is_fully_applied(cluster, at))  # type: ignore[misc]

    # The origin is killed and started again: another epoch, the same history.
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
    cluster.wait_until(lambda: cluster.all_at(latest))  # its children have found another parent
    cluster.resume("c02")
    cluster.wait_until(lambda: _is_fully_applied(cluster, latest))
    assert cluster.shut_down("p07") == 0
    cluster.wait_until(lambda: _counted(cluster) == len(cluster.proxies) - 1)
    last = cluster.push({"shard/a": "s-2"})
    cluster.wait_until(
        lambda: _is_fully_applied(cluster, last)
    )  # it has told that it goes: nobody waits for it
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
    told = cluster.call("p01", "GET", "/admin/health")[1]["configuration"]
    # It serves clients, and says that it knows nothing.
    assert (told["stale"], told["in_force"]) == (True, "0.0")


def _run(*words: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "ironmill", *words], capture_output=True, text=True, timeout=60.0, check=False
    )


def test_operators_push_watch_and_revert_revisions(cluster: ControlPlaneCluster) -> None:
    at = format_address(cluster.admin_addresses[ORIGIN])
    pushed = _run("config", "push", at, "shard/a=s-1", "log/level=debug", "--author=ann", "--wait")
    assert (pushed.returncode, pushed.stderr) == (0, "")
    refused = _run("config", "push", at, "no/such=1", "--author=ann")
    assert refused.returncode == 2
    assert "no/such" in refused.stderr
    # One that passes at the origin and not at proxies: they name it, and keep what they had.
    words = ["deny/subject/mallory=ticket 7", "--author=ann", "--wait", "--within=3s"]
    shown = _run("config", "push", at, *words)
    assert shown.returncode == 1
    named = [name for name in cluster.proxies if f"{name} in zone" in shown.stdout]
    assert len(named) >= 3  # for so many a relay has room, and all may be at one
    assert shown.stdout.count("deny/subject/mallory: this proxy's settings hold no identity") == len(named)

    # As many as there is room for, and how many more: all, once none is on its way to another relay.
    def all_refuse() -> bool:
        told = cluster.status(ORIGIN)
        assert not told["everywhere"]
        assert set(_lagging_nodes(cluster).values()) == {"refused"}
        return len(told["laggards"]) + int(told["more_laggards"]) == len(cluster.proxies)

    cluster.wait_until(all_refuse)
    assert {cluster.status(name)["in_force"] for name in cluster.proxies} == {"1.1"}
    back = _run("config", "revert", at, "1", "--author=ann", "--wait")
    assert (back.returncode, back.stderr) == (0, "")
    assert {cluster.status(name)["in_force"] for name in cluster.proxies} == {"1.3"}
    assert "c01" not in _run("config", "status", at).stderr
    history = _run("config", "history", at)
    assert history.returncode == 0
    assert "ann" in history.stdout
    elsewhere = _run(
        "config", "push", format_address(cluster.admin_addresses["c01"]), "shard/a=1", "--author=ann"
    )
    assert elsewhere.returncode == 2
    assert ORIGIN in elsewhere.stderr


def test_distribution_is_not_imported_without_settings(tmp_path: Path) -> None:
    program = (
        "import sys; import ironmill.cli, ironmill.net.proxy; "
        "own = ['ironmill.configuration'] + ['ironmill.configuration.' + name for name in "
        "('proxy_config', 'site_settings', 'units')]; "  # what every proxy is configured with
        "print([name for name in sys.modules if 'distribution' in name or 'sqlite' in name or "
        "'distributed' in name or name.startswith('ironmill.membership') or "
        "'configuration' in name and name not in own])"
    )
    found = subprocess.run([sys.executable, "-c", program], capture_output=True, text=True, check=True)
    assert found.stdout.strip() == "[]"


def test_control_machine_that_cannot_start_reports_one_line(tmp_path: Path) -> None:
    (tmp_path / "members.keys").write_text("0f" * 32 + "\n")
    (tmp_path / "store").write_text("something else" * 100)
    settings = tmp_path / "c00.xml"
    text = (
        '<ironmill xmlns="urn:ironmill:settings:1"><distribution cluster="town" listen="127.0.0.1:{port}" '
        'keys="members.keys" role="{role}"{store}><control name="c00" address="127.0.0.1:9" origin="true"/>'
        "</distribution></ironmill>"
    )
    for role, store, wrong in (
        ("origin", ' store="store"', "file is not a database"),
        ("subscriber", "", "no settings of a control machine"),
    ):
        settings.write_text(text.format(port=40000 + os.getpid() % 20000, role=role, store=store))
        ended = _run("control", "c00", f"--settings={settings}", "--staff=127.0.0.1:0")
        assert ended.returncode == 2
        assert len(ended.stderr.splitlines()) == 1
        assert wrong in ended.stderr
