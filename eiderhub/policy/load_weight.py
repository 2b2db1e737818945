"""How much work an endpoint draws beside its peers, learned from how busy they say they are.

A listed weight tells how many cores an endpoint has, not how fast they are, and own latencies hide it where
most of a call is spent in the tiers behind. Danger: reports come seconds late, and all copies read the same
ones: who sends to the least busy sends all to it. So a report only nudges the part, once, and it keeps.
"""

from __future__ import annotations

NUDGE = 0.25  # exponent of the ratio of the usual busy share to the reported one, for each report
EVEN = 0.1  # busy share added to both: idle endpoints' reports are mostly noise
MAX_FACTOR = 4.0  # a part goes up to this many times the listed weight, and down to as small a part of it


class LoadWeight:
    """The part of one endpoint, as a multiple of its listed weight."""

    __slots__ = ("busy", "factor")

    def __init__(self) -> None:
        self.busy: float | None = None  # as last told
        self.factor = 1.0

    def record(self, busy: float, mean_busy: float | None) -> None:
        """Take a report; one that is still the last one, in a further answer, tells nothing."""
        if busy == self.busy:
            return
        self.busy = busy
        if mean_busy is not None:
            ratio = (mean_busy + EVEN) / (min(busy, 1.0) + EVEN)
            self.factor = min(max(self.factor * ratio**NUDGE, 1 / MAX_FACTOR), MAX_FACTOR)


def mean_busy(pulls: list[LoadWeight]) -> float | None:
    """The mean busy share of those that have told one."""
    told = [min(p.busy, 1.0) for p in pulls if p.busy is not None]
    return sum(told) / len(told) if told else None
