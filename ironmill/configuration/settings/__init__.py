"""Reader of the operators' settings: an XML file with a schema, accepted or rejected as a whole.

Owns the schema, the mapping of its elements to values, and the checks that an XML schema cannot express. May
import ``identity``, ``membership`` and ``runtime``.
"""
