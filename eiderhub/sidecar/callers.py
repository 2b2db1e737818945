"""Callers' connections of all protocols: their bound, and who is closed when there are too many or one is idle."""

from __future__ import annotations

import asyncio
import logging
import select
from typing import cast

from eiderhub.sidecar.bounds import Budget
from eiderhub.sidecar.clock import now_us

FIRST_S = 2.6  # from connecting to a first whole request: an error or a close is due within 3 s
IDLE_S = 5.0  # between requests, so that callers that never come back do not add up
SPARE_S = 2.0  # a connection idle for so long may be closed to make room for a new one
CHECK_S = 0.1
TURNED_PART = 16  # one in so many connections is kept for callers that are only told that there is no room
ARRIVING_S = 0.1  # a caller that has just connected has its first request on the way
LINGER_S = 1.0  # how long input is still read after an answer that the caller may not be waiting for yet
log = logging.getLogger(__name__)


class CallerSocket(asyncio.Protocol):
    """One caller's connection: what a socket is to all protocols. What comes on it, each protocol reads itself."""

    def __init__(self, callers: Callers) -> None:
        self.callers = callers
        self.known = False  # whether it ever made a valid request
        self.receiving = False
        self.since_us = now_us()  # when it connected, began what is coming in, fell idle, or ended
        self.ended = False  # nothing that still comes is read
        self.lost = False  # the caller has left
        self.paused = False  # nothing is read for now, so its end would not be heard either
        self.stuck = False  # the caller does not read its answers
        self.held = 0  # bytes of bodies, against the budget

    # --- what each protocol says of itself ---

    @property
    def idle_s(self) -> float:
        """How long it may be between requests."""
        return IDLE_S

    @property
    def answering(self) -> bool:
        """Whether an answer is owed."""
        raise NotImplementedError

    def late(self) -> None:
        """What is coming in has not come whole in time."""
        raise NotImplementedError

    def left(self) -> None:
        """The caller has left: whatever was asked on it is over. It may be told twice."""
        raise NotImplementedError

    def resume(self) -> None:
        """Answers leave again: go on with what waits."""
        raise NotImplementedError

    # --- the socket ---

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # Not `isinstance`: uvloop's transports only have the shape of asyncio's.
        self.transport = cast(asyncio.Transport, transport)
        self.callers.joined(self)

    def eof_received(self) -> bool:
        """A caller that closes has gone away, whatever it still could read.

        Not only with `connection_lost`: that waits until earlier answers have left, for a caller that may not read.
        """
        self.since_us = now_us()  # `check` counts from here
        self._leave()
        return False

    def pause_writing(self) -> None:
        """Guards against answers that pile up unread: nothing more is read until they have left."""
        self.stuck = True
        self.read(False)

    def resume_writing(self) -> None:
        self.stuck = False
        asyncio.get_running_loop().call_soon(self.resume)

    def connection_lost(self, exc: Exception | None) -> None:
        self.callers.left(self)
        self._leave()

    def _leave(self) -> None:
        self.ended = self.lost = True
        self.let_go()
        self.left()

    def read(self, on: bool) -> None:
        if not self.transport.is_closing():
            self.paused = not on
            (self.transport.resume_reading if on else self.transport.pause_reading)()

    def let_go(self) -> None:
        self.callers.budget.give_back(self.held)
        self.held = 0

    @property
    def turned(self) -> bool:
        """Whether there is no room for it. HTTP refuses its first request; other protocols serve it all the same."""
        return self in self.callers.turned

    @property
    def busy(self) -> bool:
        return self.answering or self.receiving

    def began(self) -> None:
        """A request comes in; the first one counts from connecting."""
        self.receiving = True
        self.since_us = now_us() if self.known else self.since_us
        self.callers.idle.pop(self, None)

    def proved(self) -> None:
        """It has made a valid request."""
        self.known = True
        self.callers.fresh.pop(self, None)

    def rested(self) -> None:
        """It is between requests."""
        self.since_us = now_us()
        self.callers.idle[self] = None

    def finish(self, unread: bool) -> None:
        """Close; where input may be unread, not before the caller has had time to read why.

        A socket that is closed with unread input is reset, and the answer on its way would be lost.
        """
        self.ended = True
        self.since_us = now_us()  # `check` counts from here: what was just written must have time to leave
        if unread and self.transport.can_write_eof() and not self.transport.is_closing():
            self.transport.write_eof()
            self.read(True)
        else:
            self.transport.close()

    def check(self, now: int) -> None:
        """Close a caller that keeps its descriptor and asks for nothing."""
        quiet_s = (now - self.since_us) / 1e6
        if self.paused and self._polled(select.POLLRDHUP):
            self._leave()
            self.transport.abort()
            return
        if self.answering:
            return
        if self.ended:
            if quiet_s > LINGER_S:
                self.transport.abort()  # unlike `close` it does not wait for a caller that reads nothing
        elif self.receiving:
            # One that has asked before may write slowly, but no longer than any answer would be waited for.
            if quiet_s > (self.callers.longest_s if self.known else FIRST_S):
                self.late()
        elif quiet_s > (self.idle_s if self.known else FIRST_S) and (self.stuck or not self.unread()):
            self.transport.abort()

    def unread(self) -> bool:
        """Whether input waits in the kernel: closing now would cross a request, and that would fail."""
        return self._polled(select.POLLIN)

    def _polled(self, events: int) -> bool:
        """Whether one of these, or an error, stands at the socket."""
        if self.transport.is_closing():
            return False  # its descriptor may be another's already
        poll = select.poll()
        poll.register(self.transport.get_extra_info("socket").fileno(), events)
        return bool(poll.poll(0))


