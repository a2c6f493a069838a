"""Tests of members as real processes, with faults of links and processes.

Waits have time limits, but no measured time is checked.
"""

from __future__ import annotations

import signal
import socket
import subprocess
import sys
import time
from pathlib import Path

import pytest
from msgspec import structs

from ironmill.membership.identity import format_address
from ironmill_testbed.faults import checker
from ironmill_testbed.faults.process_cluster import ProcessCluster
from ironmill_testbed.faults.schedule import Fault, both_ways, load
from ironmill_testbed.processes import free_port

MEMBER_COUNT = 8


def test_members_agree_through_kills_partitions_and_pauses(tmp_path: Path) -> None:
    with ProcessCluster(tmp_path, MEMBER_COUNT) as cluster:
        names = cluster.names
        cluster.start()
        cluster.wait_until(lambda: cluster.agree(names))
        events = cluster.logged_events()
        assert not [event for event in events if event.what == "removed" and event.fields["why"] == "decided"]

        start = cluster.kill("m05", "m06")
        rest = [name for name in names if name not in ("m05", "m06")]
        cluster.wait_until(lambda: cluster.agree(rest))
        assert removed_members(cluster, start) == {"m05", "m06"}
        cluster.start("m05", "m06")
        cluster.wait_until(lambda: cluster.agree(names))

        start = cluster.inject(
            [Fault("loss", 0.0, 6.0, fraction=0.3), Fault("corrupt", 0.0, 6.0, fraction=0.05)]
        )
        time.sleep(6.5)
        assert checker.removals(cluster.logged_events(), start) == []

        # At first m03 can only send datagrams, then it can only receive them.
        rest = [name for name in names if name != "m03"]
        for cut in (Fault("cut", 0.0, 1e9, (), ("m03",)), Fault("cut", 0.0, 1e9, ("m03",), ())):
            start = cluster.inject([cut])
            cluster.wait_until(lambda: cluster.agree(rest))
            events = cluster.logged_events()
            assert removed_members(cluster, start) == {"m03"}
            isolated = [event for event in events if event.name == "m03" and event.what == "isolated"]
            assert [event for event in isolated if event.at >= start]
            cluster.inject([])
            cluster.wait_until(lambda: cluster.agree(names))

        start = cluster.pause("m02")
        rest = [name for name in names if name != "m02"]
        cluster.wait_until(lambda: cluster.agree(rest))
        cluster.resume("m02")
        cluster.wait_until(lambda: cluster.agree(names))
        events = cluster.logged_events()
        assert removed_members(cluster, start) == {"m02"}
        assert [event for event in events if event.name == "m02" and event.what == "removed-by-others"]

        side_a, side_b = names[:4], names[4:]
        cluster.inject(both_ways(0.0, 1e9, tuple(side_a), tuple(side_b)))
        cluster.wait_until(lambda: cluster.agree(side_a) and cluster.agree(side_b))
        cluster.inject([])
        cluster.wait_until(lambda: cluster.agree(names))

        start = time.monotonic()
        assert cluster.shut_down("m07") == 0
        cluster.wait_until(lambda: cluster.agree(names[:-1]))
        assert checker.removals(cluster.logged_events(), start) == []  # a graceful shutdown is not a removal


def test_seeds_that_start_a_cluster_of_their_own_merge_with_the_others(tmp_path: Path) -> None:
    """Guards against two separate clusters: both seeds restart while they cannot reach any other member."""
    with ProcessCluster(tmp_path, 5) as cluster:
        seeds, others = cluster.names[:2], cluster.names[2:]
        cluster.start()
        cluster.wait_until(lambda: cluster.agree(cluster.names))
        for seed in seeds:
            assert cluster.shut_down(seed) == 0
        cluster.wait_until(lambda: cluster.agree(others))
        cluster.inject(both_ways(0.0, 1e9, tuple(seeds), tuple(others)))
        cluster.start(*seeds)
        cluster.wait_until(lambda: cluster.agree(seeds))
        cluster.inject([])
        cluster.wait_until(lambda: cluster.agree(cluster.names))


def removed_members(cluster: ProcessCluster, since: float) -> set[str]:
    return {event.fields["member"] for event in checker.removals(cluster.logged_events(), since)}


def test_keys_are_replaced_in_place_and_an_unknown_key_admits_none(tmp_path: Path) -> None:
    keys = tmp_path / "members.keys"
    with ProcessCluster(tmp_path, 3) as cluster:
        cluster.start()
        cluster.wait_until(lambda: cluster.agree(cluster.names))

        # Each step of the rotation is applied to one running process after the other.
        old_key = keys.read_text().strip()
        new_key = "a1" * 32
        for lines in ([old_key, new_key], [new_key, old_key], [new_key]):
            keys.write_text("\n".join(lines) + "\n")
            for name in cluster.names:
                cluster.processes[name].popen.send_signal(signal.SIGHUP)
                cluster.wait_until(lambda: cluster.agree(cluster.names))
        assert not checker.removals(cluster.logged_events(), 0.0)

        keys.write_text("b2" * 32 + "\n")
        killed_at = cluster.kill("m02")
        cluster.wait_until(lambda: cluster.agree(["m00", "m01"]))
        cluster.start("m02")

        def has_dropped_forged_datagrams() -> bool:
            report = cluster.fetch_view("m00")
            return report is not None and report.dropped.get("forged", 0) > 0

        cluster.wait_until(has_dropped_forged_datagrams)
        assert cluster.agree(["m00", "m01"])
        assert killed_at > 0.0


