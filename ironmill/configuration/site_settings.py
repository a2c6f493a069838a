"""Reads the platform's settings of a site, a JSON object, into the settings of the balancer.

The proxy and the simulator's adapter share this module. It is the only place that maps the keys of the JSON
object to the names used in the code.
"""

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

IDEMPOTENCY = {
    "pure": Idempotency.ALWAYS,
    "token": Idempotency.BY_KEY,
    "side_effect": Idempotency.NONE,
}
DEDUPLICATION_SCOPES = {
    "all": DeduplicationScope.ALL,
    "zone": DeduplicationScope.ZONE,
    "cell": DeduplicationScope.CELL,
}


def parse_settings(text: str) -> Settings:
    """Returns the settings in a JSON text. Raises MalformedError with a message that names the key."""
    return settings_from_json(JsonObject(parse_json(text, "settings:")))


def settings_from_json(root: JsonObject) -> Settings:
    """Returns the settings in a parsed object. Raises MalformedError with a message that names the key."""
    family_info = root.nested("familyInfo", {})
    ceilings = root.nested("ceilings")
    rules = root.nested("rules")
    prices = root.nested("prices", {})
    message_objectives = family_info.numbers("messageAimS")
    quotas = family_info.numbers("tenantQuotaConnections")
    classes = _request_classes(root, message_objectives)
    tenants = _tenants(root, quotas)
    return Settings(
        proxies=int(root.number("balancers")),
        classes=classes,
        tenants=tenants,
        costs=Costs(handshake=prices.number("handshake", 0.0)),
        subscribes_to_discovery=root.choice("discovery", {"push": False, "ask": True}),
        discovery_poll_interval=rules.number("askWithinS", 10.0),
        initial_capacity_fraction=rules.number("coldFrom"),
        slow_start_duration=rules.number("rampTimeS"),
        slow_start_rate_multiple=rules.number("fallMultiple"),
        slow_start_window=rules.number("tipAfterS"),
        max_attempts=int(ceilings.number("sendCap")),
        max_retry_after=_max_retry_after(ceilings),
        keepalive_timeout=ceilings.number("keepaliveS", 0.0),
        min_round_interval=root.number("roundS", 0.001),
        health_checks=ceilings.flag("probes", default=False),
        reports_delay=family_info.flag("tellsDelay", default=True),
        live_weights=root.text("weightSource", "off") == "live",
    )


def _request_classes(root: JsonObject, message_objectives: list[float]) -> tuple[RequestClass, ...]:
    classes = []
    for index, item in enumerate(root.nested_list("categories")):
        objective = item.number("aimS")
        idempotency, scope = _idempotency_and_scope(item)
        classes.append(
            RequestClass(
                name=item.text("name"),
                latency_objective=objective,
                priority_weight=item.number("points", 1.0),
                message_latency_objective=_value_at(message_objectives, index, objective),
                idempotency=idempotency,
                deduplication_scope=scope,
                deduplication_window=item.number("windowS", 0.0),
            )
        )
    return tuple(classes)


def _idempotency_and_scope(item: JsonObject) -> tuple[Idempotency, DeduplicationScope]:
    """Returns whether requests of a class are idempotent, and where servers deduplicate them.

    If this version does not know one of the class's values, its requests are never retried. The other
    settings apply.
    """
    effect_name = item.text("effect")
    scope_name = item.text("group", "all")
    idempotency = IDEMPOTENCY.get(effect_name)
    scope = DEDUPLICATION_SCOPES.get(scope_name)
    unknown = None
    if idempotency is None:
        unknown = f"effect {effect_name!r}"
    elif idempotency is Idempotency.BY_KEY and scope is None:
        unknown = f"group {scope_name!r}"
    if unknown is not None:
        log.warning(
            "request class %s: unknown %s, so its requests are never retried", item.text("name"), unknown
        )
        idempotency = Idempotency.NONE
    return idempotency or Idempotency.NONE, scope or DeduplicationScope.ALL


def _tenants(root: JsonObject, quotas: list[float]) -> tuple[Tenant, ...]:
    return tuple(
        Tenant(
            name=item.text("name"),
            quota_rate=item.number("quotaRps", 0.0),
            quota_connections=_value_at(quotas, index, 0.0),
        )
        for index, item in enumerate(root.nested_list("projects", []))
    )


def _max_retry_after(ceilings: JsonObject) -> float:
    if not ceilings.flag("retryAfter", default=False):
        return 0.0
    return ceilings.number("maxRetryAfterS", 0.0)


def _value_at(values: list[float], index: int, default: float) -> float:
    """Returns the value at an index, or the default if the list is shorter."""
    return values[index] if index < len(values) else default
