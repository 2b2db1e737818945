"""Declared keys, units, findings and files: what the owners of a table and the tools share. It knows none of them."""
