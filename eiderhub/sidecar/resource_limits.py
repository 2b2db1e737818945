"""Divides the limits of a sidecar process: file descriptors, and memory for buffered requests and answers."""

from __future__ import annotations

from dataclasses import dataclass

MIN_SOCKETS = 64  # with fewer, a burst of a few dozen callers is rejected
RESERVED_SOCKETS = 16  # for the event loop, the log, the listener, and the old and new connections to discovery
CALLERS_SHARE = 0.55  # of the other descriptors: twice the number that callers with open requests may use
BASE_MEMORY_MB = 24  # the process with its connections, but without buffered requests and answers
BUFFER_SHARE = 0.4  # of the memory above that, for buffered bytes: the objects around them need as much again
ANSWER_MARGIN_US = 40_000  # answers are sent this long before the client's deadline, to leave time for transmission
MIN_BUFFER_BYTES = 1 << 20  # however small the memory limit is; with less, nothing could be served


class ByteBudget:
    """Counts buffered bytes against one limit for all of them together."""

    __slots__ = ("limit", "used")

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.used = 0

    def reserve(self, size: int) -> bool:
        """Count `size` more bytes if they fit within the limit; return whether they do."""
        if self.used + size > self.limit:
            return False
        self.used += size
        return True

    def release(self, size: int) -> None:
        """Return bytes that were reserved."""
        self.used -= size


@dataclass(frozen=True, slots=True)
class ResourceLimits:
    """The limits of one sidecar process."""

    caller_connections: int
    endpoint_connections: int
    buffered_bytes: int  # of requests and answers together

    @staticmethod
    def divide(sockets: int, memory_mb: float) -> ResourceLimits:
        """Divide the process's file descriptors and its memory (in MiB) among these uses."""
        free = max(2, sockets - RESERVED_SOCKETS)
        callers = max(1, int(CALLERS_SHARE * free))
        buffered = int(BUFFER_SHARE * (memory_mb - BASE_MEMORY_MB) * (1 << 20))
        return ResourceLimits(callers, max(1, free - callers), max(MIN_BUFFER_BYTES, buffered))
