"""Measures whether the fleet recovers from overload that a trigger of 1 to 2 s has caused.

    python -m benchmarks.overload_recovery [--seeds 56] [--trigger burst|failing|replaced|slow|none]

Each seed gives a random fleet in virtual time. The output has the maximum number of endpoints that were slow at once,
the time from the trigger's end until the fleet serves as before, and the share of requests that are served on time
after the trigger. The triggers `slow` (all endpoints are slow for an external reason) and `none` show whether a remedy
for the others does harm.
"""

from __future__ import annotations

import argparse
import os
import random
import statistics
from concurrent.futures import ProcessPoolExecutor
from typing import NamedTuple

from benchmarks.overload_recovery.model import MS, Clock, Endpoint, Job, S, SlowMode
from benchmarks.overload_recovery.sidecars import ClientRequest, Sidecar, list_entry
from eiderhub.interface import DedupScope, Effect, Limits, ListForm, Readiness, RequestClass, Rules, Settings, Tenant

TRIGGERS = ("burst", "failing", "replaced", "slow", "none")
OUTER_ENDPOINTS, INNER_ENDPOINTS, SIDECARS = 12, 15, 6
WARMUP_US, RECOVERY_LIMIT_US = 12 * S, 26 * S  # before and after the trigger
MEASURED_US = 15 * S  # after the trigger's end: period of the share served on time
STUCK_US = 5 * S  # a fleet whose recovery takes longer counts as stuck
CLASSES = (
    RequestClass(
        "reserva", 1000 * MS, 2500 * MS, Effect.DEDUPLICATED, DedupScope.CELL, 4000 * MS, late_worth_share=0.5
    ),
    RequestClass("despacho", 2500 * MS, 6000 * MS, Effect.AT_MOST_ONCE, late_worth_share=0.25),
)
WORK_MS = {"reserva": (66, 120), "despacho": (150, 280)}
IO_MS = {"reserva": (47, 87), "despacho": (210, 400)}
SHARES = {"andes": 0.43, "pacifico": 0.19, "norte": 0.19, "sur": 0.19}


class Result(NamedTuple):
    """The measurements of one fleet."""

    seed: int
    max_slow_endpoints: int  # that were slow at once, of both tiers
    recovery_us: int  # from the trigger's end to serving as before; RECOVERY_LIMIT_US: not within that time
    on_time_after: float  # share served on time in MEASURED_US after the trigger
    on_time_before: float
    exit_window_us: int  # how long an endpoint of this fleet needs low load to recover


