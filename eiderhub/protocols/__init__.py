"""Protocols of callers and endpoints. Each has a server side, a client side and, where needed, a codec without I/O."""
