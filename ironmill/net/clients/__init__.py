"""Drives clients' connections: reading, request intake, attempts, relaying, migration and closing.

``ClientConnection`` holds the state of one connection; the other classes hold no state of a connection.
Orders of the gateway run in tasks of their own, because no task may end itself while it reports an event.
"""
