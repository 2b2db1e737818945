"""The sidecar: runs one instance of the decision module on real sockets."""
