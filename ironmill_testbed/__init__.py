"""The project's own laboratory: emulated dependencies of a proxy, fleets of clients, and measurements.

The proxy never imports it. Everything stays on loopback and ends by itself.
"""