def run(*arguments: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "ironmill", *arguments],
        capture_output=True,
        text=True,
        timeout=60.0,
        check=False,
    )


def test_members_command_prints_the_view_or_one_line_of_error(tmp_path: Path) -> None:
    with ProcessCluster(tmp_path, 2) as cluster:
        cluster.start()
        cluster.wait_until(lambda: cluster.agree(cluster.names))
        printed = run("members", format_address(cluster.admin_addresses["m00"]))
        assert printed.returncode == 0
        assert printed.stdout.startswith("m00 is a member of testbed, view ")
        assert "m01" in printed.stdout
    unreachable = run("members", f"127.0.0.1:{free_port()}")
    assert (unreachable.returncode, unreachable.stdout) == (2, "")
    assert "does not answer" in unreachable.stderr


def test_without_membership_nothing_of_it_is_imported_or_listens(tmp_path: Path) -> None:
    with ProcessCluster(tmp_path, 1, membership=False) as cluster:
        cluster.start()
        cluster.proxy("m00").wait_ready()
        assert cluster.fetch_view("m00") is None
        printed = run("members", format_address(cluster.admin_addresses["m00"]))
        assert "no membership" in printed.stderr
    script = (
        "import sys; import ironmill.cli, ironmill.net.proxy; "
        "print([name for name in sys.modules if 'membership' in name])"
    )
    imported = subprocess.run([sys.executable, "-c", script], capture_output=True, text=True, check=True)
    assert imported.stdout.strip() == "[]"


SETTINGS = """<ironmill xmlns="urn:ironmill:settings:1">
<membership cluster="c" listen="127.0.0.1:7400" keys="k" {attributes}>
<seed address="{seed}"/>{peers}
</membership></ironmill>
"""


@pytest.mark.parametrize(
    ("attributes", "seed", "peers", "keys", "message"),
    [
        ("", "127.0.0.1:7400", "", "0f" * 32, "are valid"),
        ('suspect-after="2s"', "127.0.0.1:7400", "", "0f" * 32, ":2: suspect-after is 2s"),
        ('ping-every="600"', "127.0.0.1:7400", "", "0f" * 32, "expected a duration with a unit"),
        ("", "localhost:7400", "", "0f" * 32, ":3: 'localhost' is not an IPv4 address"),
        ("", "127.0.0.1:0", "", "0f" * 32, "port 0 is out of range; expected 1 to 65535"),
        (
            "",
            "127.0.0.1:1",
            '<peer name="a" address="127.0.0.1:2"/>' * 2,
            "0f" * 32,
            "peer 'a' is defined twice",
        ),
        ("", "127.0.0.1:7400", "", "0f", "the members' keys are not valid; expected one or two lines"),
        ("", "127.0.0.1:7400", "", "xy" * 32, "the members' keys are not valid; expected one or two lines"),
        ("", "127.0.0.1:7400", "", "", "the members' keys are not valid; expected one or two lines"),
    ],
)
def test_invalid_settings_are_reported_in_one_line(
    tmp_path: Path, attributes: str, seed: str, peers: str, keys: str, message: str
) -> None:
    from ironmill_testbed.settings import platform_settings, proxy_config, write_config

    config_object = proxy_config("p", ("127.0.0.1", 1), ("127.0.0.1", 2), 1024, platform_settings())
    config = write_config(tmp_path, config_object)
    path = tmp_path / "settings.xml"
    path.write_text(SETTINGS.format(attributes=attributes, seed=seed, peers=peers))
    (tmp_path / "k").write_text(keys)
    checked = run("check-config", f"--config={config}", f"--settings={path}")
    assert message in checked.stdout + checked.stderr
    assert checked.returncode == (0 if "are valid" in message else 2)
    assert len(checked.stderr.splitlines()) == (0 if "are valid" in message else 1)


def test_start_fails_if_the_membership_address_is_in_use(tmp_path: Path) -> None:
    with (
        socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as other_socket,
        ProcessCluster(tmp_path, 1) as cluster,
    ):
        other_socket.bind(cluster.member_addresses["m00"])
        cluster.start()
        assert cluster.processes["m00"].popen.wait(30.0) == 2
        assert "Address already in use" in cluster.processes["m00"].log.read_text()


def test_schedule_is_read_from_a_file(tmp_path: Path) -> None:
    path = tmp_path / "schedule.json"
    path.write_text('[{"kind": "loss", "start": 1, "end": 2.5, "share": 0.5, "targets": ["m01"]}]')
    (fault,) = load(path)
    assert fault == Fault("loss", 1, 2.5, targets=("m01",), fraction=0.5)
    assert [fault.is_active(now, "m00", "m01") for now in (0.9, 1.0, 2.5)] == [False, True, False]
    assert not structs.replace(fault, sources=("m02",)).is_active(1.0, "m00", "m01")
    path.write_text('[{"kind": "flood", "start": 1}]')
    with pytest.raises(ValueError, match="flood"):
        load(path)
