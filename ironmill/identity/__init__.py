"""Who a caller is and what it may do.

Owns tokens, certificates, the key ring, the rules that map credentials to callers, and the sessions of
callers. No I/O. May import ``runtime``.
"""
