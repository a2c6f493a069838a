"""Reads the element ``distribution``."""

from __future__ import annotations

from lxml import etree

from ironmill.configuration.settings.elements import SettingsFile, attribute, children
from ironmill.configuration.settings.model import ControlMachine, DistributionSettings
from ironmill.configuration.units import parse_byte_rate, parse_duration

MIN_STALE_AFTER_S = 1.0
MAX_STALE_AFTER_S = 5.0
MIN_CATCH_UP_BYTES_PER_S = 4e3
MAX_CATCH_UP_BYTES_PER_S = 1e9


def read_distribution(file: SettingsFile, element: etree._Element) -> DistributionSettings:
    """Returns the settings of distribution. Raises SettingsError."""
    role = attribute(element, "role")
    _check_store(file, element, role)
    stale_after, forget_after = _timeouts(file, element)
    catch_up_rate = _catch_up_rate(file, element)
    file.check_lengths(element, "cluster", "zone", "region")
    listen = file.address(element, "listen")
    controls = _control_machines(file, element)
    if role == "relay" and not any(control.origin for control in controls):
        raise file.error(
            element, "a relay needs an origin; expected origin='true' in at least one control element"
        )
    return DistributionSettings(
        cluster=attribute(element, "cluster"),
        listen=listen,
        keys=file.sibling_path(element, "keys"),
        controls=controls,
        zone=attribute(element, "zone"),
        region=attribute(element, "region"),
        role=role,
        store=file.sibling_path(element, "store"),
        catch_up_rate=catch_up_rate,
        stale_after=stale_after,
        forget_after=forget_after,
    )


def _check_store(file: SettingsFile, element: etree._Element, role: str) -> None:
    if ("store" in element.attrib) is not (role == "origin"):
        raise file.error(
            element, f"store is required with role='origin' and not allowed otherwise; role is {role!r}"
        )
    if role == "origin" and not attribute(element, "store").strip():
        raise file.error(element, "store is empty; expected the path of the revision store")


def _timeouts(file: SettingsFile, element: etree._Element) -> tuple[float, float]:
    """Returns the seconds after which a configuration is stale and a subscriber is forgotten."""
    stale_after, forget_after = (
        parse_duration(attribute(element, "stale-after")),
        parse_duration(attribute(element, "forget-after")),
    )
    if not MIN_STALE_AFTER_S <= stale_after <= MAX_STALE_AFTER_S:
        bounds = f"{MIN_STALE_AFTER_S:g}s to {MAX_STALE_AFTER_S:g}s"
        raise file.error(element, f"stale-after is {stale_after:g}s; expected {bounds}")
    if forget_after < stale_after:
        problem = (
            f"forget-after is {forget_after:g}s; expected at least stale-after, which is {stale_after:g}s"
        )
        raise file.error(element, problem)
    return stale_after, forget_after


def _catch_up_rate(file: SettingsFile, element: etree._Element) -> float:
    value = attribute(element, "catch-up-rate")
    rate = parse_byte_rate(value)
    if not MIN_CATCH_UP_BYTES_PER_S <= rate <= MAX_CATCH_UP_BYTES_PER_S:
        raise file.error(element, f"catch-up-rate is {value}; expected 4KB/s to 1000MB/s")
    return rate


def _control_machines(file: SettingsFile, element: etree._Element) -> tuple[ControlMachine, ...]:
    controls: dict[str, ControlMachine] = {}
    names_by_address: dict[tuple[str, int], str] = {}
    for item in children(element, "control"):
        file.check_lengths(item, "name", "zone", "region")
        control = ControlMachine(
            name=attribute(item, "name"),
            address=file.address(item, "address"),
            zone=attribute(item, "zone"),
            region=attribute(item, "region"),
            origin=attribute(item, "origin") in ("true", "1"),
        )
        if control.name in controls:
            raise file.error(item, f"control {control.name!r} is defined twice")
        if control.address in names_by_address:
            other_name = names_by_address[control.address]
            raise file.error(item, f"control {control.name!r} has the same address as {other_name!r}")
        controls[control.name] = control
        names_by_address[control.address] = control.name
    return tuple(controls.values())
