"""The settings object of an operator, read key by key. The simulator adapter and the proxy share it."""

from __future__ import annotations

import logging

from ironmill.balancing.interface import (
    Costs,
    DeduplicationScope,
    Idempotency,
    RequestClass,
    Settings,
    Tenant,
)
from ironmill.protocol.json_object import JsonObject, parse_json

log = logging.getLogger("ironmill.configuration.site_settings")

EFFECTS = {"pure": Idempotency.ALWAYS, "token": Idempotency.BY_KEY, "side_effect": Idempotency.NONE}
SCOPES = {"all": DeduplicationScope.ALL, "zone": DeduplicationScope.ZONE, "cell": DeduplicationScope.CELL}


def _effect_and_scope(item: JsonObject) -> tuple[Idempotency, DeduplicationScope]:
    """How safe it is to run a request of the class again.

    An effect, or a group that drops repeats, that this program does not know is taken as the worst: nothing
    of the class is repeated. Guards a customer whose settings are newer than the program against a refusal to
    start.
    """
    effect_name, scope_name = item.text("effect"), item.text("group", "all")
    effect, scope = EFFECTS.get(effect_name), SCOPES.get(scope_name)
    if effect is None or (effect is Idempotency.BY_KEY and scope is None):
        log.warning(
            "class %s: %s is not known, so nothing of it is repeated",
            item.text("name"),
            f"effect {effect_name!r}" if effect is None else f"group {scope_name!r}",
        )
        effect = Idempotency.NONE
    return effect, scope or DeduplicationScope.ALL


def parse_settings(text: str) -> Settings:
    """The settings from the start message's JSON text."""
    return settings_from(JsonObject(parse_json(text, "settings:")))


def settings_from(root: JsonObject) -> Settings:
    """The settings from the parsed object."""
    family = root.nested("familyInfo", {})
    ceilings, rules, prices = root.nested("ceilings"), root.nested("rules"), root.nested("prices", {})
    aims, quotas = family.numbers("messageAimS"), family.numbers("tenantQuotaConnections")
    classes = []
    for at, item in enumerate(root.nested_list("categories")):
        aim = item.number("aimS")
        effect, scope = _effect_and_scope(item)
        classes.append(
            RequestClass(
                name=item.text("name"),
                latency_objective=aim,
                priority_weight=item.number("points", 1.0),
                message_latency_objective=aims[at] if at < len(aims) else aim,
                idempotency=effect,
                deduplication_scope=scope,
                deduplication_window=item.number("windowS", 0.0),
            )
        )
    tenants = [
        Tenant(item.text("name"), item.number("quotaRps", 0.0), quotas[at] if at < len(quotas) else 0.0)
        for at, item in enumerate(root.nested_list("projects", []))
    ]
    return Settings(
        proxies=int(root.number("balancers")),
        classes=tuple(classes),
        tenants=tuple(tenants),
        costs=Costs(handshake=prices.number("handshake", 0.0)),
        subscribes_to_discovery=root.choice("discovery", {"push": False, "ask": True}),
        discovery_poll_interval=rules.number("askWithinS", 10.0),
        initial_capacity_fraction=rules.number("coldFrom"),
        slow_start_duration=rules.number("rampTimeS"),
        slow_start_rate_multiple=rules.number("fallMultiple"),
        slow_start_window=rules.number("tipAfterS"),
        max_attempts=int(ceilings.number("sendCap")),
        max_retry_after=ceilings.number("maxRetryAfterS", 0.0)
        if ceilings.flag("retryAfter", default=False)
        else 0.0,
        keepalive_timeout=ceilings.number("keepaliveS", 0.0),
        min_round_interval=root.number("roundS", 0.001),
        health_checks=ceilings.flag("probes", default=False),
        reports_delay=family.flag("tellsDelay", default=True),
        live_weights=root.text("weightSource", "off") == "live",
    )
