"""Connections to endpoints: the keep-alive pools, and how each attempt ended.

An attempt is written once, to one connection, and is never resent here. Its outcome is classified as precisely as the
socket allows, because only a request that certainly has not run may be retried.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from typing import Any, NamedTuple

from eiderhub.interface import Outcome
from eiderhub.sidecar.clock import Timer, now_us
from eiderhub.sidecar.protocol_interface import ClientProtocol, EndpointConnection, Reply
from eiderhub.sidecar.resource_limits import ByteBudget

IDLE_TIMEOUT_SHARE = 0.85  # idle connections are closed after this share of the endpoints' own idle timeout
DEFAULT_IDLE_TIMEOUT_US = 5_000_000  # the endpoints' idle timeout if the settings give none
SWEEP_INTERVAL_S = 0.25  # how often idle connections and partial answers are checked
# Endpoints write an answer in one go: an answer that stops for this long part-way never completes.
STALL_TIMEOUT_US = 1_000_000
log = logging.getLogger(__name__)


class Attempt:
    """One send of a request to one endpoint. It ends exactly once, with a call of `on_end`."""

    __slots__ = (
        "connection",
        "endpoint",
        "finished",
        "make_data",
        "number",
        "on_end",
        "protocol",
        "sent_us",
        "started",
        "timer",
    )

    def __init__(
        self,
        number: int,
        endpoint: str,
        protocol: ClientProtocol,
        make_data: Callable[[int], Any],
        on_end: Callable[[Attempt, Outcome, Any], None],
    ) -> None:
        self.number = number
        self.endpoint = endpoint
        self.protocol = protocol
        self.make_data = make_data  # returns the data at the time of sending; None if the time is up
        self.on_end = on_end
        self.sent_us = now_us()
        self.connection: EndpointConnection | None = None
        self.timer: Timer | None = None
        self.started = False  # whether any byte of it may have been sent
        self.finished = False

    def finish(self, outcome: Outcome, reply: Reply | None = None) -> None:
        """End the attempt with this outcome, unless it has ended already."""
        if self.finished:
            return
        self.finished = True
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None  # it refers back to the attempt
        self.on_end(self, outcome, reply)

    def abort(self, outcome: Outcome) -> None:
        """Stop waiting for an answer; a late answer is discarded and reaches no other request."""
        connection, self.connection = self.connection, None
        if connection is not None:
            connection.abandon(self)
        self.finish(outcome)


class Target(NamedTuple):
    """The address and the start time of an endpoint; a connection to any other target is not reused."""

    host: str
    port: int
    started_us: int


class Pool:
    """The connections to one endpoint, each for one client protocol."""

    def __init__(self, upstream: Upstream, target: Target, labels: frozenset[str]) -> None:
        self.upstream = upstream
        self.labels = labels  # "name=value" attributes of the endpoint
        self.target = target
        self.ready = True  # False once the endpoint drains or is removed
        self.idle: list[EndpointConnection] = []  # without attempts; the most recently used one is last
        self.partially_used: list[EndpointConnection] = []  # with attempts and with free slots

    def acquire(self, protocol: ClientProtocol) -> EndpointConnection | None:
        """Return a free connection of this protocol, or None.

        The most recently used one is preferred, so that the others reach their idle timeout.
        """
        now = now_us()
        for connection in self.partially_used:
            if connection.protocol is protocol and connection.free_slots > 0 and connection.target == self.target:
                return connection
        idle = self.idle
        for index in range(len(idle) - 1, -1, -1):
            connection = idle[index]
            if connection.protocol is not protocol or now - connection.last_reply_us < connection.reuse_delay_us:
                continue
            del idle[index]
            if not connection.is_stale():
                return connection
            connection.close()
            self.upstream.open_connections -= 1
        return None

    def close_idle(self, used_before_us: int | None = None) -> None:
        """Close the idle connections: all, or those idle since before this time."""
        while self.idle and (used_before_us is None or self.idle[0].idle_since_us < used_before_us):
            self.idle.pop(0).close()
            self.upstream.open_connections -= 1

    def write(self, attempt: Attempt, connection: EndpointConnection, data: Any) -> None:
        """Send an attempt on a connection. Raises ValueError if the connection cannot carry this data."""
        attempt.started = True
        connection.start_attempt(attempt, data)
        attempt.connection = connection
        self.upstream.active[connection] = None
        if connection.free_slots > 0 and connection not in self.partially_used:
            self.partially_used.append(connection)

    # --- events of its connections ---

    def on_response(
        self, connection: EndpointConnection, attempt: Attempt | None, reply: Reply, reusable: bool
    ) -> None:
        """Handle a complete answer: return the connection to the pool and finish the attempt, if any."""
        if not reusable:
            self._detach(connection)
            self.upstream.open_connections -= 1
        elif not connection.busy:
            self._detach(connection)
            connection.last_reply_us = now_us()
            self.release(connection)
        if attempt is not None:
            attempt.connection = None
            attempt.finish(connection.outcome(reply), reply)

    def on_lost(self, connection: EndpointConnection) -> None:
        """Remove a closed connection and finish its attempts."""
        self.upstream.open_connections -= 1
        self._detach(connection)
        if connection in self.idle:
            self.idle.remove(connection)
        for attempt, outcome in connection.detach_attempts():
            attempt.connection = None
            attempt.finish(outcome)

    def _detach(self, connection: EndpointConnection) -> None:
        self.upstream.active.pop(connection, None)
        if self.partially_used and connection in self.partially_used:
            self.partially_used.remove(connection)

    def release(self, connection: EndpointConnection) -> None:
        """Keep a connection as idle, or close it if the endpoint is no longer ready or has another target."""
        if self.ready and connection.target == self.target:
            connection.idle_since_us = now_us()
            self.idle.append(connection)
        else:
            connection.close()
            self.upstream.open_connections -= 1


class Upstream:
    """The pools of all ready endpoints, and the limit on their connections together."""

    def __init__(self, idle_us: int, connect_timeout_us: int, max_connections: int, budget: ByteBudget) -> None:
        self.max_idle_us = int(IDLE_TIMEOUT_SHARE * (idle_us or DEFAULT_IDLE_TIMEOUT_US))
        self.connect_timeout_s = connect_timeout_us / 1e6
        self.max_connections = max_connections
        self.open_connections = 0  # established or being established
        self.budget = budget
        self.pools: dict[str, Pool] = {}  # by endpoint id, for ready endpoints only
        self.active: dict[EndpointConnection, None] = {}  # connections with an attempt in flight
        self._connecting: set[asyncio.Task[None]] = set()
        self.on_connection_refused: Callable[[str], None] | None = None  # called with the id of the endpoint

    async def sweep(self) -> None:
        """Close idle connections well before their endpoints do, and connections with a stalled answer.

        A close by the endpoint that crosses a request on the way resets that request. An answer stalls part-way if the
        machine has failed or the stated length is wrong.
        """
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            now = now_us()
            for pool in self.pools.values():
                pool.close_idle(now - self.max_idle_us)
            for connection in list(self.active):
                if 0 < connection.partial_read_us < now - STALL_TIMEOUT_US:
                    connection.fail()

    def set_endpoint(
        self, endpoint: str, host: str, port: int, started_us: int, labels: frozenset[str] = frozenset()
    ) -> None:
        """Add or update a ready endpoint; if its address or start time has changed, close the idle connections."""
        pool, target = self.pools.get(endpoint), Target(host, port, started_us)
        if pool is None:
            self.pools[endpoint] = Pool(self, target, labels)
            return
        pool.labels = labels
        if pool.target != target:
            pool.close_idle()
            pool.target = target

    def remove_endpoint(self, endpoint: str) -> None:
        """Remove a draining or removed endpoint: attempts in flight may complete, no new one starts.

        The pool is deleted here, since pools of ids that never return would accumulate; connections in use still
        refer to it.
        """
        pool = self.pools.pop(endpoint, None)
        if pool is not None:
            pool.ready = False
            pool.close_idle()

    def close_idle(self, endpoint: str) -> None:
        """Close the idle connections to an endpoint."""
        pool = self.pools.get(endpoint)
        if pool is not None:
            pool.close_idle()

    def send(self, attempt: Attempt) -> None:
        """Start an attempt. It never ends within this call, in which the decision module is still running."""
        pool = self.pools.get(attempt.endpoint)
        loop = asyncio.get_running_loop()
        if pool is None:
            loop.call_soon(attempt.finish, Outcome.CONNECT_FAILED)
            return
        connection = pool.acquire(attempt.protocol.for_labels(pool.labels))
        if connection is not None:
            self._write(attempt, connection, pool)
        elif self.open_connections < self.max_connections or self._close_oldest_idle():
            self.open_connections += 1
            task = loop.create_task(self._connect(attempt, pool))
            self._connecting.add(task)
            task.add_done_callback(self._connecting.discard)
        else:
            loop.call_soon(attempt.finish, Outcome.CONNECT_FAILED)

    def _close_oldest_idle(self) -> bool:
        """Close the connection that has been idle longest; return False if none is idle."""
        pools = [pool for pool in self.pools.values() if pool.idle]
        if not pools:
            return False
        oldest = min(pools, key=lambda pool: pool.idle[0].idle_since_us)
        oldest.idle.pop(0).close()
        self.open_connections -= 1
        return True

    async def _connect(self, attempt: Attempt, pool: Pool) -> None:
        connection = attempt.protocol.for_labels(pool.labels).new_connection(pool, self.budget)
        connection.target = target = pool.target
        try:
            # A machine that has vanished sends no reset: only a timeout ends the attempt to connect.
            async with asyncio.timeout(self.connect_timeout_s):
                await asyncio.get_running_loop().create_connection(lambda: connection, target.host, target.port)
        except Exception as error:  # a list may contain any text as an address, and every attempt has to end
            if not isinstance(error, OSError):
                log.error("endpoint %s at %s:%d: %s", attempt.endpoint, target.host, target.port, error)
            if (
                isinstance(error, ConnectionRefusedError)
                and pool.ready
                and target == pool.target
                and self.on_connection_refused
            ):
                self.on_connection_refused(attempt.endpoint)
            self.open_connections -= 1
            attempt.finish(Outcome.CONNECT_FAILED)
            return
        if connection.closed:  # lost immediately; `on_lost` has updated the count
            attempt.finish(Outcome.CONNECT_FAILED)
        elif attempt.finished:  # aborted meanwhile: keep the new connection for a later attempt
            pool.release(connection)
        elif not pool.ready or target != pool.target:
            # The endpoint began to drain or moved while the connection was being established: send nothing new to it.
            pool.release(connection)
            attempt.finish(Outcome.CONNECT_FAILED)
        else:
            self._write(attempt, connection, pool)

    def _write(self, attempt: Attempt, connection: EndpointConnection, pool: Pool) -> None:
        data = attempt.make_data(now_us())
        if data is None:
            self._return_unused(attempt, connection, pool)
            return
        try:
            pool.write(attempt, connection, data)
        except ValueError:
            self._return_unused(attempt, connection, pool)

    def _return_unused(self, attempt: Attempt, connection: EndpointConnection, pool: Pool) -> None:
        """Release a connection on which nothing was written, and end the attempt as not executed."""
        if not connection.busy:
            pool.release(connection)
        asyncio.get_running_loop().call_soon(attempt.finish, Outcome.NOT_EXECUTED)
