"""Connections to endpoints: the keep-alive pools, and how each attempt ended.

There is no hidden resend: an attempt is written to one connection, once, and what became of it is told
apart as finely as the socket allows, since a request that has surely not run may be tried again.
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

IDLE_SHARE = 0.85  # of the time after which endpoints close idle connections, how long we keep them
IDLE_US = 5_000_000  # that time, where it is not told
SWEEP_S = 0.25  # how often idle connections, and answers that have begun, are looked at
STALL_US = 1_000_000  # an answer that has begun is written in one go: one that stops for so long never ends
log = logging.getLogger(__name__)


class Attempt:
    """One try of a request at one endpoint. It ends once; `on_end` is told how."""

    __slots__ = (
        "alarm",
        "begun",
        "connection",
        "data",
        "endpoint",
        "number",
        "on_end",
        "over",
        "protocol",
        "sent_us",
    )  # fmt: skip

    def __init__(
        self,
        number: int,
        endpoint: str,
        protocol: ClientProtocol,
        data: Callable[[int], Any],
        on_end: Callable[[Attempt, Outcome, Any], None],
    ) -> None:
        self.number = number
        self.endpoint = endpoint
        self.protocol = protocol
        self.data = data  # what to send, made as it goes out, or None where the time is up
        self.on_end = on_end
        self.sent_us = now_us()
        self.connection: EndpointConnection | None = None
        self.alarm: Timer | None = None
        self.begun = False  # whether any of it may have left
        self.over = False

    def end(self, outcome: Outcome, reply: Reply | None = None) -> None:
        if self.over:
            return
        self.over = True
        if self.alarm is not None:
            self.alarm.cancel()
            self.alarm = None  # it points back here
        self.on_end(self, outcome, reply)

    def drop(self, outcome: Outcome) -> None:
        """Stop waiting: the late answer must reach no other request."""
        connection, self.connection = self.connection, None
        if connection is not None:
            connection.abandon(self)
        self.end(outcome)


class Target(NamedTuple):
    """The address and the process of an endpoint: what was opened to another is not used again."""

    host: str
    port: int
    launched_us: int


class Pool:
    """The connections to one endpoint, each of the wire that its attempts speak."""

    def __init__(self, upstream: Upstream, target: Target, labels: frozenset[str]) -> None:
        self.upstream = upstream
        self.labels = labels  # what the endpoint states of itself
        self.target = target
        self.ready = True
        self.idle: list[EndpointConnection] = []  # nothing is out on them; the most recently used last
        self.shared: list[EndpointConnection] = []  # at work, with room for more

    def take(self, protocol: ClientProtocol) -> EndpointConnection | None:
        """The connection used most recently, so that the others can age and go."""
        now = now_us()
        for link in self.shared:
            if link.protocol is protocol and link.free_slots > 0 and link.target == self.target:
                return link
        idle = self.idle
        for at in range(len(idle) - 1, -1, -1):
            link = idle[at]
            if link.protocol is not protocol or now - link.last_reply_us < link.reuse_delay_us:
                continue
            del idle[at]
            if not link.is_stale():
                return link
            link.close()
            self.upstream.open_connections -= 1
        return None

    def close_idle(self, used_before_us: int | None = None) -> None:
        while self.idle and (used_before_us is None or self.idle[0].idle_since_us < used_before_us):
            self.idle.pop(0).close()
            self.upstream.open_connections -= 1

    def write(self, attempt: Attempt, link: EndpointConnection, data: Any) -> None:
        attempt.begun = True
        link.start_attempt(attempt, data)
        attempt.connection = link
        self.upstream.active[link] = None
        if link.free_slots > 0 and link not in self.shared:
            self.shared.append(link)

    # --- what its connections tell ---

    def on_response(self, link: EndpointConnection, attempt: Attempt | None, reply: Reply, reusable: bool) -> None:
        if not reusable:
            self._forget(link)
            self.upstream.open_connections -= 1
        elif not link.busy:
            self._forget(link)
            link.last_reply_us = now_us()
            self.rest(link)
        if attempt is not None:
            attempt.connection = None
            attempt.end(link.outcome(reply), reply)

    def on_lost(self, link: EndpointConnection) -> None:
        self.upstream.open_connections -= 1
        self._forget(link)
        if link in self.idle:
            self.idle.remove(link)
        for attempt, outcome in link.detach_attempts():
            attempt.connection = None
            attempt.end(outcome)

    def _forget(self, link: EndpointConnection) -> None:
        self.upstream.active.pop(link, None)
        if self.shared and link in self.shared:
            self.shared.remove(link)

    def rest(self, link: EndpointConnection) -> None:
        if self.ready and link.target == self.target:
            link.idle_since_us = now_us()
            self.idle.append(link)
        else:
            link.close()
            self.upstream.open_connections -= 1


class Upstream:
    """All pools, and the bound on their connections together."""

    def __init__(self, idle_us: int, connect_timeout_us: int, most: int, budget: ByteBudget) -> None:
        self.keep_us = int(IDLE_SHARE * (idle_us or IDLE_US))
        self.connect_timeout_s = connect_timeout_us / 1e6
        self.most = most
        self.open_connections = 0  # connections that are up or coming up
        self.budget = budget
        self.pools: dict[str, Pool] = {}  # of the endpoints that are ready, and no others
        self.active: dict[EndpointConnection, None] = {}  # with an attempt out on them
        self._connecting: set[asyncio.Task[None]] = set()
        self.refused: Callable[[str], None] | None = None  # who is told of endpoints where nobody listens

    async def sweep(self) -> None:
        """Close idle connections well before their endpoints do: one that crosses a request resets it.

        And those with an answer that has stopped half way: its machine is gone, or its length is wrong.
        """
        while True:
            await asyncio.sleep(SWEEP_S)
            now = now_us()
            for pool in self.pools.values():
                pool.close_idle(now - self.keep_us)
            for connection in list(self.active):
                if 0 < connection.partial_read_us < now - STALL_US:
                    connection.fail()

    def set_endpoint(
        self, endpoint: str, host: str, port: int, launched_us: int, labels: frozenset[str] = frozenset()
    ) -> None:
        """An endpoint that is ready; where its address is another, or its process, old connections go."""
        pool, target = self.pools.get(endpoint), Target(host, port, launched_us)
        if pool is None:
            self.pools[endpoint] = Pool(self, target, labels)
            return
        pool.labels = labels
        if pool.target != target:
            pool.close_idle()
            pool.target = target

    def remove_endpoint(self, endpoint: str) -> None:
        """An endpoint that drains or is gone: what it has may end, nothing new begins.

        Its pool is forgotten here, or ids that are ever new would add up; what is out still knows it.
        """
        pool = self.pools.pop(endpoint, None)
        if pool is not None:
            pool.ready = False
            pool.close_idle()

    def close_idle(self, endpoint: str) -> None:
        pool = self.pools.get(endpoint)
        if pool is not None:
            pool.close_idle()

    def send(self, attempt: Attempt) -> None:
        """Begin an attempt. It never ends within this call: the module is still at work above it."""
        pool = self.pools.get(attempt.endpoint)
        loop = asyncio.get_running_loop()
        if pool is None:
            loop.call_soon(attempt.end, Outcome.CONNECT_FAILED)
            return
        link = pool.take(attempt.protocol.for_labels(pool.labels))
        if link is not None:
            self._write(attempt, link, pool)
        elif self.open_connections < self.most or self._make_room():
            self.open_connections += 1
            task = loop.create_task(self._connect(attempt, pool))
            self._connecting.add(task)
            task.add_done_callback(self._connecting.discard)
        else:
            loop.call_soon(attempt.end, Outcome.CONNECT_FAILED)

    def _make_room(self) -> bool:
        """Close the connection that has been idle longest."""
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
            # A machine that has vanished says nothing: a connection that does not come up has to be given up.
            async with asyncio.timeout(self.connect_timeout_s):
                await asyncio.get_running_loop().create_connection(lambda: connection, target.host, target.port)
        except Exception as error:  # whatever a list may name as an address: each attempt has to end
            if not isinstance(error, OSError):
                log.error("endpoint %s at %s:%d: %s", attempt.endpoint, target.host, target.port, error)
            if isinstance(error, ConnectionRefusedError) and pool.ready and target == pool.target and self.refused:
                self.refused(attempt.endpoint)
            self.open_connections -= 1
            attempt.end(Outcome.CONNECT_FAILED)
            return
        if connection.closed:  # it broke at once; `on_lost` has counted it
            attempt.end(Outcome.CONNECT_FAILED)
        elif attempt.over:  # given up meanwhile: the handshake is paid, the next attempt may use it
            pool.rest(connection)
        elif not pool.ready or target != pool.target:
            # Rule 3: the drain was told while the connection came up, or that the endpoint is elsewhere by now.
            pool.rest(connection)
            attempt.end(Outcome.CONNECT_FAILED)
        else:
            self._write(attempt, connection, pool)

    def _write(self, attempt: Attempt, link: EndpointConnection, pool: Pool) -> None:
        data = attempt.data(now_us())
        if data is None:
            self._spare(attempt, link, pool)
            return
        try:
            pool.write(attempt, link, data)
        except ValueError:
            self._spare(attempt, link, pool)

    def _spare(self, attempt: Attempt, link: EndpointConnection, pool: Pool) -> None:
        """Nothing was written: the link is as it was."""
        if not link.busy:
            pool.rest(link)
        asyncio.get_running_loop().call_soon(attempt.end, Outcome.NOT_EXECUTED)
