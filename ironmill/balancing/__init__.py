"""Decision logic for placement, retries, load shedding and migration.

The package holds the state that one proxy keeps of servers, connection groups and requests. It does no I/O
and reads no clock: the caller passes in each event with its time and carries out the returned actions. It
imports no other package of the project.
"""

from ironmill.balancing.balancer import Balancer

__all__ = ["Balancer"]
