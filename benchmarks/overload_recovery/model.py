"""Virtual time, and a model of endpoints that slow down under overload, as the operators describe them.

An endpoint whose mean number of requests over some seconds is far above its number of cores becomes two to three times
slower, and stays slow until its cores were mostly idle for some seconds. It continues to work on requests that the
sidecar has given up.
"""

from __future__ import annotations

import heapq
import math
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

MS, S = 1_000, 1_000_000
SAMPLE_INTERVAL_US = 100 * MS  # between samples of an endpoint's state
NETWORK_DELAY_US = 300  # one way


class Clock:
    """A virtual clock in microseconds that runs scheduled callbacks in order of time."""

    def __init__(self) -> None:
        self.now = 1_000 * S
        self._heap: list[tuple[int, int, Callable[[], None]]] = []
        self._serial = 0

    def after(self, delay_us: int, callback: Callable[[], None]) -> None:
        """Schedule a callback; a negative delay counts as 0."""
        self._serial += 1
        heapq.heappush(self._heap, (self.now + max(0, delay_us), self._serial, callback))

    def run(self, until: int) -> None:
        """Run the callbacks that are due up to this time, and advance the clock to it."""
        while self._heap and self._heap[0][0] <= until:
            self.now, _, callback = heapq.heappop(self._heap)
            callback()
        self.now = until


@dataclass(frozen=True)
class SlowMode:
    """When an overloaded endpoint becomes slow, and when it recovers.

    An endpoint becomes slow if its mean number of requests over `entry_window_us` exceeds its cores by more than
    `excess_per_root_core` times the square root of its cores. It recovers if the mean busy share of its cores over
    `exit_window_us` is below `exit_load`, or after `max_duration_us`.
    """

    excess_per_root_core: float
    entry_window_us: int
    slowdown: float  # factor on the time that work takes
    exit_window_us: int
    exit_load: float
    max_duration_us: int


class Job:
    """A request at an endpoint: half its work, the calls to the next tier or other I/O, and the other half."""

    __slots__ = ("class_name", "io_us", "on_done", "remaining_calls", "remaining_us", "work_us")

    def __init__(
        self, class_name: str, work_us: float, io_us: int, remaining_calls: int, on_done: Callable[[str], None]
    ) -> None:
        self.class_name = class_name
        self.work_us = work_us
        self.io_us = io_us
        self.remaining_calls = remaining_calls
        self.on_done = on_done
        self.remaining_us = work_us


