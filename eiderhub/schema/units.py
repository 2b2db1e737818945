"""Durations and sizes as people write them: "250ms", "2MiB". Whole microseconds and whole bytes inside."""

from __future__ import annotations

import re

DURATIONS = {"us": 1, "ms": 1_000, "s": 1_000_000, "min": 60_000_000, "h": 3_600_000_000}
SIZES = {"B": 1, "KiB": 1 << 10, "MiB": 1 << 20, "GiB": 1 << 30}
_WRITTEN = re.compile(r"([0-9]{1,15}(?:\.[0-9]{1,9})?) ?([A-Za-z]+)")


def _parse(text: str, units: dict[str, int], description: str) -> int:
    match = _WRITTEN.fullmatch(text)
    if match is None:
        raise ValueError(f"{text!r} is no {description}")
    factor = units.get(match[2])
    if factor is None:
        raise ValueError(f"{text!r}: the unit is one of {', '.join(units)}")
    whole, _, part = match[1].partition(".")
    scaled = int(whole + part) * factor
    amount, rest = divmod(scaled, 10 ** len(part))
    if rest:
        raise ValueError(f"{text!r} is no whole number of {next(iter(units))}")
    return int(amount)


def parse_duration(text: str) -> int:
    """Microseconds. Raises ValueError saying what is wrong."""
    return _parse(text, DURATIONS, 'time such as "250ms" or "1.5s"')


def parse_size(text: str) -> int:
    """Bytes. Raises ValueError saying what is wrong."""
    return _parse(text, SIZES, 'size such as "64MiB"')


def _show(amount: int, units: dict[str, int]) -> str:
    for unit, factor in reversed(list(units.items())):
        if amount >= factor and amount % factor == 0:
            return f"{amount // factor}{unit}"
    return f"{amount}{next(iter(units))}"


def format_duration(us: int) -> str:
    """The shortest exact way to write so many microseconds; `parse_duration` reads it back."""
    for unit in ("s", "ms"):
        factor = DURATIONS[unit]
        if us >= factor and us % factor and us % (factor // 1000) == 0 and (us * 10) % factor == 0:
            return f"{us / factor:.1f}{unit}"
    return _show(us, DURATIONS)


def format_size(size: int) -> str:
    return _show(size, SIZES)
