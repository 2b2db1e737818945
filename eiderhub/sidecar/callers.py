"""Callers' connections of all protocols: their bound, and who is closed when there are too many or one is idle."""

from __future__ import annotations

import asyncio
import logging
import select
from typing import cast

from eiderhub.sidecar.clock import now_us
from eiderhub.sidecar.resource_limits import ByteBudget

FIRST_REQUEST_TIMEOUT_S = 2.6  # from connecting to a first whole request: an error or a close is due within 3 s
IDLE_TIMEOUT_S = 5.0  # between requests, so that callers that never come back do not add up
EVICTABLE_IDLE_S = 2.0  # a connection idle for so long may be closed to make room for a new one
CHECK_INTERVAL_S = 0.1
OVER_LIMIT_DIVISOR = 16  # one in so many connections is kept for callers that are only told that there is no room
ARRIVAL_GRACE_S = 0.1  # a caller that has just connected has its first request on the way
LINGER_S = 1.0  # how long input is still read after an answer that the caller may not be waiting for yet
log = logging.getLogger(__name__)


class BaseCallerConnection(asyncio.Protocol):
    """One caller's connection: what a socket is to all protocols. What comes on it, each protocol reads itself."""

    def __init__(self, callers: Callers) -> None:
        self.callers = callers
        self.established = False  # whether it ever made a valid request
        self.receiving = False
        self.state_since_us = now_us()  # when it connected, began what is coming in, fell idle, or ended
        self.input_closed = False  # nothing that still comes is read
        self.disconnected = False  # the caller has left
        self.reading_paused = False  # nothing is read for now, so its end would not be heard either
        self.write_blocked = False  # the caller does not read its answers
        self.reserved_bytes = 0  # bytes of bodies, against the budget

    # --- what each protocol says of itself ---

    @property
    def idle_s(self) -> float:
        """How long it may be between requests."""
        return IDLE_TIMEOUT_S

    @property
    def answering(self) -> bool:
        """Whether an answer is owed."""
        raise NotImplementedError

    def on_read_timeout(self) -> None:
        """What is coming in has not come whole in time."""
        raise NotImplementedError

    def on_disconnect(self) -> None:
        """The caller has left: whatever was asked on it is over. It may be told twice."""
        raise NotImplementedError

    def resume(self) -> None:
        """Answers leave again: go on with what waits."""
        raise NotImplementedError

    # --- the socket ---

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # Not `isinstance`: uvloop's transports only have the shape of asyncio's.
        self.transport = cast(asyncio.Transport, transport)
        self.callers.add(self)

    def eof_received(self) -> bool:
        """A caller that closes has gone away, whatever it still could read.

        Not only with `connection_lost`: that waits until earlier answers have left, for a caller that may not read.
        """
        self.state_since_us = now_us()  # `check` counts from here
        self._disconnect()
        return False

    def pause_writing(self) -> None:
        """Guards against answers that pile up unread: nothing more is read until they have left."""
        self.write_blocked = True
        self.set_reading(False)

    def resume_writing(self) -> None:
        self.write_blocked = False
        asyncio.get_running_loop().call_soon(self.resume)

    def connection_lost(self, exc: Exception | None) -> None:
        self.callers.remove(self)
        self._disconnect()

    def _disconnect(self) -> None:
        self.input_closed = self.disconnected = True
        self.release_budget()
        self.on_disconnect()

    def set_reading(self, on: bool) -> None:
        if not self.transport.is_closing():
            self.reading_paused = not on
            (self.transport.resume_reading if on else self.transport.pause_reading)()

    def release_budget(self) -> None:
        self.callers.budget.release(self.reserved_bytes)
        self.reserved_bytes = 0

    @property
    def is_over_limit(self) -> bool:
        """Whether there is no room for it. HTTP refuses its first request; other protocols serve it all the same."""
        return self in self.callers.over_limit

    @property
    def busy(self) -> bool:
        return self.answering or self.receiving

    def begin_request(self) -> None:
        """A request comes in; the first one counts from connecting."""
        self.receiving = True
        self.state_since_us = now_us() if self.established else self.state_since_us
        self.callers.idle.pop(self, None)

    def mark_established(self) -> None:
        """It has made a valid request."""
        self.established = True
        self.callers.unestablished.pop(self, None)

    def mark_idle(self) -> None:
        """It is between requests."""
        self.state_since_us = now_us()
        self.callers.idle[self] = None

    def finish(self, unread: bool) -> None:
        """Close; where input may be unread, not before the caller has had time to read why.

        A socket that is closed with unread input is reset, and the answer on its way would be lost.
        """
        self.input_closed = True
        self.state_since_us = now_us()  # `check` counts from here: what was just written must have time to leave
        if unread and self.transport.can_write_eof() and not self.transport.is_closing():
            self.transport.write_eof()
            self.set_reading(True)
        else:
            self.transport.close()

    def check_timeouts(self, now: int) -> None:
        """Close a caller that keeps its descriptor and asks for nothing."""
        quiet_s = (now - self.state_since_us) / 1e6
        if self.reading_paused and self._poll(select.POLLRDHUP):
            self._disconnect()
            self.transport.abort()
            return
        if self.answering:
            return
        if self.input_closed:
            if quiet_s > LINGER_S:
                self.transport.abort()  # unlike `close` it does not wait for a caller that reads nothing
        elif self.receiving:
            # One that has asked before may write slowly, but no longer than any answer would be waited for.
            if quiet_s > (self.callers.max_deadline_s if self.established else FIRST_REQUEST_TIMEOUT_S):
                self.on_read_timeout()
        elif quiet_s > (self.idle_s if self.established else FIRST_REQUEST_TIMEOUT_S) and (
            self.write_blocked or not self.has_unread_input()
        ):
            self.transport.abort()

    def has_unread_input(self) -> bool:
        """Whether input waits in the kernel: closing now would cross a request, and that would fail."""
        return self._poll(select.POLLIN)

    def _poll(self, events: int) -> bool:
        """Whether one of these, or an error, stands at the socket."""
        if self.transport.is_closing():
            return False  # its descriptor may be another's already
        poll = select.poll()
        poll.register(self.transport.get_extra_info("socket").fileno(), events)
        return bool(poll.poll(0))


