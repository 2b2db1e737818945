"""Decides when an instance calls a failing discovery again: in its own slot of a period that all instances share.

Two bounds meet here. A change counts as notified 6 s after discovery had it and could be reached, so no instance may
pause for longer than that, however long discovery has been down. And a discovery that has just returned serves calls
one after another, one of each instance within some seconds; calls that wait too long fail after having cost it time, so
that it would answer nobody if all instances called at once, again and again.

An exponential backoff breaks the first bound, short pauses break the second one. Each instance therefore makes one call
in a period just shorter than the first bound, at an offset of its own, which spreads the calls evenly.

The end of an open watch is another case: discovery worked until then, and may be slow rather than down. Instances whose
slot would come too late for the slowest answer call earlier, just in time for it. They come last, so that a crowded
discovery serves the others as before. If an early call fails, the slots of the whole period follow. No I/O.
"""

from __future__ import annotations

import random

NOTIFIED_AFTER_S = 6.0  # from the protocol: after discovery had a change and could be reached
HOLD_UP_S = 0.15  # for which the process may be held up between reading its clock and writing
ANSWER_ALLOWANCE_S = 0.75  # what is left of the bound for the call itself
LONGEST_ANSWER_S = 3.0  # discovery fails a call that it has not answered by then
EARLY_CALLS_SPREAD_S = 0.5  # over which the calls are spread that come before their slot
TRANSMISSION_S = 0.1  # to connect, and to send a call and receive its answer
MAX_PERIOD_S = 6.0  # with a longer grace too, since an old list costs failed attempts
INTERVALS_PER_PERIOD = 2  # poll intervals of the settings; after four without a call, the list may not be used
FAILED_CALL_S = 2.0  # how long discovery keeps a call that it cannot serve
# A call that fails sooner has not waited in a queue: a fault of the moment, such as a failed system call.
QUICK_FAILURE_S = 0.5
MAX_QUICK_RETRIES = 2
# A slot that is nearer than this to the last call counts as the slot of that call: timers are not exact.
SLOT_TOLERANCE_S = 0.1
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
        # When a call is sent at the latest after the end of a watch, so that the slowest answer comes in time.
        latest_call_s = NOTIFIED_AFTER_S + grace_s - HOLD_UP_S - LONGEST_ANSWER_S - TRANSMISSION_S
        self._first_call_s = min(offset * self.period_s, latest_call_s - (1 - offset) * EARLY_CALLS_SPREAD_S)
        self._anchor_us: int | None = None  # when the period began that the slots refer to; None: no call has failed
        self._quick_retries = 0

    def reset(self) -> None:
        """Forget the failures, after an answer."""
        self._anchor_us = None
        self._quick_retries = 0

    def pause_after_failure(self, now_us: int, sent_us: int, watch_was_open: bool) -> float:
        """Return the seconds until the next call, after one that was sent at `sent_us` has failed.

        `watch_was_open` says whether discovery had accepted the call as a watch, so that it failed only now, whenever
        it was sent. The end of a watch reaches all instances at once: their periods begin together.
        """
        elapsed_s = (now_us - sent_us) / 1e6
        if self._anchor_us is None:
            known_s = 0.0 if watch_was_open else min(elapsed_s, FAILED_CALL_S)
            self._anchor_us = now_us - int(known_s * 1e6)
            pause_s = self._first_call_s if watch_was_open else self.offset * (self.period_s - known_s)
            return max(pause_s, self.rng.uniform(*QUICK_RETRY_PAUSE_S))
        if elapsed_s < QUICK_FAILURE_S and self._quick_retries < MAX_QUICK_RETRIES:
            self._quick_retries += 1
            return self.rng.uniform(*QUICK_RETRY_PAUSE_S)
        self._quick_retries = 0
        return self._seconds_to_next_slot(self._anchor_us, now_us, sent_us)

    def _seconds_to_next_slot(self, anchor_us: int, now_us: int, sent_us: int) -> float:
        """Return the seconds until the first slot that is not the one in which the failed call was sent.

        Two calls are never more than a period apart: a call that was sent between two slots, and failed after the
        second one, is followed by another one before the third. It is sent half-way to the last time at which it can
        still fail before that slot, since calls that failed late have met a crowded discovery.
        """
        period_us, tolerance_us = int(self.period_s * 1e6), int(SLOT_TOLERANCE_S * 1e6)
        first_slot_us = anchor_us + int(self.offset * period_us)
        earliest_us = max(now_us, sent_us + tolerance_us)
        periods = max(0, -(-(earliest_us - first_slot_us) // period_us))
        slot_us = first_slot_us + periods * period_us
        if slot_us <= sent_us + period_us + tolerance_us:
            return (slot_us - now_us) / 1e6
        latest_us = min(slot_us - int(FAILED_CALL_S * 1e6), sent_us + period_us)
        return max(0, latest_us - now_us) / 2 / 1e6
