"""Reads the element ``distribution``."""

from __future__ import annotations

from lxml import etree

from ironmill.configuration.settings.elements import SettingsFile, children, text
from ironmill.configuration.settings.model import ControlMachine, DistributionSettings
from ironmill.configuration.units import duration, size_rate

MIN_STALE_AFTER_S = 1.0
MAX_STALE_AFTER_S = 5.0
MIN_CATCH_UP_BYTES_PER_S = 4e3
MAX_CATCH_UP_BYTES_PER_S = 1e9


def read_distribution(file: SettingsFile, element: etree._Element) -> DistributionSettings:
    """Returns the settings of distribution. Raises SettingsError."""
    role = text(element, "role")
    _check_store(file, element, role)
    stale_after, forget_after = _timeouts(file, element)
    catch_up_rate = _catch_up_rate(file, element)
    file.check_lengths(element, "cluster", "zone", "region")
    listen = file.address(element, "listen")
    controls = _control_machines(file, element)
    if role == "relay" and not any(control.origin for control in controls):
        raise file.error(element, "a relay needs an origin; origin='true' says which control is one")
    return DistributionSettings(
        cluster=text(element, "cluster"),
        listen=listen,
        keys=file.sibling_path(element, "keys"),
        controls=controls,
        zone=text(element, "zone"),
        region=text(element, "region"),
        role=role,
        store=file.sibling_path(element, "store"),
        catch_up_rate=catch_up_rate,
        stale_after=stale_after,
        forget_after=forget_after,
    )


def _check_store(file: SettingsFile, element: etree._Element, role: str) -> None:
    if ("store" in element.attrib) is not (role == "origin"):
        raise file.error(element, f"store is needed for role='origin' and only there; role is {role!r}")
    if role == "origin" and not text(element, "store").strip():
        raise file.error(element, "store names no file")


def _timeouts(file: SettingsFile, element: etree._Element) -> tuple[float, float]:
    """Returns after how many seconds a configuration is stale, and a subscriber is forgotten."""
    stale, forget = duration(text(element, "stale-after")), duration(text(element, "forget-after"))
    if not MIN_STALE_AFTER_S <= stale <= MAX_STALE_AFTER_S:
        bounds = f"{MIN_STALE_AFTER_S:g}s to {MAX_STALE_AFTER_S:g}s"
        raise file.error(element, f"stale-after is {stale:g}s; it is {bounds}")
    if forget < stale:
        what = f"forget-after is {forget:g}s, and at least stale-after, which is {stale:g}s"
        raise file.error(element, what)
    return stale, forget


def _catch_up_rate(file: SettingsFile, element: etree._Element) -> float:
    value = text(element, "catch-up-rate")
    rate = size_rate(value)
    if not MIN_CATCH_UP_BYTES_PER_S <= rate <= MAX_CATCH_UP_BYTES_PER_S:
        raise file.error(element, f"catch-up-rate {value} is out of bounds; it is 4KB/s to 1000MB/s")
    return rate


def _control_machines(file: SettingsFile, element: etree._Element) -> tuple[ControlMachine, ...]:
    controls: dict[str, ControlMachine] = {}
    names: dict[tuple[str, int], str] = {}  # by address
    for item in children(element, "control"):
        file.check_lengths(item, "name", "zone", "region")
        control = ControlMachine(
            name=text(item, "name"),
            address=file.address(item, "address"),
            zone=text(item, "zone"),
            region=text(item, "region"),
            origin=text(item, "origin") in ("true", "1"),
        )
        if control.name in controls:
            raise file.error(item, f"control {control.name!r} is named twice")
        if control.address in names:
            other = names[control.address]
            raise file.error(item, f"control {control.name!r} is at the address of {other!r}")
        controls[control.name] = control
        names[control.address] = control.name
    return tuple(controls.values())
