"""Sidecars that run the real decision module in virtual time, and the requests of clients."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from benchmarks.overload_recovery.model import NETWORK_DELAY_US, Clock, Endpoint, Job
from eiderhub.balancer import Balancer
from eiderhub.interface import Endpoint as Listed
from eiderhub.interface import ListForm, LoadReport, Outcome, Readiness, Settings

ANSWER_MARGIN_US = 40_000  # answers are sent this long before a deadline, as in the sidecar's host
OUTCOMES = {"ok": Outcome.OK, "error": Outcome.ERROR, "full": Outcome.REJECTED, "down": Outcome.CONNECT_FAILED}
ANSWERED = frozenset((Outcome.OK, Outcome.ERROR, Outcome.REJECTED))  # outcomes of attempts that got an answer

Answer = Callable[[str], None]  # "served", "refused" or "failed"


@dataclass
class SidecarRequest:
    """A request that a sidecar has received."""

    call: str
    class_name: str
    make_job: Callable[[Callable[[str], None]], Job]
    answer_by_us: int  # on the virtual clock
    on_answer: Answer
    is_answered: bool = False
    open_attempts: dict[int, tuple[str, int]] = field(default_factory=dict)  # endpoint and time sent, by number
    attempt_count: int = 0


class Sidecar:
    """Implements the module's `Actions` on the virtual clock."""

    def __init__(
        self,
        clock: Clock,
        settings: Settings,
        seed: int,
        endpoints: dict[str, Endpoint],
        rng: random.Random,
        load_report_of: Callable[[str], LoadReport | None] = lambda endpoint: None,
    ) -> None:
        self.clock = clock
        self.load_report_of = load_report_of  # returns the load report that an answer of an endpoint carries
        self.endpoints = endpoints
        self.rng = rng
        self.requests: dict[str, SidecarRequest] = {}
        self.request_count = 0
        self.log_count = 0
        self.waits: dict[str, int] = {}
        self.balancer = Balancer(settings, seed, self)
        self.balancer.start(clock.now)

    def apply_list(self, form: ListForm, entries: list[Listed]) -> None:
        """Give the decision module a list from discovery."""
        self.balancer.discovery(self.clock.now, form, entries)

    def submit(
        self,
        class_name: str,
        tenant: str,
        time_left_us: int,
        make_job: Callable[[Callable[[str], None]], Job],
        on_answer: Answer,
    ) -> None:
        """Take a request. `make_job` makes the job of an attempt; `on_answer` gets the result, once."""
        self.request_count += 1
        call = f"{self.request_count:016x}"
        request = self.requests[call] = SidecarRequest(
            call, class_name, make_job, self.clock.now + time_left_us - ANSWER_MARGIN_US, on_answer
        )
        self.clock.after(time_left_us - ANSWER_MARGIN_US, lambda: self._out_of_time(request))
        self.balancer.order(self.clock.now, call, class_name, tenant, time_left_us, None)

    def _out_of_time(self, request: SidecarRequest) -> None:
        if self.requests.get(request.call) is not request:
            return
        for number in list(request.open_attempts):
            self._end_attempt(request, number, Outcome.TIMEOUT)
        if not request.is_answered:
            self._answer(request, "failed")
            self.balancer.expired(self.clock.now, request.call)
        self.requests.pop(request.call, None)

    def _answer(self, request: SidecarRequest, result: str) -> None:
        if not request.is_answered:
            request.is_answered = True
            request.on_answer(result)

    def _end_attempt(self, request: SidecarRequest, number: int, outcome: Outcome) -> None:
        attempt = request.open_attempts.pop(number, None)
        if attempt is None:
            return  # the attempt has ended already; its late answer is dropped
        if outcome is Outcome.OK:
            self._answer(request, "served")
        now = self.clock.now
        load = self.load_report_of(attempt[0]) if outcome in ANSWERED else None
        self.balancer.reply(now, request.call, number, attempt[0], now - attempt[1], request.is_answered, outcome, load)
        if request.is_answered and not request.open_attempts:
            self.requests.pop(request.call, None)

    # --- actions of the decision module ---

    def hand_off(self, call: str, endpoint: str, max_wait_us: int) -> None:
        request = self.requests[call]
        number, request.attempt_count = request.attempt_count, request.attempt_count + 1
        request.open_attempts[number] = (endpoint, self.clock.now)
        job = request.make_job(
            lambda result: self.clock.after(
                NETWORK_DELAY_US, lambda: self._end_attempt(request, number, OUTCOMES[result])
            )
        )
        self.clock.after(NETWORK_DELAY_US, lambda: self.endpoints[endpoint].arrive(job, self.rng))
        if max_wait_us:
            self.clock.after(max_wait_us, lambda: self._end_attempt(request, number, Outcome.TIMEOUT))

    def cancel(self, call: str, attempt: int) -> None:
        request = self.requests.get(call)
        if request is not None:
            self.clock.after(0, lambda: self._end_attempt(request, attempt, Outcome.CANCELLED))

    def shed(self, call: str, wait_us: int) -> None:
        self._answer(self.requests[call], "refused")

    def surrender(self, call: str) -> None:
        self._answer(self.requests[call], "failed")

    def timer(self, delay_us: int, mark: str) -> None:
        self.clock.after(delay_us, lambda: self.balancer.wake(self.clock.now, mark))

    def tail(self, on: bool) -> None:
        pass

    def disconnect(self, endpoint: str) -> None:
        pass

    def write_log(self, text: str) -> None:
        self.log_count += 1


def list_entry(endpoint: Endpoint, cell: int, readiness: Readiness = Readiness.READY) -> Listed:
    """Return the entry of an endpoint in a list from discovery."""
    return Listed(endpoint.name, "z", "m", cell, readiness, 1.0, endpoint.started_us)


@dataclass
class ClientRequest:
    """A request of a client, including its retries; times are on the virtual clock."""

    class_name: str
    sent_us: int
    worth: float
    served_us: int = 0  # 0: not served
    is_finished: bool = False
