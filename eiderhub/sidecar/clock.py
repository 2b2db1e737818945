"""The monotonic clock in integer microseconds, and alarms that never go off early."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

# Unix time less monotonic time. Taken once: a start time converted anew with each list would look like a
# restart of the endpoint whenever the system's clock is set.
UNIX_OFFSET_US = (time.time_ns() - time.monotonic_ns()) // 1000


def now_us() -> int:
    return time.monotonic_ns() // 1000


class Timer:
    """Calls back once the clock has reached `due_us`.

    The loop keeps time in whole milliseconds and rounds: a plain `call_later` may come up to one too early,
    and the module would find its own deadline still ahead.
    """

    __slots__ = ("_callback", "_handle", "due_us")

    def __init__(self, due_us: int, callback: Callable[[], object]) -> None:
        self.due_us = due_us
        self._callback = callback
        self._arm()

    def _arm(self) -> None:
        delay = max(0, self.due_us - now_us()) / 1e6
        self._handle = asyncio.get_running_loop().call_later(delay + 0.0005, self._ring)

    def _ring(self) -> None:
        if now_us() < self.due_us:
            self._arm()
        else:
            self._callback()

    def cancel(self) -> None:
        self._handle.cancel()
