"""Does a trigger of 1 to 2 s leave the fleet jammed? Many seeds, each a fleet of its own.

    python -m benchmarks.jam [--seeds 56] [--trigger burst|failing|replaced|slow|none]

For each seed: how many endpoints had tipped at once, how long after the trigger's end the fleet served as before, and
the share served on time in the spell that follows. `slow` (all endpoints slow from outside) and `none` are there for
what a remedy must leave alone.
"""

from __future__ import annotations

import argparse
import os
import random
import statistics
from concurrent.futures import ProcessPoolExecutor
from typing import NamedTuple

from benchmarks.jam.fleet import Asked, Sidecar, entry
from benchmarks.jam.world import MS, Clock, Endpoint, Job, S, Tipping
from eiderhub.interface import DedupScope, Effect, Limits, ListForm, Readiness, RequestClass, Rules, Settings, Tenant

TRIGGERS = ("burst", "failing", "replaced", "slow", "none")
OUTER, INNER, SIDECARS = 12, 15, 6
BEFORE_US, AFTER_US = 12 * S, 26 * S  # of the trigger: to learn in, and to recover in
SPELL_US = 15 * S  # after the trigger's end: the share served on time is taken over this
JAMMED_US = 5 * S
CLASSES = (
    RequestClass(
        "reserva", 1000 * MS, 2500 * MS, Effect.DEDUPLICATED, DedupScope.CELL, 4000 * MS, late_worth_share=0.5
    ),
    RequestClass("despacho", 2500 * MS, 6000 * MS, Effect.AT_MOST_ONCE, late_worth_share=0.25),
)
WORK_MS = {"reserva": (66, 120), "despacho": (150, 280)}
IO_MS = {"reserva": (47, 87), "despacho": (210, 400)}
SHARES = {"andes": 0.43, "pacifico": 0.19, "norte": 0.19, "sur": 0.19}


class Verdict(NamedTuple):
    seed: int
    tipped: int  # endpoints that were slow at once, at the most, of both tiers
    recovery_us: int  # from the trigger's end to serving as before; AFTER_US: never
    spell: float  # share served on time in the spell
    usual: float  # and before the trigger
    rest_us: int  # the longest rest that any endpoint of this fleet needs


