"""Operators' settings: XML with a schema, read into immutable values or rejected as a whole.

Owns the schema, the mapping of its elements to values, and the checks that a schema cannot express. May
import ``identity``, ``membership`` and ``runtime``.
"""
