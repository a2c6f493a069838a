"""What each tenant has open through this proxy, against its quota."""

from __future__ import annotations

from ironmill.balancing.interface import Settings

QUOTA_SLACK = 1.25  # traffic of a tenant is uneven between proxies


class TenantQuotas:
    """Counts connections and attempts in flight by tenant."""

    def __init__(self, settings: Settings) -> None:
        """Computes this proxy's part of each quota."""
        self._quotas = {
            tenant.name: tenant.quota_connections / max(1, settings.proxies)
            for tenant in settings.tenants
            if tenant.quota_connections > 0.0
        }
        self._connections: dict[str, int] = {}

    def change(self, tenant: str, difference: int) -> None:
        """Adds to the number of a tenant's connections."""
        self._connections[tenant] = self._connections.get(tenant, 0) + difference

    def is_exceeded(self, tenant: str) -> bool:
        """Returns True if the tenant has more open here than this proxy's part of its quota.

        A part below one connection allows one all the same.
        """
        quota = self._quotas.get(tenant)
        return quota is not None and self._connections.get(tenant, 0) > 1.0 + QUOTA_SLACK * quota
