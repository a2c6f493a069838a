"""Sub-commands for operators, except those that run a proxy or a control machine.

Contains the management of keys and tokens, the explanation of a caller's rights, and the clients of the admin
API. May import every package of ``ironmill`` except ``net`` and ``simulator``.
"""
