"""Framed Thrift, binary and compact, behind the same host as HTTP/1.1. Imported only where it is switched on."""
