"""The host of the decision module: carries out its actions and tells it what happens. It decides nothing.

It holds what the module must not be able to lose: each request has one final answer, and an alarm that
gives it one in time whatever becomes of the module, the endpoints or the network.
"""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Callable, Mapping
from functools import partial
from typing import Any

from eiderhub.balancer import Balancer
from eiderhub.interface import Discovery, ListForm, Outcome, Readiness
from eiderhub.membership.endpoint_list import ListedEndpoint
from eiderhub.membership.poll_schedule import MIN_GRACE_US, PollSchedule
from eiderhub.membership.watch_suspicion import WatchSuspicion
from eiderhub.routing.plan import default_plan
from eiderhub.sidecar.clock import Timer, now_us
from eiderhub.sidecar.config import Config
from eiderhub.sidecar.discovery import Watcher
from eiderhub.sidecar.protocol_interface import NO_REPLY, Caller, FailureReason, Payload, Reply
from eiderhub.sidecar.resource_limits import ANSWER_MARGIN_US, ByteBudget
from eiderhub.sidecar.upstream import Attempt, Upstream

AGENT_WAIT_US = 2_000_000  # how long a new process waits for the agent's list before it serves from the known one
log = logging.getLogger(__name__)


class Request:
    """One request that was taken, and its attempts."""

    __slots__ = (
        "alarm",
        "answered",
        "attempts",
        "call",
        "caller",
        "class_name",
        "deadline_us",
        "due_us",
        "hint_us",
        "out",
        "payload",
        "tenant",
    )  # fmt: skip

    def __init__(
        self,
        caller: Caller,
        class_name: str,
        tenant: str | None,
        hint_us: int | None,
        deadline_us: int,
        payload: Payload,
    ) -> None:
        self.caller = caller
        self.class_name = class_name
        self.tenant = tenant
        self.hint_us = hint_us
        self.deadline_us = deadline_us  # when the client gives up
        self.due_us = deadline_us - ANSWER_MARGIN_US  # when the answer leaves at the latest
        self.payload = payload  # what goes on to endpoints
        self.call = ""
        self.attempts: list[Attempt] = []
        self.out = 0  # attempts that have not ended
        self.answered = False
        self.alarm: Timer | None = None


