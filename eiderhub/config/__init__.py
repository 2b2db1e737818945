"""The operator's file, and the tool that writes and checks configurations. Nothing here runs in a plain sidecar."""
