"""Property tests draw the same examples on every run, so that no verdict is random.

A longer search, by hand and never in CI: `python -m pytest --hypothesis-profile=long tests/thrift/test_codec.py`.
"""

import os
from pathlib import Path

import pytest
from hypothesis import settings

from eiderhub.protocols.http1.client import Connection
from eiderhub.schema.declared_classes import DECLARED_CLASSES_VARIABLE

# Programs that tests start inherit it.
os.environ[DECLARED_CLASSES_VARIABLE] = str(Path(__file__).parent / "corpus" / "declared.toml")

settings.register_profile("fixed", derandomize=True, deadline=None, max_examples=60)
settings.register_profile("long", deadline=None, max_examples=1_000)
settings.load_profile("fixed")


@pytest.fixture(autouse=True)
def used_again_at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    """Connections to endpoints rest a moment after an answer; tests of what is used again go on at once.

    Without this they would pass for the wrong reason: each request would have a fresh connection. What the rest is for,
    tests/test_connection_races.py shows with it.
    """
    monkeypatch.setattr(Connection, "reuse_delay_us", 0)
