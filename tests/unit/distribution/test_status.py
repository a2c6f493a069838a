"""The admin API reports the status of a node of each role with the recorded keys, values and order."""

from __future__ import annotations

from pathlib import Path

import msgspec
import pytest

from ironmill_testbed.faults.fleet_process import SimulatedConsumer
from ironmill_testbed.faults.schedule import both_ways
from ironmill_testbed.faults.simulated_fleet import Plan, SimulatedFleet

RECORDED = Path(__file__).parents[2] / "golden" / "distribution_status.json"
PLAN = Plan(proxies=4, control=3, regions=1, zones=2, entries=20, standby=False)
FAULTS = both_ways(8.0, 50.0, ("p00001",), ("control",))


def statuses() -> dict[str, str]:
    """Returns the JSON by state and name.

    The states are a converged fleet, and one with a rejected change and a proxy that is cut off.
    """
    fleet = SimulatedFleet(PLAN, FAULTS)
    fleet.processes["p00002"].consumer = SimulatedConsumer(("bad/",))
    fleet.converge()
    status_json: dict[str, str] = {}

    def record(state: str, *names: str) -> None:
        for name in names:
            node = fleet.processes[name].node
            assert node is not None
            status_json[f"{state} {name}"] = msgspec.json.encode(node.status(fleet.now)).decode()

    record("converged", "origin", "c01", "p00000")
    for name in ("origin", "c01", "p00001"):
        node = fleet.processes[name].node
        assert node is not None
        node.receive(b"", ("10.9.9.9", 7), fleet.now)
    fleet.push({"bad/1": b"x"})
    fleet.run(13.0)
    record("faulty", "origin", "c01", "p00001", "p00002")
    return status_json


def test_status_is_the_recorded_json() -> None:
    assert statuses() == msgspec.json.decode(RECORDED.read_bytes(), type=dict[str, str])


@pytest.mark.parametrize("role", ["origin", "relay", "subscriber"])
def test_each_role_is_recorded(role: str) -> None:
    recorded = msgspec.json.decode(RECORDED.read_bytes(), type=dict[str, str])
    assert any(msgspec.json.decode(text)["role"] == role for text in recorded.values())
