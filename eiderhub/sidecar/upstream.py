"""Connections to endpoints: the keep-alive pools, and how each attempt ended.

There is no hidden resend: an attempt is written to one connection, once, and what became of it is told
apart as finely as the socket allows, since a request that has surely not run may be tried again.
"""

from __future__ import annotations

import asyncio
import select
from collections.abc import Callable
from typing import NamedTuple, Protocol, cast

import httptools

from eiderhub.interface import Load, Outcome
from eiderhub.reports import read_load
from eiderhub.sidecar.bounds import Budget
from eiderhub.sidecar.clock import Alarm, now_us

IDLE_SHARE = 0.85  # of the time after which endpoints close idle connections, how long we keep them
IDLE_US = 5_000_000  # that time, where it is not told
SWEEP_S = 0.25  # how often idle connections, and answers that have begun, are looked at
MAX_BODY = 64 * 1024  # bytes: more than the protocol allows is no answer
MAX_HEAD = 16 * 1024  # bytes of a head, with all interim answers before it
STALL_US = 1_000_000  # an answer that has begun is written in one go: one that stops for so long never ends

# Headers that belong to one connection, and not to the message: RFC 9110, 7.6.1.
HOP_BY_HOP = frozenset(
    (
        b"connection", b"keep-alive", b"proxy-connection", b"te", b"trailer", b"transfer-encoding",
        b"upgrade", b"content-length", b"expect",
    )
)  # fmt: skip


class Response(NamedTuple):
    """A whole answer."""

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes


class Owner(Protocol):
    """Who opened a connection, and is told what comes of it."""

    def on_response(self, connection: Connection, response: Response, reusable: bool) -> None: ...

    def on_lost(self, connection: Connection) -> None: ...


class Connection(asyncio.Protocol):
    """One HTTP/1.1 connection that we opened; it carries one exchange at a time.

    What comes from an endpoint is believed only as far as it is one whole answer with one stated length. All
    else ends the exchange at once, and the connection with it: nobody can tell what its next bytes belong to.
    """

    def __init__(self, owner: Owner, budget: Budget, max_body: int = MAX_BODY) -> None:
        self.owner = owner
        self.budget = budget
        self.max_body = max_body
        self.attempt: Attempt | None = None
        self.busy = False
        self.written = False  # whether the last byte of the request has left for the kernel
        self.lost = False
        self.idle_since = 0
        self.heard_us = 0  # when the last bytes of an answer that is not whole came; 0: none has begun
        self._parser: httptools.HttpResponseParser | None = httptools.HttpResponseParser(self)
        self._body = bytearray()
        self._reset()

    def _reset(self) -> None:
        self._headers: list[tuple[bytes, bytes]] = []
        self.budget.give_back(len(self._body))
        self._body = bytearray()
        self._in_head = True
        self._head_size = 0
        self._keep = False
        self._response: Response | None = None
        self.heard_us = 0

    # --- the socket ---

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # Not `isinstance`: uvloop's transports only have the shape of asyncio's.
        self.transport = cast(asyncio.Transport, transport)
        # With no buffer allowed, `pause_writing` tells that the kernel has not taken all of a request yet.
        self.transport.set_write_buffer_limits(high=0)
        self._poll = select.poll()
        self._poll.register(transport.get_extra_info("socket").fileno(), select.POLLIN)

    def stale(self) -> bool:
        """Whether an idle connection has anything to read: its end, or what nobody asked for.

        Guards against writing an unsafe request to a connection whose end the loop has not come to yet.
        """
        return self.lost or bool(self._poll.poll(0))

    def send(self, data: bytes) -> None:
        self.busy = self.written = True
        self.transport.write(data)

    def pause_writing(self) -> None:
        self.written = False

    def resume_writing(self) -> None:
        self.written = True

    def close(self) -> None:
        """Give up the exchange: whatever still comes on this connection reaches nobody."""
        if not self.lost:
            self.lost = True
            self.transport.abort()

    def eof_received(self) -> bool:
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self._parser = None  # it holds this connection in turn: a cycle, which is rarely collected
        self._reset()
        if not self.lost:
            self.lost = True
            self.owner.on_lost(self)

    def data_received(self, data: bytes) -> None:
        if self.lost or self._parser is None:
            return
        if not self.busy:  # nobody asked
            self.fail()
            return
        in_head = self._in_head
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            # Behind a whole answer there may be more than belongs to it, a second copy or noise: the answer
            # stands, for its one stated length has come, and the connection is of no further use.
            if self._response is None:
                self.fail()
                return
            self._keep = False
        if self._response is not None:
            self._complete(self._response)
            return
        self.heard_us = now_us()
        # Guards against a head that never ends, or interim answers without end.
        self._head_size += len(data) if in_head else 0
        if in_head and self._in_head and self._head_size > MAX_HEAD:
            self.fail()

    def fail(self) -> None:
        """End the exchange, and the connection, for what came or did not come on it."""
        self.close()
        self.owner.on_lost(self)

    def _complete(self, response: Response) -> None:
        reusable = self._keep and self.written
        self.busy = False
        self._reset()
        if not reusable:
            self.close()
        self.owner.on_response(self, response, reusable)

    # --- the parser's calls ---

    def on_message_begin(self) -> None:
        if self._response is not None:
            raise ValueError("a second answer to one request")

    def on_header(self, name: bytes, value: bytes) -> None:
        if self._in_head:  # what comes behind a chunked body is no part of the head
            self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        if self._parser is None or self._parser.get_status_code() < 200:
            return
        self._in_head = False
        length = -1
        for name, value in self._headers:
            key = name.lower()
            if key == b"content-length":
                length = int(value)  # digits, and given once: the parser has seen to that
            elif key == b"transfer-encoding" and value.lower() == b"chunked":
                length = 0
        # With no length the end of the connection would end the answer: a cut would look whole.
        if length < 0 or length > self.max_body:
            raise ValueError("no length, or too long")

    def on_body(self, body: bytes) -> None:
        if len(self._body) + len(body) > self.max_body or not self.budget.take(len(body)):
            raise ValueError("the body is too long")
        self._body += body

    def on_message_complete(self) -> None:
        parser = self._parser
        if parser is None:
            return
        if parser.get_status_code() < 200:  # an interim answer
            self._headers = []
            return
        # Only here does the parser know: once it has left this message, it speaks for the next.
        self._keep = parser.should_keep_alive()
        self._response = Response(parser.get_status_code(), self._headers, bytes(self._body))


