"""Sources of endpoint lists, and how the lists of several sources are merged into one view."""
