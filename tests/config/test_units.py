"""Parsing and formatting durations and sizes."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from eiderhub.schema.units import format_duration, format_size, parse_duration, parse_size


@given(st.integers(1, 10**13))
def test_formatted_values_parse_to_the_same_value(amount: int) -> None:
    assert parse_duration(format_duration(amount)) == amount
    assert parse_size(format_size(amount)) == amount


@pytest.mark.parametrize(
    ("text", "us"),
    [("250ms", 250_000), ("1.5s", 1_500_000), ("2 min", 120_000_000), ("1h", 3_600_000_000), ("0.001ms", 1), ("0s", 0)],
)
def test_valid_durations(text: str, us: int) -> None:
    assert parse_duration(text) == us


@pytest.mark.parametrize(("text", "size"), [("2MiB", 2 << 20), ("1.5KiB", 1536), ("7B", 7)])
def test_valid_sizes(text: str, size: int) -> None:
    assert parse_size(text) == size


@pytest.mark.parametrize(
    "text", ["", "5", "ms", "-1s", "1e3s", "1s 5ms", "5 parsecs", "0.5us", "\u0661s", "1MiB", "9" * 20 + "s"]
)
def test_invalid_durations(text: str) -> None:
    with pytest.raises(ValueError, match=r"."):
        parse_duration(text)
