"""The summary of a relay's children: how many lagging nodes it names."""

from __future__ import annotations

from ironmill.configuration.distributed_keys import ConfigurationConsumer
from ironmill.distribution.children import Child
from ironmill.distribution.fleet_summary import SummaryBuilder
from ironmill.distribution.messages import MAX_LAGGING_NODES_BYTES
from ironmill.distribution.revision import Position


def test_poll_names_three_proxies_that_hold_no_identity_element() -> None:
    """Guards against a reason so long that operators see only two of the proxies that give it."""
    rejection = ConfigurationConsumer(None).check({"deny/subject/mallory": b"ticket 7"})
    builder = SummaryBuilder(Position(1, 2), 0.0, converged=True)
    for number in range(8):
        builder.add(Child(f"p{number:02d}", 1, ("127.0.0.1", 9), "z0", rejection=rejection))
    summary = builder.build(MAX_LAGGING_NODES_BYTES)
    assert [node.name for node in summary.lagging_nodes] == ["p00", "p01", "p02"]
    assert summary.omitted == 5
