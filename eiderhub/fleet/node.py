"""The member's socket: datagrams in and out, alarms, what is written down, and evidence from and to the host.

It decides nothing. What comes past its budget is left in the kernel's buffer, and what that can't hold is lost unread:
a flood of junk must not hold up a request.
"""

from __future__ import annotations

import asyncio
import logging
import secrets
import socket
import time
from collections.abc import Mapping
from typing import Any, Protocol

from eiderhub.fleet.event_log import Journal
from eiderhub.fleet.evidence import Listed
from eiderhub.fleet.messages import MOST, Codec
from eiderhub.fleet.options import Options
from eiderhub.fleet.protocol import Event, Fleet, described
from eiderhub.interface import Outcome
from eiderhub.sidecar.clock import UNIX_OFFSET_US, Timer, now_us

READS_PER_S = 2000  # datagrams taken from the kernel: one from a stranger costs some 2 us, one that is read some 60
READ_BURST = 64  # at one turn of the loop: 4 ms at the worst
REST_S = 0.02  # how long the socket is left alone when the budget is used up
BUFFER = 1 << 16  # bytes that the kernel may hold
HEARSAY_S = 0.25  # how often evidence is weighed
WRITE_S = 0.1  # how often what waits is written down
SHOW_S = 5.0  # and the table of members, at the most, while it changes
VIEWS_PER_S = 10  # lines on changed views
log = logging.getLogger(__name__)


class Endpoints(Protocol):
    """The host, as far as evidence goes."""

    def ready_endpoints(self) -> list[tuple[str, int]]:
        """Endpoints that are ready: their ids and starts, on the module's clock."""

    def hearsay(self, parts: Mapping[str, float]) -> None: ...


