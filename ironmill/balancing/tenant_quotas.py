"""The connections of each tenant through this proxy, compared with its quota."""

from __future__ import annotations

from ironmill.balancing.interface import Settings

QUOTA_SLACK = 1.25  # factor on a share, since a tenant's traffic is not evenly distributed over the proxies


class TenantQuotas:
    """Counts connections and attempts in flight by tenant."""

    def __init__(self, settings: Settings) -> None:
        """Computes this proxy's share of each quota."""
        self._quotas = {
            tenant.name: tenant.quota_connections / max(1, settings.proxies)
            for tenant in settings.tenants
            if tenant.quota_connections > 0.0
        }
        self._connections: dict[str, int] = {}

    def change(self, tenant: str, difference: int) -> None:
        """Adds ``difference`` to the number of a tenant's connections."""
        self._connections[tenant] = self._connections.get(tenant, 0) + difference

    def is_exceeded(self, tenant: str) -> bool:
        """Returns True if the tenant has too many connections through this proxy.

        The limit is ``QUOTA_SLACK`` times this proxy's share of the quota, plus one connection, so that a
        share of less than one still allows one.
        """
        quota = self._quotas.get(tenant)
        return quota is not None and self._connections.get(tenant, 0) > 1.0 + QUOTA_SLACK * quota
