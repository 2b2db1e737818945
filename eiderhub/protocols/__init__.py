"""Protocols at the edges: each brings a server side, a client side and a codec without I/O."""
