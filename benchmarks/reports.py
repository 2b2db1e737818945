"""What load reports are worth where machines differ in speed and most of a call is spent in the tiers behind.

    python -m benchmarks.reports [--seeds 24] [--load 0.4]

Each seed is a fleet of its own in virtual time: fast endpoints of two cores, slow ones of three, listed by their cores,
that tip over when they are crowded. The same requests are played twice, with reports in the answers and without.
Reports are the mean of a second and arrive late, as the second deployment has them. Printed are the shares served on
time, the busy shares of the slow and the fast machines, and the ratio of what is lost.
"""

from __future__ import annotations

import argparse
import os
import random
import statistics
from concurrent.futures import ProcessPoolExecutor
from functools import partial
from typing import NamedTuple

from benchmarks.jam.fleet import Sidecar, entry
from benchmarks.jam.world import MS, Clock, Endpoint, Job, S, Tipping
from eiderhub.interface import DedupScope, Effect, Limits, ListForm, LoadReport, RequestClass, Rules, Settings, Tenant

SIDECARS, ENDPOINTS = 4, 12
LENGTH_US = 40 * S
SAMPLE_US = 50 * MS
REPORT_US, LATE_US = S, 400 * MS  # how often a report is made anew, and how late it is
WORK_MS, BEHIND_MS = 90, 420  # at yardstick speed, and spent in the tiers behind
CLASSES = (
    RequestClass("book", 2500 * MS, 6000 * MS, Effect.DEDUPLICATED, DedupScope.ALL, 10 * S, worth=2.0),
    RequestClass("settle", 2500 * MS, 6000 * MS, Effect.AT_MOST_ONCE, worth=6.0),
)


class Verdict(NamedTuple):
    served: float  # share on time
    slow_busy: float  # busy share of the slow machines
    fast_busy: float


class Meter:
    """The busy share of one endpoint, told as it was some time ago."""

    def __init__(self, clock: Clock, endpoint: Endpoint) -> None:
        self.clock = clock
        self.endpoint = endpoint
        self.told: LoadReport | None = None
        self.samples: list[float] = []
        self.all: list[float] = []
        clock.after(SAMPLE_US, self._sample)
        clock.after(REPORT_US, self._report)

    def _sample(self) -> None:
        self.samples.append(self.endpoint.busy / self.endpoint.cores)
        self.clock.after(SAMPLE_US, self._sample)

    def _report(self) -> None:
        share = statistics.fmean(self.samples)
        made = LoadReport(share)
        self.all.append(share)
        self.samples.clear()
        self.clock.after(LATE_US, partial(setattr, self, "told", made))
        self.clock.after(REPORT_US, self._report)


class Fleet:
    """One world, drawn from a seed."""

    def __init__(self, seed: int, load: float, reports: bool) -> None:
        self.chance = random.Random(seed)
        self.clock = Clock()
        self.endpoints = {e.name: e for e in map(self._endpoint, range(ENDPOINTS))}
        self.meters = {name: Meter(self.clock, e) for name, e in self.endpoints.items()}
        capacity = sum(e.cores * e.speed for e in self.endpoints.values())
        self.rate = load * capacity / (WORK_MS / 1000)
        self.asked = self.served = 0
        listed = [entry(e, i // 4)._replace(weight=float(e.cores)) for i, e in enumerate(self.endpoints.values())]
        self.sidecars = []
        for rank in range(SIDECARS):
            sidecar = Sidecar(
                self.clock, self._settings(rank), seed * 100 + rank, self.endpoints, self.chance,
                (lambda name: self.meters[name].told) if reports else (lambda name: None),
            )  # fmt: skip
            sidecar.listed(ListForm.CACHED, listed)
            self.sidecars.append(sidecar)

    def _endpoint(self, number: int) -> Endpoint:
        draw = self.chance.uniform
        tipping = Tipping(draw(4, 7), int(draw(1.5, 2.5) * S), draw(2.1, 3.4), int(draw(2.6, 4.9) * S), 0.33, 25 * S)
        fast = number % 2 == 0
        cores, speed = (2, draw(1.7, 2.3)) if fast else (3, draw(0.68, 0.92))
        return Endpoint(self.clock, f"e{number:04d}", cores, speed, cores * 30, cores * 2, tipping, None)

    def _settings(self, rank: int) -> Settings:
        return Settings(
            classes=CLASSES,
            rank=rank,
            balancers=SIDECARS,
            tiers=3,
            zone="z",
            tenants=[Tenant("all", 1.0, self.rate)],
            limits=Limits(max_attempts=3, hedging=True, may_cancel=True, may_send_retry_after=True),
            rules=Rules(9 * S, 0.31, 4.0),
        )

    def _job(self, done: object) -> Job:
        work = self.chance.expovariate(1 / (WORK_MS * MS))
        behind = self.chance.lognormvariate(-0.3, 0.77) * BEHIND_MS * MS
        return Job("", work, int(behind), 0, done)  # type: ignore[arg-type]

    def _next(self) -> None:
        self.clock.after(int(self.chance.expovariate(self.rate / S)), self._next)
        self.asked += 1
        begun = self.clock.now
        grade = CLASSES[self.chance.random() < 0.28]

        def answer(word: str) -> None:
            self.served += word == "served" and self.clock.now - begun <= grade.objective_us

        self.chance.choice(self.sidecars).take(grade.name, "all", grade.deadline_us, self._job, answer)

    def play(self) -> Verdict:
        self._next()
        self.clock.run(self.clock.now + LENGTH_US)

        def busy(rest: int) -> float:
            return statistics.fmean(statistics.fmean(m.all) for m in list(self.meters.values())[rest::2])

        return Verdict(self.served / self.asked, busy(1), busy(0))


def play(seed: int, load: float, reports: bool) -> Verdict:
    return Fleet(seed, load, reports).play()


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--seeds", type=int, default=24)
    parser.add_argument("--load", type=float, default=0.4, help="share of what the fleet can do")
    chosen = parser.parse_args()
    lost = {}
    with ProcessPoolExecutor(max(1, (os.cpu_count() or 2) - 1)) as pool:
        for reports in (False, True):
            found = list(pool.map(partial(play, load=chosen.load, reports=reports), range(chosen.seeds)))
            served, slow, fast = (statistics.fmean(column) for column in zip(*found, strict=True))
            worst = min(v.served for v in found)
            lost[reports] = 1 - served
            name = "with reports" if reports else "without"
            print(f"{name:13} on time {served:.3f}, worst seed {worst:.3f}, busy: slow {slow:.2f}, fast {fast:.2f}")
    print(f"lost with reports, over lost without: {lost[True] / lost[False]:.2f}")


if __name__ == "__main__":
    main()
