"""Failure detection and agreement on the members of a cluster, by a protocol that is similar to SWIM.

The package contains the view of one process, the membership protocol, and the signed envelope that
``ironmill.distribution`` also uses. Its state machines do no I/O and read no clock: callers pass in the time
and the datagrams. It may import ``ironmill.errors``. ``docs/membership.md`` describes the protocol.
"""
