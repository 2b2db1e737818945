"""Parses and formats durations and sizes with units, such as "250ms" and "2MiB".

Durations are integers in microseconds and sizes are integers in bytes.
"""

from __future__ import annotations

import re

# Units and their factors, in ascending order.
DURATIONS = {"us": 1, "ms": 1_000, "s": 1_000_000, "min": 60_000_000, "h": 3_600_000_000}
SIZES = {"B": 1, "KiB": 1 << 10, "MiB": 1 << 20, "GiB": 1 << 30}
_QUANTITY = re.compile(r"([0-9]{1,15}(?:\.[0-9]{1,9})?) ?([A-Za-z]+)")


def _parse(text: str, units: dict[str, int], description: str) -> int:
    match = _QUANTITY.fullmatch(text)
    if match is None:
        raise ValueError(f"{text!r} is not a {description}")
    factor = units.get(match[2])
    if factor is None:
        raise ValueError(f"{text!r}: the unit must be one of {', '.join(units)}")
    whole, _, fraction = match[1].partition(".")
    scaled = int(whole + fraction) * factor
    amount, remainder = divmod(scaled, 10 ** len(fraction))
    if remainder:
        raise ValueError(f"{text!r} is not a whole number of {next(iter(units))}")
    return int(amount)


def parse_duration(text: str) -> int:
    """Return the microseconds of a duration. Raises ValueError with a message that quotes the text."""
    return _parse(text, DURATIONS, 'duration such as "250ms" or "1.5s"')


def parse_size(text: str) -> int:
    """Return the bytes of a size. Raises ValueError with a message that quotes the text."""
    return _parse(text, SIZES, 'size such as "64MiB"')


def _format(amount: int, units: dict[str, int]) -> str:
    for unit, factor in reversed(list(units.items())):
        if amount >= factor and amount % factor == 0:
            return f"{amount // factor}{unit}"
    return f"{amount}{next(iter(units))}"


def format_duration(us: int) -> str:
    """Return the shortest exact text for a duration in microseconds; `parse_duration` parses it."""
    for unit in ("s", "ms"):
        factor = DURATIONS[unit]
        if us >= factor and us % factor and us % (factor // 1000) == 0 and (us * 10) % factor == 0:
            return f"{us / factor:.1f}{unit}"
    return _format(us, DURATIONS)


def format_size(size: int) -> str:
    """Return the shortest exact text for a size in bytes; `parse_size` parses it."""
    return _format(size, SIZES)
