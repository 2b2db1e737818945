"""Parses the load reports that endpoints add to their replies.

A report is a list "name=value,name=value" in HTTP headers and "name:value,name:value" on the simulator's wire. Reports
are hints: what can't be parsed is ignored and never an error.
"""

from __future__ import annotations

import math

from eiderhub.interface import LoadReport

BUSY_SHARE_NAMES = frozenset(("cpu_share", "util"))  # on the simulator's wire and in HTTP headers
MAX_CHARS = 256  # a longer report is ignored
MAX_VALUE = 1e9  # a larger value is ignored


def _parse_value(text: str) -> float | None:
    """Return a finite value in 0..MAX_VALUE, or None for any other text."""
    try:
        value = float(text)
    except ValueError:
        return None
    return value if math.isfinite(value) and 0.0 <= value <= MAX_VALUE else None


def parse_load_report(text: str, separator: str) -> LoadReport | None:
    """Parse a report whose names and values are separated by `separator`; None without a valid busy share.

    Source: PROTOCOL, `Srv-Load` (HTTP header); WIRE, `ServerStats` (simulator).
    """
    if len(text) > MAX_CHARS:
        return None
    busy_share = None
    for pair in text.split(","):
        name, _, value = pair.strip().partition(separator)
        if name in BUSY_SHARE_NAMES:
            busy_share = _parse_value(value)
    return None if busy_share is None else LoadReport(busy_share)
