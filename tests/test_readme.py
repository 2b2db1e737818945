"""Checks that the example in the README runs as printed."""

from __future__ import annotations

import re
from pathlib import Path

import pytest


def test_example_sends_its_call(capsys: pytest.CaptureFixture[str]) -> None:
    text = (Path(__file__).parent.parent / "README.md").read_text(encoding="utf-8")
    match = re.search(r"```python\n(.*?)```", text, re.S)
    assert match is not None
    exec(compile(match.group(1), "README.md", "exec"), {"__name__": "example"})
    assert capsys.readouterr().out.startswith("send a1 to 10.0.0.")
