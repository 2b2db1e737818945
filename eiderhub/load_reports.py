"""Reads the load reports that endpoints put into their answers: "name=value,..." on sockets, ":" on the wire.

A report is a hint, never a reason to fail: what can't be read counts as not told.
"""

from __future__ import annotations

import math

from eiderhub.interface import LoadReport

BUSY = frozenset(("cpu_share", "util"))  # the simulator's name and the sockets' for one figure
MOST_CHARS = 256  # of a report; a longer one is noise
MOST_FIGURE = 1e9  # above which a value says nothing


def _figure(text: str) -> float | None:
    try:
        value = float(text)
    except ValueError:
        return None
    return value if math.isfinite(value) and 0.0 <= value <= MOST_FIGURE else None


def parse_load_report(text: str, separator: str) -> LoadReport | None:
    """The report in `text`, whose names and values have `between` between them; None where it says nothing.

    Source: PROTOCOL, `Srv-Load` (sockets); WIRE, `ServerStats` (simulator).
    """
    if len(text) > MOST_CHARS:
        return None
    busy = None
    for pair in text.split(","):
        name, _, value = pair.strip().partition(separator)
        if name in BUSY:
            busy = _figure(value)
    return None if busy is None else LoadReport(busy)
