"""Reads the element ``membership``."""

from __future__ import annotations

from lxml import etree

from ironmill.configuration.settings.elements import SettingsFile, attribute, children
from ironmill.configuration.settings.model import MembershipSettings
from ironmill.configuration.units import parse_duration


def read_membership(file: SettingsFile, element: etree._Element) -> MembershipSettings:
    """Returns the settings of membership. Raises SettingsError."""
    from ironmill.membership.timing import Timing  # not imported without membership

    timing = Timing(
        ping_interval_s=parse_duration(attribute(element, "ping-every")),
        tolerated_pause_s=parse_duration(attribute(element, "pause-borne")),
        suspicion_timeout_s=parse_duration(attribute(element, "suspect-after")),
        max_detection_s=parse_duration(attribute(element, "gone-within")),
        isolation_timeout_s=parse_duration(attribute(element, "alone-after")),
        forget_delay_s=parse_duration(attribute(element, "forget-after")),
    )
    if inconsistency := timing.inconsistency():
        raise file.error(element, inconsistency)
    listen = file.address(element, "listen")
    seeds = tuple(file.address(item, "address") for item in children(element, "seed"))
    peers = _peers(file, element)
    file.check_lengths(element, "cluster", "zone", "region")
    return MembershipSettings(
        cluster=attribute(element, "cluster"),
        listen=listen,
        keys=file.sibling_path(element, "keys"),
        zone=attribute(element, "zone"),
        region=attribute(element, "region"),
        seeds=seeds,
        peers=peers,
        timing=timing,
    )


def _peers(file: SettingsFile, element: etree._Element) -> tuple[tuple[str, tuple[str, int]], ...]:
    peers: dict[str, tuple[str, int]] = {}
    for item in children(element, "peer"):
        name = attribute(item, "name")
        if name in peers:
            raise file.error(item, f"peer {name!r} is defined twice")
        peers[name] = file.address(item, "address")
    return tuple(peers.items())
