"""Discovery's messages: the list of servers and its changes, read from JSON."""

from __future__ import annotations

from msgspec import Struct

from ironmill.balancing.interface import Stage
from ironmill.protocol.json_object import MalformedError, Tree

STAGES = {"up": Stage.READY, "draining": Stage.DRAINING, "removed": Stage.GONE}


class Listed(Struct, frozen=True):
    """One server as discovery lists it."""

    uid: str
    host: str
    port: int
    stage: Stage
    zone: str
    cell: int
    weight: float
    boot: float  # Unix time in seconds, by another machine's clock; 0: long ago


class Routing(Struct, frozen=True):
    """One answer of discovery."""

    revision: int
    full: bool
    listed: tuple[Listed, ...]
    age: float = 0.0  # seconds since it was told


def parse_routing(tree: Tree) -> Routing:
    """The answer from its JSON object. A state that is not known is passed over."""
    listed = []
    for item in tree.trees("targets"):
        stage = STAGES.get(item.text("state"))
        host, _, port = item.text("endpoint").rpartition(":")
        if not host or not (port.isascii() and port.isdigit() and len(port) <= 5 and 0 < int(port) < 65536):
            raise MalformedError(f"routing table: the endpoint of {item.text('uid')} is not HOST:PORT")
        if stage is not None:
            listed.append(
                Listed(
                    uid=item.text("uid"),
                    host=host,
                    port=int(port),
                    stage=stage,
                    zone=item.text("az", ""),
                    cell=int(item.number("pod_group", 0.0)),
                    weight=item.number("capacity_hint", 1.0),
                    boot=item.number("boot_ms", 0.0) / 1000.0,
                )
            )
    return Routing(int(tree.number("rev")), tree.flag("all", False), tuple(listed))
