"""The host of the decision module: carries out its actions and reports events to it. It makes no decisions itself.

The host guarantees exactly one final answer for each accepted request. A timer for each request sends that answer
before the deadline even if the decision module, the endpoints or the network fail.
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
from eiderhub.sidecar.statistics import RequestStatistics
from eiderhub.sidecar.upstream import Attempt, Upstream

AGENT_WAIT_US = 2_000_000  # a new process waits this long for the agent's list before it serves from the known list
log = logging.getLogger(__name__)


class Request:
    """One accepted request and its attempts. Times are in microseconds of the monotonic clock."""

    __slots__ = (
        "answer_due_us",
        "answered",
        "attempts",
        "call_id",
        "caller",
        "class_name",
        "deadline_timer",
        "deadline_us",
        "hint_us",
        "payload",
        "pending_attempts",
        "tenant",
    )

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
        self.answer_due_us = deadline_us - ANSWER_MARGIN_US  # when the final answer is sent at the latest
        self.payload = payload  # what is forwarded to endpoints
        self.call_id = ""
        self.attempts: list[Attempt] = []
        self.pending_attempts = 0  # number of attempts that have not ended
        self.answered = False
        self.deadline_timer: Timer | None = None


class Host:
    """Implements the decision module's `Actions` and calls its `Events`."""

    def __init__(self, config: Config) -> None:
        self.plan = config.plan or default_plan(config.settings)
        settings = self.plan.settings
        self.settings = settings
        self.max_deadline_s = max(c.deadline_us for c in settings.classes) / 1e6
        self.requests: dict[str, Request] = {}
        self.statistics = RequestStatistics()
        self.has_listed_endpoints = False  # whether any list has contained an endpoint
        # Whether the agent's list has arrived or is no longer waited for; only pushed lists come from an agent.
        self.agent_wait_over = settings.discovery is not Discovery.PUSH
        self.closing = False  # the process is ending: new requests are refused
        self.budget = ByteBudget(config.bounds.buffered_bytes)  # shared by requests and answers
        self.upstream = Upstream(
            settings.limits.conn_idle_us,
            settings.limits.connect_timeout_us,
            config.bounds.endpoint_connections,
            self.budget,
        )
        self.upstream.on_connection_refused = self._on_connection_refused
        # Receives endpoint lists: this host, or an aggregator that merges them with other sources first.
        self.list_receiver = self.on_list
        self.outcome_listener: Callable[[str, Outcome], None] | None = None  # also called when an attempt ends
        self.watcher = self._new_watcher(config) if config.discovery else None
        self.balancer = Balancer(settings, config.seed, self)
        self.statistics.decisions = self.balancer.refusals
        self.known_list = config.known

    def _new_watcher(self, config: Config) -> Watcher:
        assert config.discovery is not None
        return Watcher(
            config.discovery.host,
            config.discovery.port,
            config.known.generation,
            PollSchedule(
                self.settings.discovery is Discovery.PUSH,
                max(self.settings.rules.drain_grace_us, MIN_GRACE_US),
                random.Random(config.seed),
                self._poll_offset(),
                self.settings.rules.poll_interval_us,
            ),
            lambda form, entries: self.list_receiver(form, entries),
            self._new_suspicion(),
        )

    def _new_suspicion(self) -> WatchSuspicion | None:
        """Return the suspicion state of a new watch; None for pushed lists.

        An agent is polled several times within the notification's grace anyway, so extra polls would gain nothing.
        """
        settings = self.settings
        if settings.discovery is Discovery.PUSH:
            return None
        return WatchSuspicion(self._poll_offset(), settings.balancers * settings.tiers, settings.rules.poll_interval_us)

    def _on_connection_refused(self, endpoint: str) -> None:
        if self.watcher is not None:
            self.watcher.on_connection_refused(endpoint)

    def _poll_offset(self) -> float:
        """Return this instance's offset, in [0, 1), among the instances that poll the same discovery service.

        The offsets of the tiers are interleaved.
        """
        settings = self.settings
        return (settings.rank % settings.balancers + settings.layer / settings.tiers) / settings.balancers

    def start(self) -> None:
        """Start the decision module with the last known list, which is used until discovery answers."""
        self.balancer.start(now_us(), bool(self.known_list.entries))
        self.list_receiver(ListForm.CACHED, self.known_list.entries)
        if self.settings.discovery is Discovery.PUSH:
            self.tail(True)
            # An agent may not respond at all: the known list is served then.
            Timer(now_us() + AGENT_WAIT_US, self._end_agent_wait)

    def reload(self, config: Config) -> None:
        """Apply the parts of a new configuration that may change at run time: routes and the discovery address.

        Requests in flight keep the class that they were accepted with. The decision module is updated first, so that
        nothing has changed if it fails.
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
            self.watcher = self._new_watcher(config)
        self.watcher.change_address(config.discovery.host, config.discovery.port)

    @property
    def ready(self) -> bool:
        """Whether the sidecar is ready for callers.

        Endpoint states that the agent already knows count as notified from the start of the process, and the
        notification's grace may have passed when it begins to serve. Callers are therefore not invited while only the
        known list is in use.
        """
        return self.has_listed_endpoints and self.agent_wait_over

    def _end_agent_wait(self) -> None:
        self.agent_wait_over = True

    def _notify(self, event: Callable[..., None], *values: Any) -> bool:
        """Call an event of the decision module; return whether it succeeded.

        An exception in the module must neither end the process nor lose requests.
        """
        try:
            event(now_us(), *values)
        except Exception:
            log.exception("the decision module failed")
            return False
        return True

    # --- requests ---

    def accept(self, request: Request) -> None:
        """Accept a complete request: from here on it gets exactly one final answer."""
        self.statistics.accepted += 1
        if self.closing:
            request.answered = True
            self.statistics.refused += 1
            request.caller.send_refusal(0)
            return
        # The caller's request id is not used: a reused id would collide with a call that the module still tracks.
        call_id = request.call_id = f"{self.statistics.accepted:016x}"
        self.requests[call_id] = request
        request.deadline_timer = Timer(request.answer_due_us, partial(self._on_deadline, request))
        remaining_us = request.deadline_us - now_us()
        if not self._notify(
            self.balancer.order, call_id, request.class_name, request.tenant, remaining_us, request.hint_us
        ):
            self._give_up(request, FailureReason.INTERNAL_ERROR)

    def cancel_request(self, request: Request) -> None:
        """Drop a request whose caller has disconnected: no answer and no further attempt is sent."""
        if not request.answered:
            self.statistics.cancelled += 1
            self._mark_answered(request)
            self._notify(self.balancer.expired, request.call_id)

    def _mark_answered(self, request: Request) -> None:
        request.answered = True
        if not request.pending_attempts:
            self._discard(request)

    def _discard(self, request: Request) -> None:
        """Forget a finished request and break its reference cycle with its attempts, which delays reclaiming it."""
        self.requests.pop(request.call_id, None)
        request.attempts.clear()
        # Not cancelled earlier: the timer also ends attempts that outlive the request at an unresponsive machine.
        if request.deadline_timer is not None:
            request.deadline_timer.cancel()
            request.deadline_timer = None  # it refers back to the request

    def _claim_answer(self, request: Request) -> bool:
        """Return whether the caller of this method may send the final answer; False if it has been sent already."""
        if request.answered:
            return False
        self._mark_answered(request)
        return True

    def _give_up(self, request: Request, reason: FailureReason | None) -> None:
        """Send the final answer in place of the decision module and report the request as expired to it.

        The answer is a refusal if `reason` is None, and a failure otherwise.
        """
        if self._claim_answer(request):
            if reason is None:
                self._refuse(request, 0)
            else:
                self._fail(request, reason)
            self._notify(self.balancer.expired, request.call_id)

    def _refuse(self, request: Request, wait_us: int) -> None:
        self.statistics.refused += 1
        request.caller.send_refusal(wait_us)

    def _fail(self, request: Request, reason: FailureReason) -> None:
        self.statistics.failed[reason] += 1
        request.caller.send_failure(reason)

    def _on_deadline(self, request: Request) -> None:
        """Time out all attempts and send the final answer now, also for a call that the module still queues."""
        for attempt in list(request.attempts):
            attempt.abort(Outcome.TIMEOUT)
        self._give_up(request, FailureReason.TIMED_OUT)

    def close(self) -> None:
        """Answer all open requests, and refuse later ones, because the process is ending.

        A refusal is sent only where a retry is harmless: a request that was never forwarded is refused, so that
        another sidecar may serve it. A request that may have run is failed.
        """
        self.closing = True
        for request in list(self.requests.values()):
            sent = any(attempt.started for attempt in request.attempts)
            self._give_up(request, FailureReason.TIMED_OUT if sent else None)

    # --- attempts ---

    def _attempt_data(self, request: Request, until_us: int, now: int) -> Any:
        """Return the data of an attempt that is sent now.

        Returns None if the request is finished or out of time, or if its caller has left, which cancels it.
        """
        remaining_ms = (until_us - now) // 1000
        if request.answered or remaining_ms < 1:
            return None
        if request.caller.has_left():
            # Deferred: the decision module may be calling, and must not be called back with the request's expiry.
            asyncio.get_running_loop().call_soon(self.cancel_request, request)
            return None
        return request.payload.data(remaining_ms)

    def _on_attempt_end(self, request: Request, attempt: Attempt, outcome: Outcome, reply: Reply | None) -> None:
        request.pending_attempts -= 1
        self.statistics.attempts[outcome] += 1
        if outcome is Outcome.OK and reply is not None and self._claim_answer(request):
            self.statistics.served += 1
            request.caller.send_reply(reply)
        if request.answered and not request.pending_attempts:
            self._discard(request)
        if self.outcome_listener is not None:
            self.outcome_listener(attempt.endpoint, outcome if reply is not NO_REPLY else Outcome.CANCELLED)
        spent_us = now_us() - attempt.sent_us
        notified = self._notify(
            self.balancer.reply,
            request.call_id,
            attempt.number,
            attempt.endpoint,
            spent_us,
            request.answered,
            # A oneway call has no reply: nothing can be learned about its latency or its outcome.
            outcome if reply is not NO_REPLY else Outcome.CANCELLED,
            reply.load() if reply is not None else None,
        )
        if not notified and not request.pending_attempts:
            self._give_up(request, FailureReason.INTERNAL_ERROR)

    # --- the module's actions ---

    def hand_off(self, call_id: str, endpoint: str, max_wait_us: int) -> None:
        request = self.requests.get(call_id)
        if request is None:
            log.error("the decision module requested an attempt for a finished request")
            return
        until_us = request.answer_due_us
        if max_wait_us:
            until_us = min(until_us, now_us() + max_wait_us)
        attempt = Attempt(
            len(request.attempts),
            endpoint,
            request.payload.protocol,
            partial(self._attempt_data, request, until_us),
            partial(self._on_attempt_end, request),
        )
        self.statistics.retries += attempt.number > 0
        request.attempts.append(attempt)
        request.pending_attempts += 1
        if request.answered or attempt.number >= self.settings.limits.max_attempts:
            asyncio.get_running_loop().call_soon(attempt.finish, Outcome.NOT_EXECUTED)
            return
        if until_us < request.answer_due_us:
            attempt.timer = Timer(until_us, partial(attempt.abort, Outcome.TIMEOUT))
        self.upstream.send(attempt)

    def cancel(self, call_id: str, attempt: int) -> None:
        request = self.requests.get(call_id)
        if request is not None and attempt < len(request.attempts):
            # Deferred: the outcome must not be reported to the module while the module is still calling.
            asyncio.get_running_loop().call_soon(request.attempts[attempt].abort, Outcome.CANCELLED)

    def shed(self, call_id: str, wait_us: int) -> None:
        request = self.requests.get(call_id)
        if request is not None and self._claim_answer(request):
            self._refuse(request, wait_us)

    def surrender(self, call_id: str) -> None:
        request = self.requests.get(call_id)
        if request is not None and self._claim_answer(request):
            is_late = now_us() >= request.answer_due_us
            self._fail(request, FailureReason.TIMED_OUT if is_late else FailureReason.ENDPOINT_ERROR)

    def timer(self, delay_us: int, mark: str) -> None:
        Timer(now_us() + delay_us, partial(self._notify, self.balancer.wake, mark))

    def tail(self, on: bool) -> None:
        if self.watcher is not None:
            self.watcher.set_active(on)

    def disconnect(self, endpoint: str) -> None:
        self.upstream.close_idle(endpoint)

    def write_log(self, text: str) -> None:
        log.info("%s", text)

    # --- peer reports ---

    def ready_endpoints(self) -> list[tuple[str, int]]:
        """Return the ids and start times (microseconds, monotonic clock) of the ready endpoints."""
        return [(name, pool.target.started_us) for name, pool in self.upstream.pools.items()]

    def hearsay(self, factors: Mapping[str, float]) -> None:
        """Pass on the factors, in 0..1, that peer reports leave of endpoints' weights."""
        self._notify(self.balancer.hearsay, factors)

    # --- discovery ---

    def describe_list(self) -> str:
        """Return how many endpoints are ready, and how current the platform's list is, for the log."""
        ready = f"{len(self.upstream.pools)} endpoints ready"
        return ready if self.watcher is None else f"{ready}, {self.watcher.describe_state()}"

    def on_list(self, form: ListForm, entries: list[ListedEndpoint]) -> None:
        """Apply an endpoint list or a change of it.

        The connection pools are updated before the decision module, so that no new attempt is sent to a draining or
        removed endpoint.
        """
        if form in (ListForm.FULL, ListForm.CACHED):
            for missing in self.upstream.pools.keys() - {entry.endpoint.id for entry in entries}:
                self.upstream.remove_endpoint(missing)
        for endpoint, host, port in entries:
            if endpoint.readiness is Readiness.READY:
                self.upstream.set_endpoint(endpoint.id, host, port, endpoint.started_us, endpoint.labels)
            else:
                self.upstream.remove_endpoint(endpoint.id)
        self.has_listed_endpoints = self.has_listed_endpoints or bool(entries)
        self.agent_wait_over = self.agent_wait_over or form in (ListForm.FULL, ListForm.DELTA)
        self._notify(self.balancer.discovery, form, [entry.endpoint for entry in entries])
