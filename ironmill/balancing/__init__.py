"""Every decision on placement, retries, load shedding and migration.

Owns what one proxy knows of servers, connection groups and requests. It has no I/O and no clock: a caller
hands in events with their time and carries out the actions that are returned. Imports nothing else of the
project.
"""

from ironmill.balancing.balancer import Balancer

__all__ = ["Balancer"]
