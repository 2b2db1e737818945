"""The overload simulation: when endpoints become slow and recover, and that a seed determines the result."""

from __future__ import annotations

import random

import pytest

from benchmarks.overload_recovery.__main__ import simulate
from benchmarks.overload_recovery.model import MS, Clock, Endpoint, Job, S, SlowMode
from benchmarks.overload_recovery.sidecars import Sidecar, list_entry
from eiderhub.interface import Effect, ListForm, RequestClass, Settings

SLOW_MODE = SlowMode(
    excess_per_root_core=5.0,
    entry_window_us=2 * S,
    slowdown=3.0,
    exit_window_us=4 * S,
    exit_load=0.3,
    max_duration_us=20 * S,
)


class SingleEndpoint:
    """An endpoint under a constant load."""

    def __init__(self) -> None:
        self.clock = Clock()
        self.endpoint = Endpoint(self.clock, "e", 2, 1.0, 20, 40, SLOW_MODE, None)
        self.started_us = self.clock.now
        self.results: list[str] = []

    def load(self, rate: float, seconds: float) -> None:
        """Send `rate` requests a second for `seconds`."""
        for i in range(int(rate * seconds)):
            job = Job("x", 100 * MS, 0, 0, self.results.append)
            self.clock.after(int(i / rate * S), lambda job=job: self.endpoint.arrive(job, random.Random(1)))  # type: ignore[misc]
        self.clock.run(self.clock.now + int(seconds * S))


def test_endpoint_becomes_slow_under_long_overload_but_not_after_a_short_burst() -> None:
    simulation = SingleEndpoint()
    simulation.load(15, 10)
    assert not simulation.endpoint.is_slow
    simulation.load(40, 0.4)
    simulation.load(0, 3)
    assert not simulation.endpoint.is_slow
    simulation.load(40, 3)
    assert simulation.endpoint.is_slow


def test_slow_endpoint_stays_slow_under_its_former_load_and_recovers_when_idle() -> None:
    simulation = SingleEndpoint()
    simulation.load(40, 3)
    simulation.load(15, 8)  # harmless to an endpoint that is not slow
    assert simulation.endpoint.is_slow
    simulation.load(0, 12)  # time to finish the queue first
    assert not simulation.endpoint.is_slow
    simulation.load(15, 5)
    assert not simulation.endpoint.is_slow


def test_endpoint_recovers_after_the_maximum_duration_and_becomes_slow_again_under_overload() -> None:
    simulation = SingleEndpoint()
    simulation.load(40, 3)
    first_slow_since = simulation.endpoint.slow_since
    simulation.load(15, 22)
    assert simulation.endpoint.is_slow
    assert simulation.endpoint.slow_since > first_slow_since + SLOW_MODE.max_duration_us


def test_full_failing_and_dead_endpoints_respond_at_once() -> None:
    simulation = SingleEndpoint()
    simulation.load(1000, 0.1)
    assert simulation.results.count("full") == 40
    simulation.endpoint.failure_rate = 1.0
    simulation.load(10, 0.1)
    simulation.endpoint.is_alive = False
    simulation.load(10, 0.1)
    assert simulation.results[-2:].count("down") == 1
    assert "error" in simulation.results


@pytest.mark.parametrize("trigger", ["burst", "replaced"])
def test_seed_determines_the_result(trigger: str) -> None:
    assert simulate(5, trigger, 0.3) == simulate(5, trigger, 0.3)


def test_no_endpoint_becomes_slow_and_requests_are_on_time_under_little_load() -> None:
    result = simulate(5, "none", 0.3)
    assert (result.max_slow_endpoints, result.recovery_us) == (0, 0)
    assert result.on_time_after > 0.95


def test_sidecar_of_the_simulation_ends_an_attempt_when_its_max_wait_is_over() -> None:
    """A simulation that went on waiting would overrate a module that gives up attempts of no further value."""
    clock = Clock()
    hung = Endpoint(clock, "e", 1, 1.0, 4, 4, None, None)
    request_class = RequestClass("x", 500 * MS, 2 * S, Effect.AT_MOST_ONCE)
    sidecar = Sidecar(clock, Settings([request_class]), 1, {"e": hung}, random.Random(1))
    sidecar.apply_list(ListForm.FULL, [list_entry(hung, 0)])
    results: list[tuple[str, int]] = []
    started_us = clock.now
    sidecar.submit(
        "x",
        "",
        2 * S,
        lambda on_done: Job("x", 10 * S, 0, 0, on_done),
        lambda result: results.append((result, clock.now - started_us)),
    )
    clock.run(clock.now + 3 * S)
    assert results == [("failed", 500 * MS)]
