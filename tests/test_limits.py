"""What reviewers were promised: the files that decide stay short enough to read."""

from __future__ import annotations

import tomllib
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
POLICY = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8"))["policy"]


@pytest.mark.parametrize("name", POLICY)
def test_policy_files_stay_within_lines_and_length(name: str) -> None:
    lines = (ROOT / name).read_text(encoding="utf-8").splitlines()
    assert 0 < sum(bool(line.strip()) for line in lines) <= 1200
    assert max(map(len, lines)) <= 110
