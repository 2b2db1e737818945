"""How the limits that a sidecar is told are divided: descriptors, and bytes held for others."""

from __future__ import annotations

from dataclasses import dataclass

MIN_SOCKETS = 64  # below it a burst of a few dozen callers is turned away
RESERVED_SOCKETS = 16  # the loop, the log, the listener, discovery and its successor: for neither side
CALLERS_SHARE = 0.55  # of the other descriptors; twice what callers with requests open may hold
BASE_MEMORY_MB = 24  # the process without what it holds for others, its connections included
BUFFER_SHARE = 0.4  # of the memory above that, for requests and answers: objects round the bytes take as much
ANSWER_MARGIN_US = 40_000  # an answer leaves this long before the client's deadline: its bytes take time too
MIN_BUFFER_BYTES = 1 << 20  # bytes, however small the limit: below it nothing could be served


class ByteBudget:
    """Bytes held for others, against a bound on all of them together."""

    __slots__ = ("limit", "used")

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.used = 0

    def reserve(self, size: int) -> bool:
        """Whether so much more may be held; if not, none of it is counted."""
        if self.used + size > self.limit:
            return False
        self.used += size
        return True

    def release(self, size: int) -> None:
        self.used -= size


@dataclass(frozen=True, slots=True)
class ResourceLimits:
    caller_connections: int  # connections of callers
    endpoint_connections: int  # connections to endpoints
    buffered_bytes: int  # bytes

    @staticmethod
    def divide(sockets: int, memory_mb: float) -> ResourceLimits:
        free = max(2, sockets - RESERVED_SOCKETS)
        callers = max(1, int(CALLERS_SHARE * free))
        held = int(BUFFER_SHARE * (memory_mb - BASE_MEMORY_MB) * (1 << 20))
        return ResourceLimits(callers, max(1, free - callers), max(MIN_BUFFER_BYTES, held))
