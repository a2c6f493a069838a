"""Who is alive, known in common: state machines without I/O and without a clock. ``docs/membership.md``."""
