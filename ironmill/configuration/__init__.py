"""What a process is configured with, and the readers of each form.

Owns the proxy's JSON file, the settings of a site, the operators' XML settings with the files that they name,
and the meaning of distributed keys. May import ``balancing``, ``distribution``, ``identity``, ``membership``,
``protocol`` and ``runtime``.
"""
