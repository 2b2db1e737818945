"""The monotonic clock in integer microseconds, and timers that never fire early."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

# Unix time minus monotonic time. It is read once: if it changed when the system clock is set, the converted start time
# of each endpoint would change too, and look like a restart of the endpoint.
UNIX_OFFSET_US = (time.time_ns() - time.monotonic_ns()) // 1000


def now_us() -> int:
    """Return the monotonic time in microseconds."""
    return time.monotonic_ns() // 1000


class Timer:
    """Calls `callback` once the clock has reached `due_us`, and never earlier.

    The event loop rounds times to whole milliseconds: a plain `call_later` may fire up to one millisecond early, when
    the decision module's own deadline has not been reached yet.
    """

    __slots__ = ("_callback", "_handle", "due_us")

    def __init__(self, due_us: int, callback: Callable[[], object]) -> None:
        self.due_us = due_us
        self._callback = callback
        self._arm()

    def _arm(self) -> None:
        delay = max(0, self.due_us - now_us()) / 1e6
        self._handle = asyncio.get_running_loop().call_later(delay + 0.0005, self._fire)

    def _fire(self) -> None:
        if now_us() < self.due_us:
            self._arm()
        else:
            self._callback()

    def cancel(self) -> None:
        self._handle.cancel()
