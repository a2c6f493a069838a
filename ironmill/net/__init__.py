"""The drivers: sockets, greenlets and signals round the state machines and the gateway."""
