"""Recorded bytes: what the program writes on the wire and to disk, and must go on reading."""
