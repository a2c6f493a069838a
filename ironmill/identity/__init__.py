"""Who a caller is and what it may do.

Owns tokens, certificates, the key ring, the rules and the sessions of callers. May import ``runtime``.
"""