class Callers:
    """All callers' connections, on whichever port they came."""

    def __init__(self, most: int, longest_s: float, budget: Budget) -> None:
        self.most = most  # connections that callers may have open
        self.turning = most // TURNED_PART  # of those, for the ones that are turned away
        self.turned: dict[CallerSocket, None] = {}
        self.longest_s = longest_s  # the longest that any answer is waited for
        self.budget = budget
        self.all: dict[CallerSocket, None] = {}
        self.fresh: dict[CallerSocket, None] = {}  # those that never made a valid request, oldest first
        self.idle: dict[CallerSocket, None] = {}  # those between requests, the longest idle first
        self.open_ids: set[bytes] = set()  # of the requests that have no answer yet
        self.draining = False  # no more callers are wanted
        self.leaving = False  # nor those that are here

    def __len__(self) -> int:
        return len(self.all)

    def joined(self, caller: CallerSocket) -> None:
        """Take a connection in. Past the bound one is closed, so that no call ever lacks a descriptor.

        First one that never said anything of use, then the one idle longest, then one that is still writing
        its first request; never one whose request has come and is not read yet. Where all are at work, the new
        one's first request is refused: a connection that closes bare tells its caller nothing, and may have crossed
        a request. Past some of those, bare all the same.
        """
        if len(self.all) - len(self.turned) >= self.most - self.turning:
            victim = self._spare()
            if victim is None and len(self.turned) < self.turning:
                self.all[caller] = self.turned[caller] = None
                return
            victim = victim or caller
            self.left(victim)
            victim.ended = True
            victim.transport.abort()
            if victim is caller:
                return
        self.all[caller] = None
        self.fresh[caller] = None

    def _spare(self) -> CallerSocket | None:
        for caller in self.fresh:
            if not caller.receiving and not caller.unread():
                return caller
        for caller in self.idle:
            if now_us() - caller.since_us <= SPARE_S * 1e6:
                break
            if not caller.unread():
                return caller
        return next((caller for caller in self.fresh if caller.receiving), None)

    def left(self, caller: CallerSocket) -> None:
        for group in (self.all, self.fresh, self.idle, self.turned):
            group.pop(caller, None)

    async def watch(self) -> None:
        while True:
            await asyncio.sleep(CHECK_S)
            now = now_us()
            for caller in list(self.all):
                try:
                    caller.check(now)
                except Exception:  # one caller's end must not leave all others unwatched
                    log.exception("a caller could not be looked at")

    def close_idle(self) -> None:
        """Close those between requests, but for what is on its way: a request on a new connection is not sent again."""
        arriving_us = now_us() - int(ARRIVING_S * 1e6)
        for caller in list(self.all):
            if caller.busy or caller.ended or (caller in self.fresh and caller.since_us > arriving_us):
                continue
            if not caller.unread():
                caller.transport.close()

    def owed(self) -> bool:
        """Whether an answer is owed, is on its way out, or is asked for by what has not been read."""
        return any(
            caller.answering or caller.transport.get_write_buffer_size() or caller.unread() for caller in self.all
        )