class FleetNode:
    """One member's edge."""

    def __init__(self, options: Options, host: Endpoints) -> None:
        self.options = options
        self.host = host
        wall = int(time.time() + options.clock_offset_s)
        self.fleet = Fleet(
            options.name, options.address, options.build, Codec(options.key), options.terms, secrets.randbits(64), wall,
            now_us(),
        )  # fmt: skip
        self.journal = Journal(options.folder) if options.folder else None
        self._loop = asyncio.get_running_loop()
        self._alarm: Timer | None = None
        self._tokens = float(READ_BURST)
        self._counted_us = now_us()
        self._resting: asyncio.TimerHandle | None = None
        self._chores: list[asyncio.Task[None]] = []
        self._parts: Mapping[str, float] = {}
        self._starts: dict[str, int] = {}
        self._view = b""
        self._viewed_us = 0

    def start(self) -> None:
        """Raises OSError where the address can't be had."""
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setblocking(False)
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER)
        self._socket.bind(self.options.listen)
        self._loop.add_reader(self._socket, self._readable)
        log.info("fleet: %s listens on %s:%d", self.options.name, *self._socket.getsockname())
        self._write(event="start", incarnation=self.fleet.table.own.incarnation, build=self.options.build.hex())
        self._chores = [self._loop.create_task(self._keep_books())]
        if self.options.terms.knows:
            self._chores.append(self._loop.create_task(self._weigh()))
        for chore in self._chores:
            chore.add_done_callback(_say_why)
        self._rearm()

    def stop(self) -> None:
        """We end in good order: a few are told, and what waits is written."""
        self.fleet.leave(now_us())
        self._flush()
        for chore in self._chores:
            chore.cancel()
        if self._alarm is not None:
            self._alarm.cancel()
        if self._resting is not None:
            self._resting.cancel()
        self._loop.remove_reader(self._socket)
        self._socket.close()
        self._write(event="stop", **self._counts())
        if self.journal is not None:
            self._loop.run_in_executor(None, self.journal.flush)  # the drain does not wait for a disk

    def adopt(self, build: bytes) -> None:
        """Other files are in force."""
        self.fleet.adopt(now_us(), build)
        self._flush()

    # --- time ---

    def _rearm(self) -> None:
        self._alarm = Timer(self.fleet.due_us(), self._tick)

    def _tick(self) -> None:
        try:
            self.fleet.tick(now_us())
            self._flush()
        except Exception:  # a view that is wrong must not end a process that serves
            log.exception("fleet: the protocol failed")
        self._rearm()

    # --- the socket ---

    def _readable(self) -> None:
        now = now_us()
        self._tokens = min(READ_BURST, self._tokens + (now - self._counted_us) * READS_PER_S / 1e6)
        self._counted_us = now
        while self._tokens >= 1.0:
            try:
                data, source = self._socket.recvfrom(MOST + 1)
            except (BlockingIOError, InterruptedError):
                break
            except OSError as error:  # what we sent could not be delivered: nothing new
                self.fleet.counts[f"socket: {error.strerror}"] += 1
                continue
            self._tokens -= 1.0
            try:
                self.fleet.receive(now, source, data)
            except Exception:
                log.exception("fleet: a datagram could not be taken")
        else:
            self._rest()
        self._flush()

    def _rest(self) -> None:
        """The budget is used up: what comes now is dropped by the kernel, unread."""
        self._loop.remove_reader(self._socket)
        self.fleet.counts["rests"] += 1
        self.fleet.doubt_ourselves(now_us())
        self._resting = self._loop.call_later(REST_S, self._wake)

    def _wake(self) -> None:
        self._resting = None
        self._loop.add_reader(self._socket, self._readable)

    def _flush(self) -> None:
        for to, data in self.fleet.sent():
            try:
                self._socket.sendto(data, to)
            except OSError as error:  # late or not at all: the protocol expects no more
                self.fleet.counts[f"socket: {error.strerror}"] += 1
        for event in self.fleet.told():
            self._note(event)
        view = self.fleet.table.view
        now = now_us()
        if view != self._view and now - self._viewed_us > 1_000_000 // VIEWS_PER_S:
            self._show_view(view, now)

    # --- evidence ---

    def witness(self, endpoint: str, outcome: Outcome) -> None:
        """The host's word on each attempt that has ended."""
        started = self._starts.get(endpoint)
        if started is not None:
            self.fleet.board.note(now_us(), Listed(endpoint, started), outcome)

    async def _weigh(self) -> None:
        while True:
            pool = [Listed(name, started_ms(launched)) for name, launched in self.host.ready_endpoints()]
            self._starts = {endpoint.id: endpoint.started_ms for endpoint in pool}
            self.fleet.board.forget_all_but(pool)
            parts = self.fleet.board.hearsay(now_us(), pool)
            if parts != self._parts:
                self._tell_parts(parts)
            await asyncio.sleep(HEARSAY_S)

    def _tell_parts(self, parts: Mapping[str, float]) -> None:
        for endpoint in parts.keys() - self._parts.keys():
            self._write(event="hearsay", endpoint=endpoint, part=round(parts[endpoint], 3))
        for endpoint in self._parts.keys() - parts.keys():
            self._write(event="hearsay", endpoint=endpoint, part=1.0)
        self._parts = parts
        self.host.hearsay(parts)

    # --- what is written down ---

    def _write(self, **fields: Any) -> None:
        if self.journal is not None:
            self.journal.line(t=round(time.time(), 6), n=self.options.name, **fields)

    def _note(self, event: Event) -> None:
        self._write(event=event.what, member=event.member, word=event.word)

    def _show_view(self, view: bytes, now: int) -> None:
        self._view, self._viewed_us = view, now
        self._write(event="view", view=view.hex(), here=self.fleet.table.here)

    def _counts(self) -> dict[str, Any]:
        return {"counts": dict(sorted(self.fleet.counts.items()))}

    def _show(self, now: int) -> None:
        if self.journal is None:
            return
        table, agreement = self.fleet.table, self.fleet.agreement(now - 20 * self.options.terms.period_us)
        self.journal.members(
            {
                "name": self.options.name,
                "at": round(time.time(), 3),
                "view": table.view.hex(),
                "here": table.here,
                "roster": agreement.roster,
                "same": len(agreement.same),
                "other": agreement.other,
                "unheard": agreement.unheard,
                "agreed": agreement.all_reached,
                "majority": agreement.majority,
                "slow": self.fleet.slow,
                "yielded": self.fleet.yielded,
                **self._counts(),
                "members": [described(member, now) for member in table.members.values()],
            }
        )

    async def _keep_books(self) -> None:
        shown = 0
        while True:
            now = now_us()
            if self.fleet.table.view != self._view:
                self._show_view(self.fleet.table.view, now)
            if now - shown > SHOW_S * 1e6:
                shown = now
                self._show(now)
            if self.journal is not None and self.journal.waits:
                await asyncio.to_thread(self.journal.flush)
            await asyncio.sleep(WRITE_S)


def _say_why(chore: asyncio.Task[None]) -> None:
    """A chore goes on for good: one that has ended has failed, and nothing else would tell."""
    if not chore.cancelled() and chore.exception() is not None:
        log.error("fleet: a chore has ended", exc_info=chore.exception())


def started_ms(launched_us: int) -> int:
    """An endpoint's start as discovery told it, the same at every sidecar; 0: long ago."""
    return (launched_us + UNIX_OFFSET_US) // 1000 if launched_us else 0


def join_fleet(options: Options, host: Any) -> FleetNode:
    """Let the host's outcomes be witnessed, and start once the loop runs."""
    port = FleetNode(options, host)
    if options.terms.knows:
        host.outcome_listener = port.witness
    return port
