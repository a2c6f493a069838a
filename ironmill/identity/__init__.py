"""Authentication and authorization of callers.

Contains tokens, certificates, the key ring, the rules that map credentials to callers, and the sessions of
callers. Performs no I/O, and may import ``runtime``.
"""
