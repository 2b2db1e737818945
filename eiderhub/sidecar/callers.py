"""Connections of callers, for all protocols: their limit, their timeouts, and which one is closed at the limit."""

from __future__ import annotations

import asyncio
import logging
import select
from collections import Counter
from typing import cast

from eiderhub.sidecar.clock import now_us
from eiderhub.sidecar.resource_limits import ByteBudget
from eiderhub.sidecar.statistics import CloseReason

# From connecting to the first complete request. The caller must get an error or a close within 3 s.
FIRST_REQUEST_TIMEOUT_S = 2.6
IDLE_TIMEOUT_S = 5.0  # between requests, so that abandoned connections do not accumulate
EVICTABLE_IDLE_S = 2.0  # a connection idle for this long may be closed in favour of a new one
CHECK_INTERVAL_S = 0.1
# One in this many connections is reserved for callers over the limit, whose first request is refused.
OVER_LIMIT_DIVISOR = 16
ARRIVAL_GRACE_S = 0.1  # the first request of a new connection may be on its way for this long
CONNECTION_ENDED = select.POLLRDHUP | select.POLLHUP | select.POLLERR  # poll events
LINGER_S = 1.0  # how long input is still read after a final answer that the caller may not be reading yet
log = logging.getLogger(__name__)


class BaseCallerConnection(asyncio.Protocol):
    """One caller's connection. This class handles the socket; the subclass of each protocol parses the input."""

    def __init__(self, callers: Callers) -> None:
        self.callers = callers
        self.established = False  # whether it has sent a valid request
        self.receiving = False  # whether a request is partly received
        self.state_since_us = now_us()  # when it connected, began the current request, became idle, or ended
        self.input_closed = False  # further input is discarded
        self.disconnected = False  # the caller has closed the connection
        self.reading_paused = False  # while reading is paused, the end of the connection is not reported either
        self.write_blocked = False  # the caller does not read its answers
        self.reserved_bytes = 0  # of the budget, for bodies
        self.close_reason: CloseReason | None = None  # the first one, set before the transport is closed

    # --- implemented by each protocol ---

    @property
    def idle_timeout_s(self) -> float:
        """How long the connection may be idle between requests."""
        return IDLE_TIMEOUT_S

    @property
    def answering(self) -> bool:
        """Whether a request has no answer yet."""
        raise NotImplementedError

    def on_read_timeout(self) -> None:
        """Handle a request that was not received completely in time."""
        raise NotImplementedError

    def on_disconnect(self) -> None:
        """Drop the caller's requests after it has disconnected. This may be called twice."""
        raise NotImplementedError

    def resume(self) -> None:
        """Continue with waiting requests, now that answers can be written again."""
        raise NotImplementedError

    # --- the socket ---

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # Not `isinstance`: uvloop's transports only have the shape of asyncio's.
        self.transport = cast(asyncio.Transport, transport)
        self._descriptor: int = transport.get_extra_info("socket").fileno()
        self.callers.add(self)

    def eof_received(self) -> bool:
        """Treat a caller that closes its side as disconnected, even if it could still read answers.

        `connection_lost` comes too late: it waits until earlier answers are sent, which the caller may never read.
        """
        self.state_since_us = now_us()  # `check_timeouts` measures from here
        self._disconnect()
        return False

    def pause_writing(self) -> None:
        """Stop reading until the written answers have been sent, so that unread answers do not accumulate."""
        self.write_blocked = True
        self.set_reading(False)

    def resume_writing(self) -> None:
        self.write_blocked = False
        asyncio.get_running_loop().call_soon(self.resume)

    def connection_lost(self, exc: Exception | None) -> None:
        self.callers.closed_connections[self.close_reason or CloseReason.CALLER_LEFT] += 1
        self.callers.remove(self)
        self._disconnect()

    def _disconnect(self) -> None:
        self.input_closed = self.disconnected = True
        self.release_budget()
        self.on_disconnect()

    def note_close(self, reason: CloseReason) -> None:
        """Record why the connection is about to be closed; the first reason counts."""
        self.close_reason = self.close_reason or reason

    def set_reading(self, enabled: bool) -> None:
        """Pause or resume reading from the socket."""
        if not self.transport.is_closing():
            self.reading_paused = not enabled
            (self.transport.resume_reading if enabled else self.transport.pause_reading)()

    def release_budget(self) -> None:
        """Return all bytes that this connection has reserved."""
        self.callers.budget.release(self.reserved_bytes)
        self.reserved_bytes = 0

    @property
    def is_over_limit(self) -> bool:
        """Whether it exceeds the limit on connections. HTTP refuses its first request; other protocols serve it."""
        return self in self.callers.over_limit

    @property
    def busy(self) -> bool:
        """Whether a request is open or partly received."""
        return self.answering or self.receiving

    def begin_request(self) -> None:
        """Note that a request begins; the time of the first one is measured from connecting."""
        self.receiving = True
        self.state_since_us = now_us() if self.established else self.state_since_us
        self.callers.idle.pop(self, None)

    def mark_established(self) -> None:
        """Note that the caller has sent a valid request."""
        self.established = True
        self.callers.unestablished.pop(self, None)

    def mark_idle(self) -> None:
        """Note that the connection is between requests."""
        self.state_since_us = now_us()
        self.callers.idle[self] = None

    def finish(self, unread: bool) -> None:
        """Close the connection; if input may be unread, only after the caller has had time to read the last answer.

        Closing a socket with unread input resets it, and an answer on its way would be lost.
        """
        self.note_close(CloseReason.CALLER_LEFT if self.disconnected else CloseReason.FINISHED)
        self.input_closed = True
        self.state_since_us = now_us()  # `check_timeouts` measures from here: the answer needs time to be sent
        if unread and self.transport.can_write_eof() and not self.transport.is_closing():
            self.transport.write_eof()
            self.set_reading(True)
        else:
            self.transport.close()

    def check_timeouts(self, now: int) -> None:
        """Close the connection if the caller has disconnected or has exceeded a timeout."""
        elapsed_s = (now - self.state_since_us) / 1e6
        if self.reading_paused and self.has_left():
            self._disconnect()
            self.transport.abort()
            return
        if self.answering:
            return
        if self.input_closed:
            if elapsed_s > LINGER_S:
                self.transport.abort()  # unlike `close`, it does not wait for a caller that does not read
        elif self.receiving:
            # An established caller may write slowly, but no longer than the longest deadline of an answer.
            if elapsed_s > (self.callers.max_deadline_s if self.established else FIRST_REQUEST_TIMEOUT_S):
                self.note_close(CloseReason.INCOMPLETE_REQUEST)
                self.on_read_timeout()
        elif elapsed_s > (self.idle_timeout_s if self.established else FIRST_REQUEST_TIMEOUT_S) and (
            self.write_blocked or not self.has_unread_input()
        ):
            self.note_close(self._idle_close_reason())
            self.transport.abort()

    def _idle_close_reason(self) -> CloseReason:
        if self.write_blocked:
            return CloseReason.UNREAD_ANSWER
        return CloseReason.IDLE if self.established else CloseReason.NO_FIRST_REQUEST

    def has_unread_input(self) -> bool:
        """Return whether the kernel holds unread input, such as a request that would fail if this side closed now."""
        return bool(self._poll(select.POLLIN))

    def has_left(self) -> bool:
        """Return whether the caller has closed its side, even if its last input has not been read yet.

        A read reports the end of a connection only after all input, so a request that arrives together with the end
        of its connection looks like one of a caller that is still there.
        """
        return self.disconnected or bool(self._poll(select.POLLRDHUP) & CONNECTION_ENDED)

    def _poll(self, events: int) -> int:
        """Return which of these poll events, or of those that are always reported, the socket reports now."""
        if self.transport.is_closing():
            return 0  # its descriptor may have been reused already
        poll = select.poll()
        poll.register(self._descriptor, events)
        return sum(reported for _, reported in poll.poll(0))


