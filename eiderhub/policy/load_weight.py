"""How many calls an endpoint gets compared with its peers, learned from the CPU load that they report.

A listed weight gives the number of cores, not their speed, and own latencies hide the speed where most of a
call is spent in the tiers behind. Reports arrive seconds late, and all instances read the same ones: if each
sent to the least busy endpoint, all calls would go there. So a report adjusts the factor only a little, and
only once, and the factor persists.
"""

from __future__ import annotations

ADJUSTMENT_EXPONENT = 0.25  # of the ratio of the mean busy share to the reported one, for each report
BUSY_OFFSET = 0.1  # busy share added to both: reports of idle endpoints are mostly noise
MAX_FACTOR = 4.0  # bound on the factor, and on its reciprocal


class LoadWeight:
    """The factor on the listed weight of one endpoint."""

    __slots__ = ("busy", "factor")

    def __init__(self) -> None:
        self.busy: float | None = None  # last reported busy share of the cores
        self.factor = 1.0

    def record(self, busy: float, mean: float | None) -> None:
        """Adjust the factor to a reported busy share, against the mean of the peers where it is known.

        Further answers repeat the last report: an equal one has no effect.
        """
        if busy == self.busy:
            return
        self.busy = busy
        if mean is not None:
            ratio = (mean + BUSY_OFFSET) / (min(busy, 1.0) + BUSY_OFFSET)
            self.factor = min(max(self.factor * ratio**ADJUSTMENT_EXPONENT, 1 / MAX_FACTOR), MAX_FACTOR)


def mean_busy(weights: list[LoadWeight]) -> float | None:
    """Return the mean busy share of the endpoints that have reported one, or None."""
    reported = [min(w.busy, 1.0) for w in weights if w.busy is not None]
    return sum(reported) / len(reported) if reported else None
