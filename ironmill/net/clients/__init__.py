"""Drives clients' connections: reading, request intake, attempts, relaying, migration and closing.

``ClientConnection`` owns the state of one connection; the parts that ``ClientService`` shares have none.
Orders of the gateway run in tasks of their own, because no task may end itself while it reports an event. It
may import the other drivers of ``net`` for attempts and sockets, and the packages below ``net``.
"""
