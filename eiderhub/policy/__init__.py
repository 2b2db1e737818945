"""Self-contained parts of the decision module, used by `eiderhub.balancer`."""