class Endpoint:
    """Model of a server: cores, concurrency slots, a queue, and a slow mode under overload."""

    def __init__(
        self,
        clock: Clock,
        name: str,
        cores: int,
        speed: float,
        slots: int,
        queue_size: int,
        slow_mode: SlowMode | None,
        call_next_tier: Callable[[Job, Callable[[bool], None]], None] | None,
    ) -> None:
        self.clock = clock
        self.name = name
        self.cores = cores
        self.speed = speed
        self.slots = slots
        self.queue_size = queue_size
        self.slow_mode = slow_mode
        self.call_next_tier = call_next_tier  # None: there is no next tier
        self.queue: deque[Job] = deque()
        self.cpu_queue: deque[tuple[Job, float, Callable[[], None]]] = deque()  # jobs in a slot that wait for a core
        self.running = 0  # jobs in a slot
        self.busy_cores = 0
        self.is_slow = False
        self.slow_since = 0  # virtual time
        self.total_slow_us = 0
        self.failure_rate = 0.0  # share of requests that fail at once
        self.external_slowdown = 1.0  # by an external cause
        self.is_alive = True
        self.started_us = 0  # when a cold endpoint started; 0: warm
        self.cold_us = 6 * S
        self.cold_speed = 0.4  # share of its speed at its start; rises linearly over `cold_us`
        # The latest samples of the number of requests, and of the busy share of the cores.
        self.counts: deque[int] = deque(
            maxlen=max(1, slow_mode.entry_window_us // SAMPLE_INTERVAL_US) if slow_mode else 1
        )
        self.shares: deque[float] = deque(
            maxlen=max(1, slow_mode.exit_window_us // SAMPLE_INTERVAL_US) if slow_mode else 1
        )
        if slow_mode:
            clock.after(SAMPLE_INTERVAL_US, self._sample)

    def entry_threshold(self) -> float:
        """Return the mean number of requests above which the endpoint becomes slow, at most 70% of what it accepts."""
        assert self.slow_mode is not None
        return min(
            self.cores + self.slow_mode.excess_per_root_core * math.sqrt(self.cores),
            0.7 * (self.slots + self.queue_size),
        )

    def _sample(self) -> None:
        assert self.slow_mode is not None
        self.counts.append(self.running + len(self.queue))
        self.shares.append(self.busy_cores / self.cores)
        now = self.clock.now
        if not self.is_slow:
            if len(self.counts) == self.counts.maxlen and sum(self.counts) > self.entry_threshold() * len(self.counts):
                self.is_slow, self.slow_since = True, now
                self.shares.clear()
        else:
            self.total_slow_us += SAMPLE_INTERVAL_US
            has_recovered = len(self.shares) == self.shares.maxlen and sum(
                self.shares
            ) < self.slow_mode.exit_load * len(self.shares)
            if has_recovered or now - self.slow_since > self.slow_mode.max_duration_us:
                self.is_slow = False
                self.counts.clear()
        if self.is_alive:
            self.clock.after(SAMPLE_INTERVAL_US, self._sample)

    def arrive(self, job: Job, rng: random.Random) -> None:
        """Receive a request. `job.on_done` gets "ok", "error", "full" or, if the endpoint is dead, "down"."""
        if not self.is_alive:
            job.on_done("down")
        elif self.failure_rate and rng.random() < self.failure_rate:
            job.on_done("error")
        elif self.running < self.slots:
            self._start_job(job)
        elif len(self.queue) < self.queue_size:
            self.queue.append(job)
        else:
            job.on_done("full")

    def _start_job(self, job: Job) -> None:
        self.running += 1
        self._use_core(job, job.work_us / 2, lambda: self._run_middle(job))

    def _run_middle(self, job: Job) -> None:
        if self.call_next_tier is None or not job.remaining_calls:
            self.clock.after(job.io_us, lambda: self._use_core(job, job.work_us / 2, lambda: self._end_job(job, "ok")))
            return

        def on_result(served: bool) -> None:
            if not served:
                self._end_job(job, "error")
                return
            job.remaining_calls -= 1
            self._run_middle(job)

        self.call_next_tier(job, on_result)

    def _end_job(self, job: Job, outcome: str) -> None:
        self.running -= 1
        if self.is_alive:
            job.on_done(outcome)
            if self.queue:
                self._start_job(self.queue.popleft())

    def _use_core(self, job: Job, work_us: float, on_finished: Callable[[], None]) -> None:
        if self.busy_cores < self.cores:
            self._run_on_core(work_us, on_finished)
        else:
            self.cpu_queue.append((job, work_us, on_finished))

    def _run_on_core(self, work_us: float, on_finished: Callable[[], None]) -> None:
        self.busy_cores += 1
        slowness = (self.slow_mode.slowdown if self.is_slow and self.slow_mode else 1.0) * self.external_slowdown
        if self.started_us:
            age = self.clock.now - self.started_us
            slowness /= min(1.0, self.cold_speed + (1 - self.cold_speed) * age / self.cold_us)

        def finished() -> None:
            self.busy_cores -= 1
            if self.cpu_queue:
                _, work, next_on_finished = self.cpu_queue.popleft()
                self._run_on_core(work, next_on_finished)
            on_finished()

        self.clock.after(int(work_us * slowness / self.speed), finished)
