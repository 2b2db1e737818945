"""Framed Thrift, binary and compact, on the same host as HTTP/1.1. Imported only if the operator enables it."""
