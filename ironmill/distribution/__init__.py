"""Distribution of configuration from the origin through relays to every proxy.

Owns the history of revisions, its replicas, and the protocol between a parent and its children, as state
machines without I/O and without a clock; ``docs/distribution.md`` describes them. It may import
``ironmill.membership.envelope`` and what lies below membership; the drivers in ``ironmill.net`` import it.
"""
