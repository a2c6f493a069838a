"""Faults between members: one schedule for real processes behind a switch and for a simulated network."""