class Callers:
    """All callers' connections, on whichever port they came."""

    def __init__(self, max_connections: int, max_deadline_s: float, budget: ByteBudget) -> None:
        self.max_connections = max_connections  # connections that callers may have open
        self.max_over_limit = max_connections // OVER_LIMIT_DIVISOR  # of those, for the ones that are turned away
        self.over_limit: dict[BaseCallerConnection, None] = {}
        self.max_deadline_s = max_deadline_s  # the longest that any answer is waited for
        self.budget = budget
        self.connections: dict[BaseCallerConnection, None] = {}
        self.unestablished: dict[BaseCallerConnection, None] = {}  # those that never made a valid request, oldest first
        self.idle: dict[BaseCallerConnection, None] = {}  # those between requests, the longest idle first
        self.open_request_ids: set[bytes] = set()  # of the requests that have no answer yet
        self.draining = False  # no more callers are wanted
        self.closing = False  # nor those that are here

    def __len__(self) -> int:
        return len(self.connections)

    def add(self, caller: BaseCallerConnection) -> None:
        """Take a connection in. Past the bound one is closed, so that no call ever lacks a descriptor.

        First one that never said anything of use, then the one idle longest, then one that is still writing
        its first request; never one whose request has come and is not read yet. Where all are at work, the new
        one's first request is refused: a connection that closes bare tells its caller nothing, and may have crossed
        a request. Past some of those, bare all the same.
        """
        if len(self.connections) - len(self.over_limit) >= self.max_connections - self.max_over_limit:
            victim = self._choose_victim()
            if victim is None and len(self.over_limit) < self.max_over_limit:
                self.connections[caller] = self.over_limit[caller] = None
                return
            victim = victim or caller
            self.remove(victim)
            victim.input_closed = True
            victim.transport.abort()
            if victim is caller:
                return
        self.connections[caller] = None
        self.unestablished[caller] = None

    def _choose_victim(self) -> BaseCallerConnection | None:
        for caller in self.unestablished:
            if not caller.receiving and not caller.has_unread_input():
                return caller
        for caller in self.idle:
            if now_us() - caller.state_since_us <= EVICTABLE_IDLE_S * 1e6:
                break
            if not caller.has_unread_input():
                return caller
        return next((caller for caller in self.unestablished if caller.receiving), None)

    def remove(self, caller: BaseCallerConnection) -> None:
        for group in (self.connections, self.unestablished, self.idle, self.over_limit):
            group.pop(caller, None)

    async def watch_timeouts(self) -> None:
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            now = now_us()
            for caller in list(self.connections):
                try:
                    caller.check_timeouts(now)
                except Exception:  # one caller's end must not leave all others unwatched
                    log.exception("a caller could not be looked at")

    def close_idle(self) -> None:
        """Close those between requests, but for what is on its way: a request on a new connection is not sent again."""
        arriving_us = now_us() - int(ARRIVAL_GRACE_S * 1e6)
        for caller in list(self.connections):
            if (
                caller.busy
                or caller.input_closed
                or (caller in self.unestablished and caller.state_since_us > arriving_us)
            ):
                continue
            if not caller.has_unread_input():
                caller.transport.close()

    def has_unfinished_work(self) -> bool:
        """Whether an answer is owed, is on its way out, or is asked for by what has not been read."""
        return any(
            caller.answering or caller.transport.get_write_buffer_size() or caller.has_unread_input()
            for caller in self.connections
        )
