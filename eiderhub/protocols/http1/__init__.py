"""HTTP/1.1, the protocol that every sidecar serves."""
