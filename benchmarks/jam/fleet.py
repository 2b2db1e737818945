"""Sidecars that run the real decision module in virtual time, and clients that retry."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from benchmarks.jam.world import NET_US, Clock, Endpoint, Job
from eiderhub.balancer import Balancer
from eiderhub.interface import Endpoint as Listed
from eiderhub.interface import ListForm, LoadReport, Outcome, Readiness, Settings

MARGIN_US = 40_000  # answers leave this long before a deadline, as the real host has it
OUTCOMES = {"ok": Outcome.OK, "error": Outcome.ERROR, "full": Outcome.REJECTED, "down": Outcome.CONNECT_FAILED}
ANSWERED = frozenset((Outcome.OK, Outcome.ERROR, Outcome.REJECTED))  # what came back with an answer

Answer = Callable[[str], None]  # "served", "refused" or "failed"


@dataclass
class Try:
    """One request at a sidecar."""

    call: str
    grade: str
    job: Callable[[Callable[[str], None]], Job]
    due: int
    answer: Answer
    answered: bool = False
    open: dict[int, tuple[str, int]] = field(default_factory=dict)  # attempts that are out: endpoint, when sent
    count: int = 0


class Sidecar:
    """Implements the module's `Actions` on the virtual clock."""

    def __init__(
        self,
        clock: Clock,
        settings: Settings,
        seed: int,
        endpoints: dict[str, Endpoint],
        chance: random.Random,
        told: Callable[[str], LoadReport | None] = lambda endpoint: None,
    ) -> None:
        self.clock = clock
        self.told = told  # the load report that an answer of this endpoint carries now
        self.endpoints = endpoints
        self.chance = chance
        self.tries: dict[str, Try] = {}
        self.serial = 0
        self.logged = 0
        self.waits: dict[str, int] = {}
        self.balancer = Balancer(settings, seed, self)
        self.balancer.start(clock.now)

    def listed(self, form: ListForm, entries: list[Listed]) -> None:
        self.balancer.discovery(self.clock.now, form, entries)

    def take(
        self, grade: str, tenant: str, left_us: int, job: Callable[[Callable[[str], None]], Job], answer: Answer
    ) -> None:
        self.serial += 1
        call = f"{self.serial:016x}"
        one = self.tries[call] = Try(call, grade, job, self.clock.now + left_us - MARGIN_US, answer)
        self.clock.after(left_us - MARGIN_US, lambda: self._out_of_time(one))
        self.balancer.order(self.clock.now, call, grade, tenant, left_us, None)

    def _out_of_time(self, one: Try) -> None:
        if self.tries.get(one.call) is not one:
            return
        for number in list(one.open):
            self._ended(one, number, Outcome.TIMEOUT)
        if not one.answered:
            self._answer(one, "failed")
            self.balancer.expired(self.clock.now, one.call)
        self.tries.pop(one.call, None)

    def _answer(self, one: Try, word: str) -> None:
        if not one.answered:
            one.answered = True
            one.answer(word)

    def _ended(self, one: Try, number: int, outcome: Outcome) -> None:
        found = one.open.pop(number, None)
        if found is None:
            return  # given up on: what comes now reaches nobody
        if outcome is Outcome.OK:
            self._answer(one, "served")
        now = self.clock.now
        load = self.told(found[0]) if outcome in ANSWERED else None
        self.balancer.reply(now, one.call, number, found[0], now - found[1], one.answered, outcome, load)
        if one.answered and not one.open:
            self.tries.pop(one.call, None)

    # --- the module's actions ---

    def hand_off(self, call: str, endpoint: str, max_wait_us: int) -> None:
        one = self.tries[call]
        number, one.count = one.count, one.count + 1
        one.open[number] = (endpoint, self.clock.now)
        job = one.job(lambda word: self.clock.after(NET_US, lambda: self._ended(one, number, OUTCOMES[word])))
        self.clock.after(NET_US, lambda: self.endpoints[endpoint].arrive(job, self.chance))
        if max_wait_us:
            self.clock.after(max_wait_us, lambda: self._ended(one, number, Outcome.TIMEOUT))

    def cancel(self, call: str, attempt: int) -> None:
        one = self.tries.get(call)
        if one is not None:
            self.clock.after(0, lambda: self._ended(one, attempt, Outcome.CANCELLED))

    def shed(self, call: str, wait_us: int) -> None:
        self._answer(self.tries[call], "refused")

    def surrender(self, call: str) -> None:
        self._answer(self.tries[call], "failed")

    def timer(self, delay_us: int, mark: str) -> None:
        self.clock.after(delay_us, lambda: self.balancer.wake(self.clock.now, mark))

    def tail(self, on: bool) -> None:
        pass

    def disconnect(self, endpoint: str) -> None:
        pass

    def write_log(self, text: str) -> None:
        self.logged += 1


def entry(endpoint: Endpoint, cell: int, readiness: Readiness = Readiness.READY) -> Listed:
    return Listed(endpoint.name, "z", "m", cell, readiness, 1.0, endpoint.born)


@dataclass
class Asked:
    """One request of a client, with all its tries."""

    grade: str
    at: int
    worth: float
    served_at: int = 0
    over: bool = False
