"""When a watch that says nothing is doubted: endpoints that it lists as ready refuse connections. Pure.

Danger: a watch that has fallen silent is noticed when its wait is over, which is up to half a minute, since discovery
takes few calls. Where endpoints are replaced meanwhile, those that are left here carry everything.
"""

from __future__ import annotations

REFUSING = 2  # endpoints that have to refuse: one alone has crashed, or is just going
TURN_US = 40_000  # for each copy, over how long all of them ask: discovery takes them one by one
MOST_TURNS_US = 4_000_000  # past that a question is no better than the end of the wait
REST = 0.25  # of the time that the settings give for asking: the first pause after a question that found nothing new


class WatchSuspicion:
    """Times are microseconds of one clock."""

    def __init__(self, place: float, copies: int, every_us: int) -> None:
        self.delay_us = int(place * min(copies * TURN_US, MOST_TURNS_US))
        self.least_us, self.most_us = int(REST * every_us), every_us
        self._rest_us = self.least_us
        self._refusing: set[str] = set()
        self._not_before_us = 0

    def connection_refused(self, endpoint: str, now: int) -> bool:
        """A listed endpoint has refused a connection; whether discovery is to be asked once our turn has come."""
        if now < self._not_before_us:
            return False
        self._refusing.add(endpoint)
        return len(self._refusing) >= REFUSING

    def clear(self) -> None:
        """The watch has spoken, or ended: what refused before proves nothing of it."""
        self._refusing.clear()

    def polled(self, now: int, news: bool) -> None:
        """Discovery may know no better for seconds: what found nothing is asked ever less often."""
        self._refusing.clear()
        self._rest_us = self.least_us if news else min(2 * self._rest_us, self.most_us)
        self._not_before_us = now + self._rest_us
