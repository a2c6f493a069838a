"""Drivers of client connections: reading, request intake, attempts, relaying, migration and closing.

``ClientConnection`` owns the state of one connection. The objects that ``ClientService`` shares between
connections keep no state per connection. Calls from the gateway run in tasks of their own, because a task
must not kill itself while it reports an event to the gateway. The package may import the drivers of attempts
and sockets in ``net``, and the packages below ``net``.
"""