class Attempt:
    """One try of a request at one endpoint. It ends once; `on_end` is told how."""

    __slots__ = ("alarm", "connection", "data", "endpoint", "number", "on_end", "over", "sent_us")

    def __init__(
        self,
        number: int,
        endpoint: str,
        data: Callable[[int], bytes | None],
        on_end: Callable[[Attempt, Outcome, Response | None], None],
    ) -> None:
        self.number = number
        self.endpoint = endpoint
        self.data = data  # the bytes to send, made as they go out, or None where the time is up
        self.on_end = on_end
        self.sent_us = now_us()
        self.connection: Connection | None = None
        self.alarm: Alarm | None = None
        self.over = False

    def end(self, outcome: Outcome, response: Response | None = None) -> None:
        if self.over:
            return
        self.over = True
        if self.alarm is not None:
            self.alarm.cancel()
            self.alarm = None  # it points back here
        self.on_end(self, outcome, response)

    def drop(self, outcome: Outcome) -> None:
        """Stop waiting: closing the connection keeps the late answer from any other request."""
        connection, self.connection = self.connection, None
        if connection is not None:
            connection.attempt = None
            connection.owner.on_lost(connection)
            connection.close()
        self.end(outcome)


class Pool:
    """The connections to one endpoint."""

    def __init__(self, upstream: Upstream, host: str, port: int, launched_us: int) -> None:
        self.upstream = upstream
        self.host = host
        self.port = port
        self.launched_us = launched_us
        self.ready = True
        self.idle: list[Connection] = []  # the most recently used last

    def take(self) -> Connection | None:
        """The connection used most recently, so that the others can age and go."""
        while self.idle:
            connection = self.idle.pop()
            if not connection.stale():
                return connection
            connection.close()
            self.upstream.open -= 1
        return None

    def close_idle(self, used_before_us: int | None = None) -> None:
        while self.idle and (used_before_us is None or self.idle[0].idle_since < used_before_us):
            self.idle.pop(0).close()
            self.upstream.open -= 1

    # --- what its connections tell ---

    def on_response(self, connection: Connection, response: Response, reusable: bool) -> None:
        attempt, connection.attempt = connection.attempt, None
        self.upstream.active.pop(connection, None)
        if reusable:
            self.rest(connection)
        else:
            self.upstream.open -= 1
        if attempt is not None:
            attempt.connection = None
            attempt.end(classify(response), response)

    def on_lost(self, connection: Connection) -> None:
        self.upstream.open -= 1
        self.upstream.active.pop(connection, None)
        if connection in self.idle:
            self.idle.remove(connection)
        attempt, connection.attempt = connection.attempt, None
        if attempt is not None:
            attempt.connection = None
            # Not wholly written: the endpoint begins with the last byte, so it never ran.
            attempt.end(Outcome.RESET if connection.written else Outcome.CONNECT_FAILED)

    def rest(self, connection: Connection) -> None:
        if self.ready:
            connection.idle_since = now_us()
            self.idle.append(connection)
        else:
            connection.close()
            self.upstream.open -= 1


