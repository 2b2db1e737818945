"""The benefit of load reports where machines differ in speed and most of a call's time is spent in backend tiers.

    python -m benchmarks.reports [--seeds 24] [--load 0.4]

Each seed gives a random fleet in virtual time: fast endpoints with two cores and slow ones with three, weighted by
their cores, that slow down under overload. The same requests are simulated with reports in the answers and without.
A report is the mean of a second and arrives late, as in a deployment. The output has the shares served on time, the
busy shares of the slow and the fast machines, and the ratio of the shares that were not served on time.
"""

from __future__ import annotations

import argparse
import os
import random
import statistics
from concurrent.futures import ProcessPoolExecutor
from functools import partial
from typing import NamedTuple

from benchmarks.overload_recovery.model import MS, Clock, Endpoint, Job, S, SlowMode
from benchmarks.overload_recovery.sidecars import Sidecar, list_entry
from eiderhub.interface import DedupScope, Effect, Limits, ListForm, LoadReport, RequestClass, Rules, Settings, Tenant

SIDECARS, ENDPOINTS = 4, 12
DURATION_US = 40 * S
SAMPLE_INTERVAL_US = 50 * MS
REPORT_INTERVAL_US, REPORT_DELAY_US = S, 400 * MS  # interval and delay of reports
WORK_MS, BACKEND_MS = 90, 420  # mean times: CPU time at speed 1, and time in backend tiers
CLASSES = (
    RequestClass("book", 2500 * MS, 6000 * MS, Effect.DEDUPLICATED, DedupScope.ALL, 10 * S, worth=2.0),
    RequestClass("settle", 2500 * MS, 6000 * MS, Effect.AT_MOST_ONCE, worth=6.0),
)


class Result(NamedTuple):
    """The measurements of one fleet: shares from 0 to 1."""

    served_on_time: float
    slow_busy: float  # of the cores of the slow machines
    fast_busy: float


class LoadMeter:
    """Measures the busy share of an endpoint and publishes it in `report` after a delay."""

    def __init__(self, clock: Clock, endpoint: Endpoint) -> None:
        self.clock = clock
        self.endpoint = endpoint
        self.report: LoadReport | None = None
        self.samples: list[float] = []
        self.reported_shares: list[float] = []
        clock.after(SAMPLE_INTERVAL_US, self._sample)
        clock.after(REPORT_INTERVAL_US, self._report)

    def _sample(self) -> None:
        self.samples.append(self.endpoint.busy_cores / self.endpoint.cores)
        self.clock.after(SAMPLE_INTERVAL_US, self._sample)

    def _report(self) -> None:
        share = statistics.fmean(self.samples)
        new_report = LoadReport(share)
        self.reported_shares.append(share)
        self.samples.clear()
        self.clock.after(REPORT_DELAY_US, partial(setattr, self, "report", new_report))
        self.clock.after(REPORT_INTERVAL_US, self._report)


class Fleet:
    """Endpoints, their sidecars and clients; random by the seed. `load` is the share of the capacity."""

    def __init__(self, seed: int, load: float, reports: bool) -> None:
        self.rng = random.Random(seed)
        self.clock = Clock()
        self.endpoints = {e.name: e for e in map(self._endpoint, range(ENDPOINTS))}
        self.meters = {name: LoadMeter(self.clock, e) for name, e in self.endpoints.items()}
        capacity = sum(e.cores * e.speed for e in self.endpoints.values())
        self.rate = load * capacity / (WORK_MS / 1000)
        self.sent = self.served_on_time = 0
        entries = [list_entry(e, i // 4)._replace(weight=float(e.cores)) for i, e in enumerate(self.endpoints.values())]
        self.sidecars = []
        for rank in range(SIDECARS):
            sidecar = Sidecar(
                self.clock, self._settings(rank), seed * 100 + rank, self.endpoints, self.rng,
                (lambda name: self.meters[name].report) if reports else (lambda name: None),
            )  # fmt: skip
            sidecar.apply_list(ListForm.CACHED, entries)
            self.sidecars.append(sidecar)

    def _endpoint(self, number: int) -> Endpoint:
        draw = self.rng.uniform
        slow_mode = SlowMode(draw(4, 7), int(draw(1.5, 2.5) * S), draw(2.1, 3.4), int(draw(2.6, 4.9) * S), 0.33, 25 * S)
        is_fast = number % 2 == 0
        cores, speed = (2, draw(1.7, 2.3)) if is_fast else (3, draw(0.68, 0.92))
        return Endpoint(self.clock, f"e{number:04d}", cores, speed, cores * 30, cores * 2, slow_mode, None)

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

    def _job(self, on_done: object) -> Job:
        work_us = self.rng.expovariate(1 / (WORK_MS * MS))
        backend_us = self.rng.lognormvariate(-0.3, 0.77) * BACKEND_MS * MS
        return Job("", work_us, int(backend_us), 0, on_done)  # type: ignore[arg-type]

    def _send_next(self) -> None:
        self.clock.after(int(self.rng.expovariate(self.rate / S)), self._send_next)
        self.sent += 1
        sent_us = self.clock.now
        request_class = CLASSES[self.rng.random() < 0.28]

        def on_answer(outcome: str) -> None:
            self.served_on_time += outcome == "served" and self.clock.now - sent_us <= request_class.objective_us

        self.rng.choice(self.sidecars).submit(
            request_class.name, "all", request_class.deadline_us, self._job, on_answer
        )

    def simulate(self) -> Result:
        self._send_next()
        self.clock.run(self.clock.now + DURATION_US)

        def busy(offset: int) -> float:
            """Return the mean busy share of every second endpoint: 0 for the fast ones, 1 for the slow ones."""
            return statistics.fmean(statistics.fmean(m.reported_shares) for m in list(self.meters.values())[offset::2])

        return Result(self.served_on_time / self.sent, busy(1), busy(0))


def simulate(seed: int, load: float, reports: bool) -> Result:
    return Fleet(seed, load, reports).simulate()


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--seeds", type=int, default=24)
    parser.add_argument("--load", type=float, default=0.4, help="share of the fleet's capacity")
    options = parser.parse_args()
    lost_shares = {}
    with ProcessPoolExecutor(max(1, (os.cpu_count() or 2) - 1)) as pool:
        for reports in (False, True):
            results = list(pool.map(partial(simulate, load=options.load, reports=reports), range(options.seeds)))
            served_on_time, slow_busy, fast_busy = (statistics.fmean(column) for column in zip(*results, strict=True))
            worst = min(result.served_on_time for result in results)
            lost_shares[reports] = 1 - served_on_time
            name = "with reports" if reports else "without"
            print(
                f"{name:13} on time {served_on_time:.3f}, worst seed {worst:.3f}, "
                f"busy: slow {slow_busy:.2f}, fast {fast_busy:.2f}"
            )
    print(f"share not on time, with reports over without: {lost_shares[True] / lost_shares[False]:.2f}")


if __name__ == "__main__":
    main()
