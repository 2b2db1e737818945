"""Virtual time, and endpoints that tip over when they are crowded, as the users' brief describes them.

An endpoint that holds far more requests than it has cores, in the mean of some seconds, turns two to three times
slower, and stays so until its cores were mostly idle for some seconds. Work that was given up on goes on.
"""

from __future__ import annotations

import heapq
import math
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

MS, S = 1_000, 1_000_000
SAMPLE_US = 100 * MS  # how often an endpoint looks at itself
NET_US = 300  # one way


class Clock:
    """What is to happen, in order of time; microseconds."""

    def __init__(self) -> None:
        self.now = 1_000 * S
        self._heap: list[tuple[int, int, Callable[[], None]]] = []
        self._serial = 0

    def after(self, delay: int, act: Callable[[], None]) -> None:
        self._serial += 1
        heapq.heappush(self._heap, (self.now + max(0, delay), self._serial, act))

    def run(self, until: int) -> None:
        while self._heap and self._heap[0][0] <= until:
            self.now, _, act = heapq.heappop(self._heap)
            act()
        self.now = until


@dataclass(frozen=True)
class Tipping:
    """When an endpoint turns slow, and when it recovers."""

    at: float  # times the root of its cores: requests beyond its cores
    over_us: int  # in the mean of this time
    slower: float
    rest_us: int  # recovers once its cores were busy under `below` for so long
    below: float
    most_us: int  # or after this


class Job:
    """One request at an endpoint: half its work, the calls to the next tier, the other half."""

    __slots__ = ("calls", "done", "grade", "io_us", "left_us", "work_us")

    def __init__(self, grade: str, work_us: float, io_us: int, calls: int, done: Callable[[str], None]) -> None:
        self.grade = grade
        self.work_us = work_us
        self.io_us = io_us
        self.calls = calls
        self.done = done
        self.left_us = work_us


class Endpoint:
    """Cores, slots, a waiting room, and a state that crowding tips."""

    def __init__(
        self,
        clock: Clock,
        name: str,
        cores: int,
        speed: float,
        slots: int,
        room: int,
        tipping: Tipping | None,
        call: Callable[[Job, Callable[[bool], None]], None] | None,
    ) -> None:
        self.clock = clock
        self.name = name
        self.cores = cores
        self.speed = speed
        self.slots = slots
        self.room = room
        self.tipping = tipping
        self.call = call  # to the next tier; None: there is none
        self.waiting: deque[Job] = deque()
        self.ready: deque[tuple[Job, float, Callable[[], None]]] = deque()  # in a slot, waiting for a core
        self.held = 0
        self.busy = 0
        self.slow = False
        self.slow_since = 0
        self.slow_us = 0  # in all
        self.failing = 0.0  # share of requests that fail at once
        self.factor = 1.0  # slowness that comes from outside
        self.alive = True
        self.born = 0  # when it started, if it is cold; 0: warm
        self.cold_us = 6 * S
        self.cold_from = 0.4
        self.crowd: deque[int] = deque(maxlen=max(1, tipping.over_us // SAMPLE_US) if tipping else 1)
        self.load: deque[float] = deque(maxlen=max(1, tipping.rest_us // SAMPLE_US) if tipping else 1)
        if tipping:
            clock.after(SAMPLE_US, self._sample)

    def limit(self) -> float:
        assert self.tipping is not None
        return min(self.cores + self.tipping.at * math.sqrt(self.cores), 0.7 * (self.slots + self.room))

    def _sample(self) -> None:
        assert self.tipping is not None
        self.crowd.append(self.held + len(self.waiting))
        self.load.append(self.busy / self.cores)
        now = self.clock.now
        if not self.slow:
            if len(self.crowd) == self.crowd.maxlen and sum(self.crowd) > self.limit() * len(self.crowd):
                self.slow, self.slow_since = True, now
                self.load.clear()
        else:
            self.slow_us += SAMPLE_US
            rested = len(self.load) == self.load.maxlen and sum(self.load) < self.tipping.below * len(self.load)
            if rested or now - self.slow_since > self.tipping.most_us:
                self.slow = False
                self.crowd.clear()
        if self.alive:
            self.clock.after(SAMPLE_US, self._sample)

    def arrive(self, job: Job, chance: random.Random) -> None:
        """A request; `job.done` is told "ok", "error" or "full", and "down" where nobody listens."""
        if not self.alive:
            job.done("down")
        elif self.failing and chance.random() < self.failing:
            job.done("error")
        elif self.held < self.slots:
            self._start(job)
        elif len(self.waiting) < self.room:
            self.waiting.append(job)
        else:
            job.done("full")

    def _start(self, job: Job) -> None:
        self.held += 1
        self._cpu(job, job.work_us / 2, lambda: self._middle(job))

    def _middle(self, job: Job) -> None:
        if self.call is None or not job.calls:
            self.clock.after(job.io_us, lambda: self._cpu(job, job.work_us / 2, lambda: self._end(job, "ok")))
            return

        def back(served: bool) -> None:
            if not served:
                self._end(job, "error")
                return
            job.calls -= 1
            self._middle(job)

        self.call(job, back)

    def _end(self, job: Job, outcome: str) -> None:
        self.held -= 1
        if self.alive:
            job.done(outcome)
            if self.waiting:
                self._start(self.waiting.popleft())

    def _cpu(self, job: Job, work_us: float, then: Callable[[], None]) -> None:
        if self.busy < self.cores:
            self._run(work_us, then)
        else:
            self.ready.append((job, work_us, then))

    def _run(self, work_us: float, then: Callable[[], None]) -> None:
        self.busy += 1
        slowness = (self.tipping.slower if self.slow and self.tipping else 1.0) * self.factor
        if self.born:
            age = self.clock.now - self.born
            slowness /= min(1.0, self.cold_from + (1 - self.cold_from) * age / self.cold_us)

        def finished() -> None:
            self.busy -= 1
            if self.ready:
                _, work, follow = self.ready.popleft()
                self._run(work, follow)
            then()

        self.clock.after(int(work_us * slowness / self.speed), finished)
