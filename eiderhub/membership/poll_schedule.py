"""Decides how long each request to discovery may take, and what follows one that failed. No I/O.

The platform's rule for a watch that stops answering: a change that it missed counts as notified 6 s after the silence
began, or 2 s after the end of the requested wait, whichever is later. Once the settings' grace has passed after that,
nothing new may be sent to a draining endpoint. Within that time the silence must therefore be detected and the list be
requested again, with time left for a slow answer. `retry_slots.py` does the same for a discovery that fails.
"""

from __future__ import annotations

import random
from typing import NamedTuple

from eiderhub.membership.retry_slots import LONGEST_ANSWER_S, NOTIFIED_AFTER_S, RetrySlots

# Shortest and longest wait of a watch. Discovery serves its requests one after another, so they should be few. Each
# instance has its own wait between these: if all watches fall silent at once, their new requests are spread.
WATCH_WAIT_MS = (10_000, 30_000)
WATCH_SLACK_S = 0.4  # how late a watch's answer may be; the rest of the 2 s and the grace are left for another request
MAX_RECHECKS = 3  # requests without a wait that follow a silent watch; each is answered or fails
RECHECK_TIMEOUT_S = 1.5  # after which another one is sent: the connection of the first may be silent too
# How long a recheck is open in all, since one that is closed loses its position in discovery's queue. An answer that
# takes longer comes too late for a change that was made just after the request had been sent.
ANSWER_TIMEOUT_S = NOTIFIED_AFTER_S - RECHECK_TIMEOUT_S
LATE_ANSWER_S = ANSWER_TIMEOUT_S - RECHECK_TIMEOUT_S  # how long a late request stays open while others are sent
REFUSED_PAUSE_S = 0.25  # pause after a recheck that was refused
# How late the answer of a watch may be that follows a failed request: discovery itself fails a request that has been
# queued for 2 s. The rest of the period between two requests is the watch's wait, so that a discovery that does not
# answer at all is called once in a period too.
REOPENED_SLACK_S = 2.4
MIN_REOPENED_WAIT_S = 0.5
FULL_LIST_TIMEOUT_S = 2.5  # after a reload all instances request the full list at once and are served one by one
# First and longest pause until the full list has come: it counts as notified 4 s after SIGHUP.
FULL_LIST_PAUSE_S = (0.25, 1.0)
FULL_LIST_DUE_S = 4.0  # once this and the grace are over, requests are repeated as to any discovery that fails
MIN_GRACE_US = 250_000  # with a shorter one the requests to an agent would follow each other without a pause
AGENT_WAIT_SHARE = 0.4  # of the grace, the wait of a watch of a local agent: its answer counts as notified at once
AGENT_TIMEOUT_SHARE = 0.25  # of the grace, the timeout beyond that wait, and the longest pause after a failure


class PollRequest(NamedTuple):
    """One request to discovery. It is late after `timeout_s`, and another one follows."""

    is_full: bool  # whether the full list is requested, rather than the changes since the current version
    wait_ms: int
    timeout_s: float


