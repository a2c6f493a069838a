"""Failure detection and agreement on the members of a cluster, as state machines without I/O and clock.

Owns the view of one process, the membership protocol, and the signed envelope that distribution uses as well.
May import ``ironmill.errors``; ``docs/membership.md`` describes the protocol.
"""
