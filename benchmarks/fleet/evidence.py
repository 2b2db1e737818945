"""Sidecars with little load and one endpoint that fails fast: calls lost to it with and without shared evidence.

Runs the real decision module and the real protocol in virtual time. The two simulations of a seed differ only in
whether evidence is shared.
"""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import dataclass, field

from eiderhub.balancer import Balancer
from eiderhub.fleet.evidence import EndpointStart
from eiderhub.fleet.protocol import ProtocolConfig
from eiderhub.interface import Effect, Endpoint, Limits, ListForm, Outcome, Readiness, RequestClass, Settings
from standins.fleet.virtual import World

US_PER_S = 1_000_000
US_PER_MS = 1000
ENDPOINTS = 20
REQUESTS_PER_S = 1.0  # at each sidecar
WARM_UP_S, MEASURED_S = 20.0, 30.0
WINDOW_S = 3.0
LOW_SHARE = 0.1  # relative to an even share
SETTINGS = Settings(
    classes=(RequestClass("look", US_PER_S, 3 * US_PER_S, Effect.IDEMPOTENT),), zone="a", limits=Limits(max_attempts=3)
)


@dataclass
class Sidecar:
    """One decision module and its host, with random arrivals and simulated endpoints."""

    number: int
    simulation: Simulation
    attempts: dict[str, int] = field(default_factory=dict)  # by call
    calls_started: int = 0

    def __post_init__(self) -> None:
        seed = self.simulation.seed * 1000 + self.number
        self.rng = random.Random(seed)
        settings = Settings(
            classes=SETTINGS.classes,
            zone="a",
            limits=SETTINGS.limits,
            rank=self.number,
            balancers=self.simulation.count,
        )
        self.balancer = Balancer(settings, seed, self)
        self.balancer.start(self.simulation.world.now)
        self.balancer.discovery(self.simulation.world.now, ListForm.CACHED, self.simulation.endpoints)

    def arrive(self) -> None:
        self.calls_started += 1
        self.balancer.order(self.simulation.world.now, f"{self.calls_started}", "look", None, 3 * US_PER_S, None)
        self.simulation.world.at(self.rng.expovariate(REQUESTS_PER_S), self.arrive)

    def hand_off(self, call: str, endpoint: str, max_wait_us: int) -> None:
        number = self.attempts.get(call, 0)
        self.attempts[call] = number + 1
        is_failing = endpoint in self.simulation.failing
        self.simulation.count_call(endpoint, first=number == 0)
        latency_us = 2 * US_PER_MS if is_failing else int(self.rng.uniform(20, 80) * US_PER_MS)
        outcome = Outcome.ERROR if is_failing else Outcome.OK

        def end() -> None:
            now = self.simulation.world.now
            self.simulation.world.members[self.number].evidence.record(now, EndpointStart(endpoint, 0), outcome)
            self.balancer.reply(now, call, number, endpoint, latency_us, outcome is Outcome.OK, outcome)

        self.simulation.world.at(latency_us / US_PER_S, end)

    def apply_evidence(self) -> None:
        if self.simulation.shares_evidence:
            store = self.simulation.world.members[self.number].evidence
            self.balancer.hearsay(
                self.simulation.world.now, store.kept_shares(self.simulation.world.now, self.simulation.pool)
            )
        self.simulation.world.at(0.25, self.apply_evidence)

    def cancel(self, call: str, attempt: int) -> None: ...
    def shed(self, call: str, wait_us: int) -> None:
        self.simulation.refused += 1

    def surrender(self, call: str) -> None:
        self.simulation.refused += 1

    def timer(self, delay_us: int, mark: str) -> None:
        self.simulation.world.at(delay_us / US_PER_S, lambda: self.balancer.wake(self.simulation.world.now, mark))

    def tail(self, on: bool) -> None: ...
    def disconnect(self, endpoint: str) -> None: ...
    def write_log(self, text: str) -> None: ...


class Simulation:
    """One fleet that warms up until one endpoint begins to fail, or `liars` members begin to report falsely."""

    def __init__(self, seed: int, count: int, shares_evidence: bool, liars: int = 0) -> None:
        self.seed, self.count, self.shares_evidence = seed, count, shares_evidence
        self.endpoints = [Endpoint(f"s-{i}", "a", "m", 0, Readiness.READY) for i in range(ENDPOINTS)]
        self.pool = [EndpointStart(endpoint.id, 0) for endpoint in self.endpoints]
        self.world = World(count, seed, ProtocolConfig(shares_evidence=shares_evidence))
        self.world.start_all(count)
        self.failing: set[str] = set()
        self.calls: list[tuple[int, str]] = []  # time and endpoint of each first attempt
        self.refused = 0
        self.sidecars = [Sidecar(i, self) for i in range(count)]
        for sidecar in self.sidecars:
            self.world.at(sidecar.rng.expovariate(REQUESTS_PER_S), sidecar.arrive)
            self.world.at(sidecar.rng.random() / 4, sidecar.apply_evidence)
        self.liars = liars

    def count_call(self, endpoint: str, first: bool) -> None:
        if first:
            self.calls.append((self.world.now, endpoint))

    def report_falsely(self) -> None:
        """Let the first members report every second that all endpoints fail."""
        for number in range(self.liars):
            store = self.world.members[number].evidence
            for endpoint in self.pool:
                for _ in range(2):
                    store.record(self.world.now, endpoint, Outcome.ERROR)
        self.world.at(1.0, self.report_falsely)

    def run(self, fails: bool = True) -> None:
        self.world.run(WARM_UP_S)
        if fails:
            self.failing.add("s-3")
        if self.liars:
            self.report_falsely()
        self.failed_at_us = self.world.now
        self.world.run(MEASURED_S)

    def failing_calls(self) -> int:
        """Return the calls whose first attempt went to the failing endpoint."""
        return sum(at >= self.failed_at_us and endpoint in self.failing for at, endpoint in self.calls)

    def seconds_to_low_share(self) -> float:
        """Return when the failing endpoint's share of calls was first below LOW_SHARE for a whole window."""
        at = 0.0
        while at < MEASURED_S - WINDOW_S:
            start, end = self.failed_at_us + int(at * US_PER_S), self.failed_at_us + int((at + WINDOW_S) * US_PER_S)
            window = [endpoint for t, endpoint in self.calls if start <= t < end]
            if sum(e in self.failing for e in window) < LOW_SHARE * len(window) / ENDPOINTS:
                return at
            at += 0.25
        return MEASURED_S

    def min_share(self) -> float:
        """Return the lowest share of calls of any endpoint in the measured time, relative to an even share."""
        called = [endpoint for t, endpoint in self.calls if t >= self.failed_at_us]
        return min(called.count(e.id) for e in self.endpoints) * ENDPOINTS / max(1, len(called))


def run_pairs(seeds: Sequence[int], count: int) -> list[tuple[Simulation, Simulation]]:
    """Run a simulation with and one without shared evidence for each seed."""
    pairs = []
    for seed in seeds:
        pair = Simulation(seed, count, True), Simulation(seed, count, False)
        for simulation in pair:
            simulation.run()
        pairs.append(pair)
    return pairs