class Fleet:
    """One world, drawn from a seed."""

    def __init__(self, seed: int, load: float) -> None:
        self.chance = random.Random(seed)
        self.clock = Clock()
        draw = self.chance.uniform
        self.tipping = Tipping(
            draw(4, 7), int(draw(1.5, 2.5) * S), draw(2.1, 3.4), int(draw(3.3, 4.9) * S), draw(0.25, 0.4),
            int(draw(15, 32) * S),
        )  # fmt: skip
        self.means = {g: (draw(*WORK_MS[g]) * MS, draw(*IO_MS[g]) * MS) for g in WORK_MS}
        self.calls = draw(1.5, 2.5)
        self.retries = self.chance.randint(2, 3)
        self.try_share = draw(0.5, 0.6)
        self.wait_us = int(self.chance.choice([0.0, draw(50, 400)]) * MS)
        self.asked: list[Asked] = []
        self.names = 0
        self.inner = {e.name: e for e in (self._endpoint(None) for _ in range(INNER))}
        self.outer: dict[str, Endpoint] = {}
        self.cells: dict[str, int] = {}
        for _ in range(OUTER):
            self._add_outer()
        rate = sum(e.cores * e.speed for e in self.outer.values()) / (0.64 * self._mean_work() / S)
        inside = sum(e.cores * e.speed for e in self.inner.values()) / (0.36 * self.calls * self._mean_work() / S)
        self.rate = load * min(rate, inside)
        settings = self._settings(0, SIDECARS)
        self.sidecars = [
            Sidecar(self.clock, settings, seed * 100 + i, self.outer, self.chance) for i in range(SIDECARS)
        ]
        for number, sidecar in enumerate(self.sidecars):
            sidecar.balancer.settings = self._settings(0, SIDECARS, number)
            sidecar.listed(ListForm.CACHED, [entry(e, self.cells[e.name]) for e in self.outer.values()])

    def _mean_work(self) -> float:
        return 0.55 * self.means["reserva"][0] + 0.45 * self.means["despacho"][0]

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

    def _endpoint(self, call: object) -> Endpoint:
        draw = self.chance.uniform
        self.names += 1
        fast = self.chance.random() < 0.49
        cores = 2 if fast else 3
        speed = draw(0.85, 1.1) if fast else draw(0.51, 0.69)
        slots, room = int(cores * draw(7, 17)), int(cores * draw(9, 37))
        return Endpoint(
            self.clock,
            f"e{self.names:04d}",
            cores,
            speed,
            slots,
            room,
            self.tipping,
            call,  # type: ignore[arg-type]
        )

    def _add_outer(self, born: int = 0) -> Endpoint:
        endpoint = self._endpoint(None)
        endpoint.born = born
        self.outer[endpoint.name] = endpoint
        self.cells[endpoint.name] = len(self.cells) // 6
        inside: list[Sidecar] = []

        def call(job: Job, back: object) -> None:
            if not inside:
                number = len(self.cells)
                made = Sidecar(self.clock, self._settings(1, OUTER, number % OUTER), number, self.inner, self.chance)
                made.listed(ListForm.CACHED, [entry(e, i // 6) for i, e in enumerate(self.inner.values())])
                inside.append(made)
            left = next(c.deadline_us for c in CLASSES if c.name == job.grade) // 2
            inside[0].take(
                job.grade, "", left, lambda done: self._job(job.grade, 0.36, 0, done),
                lambda word: back(word == "served"),  # type: ignore[operator]
            )  # fmt: skip

        endpoint.call = call
        return endpoint

    def _job(self, grade: str, part: float, calls: int, done: object) -> Job:
        work, io = self.means[grade]
        spread = self.chance.lognormvariate(-0.08, 0.4)
        return Job(grade, part * work * spread, int(part * io * spread), calls, done)  # type: ignore[arg-type]

    # --- clients ---

    def start(self) -> None:
        self._next()

    def _next(self) -> None:
        grade = "reserva" if self.chance.random() < 0.55 else "despacho"
        tenant = self.chance.choices(list(SHARES), list(SHARES.values()))[0]
        one = Asked(grade, self.clock.now, 1.0)
        self.asked.append(one)
        whole = next(c for c in CLASSES if c.name == grade).deadline_us
        self._try(one, tenant, whole, self.retries)
        self.clock.after(int(self.chance.expovariate(self.rate * self.surge) * S), self._next)

    surge = 1.0

    def _try(self, one: Asked, tenant: str, whole: int, retries: int) -> None:
        left = min(int(whole * self.try_share), one.at + whole - self.clock.now)
        if left < 100 * MS:
            return
        calls = int(self.calls) + (self.chance.random() < self.calls % 1)

        def answered(word: str) -> None:
            if word == "served":
                one.served_at = one.served_at or self.clock.now
            elif word == "refused" and retries:
                self.clock.after(self.wait_us, lambda: self._try(one, tenant, whole, retries - 1))

        self.chance.choice(self.sidecars).take(
            one.grade, tenant, left, lambda done: self._job(one.grade, 0.64, calls, done), answered
        )

    # --- triggers ---

    def trigger(self, kind: str, length: int) -> None:
        """What goes wrong for so long, and is over then."""
        if kind == "burst":
            self.surge = self.chance.uniform(2.0, 3.5)
            self.clock.after(length, lambda: setattr(self, "surge", 1.0))
        elif kind == "failing":
            ill = self.chance.sample(sorted(self.outer), OUTER // 2)
            for name in ill:
                self.outer[name].failing = 0.8
                self.clock.after(length, lambda e=self.outer[name]: setattr(e, "failing", 0.0))  # type: ignore[misc]
        elif kind == "replaced":
            for name in self.chance.sample(sorted(self.outer), OUTER // 2):
                self.outer[name].alive = False
                self.clock.after(length, lambda name=name: self._replace(name))  # type: ignore[misc]
        elif kind == "slow":
            for endpoint in (*self.outer.values(), *self.inner.values()):
                endpoint.factor = 2.0
                self.clock.after(length, lambda e=endpoint: setattr(e, "factor", 1.0))  # type: ignore[misc]

    def _replace(self, name: str) -> None:
        fresh = self._add_outer(self.clock.now)
        gone = entry(self.outer[name], self.cells[name], Readiness.REMOVED)
        for sidecar in self.sidecars:
            sidecar.listed(ListForm.DELTA, [gone, entry(fresh, self.cells[fresh.name])])

    # --- what came of it ---

    def on_time(self, since: int, until: int) -> float:
        aims = {c.name: c.objective_us for c in CLASSES}
        spell = [one for one in self.asked if since <= one.at < until]
        good = sum(bool(one.served_at) and one.served_at - one.at <= aims[one.grade] for one in spell)
        return good / max(1, len(spell))


def play(seed: int, kind: str, load: float) -> Verdict:
    """One world through one trigger; the same seed gives the same verdict."""
    fleet = Fleet(seed, load)
    clock = fleet.clock
    begun = clock.now
    fleet.start()
    at = begun + BEFORE_US
    clock.run(at)
    usual = fleet.on_time(begun + BEFORE_US // 2, at - 2 * S)
    length = int(fleet.chance.uniform(1.0, 2.0) * S)
    fleet.trigger(kind, length)
    end = at + length
    tipped = 0
    while clock.now < end + AFTER_US:
        clock.run(clock.now + 250 * MS)
        slow = sum(e.slow for e in (*fleet.outer.values(), *fleet.inner.values()) if e.alive)
        tipped = max(tipped, slow)
    recovered = AFTER_US
    for step in range(0, AFTER_US - 4 * S, S // 2):
        if fleet.on_time(end + step, end + step + 2 * S) >= 0.9 * usual:
            recovered = step
            break
    return Verdict(seed, tipped, recovered, fleet.on_time(end, end + SPELL_US), usual, fleet.tipping.rest_us)


def main() -> None:
    parser = argparse.ArgumentParser(prog="python -m benchmarks.jam", description=__doc__)
    parser.add_argument("--seeds", type=int, default=56)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--trigger", choices=TRIGGERS, action="append")
    parser.add_argument("--load", type=float, default=0.55, help="share of what the scarcer tier can do")
    parser.add_argument("--each", action="store_true", help="print every seed")
    options = parser.parse_args()
    seeds = range(options.first, options.first + options.seeds)
    columns = ("seeds", "tipped", "jammed", "median", "90%", "x rest", "spell", "usual")
    print(f"{'trigger':<9}" + "".join(f"{column:>8}" for column in columns))
    with ProcessPoolExecutor(os.cpu_count()) as pool:
        for kind in options.trigger or TRIGGERS:
            jobs = [pool.submit(play, seed, kind, options.load) for seed in seeds]
            found = [job.result() for job in jobs]
            if options.each:
                for v in found:
                    print(f"{v.seed:>6} {v.tipped:>3} slow {v.recovery_us / S:>5.1f} s {v.spell:.2f} {v.usual:.2f}")
            summary(kind, found)


def summary(kind: str, found: list[Verdict]) -> None:
    tipped = sum(v.tipped > 2 for v in found) / len(found)
    jammed = sum(v.recovery_us > JAMMED_US for v in found) / len(found)
    times = sorted(v.recovery_us / S for v in found)
    rests = sorted(v.recovery_us / v.rest_us for v in found)
    tail = times[int(0.9 * (len(times) - 1))]
    print(
        f"{kind:<9}{len(found):>8}{tipped:>8.0%}{jammed:>8.0%}{statistics.median(times):>6.1f} s{tail:>6.1f} s"
        f"{rests[int(0.9 * (len(rests) - 1))]:>8.2f}{statistics.mean(v.spell for v in found):>8.3f}"
        f"{statistics.mean(v.usual for v in found):>8.3f}"
    )


if __name__ == "__main__":
    main()