def classify(response: Response) -> Outcome:
    """The protocol's table of what comes back; a plain 503 is an error that may have run."""
    if response.status == 200:
        return Outcome.OK
    if response.status in (503, 504):
        for name, value in response.headers:
            if name.lower() == b"srv-declined" and value.strip() == b"1":
                return Outcome.FULL
    return Outcome.ERROR


def reported(response: Response) -> Load | None:
    """What the endpoint says of its load, where the answer carries a report that can be read."""
    for name, value in response.headers:
        if name.lower() == b"srv-load":
            return read_load(value.decode("latin-1"), "=")
    return None


class Upstream:
    """All pools, and the bound on their connections together."""

    def __init__(self, idle_us: int, connect_timeout_us: int, most: int, budget: Budget) -> None:
        self.keep_us = int(IDLE_SHARE * (idle_us or IDLE_US))
        self.connect_timeout_s = connect_timeout_us / 1e6
        self.most = most
        self.open = 0  # connections that are up or coming up
        self.budget = budget
        self.pools: dict[str, Pool] = {}  # of the endpoints that are ready, and no others
        self.active: dict[Connection, None] = {}  # with an attempt out on them
        self._connecting: set[asyncio.Task[None]] = set()

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
                if 0 < connection.heard_us < now - STALL_US:
                    connection.fail()

    def place(self, endpoint: str, host: str, port: int, launched_us: int) -> None:
        """An endpoint that is ready; where its address is another, or its process, old connections go."""
        pool = self.pools.get(endpoint)
        if pool is None:
            self.pools[endpoint] = Pool(self, host, port, launched_us)
            return
        if (pool.host, pool.port, pool.launched_us) != (host, port, launched_us):
            pool.close_idle()
            pool.host, pool.port, pool.launched_us = host, port, launched_us

    def retire(self, endpoint: str) -> None:
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
        connection = pool.take()
        if connection is not None:
            self._write(attempt, connection, pool)
        elif self.open < self.most or self._make_room():
            self.open += 1
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
        oldest = min(pools, key=lambda pool: pool.idle[0].idle_since)
        oldest.idle.pop(0).close()
        self.open -= 1
        return True

    async def _connect(self, attempt: Attempt, pool: Pool) -> None:
        connection = Connection(pool, self.budget)
        try:
            # A machine that has vanished says nothing: a connection that does not come up has to be given up.
            async with asyncio.timeout(self.connect_timeout_s):
                await asyncio.get_running_loop().create_connection(lambda: connection, pool.host, pool.port)
        except (OSError, TimeoutError):
            self.open -= 1
            attempt.end(Outcome.CONNECT_FAILED)
            return
        if connection.lost:  # it broke at once; `on_lost` has counted it
            attempt.end(Outcome.CONNECT_FAILED)
        elif attempt.over:  # given up meanwhile: the handshake is paid, the next attempt may use it
            pool.rest(connection)
        elif not pool.ready:  # Rule 3: the drain was told while the connection came up
            pool.rest(connection)
            attempt.end(Outcome.CONNECT_FAILED)
        else:
            self._write(attempt, connection, pool)

    def _write(self, attempt: Attempt, connection: Connection, pool: Pool) -> None:
        data = attempt.data(now_us())
        if data is None:
            pool.rest(connection)
            asyncio.get_running_loop().call_soon(attempt.end, Outcome.MOOT)
            return
        connection.attempt = attempt
        attempt.connection = connection
        self.active[connection] = None
        connection.send(data)
