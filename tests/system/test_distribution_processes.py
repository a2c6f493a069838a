"""Eight proxies and three control machines as real processes, with faults between and under them.

Waits end a test; no time is judged. What is judged is read from logs: order, wholeness, staleness, clients.
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
def town(tmp_path: Path) -> Iterator[ControlPlaneCluster]:
    with ControlPlaneCluster(tmp_path) as it:
        it.start()
        it.wait_until(lambda: bool(it.status(ORIGIN).get("settled")) and _counted(it) == len(it.proxies))
        yield it


def _counted(town: ControlPlaneCluster) -> int:
    return sum(zone["proxies"] for zone in town.status(ORIGIN).get("zones", []))


def _everywhere(town: ControlPlaneCluster, position: PositionPair) -> bool:
    status = town.status(ORIGIN)
    return bool(status.get("everywhere")) and status["held"] == f"{position[0]}.{position[1]}"


def _laggards(town: ControlPlaneCluster) -> dict[str, str]:
    return {one["name"]: one["why"] for one in town.status(ORIGIN)["laggards"]}


def _check_order(seen: list[LoggedEvent], proxies: list[str]) -> None:
    """Never an older one after a newer one within a process, and one state for each position."""
    states: dict[PositionPair, set[str]] = {}
    last: dict[str, PositionPair] = {}
    for one in seen:
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


def test_faults_of_links_and_processes_lose_no_change_and_no_client(town: ControlPlaneCluster) -> None:
    proxies = town.proxies
    load = ClientLoad([town.client_addresses[name] for name in proxies[:3]])  # which stay up

    first = town.push({"shard/a": "s-1", "shard/b": "s-2"})
    town.wait_until(lambda: _everywhere(town, first))
    assert town.all_at(first)
    assert all(town.status(name)["entries"] == 2 for name in proxies)

    # A tenth of all datagrams is lost, some come twice, late or spoilt, and a relay is killed meanwhile.
    town.inject(
        [
            Fault("loss", 0.0, 1e9, fraction=0.1),
            Fault("duplicate", 0.0, 1e9, fraction=0.1, max_delay_s=0.3),
            Fault("corrupt", 0.0, 1e9, fraction=0.03),
            Fault("delay", 0.0, 1e9, fraction=0.2, max_delay_s=0.1),
        ]
    )
    for at in range(10):
        latest = town.push({f"shard/{at}": f"s-{at}", "shard/a": f"s-{at}"})
        if at == 4:
            town.kill("c01")
    town.wait_until(lambda: town.all_at(latest))
    town.wait_until(lambda: "c01" in _laggards(town))
    assert not town.status(ORIGIN)["everywhere"]  # who was behind it is not known from there
    town.start("c01")
    town.wait_until(lambda: _everywhere(town, latest))
    town.inject([])

    # A proxy is killed in the midst of a revision of many parts, and another one pauses.
    paused = town.pause("p05")
    many = {f"shard/many-{at:04d}": "x" * 60 for at in range(400)}
    whole = town.push(many)
    town.kill("p06")
    town.wait_until(lambda: town.all_at(whole, [n for n in proxies if n not in ("p05", "p06")]))
    town.wait_until(lambda: _laggards(town) == {"p05": "unreachable", "p06": "unreachable"})
    town.wait_until(lambda: time.monotonic() > paused + STALE_AFTER)
    town.resume("p05")
    town.start("p06")
    town.wait_until(lambda: _everywhere(town, whole))
    assert [
        one for one in town.logged_events() if one.name == "p05" and one.what == "stale" and one.at > paused
    ]

    # Cut off from all control machines, both ways, then only one way: stale, and goes on with what it has.
    machines = tuple(town.machines)
    for faults, hears in (
        (both_ways(0.0, 1e9, ("p07",), machines), False),
        ([Fault("cut", 0.0, 1e9, machines, ("p07",))], False),
        # What is pushed within the lease of its last poll still reaches it.
        ([Fault("cut", 0.0, 1e9, ("p07",), machines)], True),
    ):
        began = town.inject(faults)
        later = town.push({"shard/cut": str(began)})
        town.wait_until(
            lambda since=began: bool(
                [  # type: ignore[misc]
                    one
                    for one in town.logged_events()
                    if one.name == "p07" and one.what == "stale" and one.at >= since
                ]
            )
        )
        health = town.call("p07", "GET", "/admin/health")[1]
        assert health["configuration"]["stale"] is True
        assert hears or health["configuration"]["in_force"] != f"{later[0]}.{later[1]}"
        assert town.all_at(later, proxies[:-1])
        town.inject([])
        town.wait_until(lambda at=later: _everywhere(town, at))  # type: ignore[misc]

    # The origin is killed and started again: another epoch, the same history.
    town.kill(ORIGIN)
    town.start(ORIGIN)
    town.wait_until(lambda: bool(town.status(ORIGIN)))
    after = town.push({"shard/after": "s-9"})
    assert after[0] == later[0] + 1
    assert after[1] == later[1] + 1
    town.wait_until(lambda: _everywhere(town, after))

    clients = load.stop()
    assert clients.lost == 0
    assert clients.lines > 100
    _check_order(town.logged_events(), proxies)


def test_slow_relay_and_proxy_that_shuts_down_gracefully(town: ControlPlaneCluster) -> None:
    town.pause("c02")
    latest = town.push({"shard/a": "s-1"})
    town.wait_until(lambda: town.all_at(latest))  # its children have found another parent
    town.resume("c02")
    town.wait_until(lambda: _everywhere(town, latest))
    assert town.shut_down("p07") == 0
    town.wait_until(lambda: _counted(town) == len(town.proxies) - 1)
    last = town.push({"shard/a": "s-2"})
    town.wait_until(lambda: _everywhere(town, last))  # it has told that it goes: nobody waits for it
    assert "p07" not in _laggards(town)
    _check_order(town.logged_events(), town.proxies)


def test_cluster_keys_are_rotated_and_unknown_senders_are_dropped(town: ControlPlaneCluster) -> None:
    keys = town.folder / "members.keys"
    keys.write_text("0f" * 32 + "\n" + "a1" * 32 + "\n")
    town.processes["p00"].popen.send_signal(signal.SIGHUP)
    latest = town.push({"shard/a": "s-1"})
    town.wait_until(lambda: _everywhere(town, latest))
    keys.write_text("b2" * 32 + "\n")
    town.kill("p01")
    town.start("p01")
    relays = [name for name in town.machines if name != ORIGIN]
    town.wait_until(lambda: all(town.status(name)["dropped"].get("forged") for name in relays))
    town.wait_until(lambda: town.call("p01", "GET", "/admin/health")[0] == 200)
    told = town.call("p01", "GET", "/admin/health")[1]["configuration"]
    # It serves clients, and says that it knows nothing.
    assert (told["stale"], told["in_force"]) == (True, "0.0")


def _run(*words: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "ironmill", *words], capture_output=True, text=True, timeout=60.0, check=False
    )


def test_operators_push_watch_and_revert_revisions(town: ControlPlaneCluster) -> None:
    at = format_address(town.admin_addresses[ORIGIN])
    pushed = _run("config", "push", at, "shard/a=s-1", "log/level=debug", "--author=ann", "--wait")
    assert (pushed.returncode, pushed.stderr) == (0, "")
    refused = _run("config", "push", at, "no/such=1", "--author=ann")
    assert refused.returncode == 2
    assert "no/such" in refused.stderr
    # One that passes at the origin and not at proxies: they name it, and keep what they had.
    words = ["deny/subject/mallory=ticket 7", "--author=ann", "--wait", "--within=3s"]
    shown = _run("config", "push", at, *words)
    assert shown.returncode == 1
    named = [name for name in town.proxies if f"{name} in zone" in shown.stdout]
    assert len(named) >= 3  # for so many a relay has room, and all may be at one
    assert shown.stdout.count("deny/subject/mallory: this proxy's settings hold no identity") == len(named)

    # As many as there is room for, and how many more: all, once none is on its way to another relay.
    def all_refuse() -> bool:
        told = town.status(ORIGIN)
        assert not told["everywhere"]
        assert set(_laggards(town).values()) == {"refused"}
        return len(told["laggards"]) + int(told["more_laggards"]) == len(town.proxies)

    town.wait_until(all_refuse)
    assert {town.status(name)["in_force"] for name in town.proxies} == {"1.1"}
    back = _run("config", "revert", at, "1", "--author=ann", "--wait")
    assert (back.returncode, back.stderr) == (0, "")
    assert {town.status(name)["in_force"] for name in town.proxies} == {"1.3"}
    assert "c01" not in _run("config", "status", at).stderr
    history = _run("config", "history", at)
    assert history.returncode == 0
    assert "ann" in history.stdout
    elsewhere = _run(
        "config", "push", format_address(town.admin_addresses["c01"]), "shard/a=1", "--author=ann"
    )
    assert elsewhere.returncode == 2
    assert ORIGIN in elsewhere.stderr


def test_distribution_is_not_imported_without_settings(tmp_path: Path) -> None:
    story = (
        "import sys; import ironmill.cli, ironmill.net.proxy; "
        "own = ['ironmill.configuration'] + ['ironmill.configuration.' + name for name in "
        "('proxy_config', 'site_settings', 'units')]; "  # what every proxy is configured with
        "print([name for name in sys.modules if 'distribution' in name or 'sqlite' in name or "
        "'distributed' in name or name.startswith('ironmill.membership') or "
        "'configuration' in name and name not in own])"
    )
    found = subprocess.run([sys.executable, "-c", story], capture_output=True, text=True, check=True)
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
