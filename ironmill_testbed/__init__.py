"""The project's testbed: emulated dependencies, fleets of clients, simulated clusters and measurements.

It may import every package of ``ironmill``, and none of them imports it. All sockets are on loopback, and
every command ends by itself.
"""
