"""Distribution of configuration from the origin through relays to every proxy.

Contains the history of revisions, its replicas, and the protocol between a parent and its children, as state
machines without I/O and without a clock; ``docs/distribution.md`` describes them. The package may import
``ironmill.membership.envelope`` and the packages below membership. The drivers in ``ironmill.net`` import it.
"""
