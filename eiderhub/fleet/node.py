"""The I/O of one fleet member: its socket, timers, event log, and the exchange of evidence with the host.

All decisions are the protocol's. Datagrams beyond the read budget stay in the kernel's buffer and are lost unread when
it is full, so that a flood of junk does not delay requests.
"""

from __future__ import annotations

import asyncio
import logging
import secrets
import socket
import time
from collections.abc import Mapping
from typing import Any, Protocol

from eiderhub.fleet.event_log import EventLog
from eiderhub.fleet.evidence import EndpointStart
from eiderhub.fleet.messages import MAX_DATAGRAM_BYTES, Codec
from eiderhub.fleet.options import Options
from eiderhub.fleet.protocol import Event, SwimProtocol, describe_member
from eiderhub.interface import Outcome
from eiderhub.sidecar.clock import UNIX_OFFSET_US, Timer, now_us

MAX_READS_PER_S = 2000  # datagrams: an unknown sender's takes about 2 us, one that is decoded about 60 us
MAX_READ_BURST = 64  # datagrams in one iteration of the event loop: up to 4 ms
READ_PAUSE_S = 0.02  # pause of reading after the budget is used up
RECEIVE_BUFFER_BYTES = 1 << 16  # of the kernel
EVIDENCE_INTERVAL_S = 0.25  # between evaluations of the evidence
FLUSH_INTERVAL_S = 0.1  # between writes of pending events
MEMBERS_INTERVAL_S = 5.0  # between writes of the table of members
MAX_VIEW_EVENTS_PER_S = 10  # events for changed views outside the periodic writes
log = logging.getLogger(__name__)


class EvidenceHost(Protocol):
    """The part of the host that evidence needs."""

    def ready_endpoints(self) -> list[tuple[str, int]]:
        """Return the ids and starts of the ready endpoints; starts are on the decision module's clock."""

    def hearsay(self, kept_shares: Mapping[str, float]) -> None: ...


