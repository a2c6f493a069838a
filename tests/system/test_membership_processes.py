"""Members as real processes, with faults between and under them. Waits end a test; no time is judged."""

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


def test_eight_processes_through_kills_cuts_and_sleep(tmp_path: Path) -> None:
    with ProcessCluster(tmp_path, COUNT) as town:
        names = town.names
        town.start()
        town.until(lambda: town.agree(names))
        assert not [one for one in town.seen() if one.what == "removed" and one.fields["why"] == "decided"]

        began = town.kill("m05", "m06")
        rest = [name for name in names if name not in ("m05", "m06")]
        town.until(lambda: town.agree(rest))
        assert {one.fields["member"] for one in checker.removals(town.seen(), began)} == {"m05", "m06"}
        town.start("m05", "m06")
        town.until(lambda: town.agree(names))

        began = town.play([Fault("loss", 0.0, 6.0, share=0.3), Fault("corrupt", 0.0, 6.0, share=0.05)])
        time.sleep(6.5)
        assert checker.removals(town.seen(), began) == []

        # It is heard and hears nobody, then the other way round.
        rest = [name for name in names if name != "m03"]
        for cut in (Fault("cut", 0.0, 1e9, (), ("m03",)), Fault("cut", 0.0, 1e9, ("m03",), ())):
            began = town.play([cut])
            town.until(lambda: town.agree(rest))
            seen = town.seen()
            assert {one.fields["member"] for one in checker.removals(seen, began)} == {"m03"}
            assert [one for one in seen if one.name == "m03" and one.what == "isolated" and one.at >= began]
            town.play([])
            town.until(lambda: town.agree(names))

        began = town.pause("m02")
        rest = [name for name in names if name != "m02"]
        town.until(lambda: town.agree(rest))
        town.resume("m02")
        town.until(lambda: town.agree(names))
        seen = town.seen()
        assert {one.fields["member"] for one in checker.removals(seen, began)} == {"m02"}
        assert [one for one in seen if one.name == "m02" and one.what == "removed-by-others"]

        one, other = names[:4], names[4:]
        town.play(both_ways(0.0, 1e9, tuple(one), tuple(other)))
        town.until(lambda: town.agree(one) and town.agree(other))
        town.play([])
        town.until(lambda: town.agree(names))

        began = time.monotonic()
        assert town.end("m07") == 0
        town.until(lambda: town.agree(names[:-1]))
        assert checker.removals(town.seen(), began) == []  # it said that it goes


def test_a_second_process_under_a_name_and_keys_that_are_replaced(tmp_path: Path) -> None:
    keys = tmp_path / "members.keys"
    with ProcessCluster(tmp_path, 3) as town:
        town.start()
        town.until(lambda: town.agree(town.names))

        # Keys are replaced while all run: each step is taken by one process after the other.
        first = keys.read_text().strip()
        second = "a1" * 32
        for lines in ([first, second], [second, first], [second]):
            keys.write_text("\n".join(lines) + "\n")
            for name in town.names:
                town.processes[name].popen.send_signal(signal.SIGHUP)
                town.until(lambda: town.agree(town.names))
        assert not checker.removals(town.seen(), 0.0)

        # One that does not know the key is nobody's member.
        keys.write_text("b2" * 32 + "\n")
        stranger = town.kill("m02")
        town.until(lambda: town.agree(["m00", "m01"]))
        town.start("m02")
        told = {}

        def dropped() -> bool:
            told.update(town.ask("m00") or {})
            return bool(told.get("dropped", {}).get("forged"))

        town.until(dropped)
        assert town.agree(["m00", "m01"])
        assert stranger > 0.0


def run(*words: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "ironmill", *words], capture_output=True, text=True, timeout=60.0, check=False
    )


def test_what_staff_see(tmp_path: Path) -> None:
    with ProcessCluster(tmp_path, 2) as town:
        town.start()
        town.until(lambda: town.agree(town.names))
        shown = run("members", format_address(town.controls["m00"]))
        assert shown.returncode == 0
        assert shown.stdout.startswith("m00 is a member of town, view ")
        assert "m01" in shown.stdout
    down = run("members", f"127.0.0.1:{free_port()}")
    assert (down.returncode, down.stdout) == (2, "")
    assert "does not answer" in down.stderr


