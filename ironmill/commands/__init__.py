"""Operators' commands that are not the service itself."""
