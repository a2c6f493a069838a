"""Members as real processes, with faults of links and processes. Waits have limits; no time is judged."""

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

COUNT = 8


def test_members_agree_through_kills_partitions_and_pauses(tmp_path: Path) -> None:
    with ProcessCluster(tmp_path, COUNT) as cluster:
        names = cluster.names
        cluster.start()
        cluster.wait_until(lambda: cluster.agree(names))
        events = cluster.logged_events()
        assert not [one for one in events if one.what == "removed" and one.fields["why"] == "decided"]

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

        # m03 can only send, then only receive.
        rest = [name for name in names if name != "m03"]
        for cut in (Fault("cut", 0.0, 1e9, (), ("m03",)), Fault("cut", 0.0, 1e9, ("m03",), ())):
            start = cluster.inject([cut])
            cluster.wait_until(lambda: cluster.agree(rest))
            events = cluster.logged_events()
            assert removed_members(cluster, start) == {"m03"}
            isolated = [one for one in events if one.name == "m03" and one.what == "isolated"]
            assert [one for one in isolated if one.at >= start]
            cluster.inject([])
            cluster.wait_until(lambda: cluster.agree(names))

        start = cluster.pause("m02")
        rest = [name for name in names if name != "m02"]
        cluster.wait_until(lambda: cluster.agree(rest))
        cluster.resume("m02")
        cluster.wait_until(lambda: cluster.agree(names))
        events = cluster.logged_events()
        assert removed_members(cluster, start) == {"m02"}
        assert [one for one in events if one.name == "m02" and one.what == "removed-by-others"]

        one, other = names[:4], names[4:]
        cluster.inject(both_ways(0.0, 1e9, tuple(one), tuple(other)))
        cluster.wait_until(lambda: cluster.agree(one) and cluster.agree(other))
        cluster.inject([])
        cluster.wait_until(lambda: cluster.agree(names))

        start = time.monotonic()
        assert cluster.shut_down("m07") == 0
        cluster.wait_until(lambda: cluster.agree(names[:-1]))
        assert checker.removals(cluster.logged_events(), start) == []  # a graceful shutdown is no removal


def test_seeds_that_start_a_cluster_of_their_own_merge_with_the_others(tmp_path: Path) -> None:
    """Both seeds restart and hear from no other member meanwhile; the others find them later."""
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
    return {one.fields["member"] for one in checker.removals(cluster.logged_events(), since)}


def test_keys_are_replaced_in_place_and_an_unknown_key_admits_none(tmp_path: Path) -> None:
    keys = tmp_path / "members.keys"
    with ProcessCluster(tmp_path, 3) as cluster:
        cluster.start()
        cluster.wait_until(lambda: cluster.agree(cluster.names))

        # Each step is taken by one running process after the other.
        first = keys.read_text().strip()
        second = "a1" * 32
        for lines in ([first, second], [second, first], [second]):
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
    down = run("members", f"127.0.0.1:{free_port()}")
    assert (down.returncode, down.stdout) == (2, "")
    assert "does not answer" in down.stderr


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
    found = subprocess.run([sys.executable, "-c", script], capture_output=True, text=True, check=True)
    assert found.stdout.strip() == "[]"


SETTINGS = """<ironmill xmlns="urn:ironmill:settings:1">
<membership cluster="c" listen="127.0.0.1:7400" keys="k" {more}>
<seed address="{seed}"/>{peers}
</membership></ironmill>
"""


@pytest.mark.parametrize(
    ("more", "seed", "peers", "keys", "message"),
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
    tmp_path: Path, more: str, seed: str, peers: str, keys: str, message: str
) -> None:
    from ironmill_testbed.settings import platform_settings, proxy_config, write_config

    value = proxy_config("p", ("127.0.0.1", 1), ("127.0.0.1", 2), 1024, platform_settings())
    config = write_config(tmp_path, value)
    path = tmp_path / "settings.xml"
    path.write_text(SETTINGS.format(more=more, seed=seed, peers=peers))
    (tmp_path / "k").write_text(keys)
    checked = run("check-config", f"--config={config}", f"--settings={path}")
    assert message in checked.stdout + checked.stderr
    assert checked.returncode == (0 if "are valid" in message else 2)
    assert len(checked.stderr.splitlines()) == (0 if "are valid" in message else 1)


def test_start_fails_if_the_membership_address_is_in_use(tmp_path: Path) -> None:
    with (
        socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as taken,
        ProcessCluster(tmp_path, 1) as cluster,
    ):
        taken.bind(cluster.member_addresses["m00"])
        cluster.start()
        assert cluster.processes["m00"].popen.wait(30.0) == 2
        assert "Address already in use" in cluster.processes["m00"].log.read_text()


def test_schedule_is_read_from_a_file(tmp_path: Path) -> None:
    path = tmp_path / "schedule.json"
    path.write_text('[{"kind": "loss", "start": 1, "end": 2.5, "share": 0.5, "targets": ["m01"]}]')
    (fault,) = load(path)
    assert fault == Fault("loss", 1, 2.5, targets=("m01",), fraction=0.5)
    assert [fault.is_active(at, "m00", "m01") for at in (0.9, 1.0, 2.5)] == [False, True, False]
    assert not structs.replace(fault, sources=("m02",)).is_active(1.0, "m00", "m01")
    path.write_text('[{"kind": "flood", "start": 1}]')
    with pytest.raises(ValueError, match="flood"):
        load(path)
