"""Property tests draw the same examples on every run, so that no verdict is random."""

from hypothesis import settings

settings.register_profile("fixed", derandomize=True, deadline=None, max_examples=60)
settings.load_profile("fixed")
