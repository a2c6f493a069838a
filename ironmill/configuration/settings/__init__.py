"""Operators' settings: XML with a schema, read whole or not at all into immutable values."""
