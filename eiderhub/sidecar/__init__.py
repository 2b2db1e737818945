"""The real sidecar: hosts one instance of the decision module on sockets."""
