"""Configuration brought to every proxy: state machines, no I/O, no clock. ``docs/distribution.md``."""