class PollSchedule:
    """Chooses the next request to one address of discovery.

    `now_us` is in microseconds of a monotonic clock; pauses and timeouts are in seconds.
    """

    def __init__(
        self,
        uses_local_agent: bool,
        grace_us: int,
        rng: random.Random,
        offset: float,
        poll_interval_us: int = WATCH_WAIT_MS[0] * 1000,
    ) -> None:
        self.uses_local_agent = uses_local_agent  # it answers at once and at no cost, and only this schedule retries
        self.grace_s = grace_us / 1e6
        self.rng = rng
        self.offset = offset  # of this instance among all, in 0..1
        self.poll_interval_us = poll_interval_us  # from the settings: how long a list may be used without a request
        self.needs_full_list = False  # the address or its versions are new, so changes would not be enough
        self._rechecks = 0  # requests since a watch fell silent
        self._failures = 0  # in a row
        self._sent_us = 0  # when the last request was sent
        self._full_list_since_us: int | None = None  # when the full list was first requested, while it is needed
        self._follows_answer = False  # whether the last request was sent after an answer, and not after a failure
        self._slots = RetrySlots(offset, self.grace_s, poll_interval_us / 1e6, rng)

    def for_new_address(self) -> PollSchedule:
        """Return a schedule for another address, which starts with the full list."""
        other = PollSchedule(
            self.uses_local_agent, int(self.grace_s * 1e6), self.rng, self.offset, self.poll_interval_us
        )
        other.needs_full_list = True
        return other

    @property
    def is_failing(self) -> bool:
        """Whether the last request has failed, so that the list may be out of date."""
        return self._failures > 0

    @property
    def late_answer_s(self) -> float:
        """How long a late request stays open. A local agent answers at once, so a late one of its requests is lost."""
        return 0.0 if self.uses_local_agent else LATE_ANSWER_S

    def next_poll(self, now_us: int) -> PollRequest:
        """Return the request to send now."""
        self._sent_us = now_us
        if self.needs_full_list:
            if self._full_list_since_us is None:
                self._full_list_since_us = now_us
            return PollRequest(True, 0, self._agent_timeout_s if self.uses_local_agent else FULL_LIST_TIMEOUT_S)
        if self.uses_local_agent:
            wait_s = 0.0 if self._failures else AGENT_WAIT_SHARE * self.grace_s
            return PollRequest(False, int(wait_s * 1000), wait_s + self._agent_timeout_s)
        if self._rechecks:
            return PollRequest(False, 0, RECHECK_TIMEOUT_S)
        if self._failures:
            wait_s = max(MIN_REOPENED_WAIT_S, self._slots.period_s - REOPENED_SLACK_S)
            return PollRequest(False, int(wait_s * 1000), wait_s + REOPENED_SLACK_S)
        # A watch that fails at its end leaves a list as old as its wait, and a list may be used for four intervals.
        min_wait, max_wait = (
            min(wait, part * self.poll_interval_us // 1000) for wait, part in zip(WATCH_WAIT_MS, (1, 3), strict=True)
        )
        wait_ms = int(min_wait + self.offset * (max_wait - min_wait))
        return PollRequest(False, wait_ms, wait_ms / 1000 + WATCH_SLACK_S)

    @property
    def _agent_timeout_s(self) -> float:
        return AGENT_TIMEOUT_SHARE * self.grace_s

    def succeeded(self) -> None:
        """Record an answer that was taken."""
        self.needs_full_list = False
        self._full_list_since_us = None
        self._rechecks = self._failures = 0
        self._follows_answer = True
        self._slots.reset()

    def failed(self, now_us: int, timed_out: bool) -> float:
        """Return the seconds until the next request, after the last one has failed or is late (`timed_out`)."""
        self._failures += 1
        watch_was_open = self._was_open_watch(now_us, timed_out)
        self._follows_answer = False
        if self.uses_local_agent:
            return self._growing_pause(self._agent_timeout_s / 4, self._agent_timeout_s)
        if self.needs_full_list:
            if self._has_time_for_full_list(now_us):
                return self._growing_pause(*FULL_LIST_PAUSE_S)
        elif self._may_recheck(timed_out):
            self._rechecks += 1
            return 0.0 if timed_out else REFUSED_PAUSE_S * self.rng.uniform(0.5, 1.5)
        self._rechecks = 0
        return self._slots.pause_after_failure(now_us, self._sent_us, watch_was_open)

    def _was_open_watch(self, now_us: int, timed_out: bool) -> bool:
        """Return whether the failed request was a watch of a working discovery, rather than one it could not serve."""
        is_older_than_answers = now_us - self._sent_us > int(LONGEST_ANSWER_S * 1e6)
        return self._follows_answer or (is_older_than_answers and not timed_out)

    def _has_time_for_full_list(self, now_us: int) -> bool:
        """Return whether there is still time to receive the full list before it counts as notified."""
        if self._full_list_since_us is None:
            return True
        return now_us - self._full_list_since_us < int((FULL_LIST_DUE_S + self.grace_s) * 1e6)

    def _growing_pause(self, first_s: float, longest_s: float) -> float:
        return min(first_s * 2.0 ** min(self._failures - 1, 10), longest_s) * self.rng.uniform(0.5, 1.5)

    def _may_recheck(self, timed_out: bool) -> bool:
        """Return whether to request the list at once, since a watch has fallen silent and discovery may be working.

        The watches of all instances may time out at once, so each instance rechecks only a few times.
        """
        is_silent_watch = timed_out and self._failures == 1
        return (is_silent_watch or self._rechecks > 0) and self._rechecks < MAX_RECHECKS
