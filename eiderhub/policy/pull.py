"""How much work an endpoint draws beside its peers, learned from how busy they say they are.

A listed weight tells how many cores an endpoint has, not how fast they are, and own latencies hide it where
most of a call is spent in the tiers behind. Danger: reports come seconds late, and all copies read the same
ones: who sends to the least busy sends all to it. So a report only nudges the part, once, and it keeps.
"""

from __future__ import annotations

NUDGE = 0.25  # exponent of the ratio of the usual busy share to the reported one, for each report
EVEN = 0.1  # busy share added to both: idle endpoints' reports are mostly noise
FREE = 0.7  # busy share below which service times are the usual ones
BASE_WEIGHT = 0.2  # weight of the newest of these in the usual service time
FULL = 0.95  # busy share from which cores count as full
RANGE = 4.0  # a part goes up to this many times the listed weight, and down to as small a part of it


class Pull:
    """The part of one endpoint, as a multiple of its listed weight."""

    __slots__ = ("base", "busy", "part")

    def __init__(self) -> None:
        self.busy: float | None = None  # as last told
        self.part = 1.0
        self.base = 0.0  # usual service time in milliseconds

    def hear(self, busy: float, usual: float | None) -> bool:
        """Whether it is news: a report that is still the last one, in a further answer, tells nothing."""
        if busy == self.busy:
            return False
        self.busy = busy
        if usual is not None:
            ratio = (usual + EVEN) / (min(busy, 1.0) + EVEN)
            self.part = min(max(self.part * ratio**NUDGE, 1 / RANGE), RANGE)
        return True

    def pace(self, service_ms: float | None) -> float:
        """The reported service time as a multiple of its usual while cores were free; 1: unknown.

        Kinds differ in speed and own latencies in luck, so an endpoint is held against itself.
        """
        if not service_ms or self.busy is None:
            return 1.0
        if self.busy < FREE:
            self.base += (BASE_WEIGHT if self.base else 1.0) * (service_ms - self.base)
        return service_ms / self.base if self.base else 1.0

    def crowded(self) -> bool:
        """Whether its cores may be full, by its last report: one that has tipped over has no idle ones."""
        return self.busy is None or self.busy >= FULL


def usual(pulls: list[Pull]) -> float | None:
    """The mean busy share of those that have told one."""
    told = [min(p.busy, 1.0) for p in pulls if p.busy is not None]
    return sum(told) / len(told) if told else None
