"""How long each question to discovery may take, and what follows one that failed: pure.

The platform's clock (a watch that falls silent says nothing of it): what it missed counts as told 6 s after the silence
began, or 2 s after the wait that was asked for, if that is later; and the settings' grace after that nothing new may go
to what drains. So silence has to be noticed, and the list asked for again with time for a slow answer, within that.
"""

from __future__ import annotations

import random
from typing import NamedTuple

# How long a watch waits: discovery works through its calls in turn, so they should be few. Each copy has its own place
# between these: where all watches fall silent at once, all are asked for anew, and one service takes them one by one.
WAIT_MS = (10_000, 30_000)
LATE_S = 0.4  # how late the answer of a watch may be: the rest of the 2 s, and the grace, are for asking again
CHECKS = 3  # questions that follow a silent watch without a wait: each is answered or has failed
RECHECK_TIMEOUT_S = 1.5  # patience with each of those: one that is given up loses its turn
REFUSED_S = 0.25  # pause after one that was refused
WHOLE_S = 2.5  # patience with a question for the whole list: all copies ask at once after a reload, and wait in turn
PAUSE_S = (0.25, 1.0)  # first and longest pause where the whole list is still owed: it counts 4 s after SIGHUP
MIN_GRACE_US = 250_000  # of the grace that questions are paced by: with less an agent would be asked without rest
PUSHED_WAIT = 0.4  # of the grace, how long a watch of a local agent waits: what it gets counts as told at once
PUSHED_LATE = 0.25  # of the grace, the patience with such an agent, and the pause after a failure


class PollRequest(NamedTuple):
    is_full: bool  # the whole list, and not what has changed since the version that is held
    wait_ms: int
    timeout_s: float


class PollSchedule:
    """What to ask next of one address; times are seconds from now."""

    def __init__(
        self, pushed: bool, grace_us: int, rng: random.Random, place: float, every_us: int = WAIT_MS[0] * 1000
    ) -> None:
        self.pushed = pushed  # an agent on this machine answers at once, at no cost, and nobody else asks again
        self.grace_s = grace_us / 1e6
        self.rng = rng
        self.place = place  # of this copy among all, in 0..1
        self.every_us = every_us  # how long a list may be gone by that nobody has asked for, by the settings
        self.needs_full_list = False  # the address is new, or its versions are: it owes the whole list
        self._checks = 0  # questions asked since a watch fell silent
        self._failures = 0  # in a row

    def for_new_address(self) -> PollSchedule:
        """For another address, of which nothing is known yet."""
        other = PollSchedule(self.pushed, int(self.grace_s * 1e6), self.rng, self.place, self.every_us)
        other.needs_full_list = True
        return other

    def next_poll(self) -> PollRequest:
        if self.needs_full_list:
            return PollRequest(True, 0, self._agent_s if self.pushed else WHOLE_S)
        if self.pushed:
            wait_s = 0.0 if self._failures else PUSHED_WAIT * self.grace_s
            return PollRequest(False, int(wait_s * 1000), wait_s + self._agent_s)
        if self._checks:
            return PollRequest(False, 0, RECHECK_TIMEOUT_S)
        # A watch that fails at its end asked that long ago: less than four times what the settings give.
        least, most = (min(wait, part * self.every_us // 1000) for wait, part in zip(WAIT_MS, (1, 3), strict=True))
        wait_ms = int(least + self.place * (most - least))
        return PollRequest(False, wait_ms, wait_ms / 1000 + LATE_S)

    @property
    def _agent_s(self) -> float:
        return PUSHED_LATE * self.grace_s

    def succeeded(self) -> None:
        self.needs_full_list = False
        self._checks = self._failures = 0

    def failed(self, silent: bool) -> float | None:
        """The pause before the next question; None: the watch has ended, and when to ask again is for others to say.

        Danger: all copies' watches may fall silent, or be refused, at once. Those that check ask a few times each at
        the most, and then fall back to the module's back-off.
        """
        self._failures += 1
        if self.needs_full_list or self.pushed:
            first, most = (self._agent_s / 4, self._agent_s) if self.pushed else PAUSE_S
            return min(first * 2.0 ** min(self._failures - 1, 10), most) * self.rng.uniform(0.5, 1.5)
        if (silent or self._checks) and self._checks < CHECKS:
            self._checks += 1
            return 0.0 if silent else REFUSED_S * self.rng.uniform(0.5, 1.5)
        self._checks = self._failures = 0
        return None