def test_without_membership_nothing_of_it_is_imported_or_listens(tmp_path: Path) -> None:
    with ProcessCluster(tmp_path, 1, membership=False) as town:
        town.start()
        town.proxy("m00").wait_ready()
        assert town.ask("m00") == {} or town.ask("m00") is None
        shown = run("members", format_address(town.controls["m00"]))
        assert "no membership" in shown.stderr
    story = (
        "import sys; import ironmill.cli, ironmill.net.proxy; "
        "print([name for name in sys.modules if 'membership' in name])"
    )
    found = subprocess.run([sys.executable, "-c", story], capture_output=True, text=True, check=True)
    assert found.stdout.strip() == "[]"


SETTINGS = """<ironmill xmlns="urn:ironmill:settings:1">
<membership cluster="c" listen="127.0.0.1:7400" keys="k" {more}>
<seed address="{seed}"/>{peers}
</membership></ironmill>
"""


@pytest.mark.parametrize(
    ("more", "seed", "peers", "keys", "word"),
    [
        ("", "127.0.0.1:7400", "", "0f" * 32, "are fit for use"),
        ('suspect-after="2s"', "127.0.0.1:7400", "", "0f" * 32, ":2: suspect-after is 2s"),
        ('ping-every="600"', "127.0.0.1:7400", "", "0f" * 32, "a duration has a unit"),
        ("", "localhost:7400", "", "0f" * 32, ":3: 'localhost' is no address"),
        ("", "127.0.0.1:0", "", "0f" * 32, "there is no port 0"),
        ("", "127.0.0.1:1", '<peer name="a" address="127.0.0.1:2"/>' * 2, "0f" * 32, "is named twice"),
        ("", "127.0.0.1:7400", "", "0f", "the members' keys are not one or two lines"),
        ("", "127.0.0.1:7400", "", "xy" * 32, "the members' keys are not one or two lines"),
        ("", "127.0.0.1:7400", "", "", "the members' keys are not one or two lines"),
    ],
)
def test_settings_that_are_not_fit_are_one_clear_line(
    tmp_path: Path, more: str, seed: str, peers: str, keys: str, word: str
) -> None:
    from ironmill_testbed.settings import platform_settings, proxy_config, write_config

    value = proxy_config("p", ("127.0.0.1", 1), ("127.0.0.1", 2), 1024, platform_settings())
    config = write_config(tmp_path, value)
    path = tmp_path / "settings.xml"
    path.write_text(SETTINGS.format(more=more, seed=seed, peers=peers))
    (tmp_path / "k").write_text(keys)
    checked = run("check-config", f"--config={config}", f"--settings={path}")
    assert word in checked.stdout + checked.stderr
    assert checked.returncode == (0 if "fit for use" in word else 2)
    assert len(checked.stderr.splitlines()) == (0 if "fit for use" in word else 1)


def test_an_address_that_is_taken_is_a_refused_start(tmp_path: Path) -> None:
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as taken, ProcessCluster(tmp_path, 1) as town:
        taken.bind(town._homes["m00"])
        town.start()
        assert town.processes["m00"].popen.wait(30.0) == 2
        assert "Address already in use" in town.processes["m00"].log.read_text()


def test_a_schedule_is_read_from_a_file(tmp_path: Path) -> None:
    path = tmp_path / "schedule.json"
    path.write_text('[{"kind": "loss", "start": 1, "end": 2.5, "share": 0.5, "targets": ["m01"]}]')
    (fault,) = load(path)
    assert fault == Fault("loss", 1, 2.5, targets=("m01",), share=0.5)
    assert [fault.hits(at, "m00", "m01") for at in (0.9, 1.0, 2.5)] == [False, True, False]
    assert not structs.replace(fault, sources=("m02",)).hits(1.0, "m00", "m01")
    path.write_text('[{"kind": "flood", "start": 1}]')
    with pytest.raises(ValueError, match="flood"):
        load(path)