class Fleet:
    """Two tiers of endpoints, their sidecars, and clients; random by the seed. `load` is the share of the capacity."""

    def __init__(self, seed: int, load: float) -> None:
        self.rng = random.Random(seed)
        self.clock = Clock()
        draw = self.rng.uniform
        self.slow_mode = SlowMode(
            draw(4, 7), int(draw(1.5, 2.5) * S), draw(2.1, 3.4), int(draw(3.3, 4.9) * S), draw(0.25, 0.4),
            int(draw(15, 32) * S),
        )  # fmt: skip
        self.mean_times_us = {name: (draw(*WORK_MS[name]) * MS, draw(*IO_MS[name]) * MS) for name in WORK_MS}
        self.nested_calls = draw(1.5, 2.5)  # mean number of calls to the inner tier per request
        self.retries = self.rng.randint(2, 3)
        self.timeout_share = draw(0.5, 0.6)
        self.retry_delay_us = int(self.rng.choice([0.0, draw(50, 400)]) * MS)
        self.requests: list[ClientRequest] = []
        self.endpoint_count = 0
        self.inner = {e.name: e for e in (self._endpoint(None) for _ in range(INNER_ENDPOINTS))}
        self.outer: dict[str, Endpoint] = {}
        self.cells: dict[str, int] = {}
        for _ in range(OUTER_ENDPOINTS):
            self._add_outer()
        outer_rate = sum(e.cores * e.speed for e in self.outer.values()) / (0.64 * self._mean_work() / S)
        inner_rate = sum(e.cores * e.speed for e in self.inner.values()) / (
            0.36 * self.nested_calls * self._mean_work() / S
        )
        self.rate = load * min(outer_rate, inner_rate)
        settings = self._settings(0, SIDECARS)
        self.sidecars = [Sidecar(self.clock, settings, seed * 100 + i, self.outer, self.rng) for i in range(SIDECARS)]
        for rank, sidecar in enumerate(self.sidecars):
            sidecar.balancer.settings = self._settings(0, SIDECARS, rank)
            sidecar.apply_list(ListForm.CACHED, [list_entry(e, self.cells[e.name]) for e in self.outer.values()])

    def _mean_work(self) -> float:
        return 0.55 * self.mean_times_us["reserva"][0] + 0.45 * self.mean_times_us["despacho"][0]

    def _settings(self, layer: int, balancers: int, rank: int = 0) -> Settings:
        return Settings(
            classes=CLASSES,
            rank=rank,
            balancers=balancers,
            layer=layer,
            tiers=2,
            zone="z",
            tenants=[Tenant(name, share, self.rate * share) for name, share in SHARES.items()] if layer == 0 else [],
            over_share_worth=0.05,
            limits=Limits(max_attempts=5, hedging=True, may_cancel=True, may_send_retry_after=True, conn_idle_us=5 * S),
            rules=Rules(9 * S, 0.32, 4.0),
        )

    def _endpoint(self, call_next_tier: object) -> Endpoint:
        draw = self.rng.uniform
        self.endpoint_count += 1
        is_fast = self.rng.random() < 0.49
        cores = 2 if is_fast else 3
        speed = draw(0.85, 1.1) if is_fast else draw(0.51, 0.69)
        slots, queue_size = int(cores * draw(7, 17)), int(cores * draw(9, 37))
        return Endpoint(
            self.clock,
            f"e{self.endpoint_count:04d}",
            cores,
            speed,
            slots,
            queue_size,
            self.slow_mode,
            call_next_tier,  # type: ignore[arg-type]
        )

    def _add_outer(self, started_us: int = 0) -> Endpoint:
        endpoint = self._endpoint(None)
        endpoint.started_us = started_us
        self.outer[endpoint.name] = endpoint
        self.cells[endpoint.name] = len(self.cells) // 6
        inner_sidecars: list[Sidecar] = []  # one, made at the first call

        def call_next_tier(job: Job, on_result: object) -> None:
            if not inner_sidecars:
                number = len(self.cells)
                sidecar = Sidecar(
                    self.clock,
                    self._settings(1, OUTER_ENDPOINTS, number % OUTER_ENDPOINTS),
                    number,
                    self.inner,
                    self.rng,
                )
                sidecar.apply_list(ListForm.CACHED, [list_entry(e, i // 6) for i, e in enumerate(self.inner.values())])
                inner_sidecars.append(sidecar)
            time_left_us = next(c.deadline_us for c in CLASSES if c.name == job.class_name) // 2
            inner_sidecars[0].submit(
                job.class_name, "", time_left_us, lambda on_done: self._job(job.class_name, 0.36, 0, on_done),
                lambda outcome: on_result(outcome == "served"),  # type: ignore[operator]
            )  # fmt: skip

        endpoint.call_next_tier = call_next_tier
        return endpoint

    def _job(self, class_name: str, share: float, nested_calls: int, on_done: object) -> Job:
        work, io = self.mean_times_us[class_name]
        spread = self.rng.lognormvariate(-0.08, 0.4)
        return Job(
            class_name,
            share * work * spread,
            int(share * io * spread),
            nested_calls,
            on_done,  # type: ignore[arg-type]
        )

    # --- clients ---

    def start(self) -> None:
        self._send_next()

    def _send_next(self) -> None:
        class_name = "reserva" if self.rng.random() < 0.55 else "despacho"
        tenant = self.rng.choices(list(SHARES), list(SHARES.values()))[0]
        request = ClientRequest(class_name, self.clock.now, 1.0)
        self.requests.append(request)
        deadline_us = next(c for c in CLASSES if c.name == class_name).deadline_us
        self._send(request, tenant, deadline_us, self.retries)
        self.clock.after(int(self.rng.expovariate(self.rate * self.rate_factor) * S), self._send_next)

    rate_factor = 1.0

    def _send(self, request: ClientRequest, tenant: str, deadline_us: int, retries: int) -> None:
        time_left_us = min(int(deadline_us * self.timeout_share), request.sent_us + deadline_us - self.clock.now)
        if time_left_us < 100 * MS:
            return
        nested_calls = int(self.nested_calls) + (self.rng.random() < self.nested_calls % 1)

        def on_answer(outcome: str) -> None:
            if outcome == "served":
                request.served_us = request.served_us or self.clock.now
            elif outcome == "refused" and retries:
                self.clock.after(self.retry_delay_us, lambda: self._send(request, tenant, deadline_us, retries - 1))

        self.rng.choice(self.sidecars).submit(
            request.class_name,
            tenant,
            time_left_us,
            lambda on_done: self._job(request.class_name, 0.64, nested_calls, on_done),
            on_answer,
        )

    # --- triggers ---

    def start_trigger(self, trigger: str, duration_us: int) -> None:
        """Start a disturbance that ends after `duration_us`."""
        if trigger == "burst":
            self.rate_factor = self.rng.uniform(2.0, 3.5)
            self.clock.after(duration_us, lambda: setattr(self, "rate_factor", 1.0))
        elif trigger == "failing":
            affected = self.rng.sample(sorted(self.outer), OUTER_ENDPOINTS // 2)
            for name in affected:
                self.outer[name].failure_rate = 0.8
                self.clock.after(duration_us, lambda e=self.outer[name]: setattr(e, "failure_rate", 0.0))  # type: ignore[misc]
        elif trigger == "replaced":
            for name in self.rng.sample(sorted(self.outer), OUTER_ENDPOINTS // 2):
                self.outer[name].is_alive = False
                self.clock.after(duration_us, lambda name=name: self._replace(name))  # type: ignore[misc]
        elif trigger == "slow":
            for endpoint in (*self.outer.values(), *self.inner.values()):
                endpoint.external_slowdown = 2.0
                self.clock.after(duration_us, lambda e=endpoint: setattr(e, "external_slowdown", 1.0))  # type: ignore[misc]

    def _replace(self, name: str) -> None:
        replacement = self._add_outer(self.clock.now)
        removed = list_entry(self.outer[name], self.cells[name], Readiness.REMOVED)
        for sidecar in self.sidecars:
            sidecar.apply_list(ListForm.DELTA, [removed, list_entry(replacement, self.cells[replacement.name])])

    # --- results ---

    def on_time(self, since: int, until: int) -> float:
        """Return the share of the requests sent in this period that were served within their latency objective."""
        objectives_us = {c.name: c.objective_us for c in CLASSES}
        requests = [request for request in self.requests if since <= request.sent_us < until]
        served_on_time = sum(
            bool(request.served_us) and request.served_us - request.sent_us <= objectives_us[request.class_name]
            for request in requests
        )
        return served_on_time / max(1, len(requests))


def simulate(seed: int, trigger: str, load: float) -> Result:
    """Run one fleet through one trigger; the same seed gives the same result."""
    fleet = Fleet(seed, load)
    clock = fleet.clock
    started_us = clock.now
    fleet.start()
    trigger_at = started_us + WARMUP_US
    clock.run(trigger_at)
    on_time_before = fleet.on_time(started_us + WARMUP_US // 2, trigger_at - 2 * S)
    duration_us = int(fleet.rng.uniform(1.0, 2.0) * S)
    fleet.start_trigger(trigger, duration_us)
    trigger_end = trigger_at + duration_us
    max_slow_endpoints = 0
    while clock.now < trigger_end + RECOVERY_LIMIT_US:
        clock.run(clock.now + 250 * MS)
        slow_endpoints = sum(e.is_slow for e in (*fleet.outer.values(), *fleet.inner.values()) if e.is_alive)
        max_slow_endpoints = max(max_slow_endpoints, slow_endpoints)
    recovery_us = RECOVERY_LIMIT_US
    for step in range(0, RECOVERY_LIMIT_US - 4 * S, S // 2):
        if fleet.on_time(trigger_end + step, trigger_end + step + 2 * S) >= 0.9 * on_time_before:
            recovery_us = step
            break
    return Result(
        seed,
        max_slow_endpoints,
        recovery_us,
        fleet.on_time(trigger_end, trigger_end + MEASURED_US),
        on_time_before,
        fleet.slow_mode.exit_window_us,
    )


def main() -> None:
    parser = argparse.ArgumentParser(prog="python -m benchmarks.overload_recovery", description=__doc__)
    parser.add_argument("--seeds", type=int, default=56)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--trigger", choices=TRIGGERS, action="append")
    parser.add_argument("--load", type=float, default=0.55, help="share of the smaller tier's capacity")
    parser.add_argument("--each", action="store_true", help="print the result of every seed")
    options = parser.parse_args()
    seeds = range(options.first, options.first + options.seeds)
    columns = ("seeds", "slow", "stuck", "median", "90%", "90%/win", "after", "before")
    print(f"{'trigger':<9}" + "".join(f"{column:>8}" for column in columns))
    with ProcessPoolExecutor(os.cpu_count()) as pool:
        for trigger in options.trigger or TRIGGERS:
            jobs = [pool.submit(simulate, seed, trigger, options.load) for seed in seeds]
            results = [job.result() for job in jobs]
            if options.each:
                for result in results:
                    print(
                        f"{result.seed:>6} {result.max_slow_endpoints:>3} slow {result.recovery_us / S:>5.1f} s "
                        f"{result.on_time_after:.2f} {result.on_time_before:.2f}"
                    )
            print_summary(trigger, results)


def print_summary(trigger: str, results: list[Result]) -> None:
    """Print the share of fleets with over two slow endpoints, the share of stuck ones, and recovery times and shares.

    The column "90%/win" has the recovery time over the endpoints' own `exit_window_us`, at the 90th percentile.
    """
    slow_share = sum(v.max_slow_endpoints > 2 for v in results) / len(results)
    stuck_share = sum(v.recovery_us > STUCK_US for v in results) / len(results)
    recovery_times_s = sorted(v.recovery_us / S for v in results)
    relative_times = sorted(v.recovery_us / v.exit_window_us for v in results)
    percentile_90_s = recovery_times_s[int(0.9 * (len(recovery_times_s) - 1))]
    print(
        f"{trigger:<9}{len(results):>8}{slow_share:>8.0%}{stuck_share:>8.0%}"
        f"{statistics.median(recovery_times_s):>6.1f} s{percentile_90_s:>6.1f} s"
        f"{relative_times[int(0.9 * (len(relative_times) - 1))]:>8.2f}"
        f"{statistics.mean(v.on_time_after for v in results):>8.3f}"
        f"{statistics.mean(v.on_time_before for v in results):>8.3f}"
    )


if __name__ == "__main__":
    main()
