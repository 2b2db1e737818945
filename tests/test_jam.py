"""The model of the jam rig: what tips an endpoint, what brings it back, and that a seed says all."""

from __future__ import annotations

import random

import pytest

from benchmarks.jam.__main__ import play
from benchmarks.jam.fleet import Sidecar, entry
from benchmarks.jam.world import MS, Clock, Endpoint, Job, S, Tipping
from eiderhub.interface import Effect, ListForm, RequestClass, Settings

TIPPING = Tipping(at=5.0, over_us=2 * S, slower=3.0, rest_us=4 * S, below=0.3, most_us=20 * S)


class World:
    """One endpoint that is sent a steady load."""

    def __init__(self) -> None:
        self.clock = Clock()
        self.endpoint = Endpoint(self.clock, "e", 2, 1.0, 20, 40, TIPPING, None)
        self.begun = self.clock.now
        self.told: list[str] = []

    def load(self, rate: float, seconds: float) -> None:
        for i in range(int(rate * seconds)):
            job = Job("x", 100 * MS, 0, 0, self.told.append)
            self.clock.after(int(i / rate * S), lambda job=job: self.endpoint.arrive(job, random.Random(1)))  # type: ignore[misc]
        self.clock.run(self.clock.now + int(seconds * S))


def test_an_endpoint_tips_when_crowded_for_long_and_not_by_a_short_burst() -> None:
    world = World()
    world.load(15, 10)
    assert not world.endpoint.slow
    world.load(40, 0.4)
    world.load(0, 3)
    assert not world.endpoint.slow
    world.load(40, 3)
    assert world.endpoint.slow


def test_the_load_that_it_bore_before_keeps_it_slow_and_rest_brings_it_back() -> None:
    world = World()
    world.load(40, 3)
    world.load(15, 8)  # borne with ease before
    assert world.endpoint.slow
    world.load(0, 12)  # what waits has to end first
    assert not world.endpoint.slow
    world.load(15, 5)
    assert not world.endpoint.slow


def test_it_comes_back_when_the_longest_time_is_up_and_tips_again_while_it_is_crowded() -> None:
    world = World()
    world.load(40, 3)
    first = world.endpoint.slow_since
    world.load(15, 22)
    assert world.endpoint.slow
    assert world.endpoint.slow_since > first + TIPPING.most_us


def test_full_failing_and_gone_endpoints_answer_at_once() -> None:
    world = World()
    world.load(1000, 0.1)
    assert world.told.count("full") == 40
    world.endpoint.failing = 1.0
    world.load(10, 0.1)
    world.endpoint.alive = False
    world.load(10, 0.1)
    assert world.told[-2:].count("down") == 1
    assert "error" in world.told


@pytest.mark.parametrize("kind", ["burst", "replaced"])
def test_a_seed_says_all(kind: str) -> None:
    assert play(5, kind, 0.3) == play(5, kind, 0.3)


def test_with_little_load_nothing_tips_and_all_is_on_time() -> None:
    verdict = play(5, "none", 0.3)
    assert (verdict.tipped, verdict.recovery_us) == (0, 0)
    assert verdict.spell > 0.95


def test_a_sidecar_of_the_rig_ends_an_attempt_when_the_module_waits_no_longer() -> None:
    """A rig that went on waiting would flatter a module that gives up on what is worth nothing."""
    clock = Clock()
    hung = Endpoint(clock, "e", 1, 1.0, 4, 4, None, None)
    grade = RequestClass("x", 500 * MS, 2 * S, Effect.AT_MOST_ONCE)
    sidecar = Sidecar(clock, Settings([grade]), 1, {"e": hung}, random.Random(1))
    sidecar.listed(ListForm.FULL, [entry(hung, 0)])
    told: list[tuple[str, int]] = []
    begun = clock.now
    sidecar.take(
        "x", "", 2 * S, lambda done: Job("x", 10 * S, 0, 0, done), lambda word: told.append((word, clock.now - begun))
    )
    clock.run(clock.now + 3 * S)
    assert told == [("failed", 500 * MS)]
