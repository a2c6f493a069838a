"""Fault injection: the same schedules of faults apply to real processes and to a simulated network."""