class Callers:
    """All callers' connections, of all ports."""

    def __init__(self, max_connections: int, max_deadline_s: float, budget: ByteBudget) -> None:
        self.max_connections = max_connections
        self.max_over_limit = max_connections // OVER_LIMIT_DIVISOR  # of those, for callers over the limit
        self.over_limit: dict[BaseCallerConnection, None] = {}
        self.max_deadline_s = max_deadline_s  # the longest deadline of all request classes
        self.budget = budget
        self.connections: dict[BaseCallerConnection, None] = {}
        self.unestablished: dict[BaseCallerConnection, None] = {}  # without a valid request yet, oldest first
        self.idle: dict[BaseCallerConnection, None] = {}  # between requests, the longest idle first
        self.closed_connections: Counter[CloseReason] = Counter()
        self.open_request_ids: set[bytes] = set()  # of requests without an answer yet
        self.draining = False  # the sidecar reports that it is not ready for new callers
        self.closing = False  # connections are closed after their next answer

    def __len__(self) -> int:
        return len(self.connections)

    def add(self, connection: BaseCallerConnection) -> None:
        """Add a new connection. At the limit another one is closed, so that no request ever lacks a descriptor.

        The order is: a connection that has sent nothing, the longest idle connection, a connection that is still
        writing its first request. A connection with an unread request in the kernel is never closed. If all are busy,
        the new connection is kept over the limit and its first request is refused, because a plain close tells the
        caller nothing and may cross a request. Beyond `max_over_limit` the new connection is closed at once.
        """
        if len(self.connections) - len(self.over_limit) >= self.max_connections - self.max_over_limit:
            evicted = self._choose_evicted()
            if evicted is None and len(self.over_limit) < self.max_over_limit:
                self.connections[connection] = self.over_limit[connection] = None
                return
            evicted = evicted or connection
            self.remove(evicted)
            evicted.input_closed = True
            evicted.note_close(CloseReason.OVER_LIMIT if evicted is connection else CloseReason.EVICTED)
            evicted.transport.abort()
            if evicted is connection:
                return
        self.connections[connection] = None
        self.unestablished[connection] = None

    def _choose_evicted(self) -> BaseCallerConnection | None:
        for connection in self.unestablished:
            if not connection.receiving and not connection.has_unread_input():
                return connection
        for connection in self.idle:
            if now_us() - connection.state_since_us <= EVICTABLE_IDLE_S * 1e6:
                break
            if not connection.has_unread_input():
                return connection
        return next((connection for connection in self.unestablished if connection.receiving), None)

    def remove(self, connection: BaseCallerConnection) -> None:
        for group in (self.connections, self.unestablished, self.idle, self.over_limit):
            group.pop(connection, None)

    async def watch_timeouts(self) -> None:
        """Check the timeouts of all connections periodically, until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            now = now_us()
            for connection in list(self.connections):
                try:
                    connection.check_timeouts(now)
                except Exception:  # a fault with one connection must not disable the timeouts of all others
                    log.exception("the timeouts of a caller's connection could not be checked")

    def close_idle(self) -> None:
        """Close the connections between requests, except those on which a request may be on its way.

        Callers do not resend a request that fails on a new connection.
        """
        arrival_limit_us = now_us() - int(ARRIVAL_GRACE_S * 1e6)
        for connection in list(self.connections):
            if (
                connection.busy
                or connection.input_closed
                or (connection in self.unestablished and connection.state_since_us > arrival_limit_us)
            ):
                continue
            if not connection.has_unread_input():
                connection.note_close(CloseReason.DRAINED)
                connection.transport.close()

    def has_unfinished_work(self) -> bool:
        """Return whether any request is unanswered or unread, or any answer is not sent completely."""
        return any(
            connection.answering or connection.transport.get_write_buffer_size() or connection.has_unread_input()
            for connection in self.connections
        )
