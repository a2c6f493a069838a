"""Every decision on placement, retries, admission by load and migration.

Owns what one proxy knows of servers, groups and requests. No I/O and no clock: a caller hands in events with
their time and carries out the actions that come back. Imports nothing else of the project.
"""

from ironmill.balancing.balancer import Balancer

__all__ = ["Balancer"]