class Host:
    """Implements the module's `Actions` and feeds its `Events`."""

    def __init__(self, config: Config) -> None:
        self.plan = config.plan or default_plan(config.settings)
        settings = self.plan.settings
        self.settings = settings
        self.max_deadline_s = max(c.deadline_us for c in settings.classes) / 1e6
        self.requests: dict[str, Request] = {}
        self.accepted_count = 0
        self.listed = False  # whether any list has named endpoints
        self.informed = settings.discovery is not Discovery.PUSH  # whether what an agent has need not be waited for
        self.closing = False  # the process ends: whoever still comes is told to go elsewhere
        self.budget = ByteBudget(config.bounds.buffered_bytes)  # for requests and answers alike
        self.upstream = Upstream(
            settings.limits.conn_idle_us,
            settings.limits.connect_timeout_us,
            config.bounds.endpoint_connections,
            self.budget,
        )
        self.upstream.refused = self._refused
        self.list_receiver = self.on_list  # what hears lists: the host, or what joins them with those of other sources
        self.outcome_listener: Callable[[str, Outcome], None] | None = None  # who else is told how attempts end
        self.watcher = self._watcher(config) if config.discovery else None
        self.balancer = Balancer(settings, config.seed, self)
        self.known = config.known

    def _watcher(self, config: Config) -> Watcher:
        assert config.discovery is not None
        return Watcher(
            config.discovery.host,
            config.discovery.port,
            config.known.generation,
            PollSchedule(
                self.settings.discovery is Discovery.PUSH,
                max(self.settings.rules.drain_grace_us, MIN_GRACE_US),
                random.Random(config.seed),
                self._place(),
                self.settings.rules.poll_interval_us,
            ),
            lambda form, entries: self.list_receiver(form, entries),
            self._doubt(),
        )

    def _doubt(self) -> WatchSuspicion | None:
        """What an agent has is asked for several times within the grace: nothing is gained by asking more."""
        s = self.settings
        if s.discovery is Discovery.PUSH:
            return None
        return WatchSuspicion(self._place(), s.balancers * s.tiers, s.rules.poll_interval_us)

    def _refused(self, endpoint: str) -> None:
        if self.watcher is not None:
            self.watcher.refused(endpoint)

    def _place(self) -> float:
        """Where this copy stands among those that ask the same discovery, from 0 to 1; tiers between one another."""
        s = self.settings
        return (s.rank % s.balancers + s.layer / s.tiers) / s.balancers

    def start(self) -> None:
        """Start the module on the list that was known last, which is in use until discovery answers."""
        self.balancer.start(now_us(), bool(self.known.entries))
        self.list_receiver(ListForm.CACHED, self.known.entries)
        if self.settings.discovery is Discovery.PUSH:
            self.tail(True)
            Timer(now_us() + AGENT_WAIT_US, self._inform)  # an agent may be silent: then the known list has to do

    def reload(self, config: Config) -> None:
        """Take from a new configuration what may change while the process runs: routes, and where discovery is.

        What is in flight ends under the class that it was taken with. The module goes first: should it fail,
        nothing has changed yet.
        """
        plan = config.plan or default_plan(config.settings)
        if plan.variants or self.plan.variants:
            self.balancer.adopt(now_us(), plan.variants)
        self.plan = plan
        if config.discovery is None:
            self.tail(False)  # the last list stays in use
            self.watcher = None
            return
        if self.watcher is None:
            self.watcher = self._watcher(config)
        self.watcher.change_address(config.discovery.host, config.discovery.port)

    @property
    def ready(self) -> bool:
        """Whether callers may come.

        Danger: what an agent has counts as told from the first moment of a new process, and the grace may have passed
        by the time that it serves: no call should meet the known list alone.
        """
        return self.listed and self.informed

    def _inform(self) -> None:
        self.informed = True

    def _tell(self, event: Callable[..., None], *values: Any) -> bool:
        """Tell the module; its failure must neither end the process nor lose what it holds."""
        try:
            event(now_us(), *values)
        except Exception:
            log.exception("the module failed")
            return False
        return True

    # --- requests ---

    def accept(self, request: Request) -> None:
        """A request has come whole: from here on one answer is owed."""
        if self.closing:
            request.answered = True
            request.caller.send_refusal(0)
            return
        self.accepted_count += 1
        # An id of our own: a caller that repeats one must not meet what the module still holds under it.
        call = request.call = f"{self.accepted_count:016x}"
        self.requests[call] = request
        request.alarm = Timer(request.due_us, partial(self._on_deadline, request))
        left = request.deadline_us - now_us()
        if not self._tell(self.balancer.order, call, request.class_name, request.tenant, left, request.hint_us):
            self._abandon(request, FailureReason.INTERNAL_ERROR)

    def cancel_request(self, request: Request) -> None:
        """The client has closed its connection: nothing more is sent for it."""
        if not request.answered:
            self._close(request)
            self._tell(self.balancer.expired, request.call)

    def _close(self, request: Request) -> None:
        request.answered = True
        if not request.out:
            self._discard(request)

    def _discard(self, request: Request) -> None:
        """Nothing more can come for it; its attempts point back at it, so it would be garbage in a cycle."""
        self.requests.pop(request.call, None)
        request.attempts.clear()
        # Not before: an attempt that outlives its request, at a silent machine, must end by time as well.
        if request.alarm is not None:
            request.alarm.cancel()
            request.alarm = None  # it points back at the request

    def _closes(self, request: Request) -> bool:
        """Whether the one final answer is due now: whatever would be a second one is dropped."""
        if request.answered:
            return False
        self._close(request)
        return True

    def _abandon(self, request: Request, why: FailureReason | None) -> None:
        """Answer in place of the module, with a refusal where nothing failed, and tell it that the request is over."""
        if self._closes(request):
            if why is None:
                request.caller.send_refusal(0)
            else:
                request.caller.send_failure(why)
            self._tell(self.balancer.expired, request.call)

    def _on_deadline(self, request: Request) -> None:
        """Attempts end by time, and so does what the module holds: an answer is due now, not later."""
        for attempt in list(request.attempts):
            attempt.drop(Outcome.TIMEOUT)
        self._abandon(request, FailureReason.TIMED_OUT)

    def close(self) -> None:
        """The process ends: what is still open is answered now, and so is whatever still comes.

        Rule 2: what was never sent on is refused, for another sidecar may serve it; of the rest nothing is promised.
        """
        self.closing = True
        for request in list(self.requests.values()):
            sent = any(attempt.begun for attempt in request.attempts)
            self._abandon(request, FailureReason.TIMED_OUT if sent else None)

    # --- attempts ---

    def _data(self, request: Request, until_us: int, now: int) -> Any:
        """What an attempt that goes out now sends; None once the request is over."""
        left_ms = (until_us - now) // 1000
        if request.answered or left_ms < 1:
            return None
        return request.payload.data(left_ms)

    def _ended(self, request: Request, attempt: Attempt, outcome: Outcome, reply: Reply | None) -> None:
        request.out -= 1
        if outcome is Outcome.OK and reply is not None and self._closes(request):
            request.caller.send_reply(reply)
        if request.answered and not request.out:
            self._discard(request)
        if self.outcome_listener is not None:
            self.outcome_listener(attempt.endpoint, outcome if reply is not NO_REPLY else Outcome.CANCELLED)
        spent = now_us() - attempt.sent_us
        told = self._tell(
            self.balancer.reply,
            request.call,
            attempt.number,
            attempt.endpoint,
            spent,
            request.answered,
            # Of what left and has no answer nothing is learned: it took no time, and nobody knows how it went.
            outcome if reply is not NO_REPLY else Outcome.CANCELLED,
            reply.load() if reply is not None else None,
        )
        if not told and not request.out:
            self._abandon(request, FailureReason.INTERNAL_ERROR)

    # --- the module's actions ---

    def hand_off(self, call: str, endpoint: str, max_wait_us: int) -> None:
        request = self.requests.get(call)
        if request is None:
            log.error("an attempt was asked for a request that is over")
            return
        until = request.due_us
        if max_wait_us:
            until = min(until, now_us() + max_wait_us)
        attempt = Attempt(
            len(request.attempts),
            endpoint,
            request.payload.protocol,
            partial(self._data, request, until),
            partial(self._ended, request),
        )
        request.attempts.append(attempt)
        request.out += 1
        if request.answered or attempt.number >= self.settings.limits.max_attempts:
            asyncio.get_running_loop().call_soon(attempt.end, Outcome.NOT_EXECUTED)
            return
        if until < request.due_us:
            attempt.alarm = Timer(until, partial(attempt.drop, Outcome.TIMEOUT))
        self.upstream.send(attempt)

    def cancel(self, call: str, attempt: int) -> None:
        request = self.requests.get(call)
        if request is not None and attempt < len(request.attempts):
            # Later, for its outcome must not reach the module inside one of the module's own calls.
            asyncio.get_running_loop().call_soon(request.attempts[attempt].drop, Outcome.CANCELLED)

    def shed(self, call: str, wait_us: int) -> None:
        request = self.requests.get(call)
        if request is not None and self._closes(request):
            request.caller.send_refusal(wait_us)

    def surrender(self, call: str) -> None:
        request = self.requests.get(call)
        if request is not None and self._closes(request):
            request.caller.send_failure(
                FailureReason.TIMED_OUT if now_us() >= request.due_us else FailureReason.ENDPOINT_ERROR
            )

    def timer(self, delay_us: int, mark: str) -> None:
        Timer(now_us() + delay_us, partial(self._tell, self.balancer.wake, mark))

    def tail(self, on: bool) -> None:
        if self.watcher is not None:
            self.watcher.turn(on)

    def disconnect(self, endpoint: str) -> None:
        self.upstream.close_idle(endpoint)

    def write_log(self, text: str) -> None:
        log.info("%s", text)

    # --- what other sidecars saw ---

    def ready_endpoints(self) -> list[tuple[str, int]]:
        """Endpoints that are ready: their ids and starts."""
        return [(name, pool.target.launched_us) for name, pool in self.upstream.pools.items()]

    def hearsay(self, parts: Mapping[str, float]) -> None:
        self._tell(self.balancer.hearsay, parts)

    # --- discovery ---

    def on_list(self, form: ListForm, entries: list[ListedEndpoint]) -> None:
        """Rule 3: the pools learn first, so that nothing new leaves for what drains or is gone."""
        if form in (ListForm.FULL, ListForm.CACHED):
            for missing in self.upstream.pools.keys() - {entry.endpoint.id for entry in entries}:
                self.upstream.remove_endpoint(missing)
        for endpoint, host, port in entries:
            if endpoint.readiness is Readiness.READY:
                self.upstream.set_endpoint(endpoint.id, host, port, endpoint.started_us, endpoint.labels)
            else:
                self.upstream.remove_endpoint(endpoint.id)
        self.listed = self.listed or bool(entries)
        self.informed = self.informed or form in (ListForm.FULL, ListForm.DELTA)
        self._tell(self.balancer.discovery, form, [entry.endpoint for entry in entries])
