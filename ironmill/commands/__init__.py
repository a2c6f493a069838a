"""Sub-commands for operators, besides those that run a process.

Owns the management of keys and tokens, the explanation of a caller's rights, and the clients of the admin
API. May import every package of ``ironmill`` except ``net`` and ``simulator``.
"""
