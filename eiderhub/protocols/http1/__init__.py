"""HTTP/1.1 as the platform speaks it: the protocol that every sidecar serves."""