class FleetNode:
    """Runs one member's protocol on an event loop."""

    def __init__(self, options: Options, host: EvidenceHost) -> None:
        self.options = options
        self.host = host
        wall_s = int(time.time() + options.clock_offset_s)
        self.protocol = SwimProtocol(
            options.name, options.address, options.build, Codec(options.key), options.config, secrets.randbits(64),
            wall_s, now_us(),
        )  # fmt: skip
        self.event_log = EventLog(options.folder) if options.folder else None
        self._loop = asyncio.get_running_loop()
        self._tick_timer: Timer | None = None
        self._read_tokens = float(MAX_READ_BURST)
        self._tokens_refilled_us = now_us()
        self._read_pause: asyncio.TimerHandle | None = None
        self._tasks: list[asyncio.Task[None]] = []
        self._kept_shares: Mapping[str, float] = {}
        self._started_ms: dict[str, int] = {}
        self._written_view = b""
        self._view_written_us = 0

    def start(self) -> None:
        """Bind the socket and start the protocol. Raises OSError if the address can't be bound."""
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setblocking(False)
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        self._socket.bind(self.options.listen)
        self._loop.add_reader(self._socket, self._on_readable)
        log.info("fleet: %s listens on %s:%d", self.options.name, *self._socket.getsockname())
        self._log_event(
            event="start", incarnation=self.protocol.table.own_update.incarnation, build=self.options.build.hex()
        )
        self._tasks = [self._loop.create_task(self._write_periodically())]
        if self.options.config.shares_evidence:
            self._tasks.append(self._loop.create_task(self._evaluate_evidence()))
        for task in self._tasks:
            task.add_done_callback(_log_task_failure)
        self._schedule_tick()

    def stop(self) -> None:
        """Announce that the member leaves, close the socket and write the pending events."""
        self.protocol.leave(now_us())
        self._send_pending()
        for task in self._tasks:
            task.cancel()
        if self._tick_timer is not None:
            self._tick_timer.cancel()
        if self._read_pause is not None:
            self._read_pause.cancel()
        self._loop.remove_reader(self._socket)
        self._socket.close()
        self._log_event(event="stop", **self._counters())
        if self.event_log is not None:
            self._loop.run_in_executor(None, self.event_log.flush)  # the drain does not wait for a disk

    def adopt(self, build: bytes) -> None:
        """Announce the build of a reloaded configuration."""
        self.protocol.set_build(now_us(), build)
        self._send_pending()

    # --- timers ---

    def _schedule_tick(self) -> None:
        self._tick_timer = Timer(self.protocol.due_us(), self._tick)

    def _tick(self) -> None:
        try:
            self.protocol.tick(now_us())
            self._send_pending()
        except Exception:  # a failure of the protocol must not end a process that serves requests
            log.exception("fleet: the protocol failed")
        self._schedule_tick()

    # --- the socket ---

    def _on_readable(self) -> None:
        now = now_us()
        self._read_tokens = min(
            MAX_READ_BURST, self._read_tokens + (now - self._tokens_refilled_us) * MAX_READS_PER_S / 1e6
        )
        self._tokens_refilled_us = now
        while self._read_tokens >= 1.0:
            try:
                data, source = self._socket.recvfrom(MAX_DATAGRAM_BYTES + 1)
            except (BlockingIOError, InterruptedError):
                break
            except OSError as error:  # an earlier datagram could not be delivered, which the probes detect anyway
                self.protocol.counts[f"socket: {error.strerror}"] += 1
                continue
            self._read_tokens -= 1.0
            try:
                self.protocol.receive(now, source, data)
            except Exception:
                log.exception("fleet: a datagram could not be handled")
        else:
            self._pause_reading()
        self._send_pending()

    def _pause_reading(self) -> None:
        """Stop reading for a while, since the budget is used up: the kernel drops what exceeds its buffer."""
        self._loop.remove_reader(self._socket)
        self.protocol.counts["rests"] += 1
        self.protocol.record_overload(now_us())
        self._read_pause = self._loop.call_later(READ_PAUSE_S, self._resume_reading)

    def _resume_reading(self) -> None:
        self._read_pause = None
        self._loop.add_reader(self._socket, self._on_readable)

    def _send_pending(self) -> None:
        for destination, data in self.protocol.take_datagrams():
            try:
                self._socket.sendto(data, destination)
            except OSError as error:  # the protocol tolerates lost datagrams
                self.protocol.counts[f"socket: {error.strerror}"] += 1
        for event in self.protocol.take_events():
            self._log_protocol_event(event)
        view = self.protocol.table.view
        now = now_us()
        if view != self._written_view and now - self._view_written_us > 1_000_000 // MAX_VIEW_EVENTS_PER_S:
            self._log_view(view, now)

    # --- evidence ---

    def record_outcome(self, endpoint: str, outcome: Outcome) -> None:
        """Record the outcome of an attempt; the host calls it for each attempt that ends."""
        started_ms = self._started_ms.get(endpoint)
        if started_ms is not None:
            self.protocol.evidence.record(now_us(), EndpointStart(endpoint, started_ms), outcome)

    async def _evaluate_evidence(self) -> None:
        while True:
            pool = [EndpointStart(name, unix_start_ms(started_us)) for name, started_us in self.host.ready_endpoints()]
            self._started_ms = {endpoint.id: endpoint.started_ms for endpoint in pool}
            self.protocol.evidence.retain_only(pool)
            kept_shares = self.protocol.evidence.kept_shares(now_us(), pool)
            if kept_shares != self._kept_shares:
                self._publish_kept_shares(kept_shares)
            await asyncio.sleep(EVIDENCE_INTERVAL_S)

    def _publish_kept_shares(self, kept_shares: Mapping[str, float]) -> None:
        for endpoint in kept_shares.keys() - self._kept_shares.keys():
            self._log_event(event="hearsay", endpoint=endpoint, part=round(kept_shares[endpoint], 3))
        for endpoint in self._kept_shares.keys() - kept_shares.keys():
            self._log_event(event="hearsay", endpoint=endpoint, part=1.0)
        self._kept_shares = kept_shares
        self.host.hearsay(kept_shares)

    # --- event log ---

    def _log_event(self, **fields: Any) -> None:
        if self.event_log is not None:
            self.event_log.append(t=round(time.time(), 6), n=self.options.name, **fields)

    def _log_protocol_event(self, event: Event) -> None:
        self._log_event(event=event.kind, member=event.member, word=event.detail)

    def _log_view(self, view: bytes, now: int) -> None:
        self._written_view, self._view_written_us = view, now
        self._log_event(event="view", view=view.hex(), here=self.protocol.table.present_count)

    def _counters(self) -> dict[str, Any]:
        return {"counts": dict(sorted(self.protocol.counts.items()))}

    def _write_members(self, now: int) -> None:
        if self.event_log is None:
            return
        table, agreement = self.protocol.table, self.protocol.agreement(now - 20 * self.options.config.period_us)
        self.event_log.set_members(
            {
                "name": self.options.name,
                "at": round(time.time(), 3),
                "view": table.view.hex(),
                "here": table.present_count,
                "roster": agreement.expected_members,
                "same": len(agreement.agreeing),
                "other": agreement.differing,
                "unheard": agreement.not_heard,
                "agreed": agreement.is_unanimous,
                "majority": agreement.has_majority,
                "slow": self.protocol.local_health_score,
                "yielded": self.protocol.has_lost_name,
                **self._counters(),
                "members": [describe_member(member, now) for member in table.members.values()],
            }
        )

    async def _write_periodically(self) -> None:
        members_written_us = 0
        while True:
            now = now_us()
            if self.protocol.table.view != self._written_view:
                self._log_view(self.protocol.table.view, now)
            if now - members_written_us > MEMBERS_INTERVAL_S * 1e6:
                members_written_us = now
                self._write_members(now)
            if self.event_log is not None and self.event_log.has_pending:
                await asyncio.to_thread(self.event_log.flush)
            await asyncio.sleep(FLUSH_INTERVAL_S)


def _log_task_failure(task: asyncio.Task[None]) -> None:
    """Log the exception of a background task, which would otherwise stay unnoticed: none of them ends by itself."""
    if not task.cancelled() and task.exception() is not None:
        log.error("fleet: a background task has failed", exc_info=task.exception())


def unix_start_ms(started_us: int) -> int:
    """Convert an endpoint's start to Unix time in milliseconds, equal at all sidecars; 0 (long ago) stays 0."""
    return (started_us + UNIX_OFFSET_US) // 1000 if started_us else 0


def join_fleet(options: Options, host: Any) -> FleetNode:
    """Return a node, still to be started, that receives the host's outcomes if evidence is shared."""
    node = FleetNode(options, host)
    if options.config.shares_evidence:
        host.outcome_listener = node.record_outcome
    return node
