"""An event loop in virtual time: waits take no time, and its clock moves on to the next timer at once."""

from __future__ import annotations

import asyncio
import selectors


class SkippingSelector(selectors.DefaultSelector):
    """Lets no time pass: a wait moves the loop's clock."""

    now_s = 0.0

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        self.now_s += timeout or 0.0
        return super().select(0)


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """An event loop on the clock of its selector."""

    def __init__(self) -> None:
        self.skipping_selector = SkippingSelector()
        super().__init__(self.skipping_selector)

    def time(self) -> float:
        return self.skipping_selector.now_s


def virtual_now_us() -> int:
    """Return the running loop's time in microseconds, in place of `eiderhub.sidecar.clock.now_us`."""
    return int(asyncio.get_running_loop().time() * 1e6)
