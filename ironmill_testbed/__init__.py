"""The testbed of ironmill: emulated dependencies, fleets of clients, simulated clusters and measurements.

The testbed may import every package of ``ironmill``, but no package of ``ironmill`` imports the testbed. All
sockets are on loopback, and every command ends by itself.
"""
