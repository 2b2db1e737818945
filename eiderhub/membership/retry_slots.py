"""Decides when an instance calls a failing discovery again: in its own slot of a period that all instances share.

Two bounds meet here. A change counts as notified 6 s after discovery had it and could be reached, so no instance may
pause for longer than that, however long discovery has been down. And a discovery that has just returned serves calls
one after another, one of each instance within some seconds; calls that wait too long fail after having cost it time, so
that it would answer nobody if all instances called at once, again and again.

An exponential backoff breaks the first bound, short pauses break the second one. Each instance therefore makes one call
in a period just shorter than the first bound, at an offset of its own, which spreads the calls evenly. No I/O.
"""

from __future__ import annotations

import random

NOTIFIED_AFTER_S = 6.0  # from the protocol: after discovery had a change and could be reached
HOLD_UP_S = 0.15  # for which the process may be held up between reading its clock and writing
ANSWER_ALLOWANCE_S = 0.75  # what is left of the bound for the call itself
MAX_PERIOD_S = 6.0  # with a longer grace too, since an old list costs failed attempts
INTERVALS_PER_PERIOD = 2  # poll intervals of the settings; after four without a call, the list may not be used
FAILED_CALL_S = 2.0  # how long discovery keeps a call that it cannot serve
# A call that fails sooner has not waited in a queue: a fault of the moment, such as a failed system call.
QUICK_FAILURE_S = 0.5
MAX_QUICK_RETRIES = 2
QUICK_RETRY_PAUSE_S = (0.22, 0.33)  # two of them fit into the allowance


class RetrySlots:
    """The slots of one instance. Times are microseconds of a monotonic clock."""

    def __init__(self, offset: float, grace_s: float, poll_interval_s: float, rng: random.Random) -> None:
        """`offset`, in [0, 1), differs for each instance that calls the same discovery."""
        self.offset = offset
        self.rng = rng
        self.period_s = min(
            NOTIFIED_AFTER_S + grace_s - HOLD_UP_S - ANSWER_ALLOWANCE_S,
            MAX_PERIOD_S,
            INTERVALS_PER_PERIOD * poll_interval_s,
        )
        self._anchor_us: int | None = None  # when the period began that the slots refer to; None: no call has failed
        self._quick_retries = 0

    def reset(self) -> None:
        """Forget the failures, after an answer."""
        self._anchor_us = None
        self._quick_retries = 0

    def pause_after_failure(self, now_us: int, sent_us: int, watch_was_open: bool) -> float:
        """Return the seconds until the next call, after one that was sent at `sent_us` has failed.

        `watch_was_open` says whether discovery had answered before, so that the call failed only now, whenever it was
        sent. The end of a watch reaches all instances at once: their periods begin together.
        """
        elapsed_s = (now_us - sent_us) / 1e6
        if self._anchor_us is None:
            known_s = 0.0 if watch_was_open else min(elapsed_s, FAILED_CALL_S)
            self._anchor_us = now_us - int(known_s * 1e6)
            return max(self.offset * (self.period_s - known_s), self.rng.uniform(*QUICK_RETRY_PAUSE_S))
        if elapsed_s < QUICK_FAILURE_S and self._quick_retries < MAX_QUICK_RETRIES:
            self._quick_retries += 1
            return self.rng.uniform(*QUICK_RETRY_PAUSE_S)
        self._quick_retries = 0
        return self._seconds_to_next_slot(self._anchor_us, now_us, sent_us)

    def _seconds_to_next_slot(self, anchor_us: int, now_us: int, sent_us: int) -> float:
        """Return the time until the first slot that is not the one in which the failed call was sent.

        A call that was sent between two slots, and waited past the second one, is followed by another one without
        waiting for the third: two calls are never more than a period apart.
        """
        period_us = int(self.period_s * 1e6)
        first_slot_us = anchor_us + int(self.offset * period_us)
        earliest_us = max(now_us, sent_us + period_us // 2)
        periods = max(0, -(-(earliest_us - first_slot_us) // period_us))
        slot_us = first_slot_us + periods * period_us
        return (min(slot_us, max(now_us, sent_us + period_us)) - now_us) / 1e6
