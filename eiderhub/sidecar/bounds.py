"""How the limits that a sidecar is told are divided: descriptors, and bytes held for others."""

from __future__ import annotations

from dataclasses import dataclass

LEAST_SOCKETS = 64  # below it a burst of a few dozen callers is turned away
OWN_SOCKETS = 16  # the loop, the log, the listener, discovery and its successor: for neither side
CALLERS_SHARE = 0.55  # of the other descriptors; twice what callers with requests open may hold
BASE_MB = 24  # the process without what it holds for others, its connections included
HELD_SHARE = 0.4  # of the memory above that, for requests and answers: objects round the bytes take as much
ANSWER_MARGIN_US = 40_000  # an answer leaves this long before the client's deadline: its bytes take time too
LEAST_HELD = 1 << 20  # bytes, however small the limit: below it nothing could be served


class Budget:
    """Bytes held for others, against a bound on all of them together."""

    __slots__ = ("held", "most")

    def __init__(self, most: int) -> None:
        self.most = most
        self.held = 0

    def take(self, size: int) -> bool:
        """Whether so much more may be held; if not, none of it is counted."""
        if self.held + size > self.most:
            return False
        self.held += size
        return True

    def give_back(self, size: int) -> None:
        self.held -= size


@dataclass(frozen=True, slots=True)
class Bounds:
    callers: int  # connections of callers
    endpoints: int  # connections to endpoints
    held: int  # bytes

    @staticmethod
    def within(sockets: int, memory_mb: float) -> Bounds:
        free = max(2, sockets - OWN_SOCKETS)
        callers = max(1, int(CALLERS_SHARE * free))
        held = int(HELD_SHARE * (memory_mb - BASE_MB) * (1 << 20))
        return Bounds(callers, max(1, free - callers), max(LEAST_HELD, held))
