"""What reviewers were promised: the files that decide stay short enough to read."""

from __future__ import annotations

import tomllib
from pathlib import Path

ROOT = Path(__file__).parent.parent
POLICY = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8"))["policy"]


def test_policy_files_stay_within_lines_and_length() -> None:
    lines = [line for name in POLICY for line in (ROOT / name).read_text(encoding="utf-8").splitlines()]
    assert 0 < sum(bool(line.strip()) for line in lines) <= 1200
    assert max(map(len, lines)) <= 110


def test_every_module_of_the_policy_is_named() -> None:
    assert {str(path.relative_to(ROOT)) for path in (ROOT / "eiderhub" / "policy").glob("*.py")} <= set(POLICY)
