"""Parts of the decisions that stand by themselves; `eiderhub.balancer` puts them to use."""
