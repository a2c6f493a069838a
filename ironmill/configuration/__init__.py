"""Configuration of a process: the values, and a reader for each format.

Owns the proxy's JSON file, the platform's settings in it, the operators' XML settings with the files that
they name, and the schema of distributed keys. May import ``balancing``, ``distribution``, ``identity``,
``membership``, ``protocol`` and ``runtime``.
"""
