"""Decides when a silent watch is suspected to have failed: endpoints that it lists as ready refuse connections. No I/O.

A watch that has stopped answering is noticed only when its wait is over, up to half a minute later, since discovery can
serve few requests. If endpoints are replaced meanwhile, the few that are left would carry all of the load.
"""

from __future__ import annotations

MIN_REFUSING_ENDPOINTS = 2  # a single one may have crashed or be shutting down
SLOT_US = 40_000  # for each instance, so that polls of all instances are spread: discovery serves them one by one
MAX_SPREAD_US = 4_000_000  # with a longer delay a poll is no better than the end of the wait
FIRST_PAUSE_SHARE = 0.25  # of the poll interval: the first pause after a poll that found no change


class WatchSuspicion:
    """The suspicion state of one watch. Times are microseconds of one clock."""

    def __init__(self, offset: float, instances: int, poll_interval_us: int) -> None:
        """`offset` is this instance's position among all that poll the same discovery, from 0 to 1."""
        self.delay_us = int(offset * min(instances * SLOT_US, MAX_SPREAD_US))
        self.min_pause_us, self.max_pause_us = int(FIRST_PAUSE_SHARE * poll_interval_us), poll_interval_us
        self._pause_us = self.min_pause_us
        self._refusing: set[str] = set()
        self._not_before_us = 0

    def connection_refused(self, endpoint: str, now_us: int) -> bool:
        """Record that a listed endpoint refused a connection; return whether to poll discovery after `delay_us`."""
        if now_us < self._not_before_us:
            return False
        self._refusing.add(endpoint)
        return len(self._refusing) >= MIN_REFUSING_ENDPOINTS

    def clear(self) -> None:
        """Drop earlier refusals, which prove nothing once the watch has answered or ended."""
        self._refusing.clear()

    def polled(self, now_us: int, found_change: bool) -> None:
        """Record a poll. Discovery may be outdated for seconds itself, so the pause grows while nothing is found."""
        self._refusing.clear()
        self._pause_us = self.min_pause_us if found_change else min(2 * self._pause_us, self.max_pause_us)
        self._not_before_us = now_us + self._pause_us
