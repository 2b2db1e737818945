"""The client of the discovery service: fetches endpoint lists and watches for their changes."""

from __future__ import annotations

import asyncio
import json
import logging
from collections.abc import Callable

from eiderhub.interface import ListForm
from eiderhub.membership.endpoint_list import (
    EndpointList,
    ListedEndpoint,
    describe_entries,
    read_endpoint_list,
)
from eiderhub.membership.list_client import ListClient
from eiderhub.membership.open_requests import EndedRequest, OpenRequests
from eiderhub.membership.poll_schedule import ANSWER_TIMEOUT_S, PollRequest, PollSchedule
from eiderhub.membership.watch_suspicion import WatchSuspicion
from eiderhub.sidecar.clock import now_us

MAX_LIST_BYTES = 2 << 20  # an endpoint takes about 200 bytes
log = logging.getLogger(__name__)


class Watcher:
    """Keeps one watch open while it is active, and delivers the lists that it receives.

    A request that fails or is late is followed by another one, when the schedule says; a late one stays open for a
    while, and the first answer ends all others. If a watch is under suspicion, the list is fetched on a separate
    connection; the watch is kept unless it has missed a version.
    """

    def __init__(
        self,
        host: str,
        port: int,
        generation: int,
        schedule: PollSchedule,
        deliver: Callable[[ListForm, list[ListedEndpoint]], None],
        suspicion: WatchSuspicion | None = None,
    ) -> None:
        self.host = host
        self.port = port
        self.generation = generation
        self.schedule = schedule
        self.deliver = deliver
        self.suspicion = suspicion
        self._task: asyncio.Task[None] | None = None
        self._requests = OpenRequests(lambda: ListClient(MAX_LIST_BYTES))
        self._check_task: asyncio.Task[None] | None = None  # fetches the list on a separate connection
        self._last_answer_us = now_us()  # until the first answer, when the watcher was created
        self._failed_requests = 0  # since the last answer
        self._sent_us = 0  # when the last request was sent

    def set_active(self, active: bool) -> None:
        """Start the watch, or end it."""
        if active and self._task is None:
            self._task = asyncio.get_running_loop().create_task(self._run())
        elif not active:
            self._clear_suspicion()
            self._stop()

    def _stop(self) -> None:
        if self._task is not None:
            self._task.cancel()
            self._task = None
            self._requests.close()

    def on_connection_refused(self, endpoint: str) -> None:
        """Note that a listed endpoint has refused a connection, which may put the watch under suspicion."""
        suspicion = self.suspicion
        if suspicion is None or self._task is None or self._check_task is not None:
            return
        if self.schedule.needs_full_list or self.schedule.is_failing:
            return  # there is no open watch to be checked
        if suspicion.connection_refused(endpoint, now_us()):
            self._check_task = asyncio.get_running_loop().create_task(self._check_suspected_watch(suspicion))

    def describe_state(self) -> str:
        """Return the list's version and how current it is, for the log."""
        age_s = (now_us() - self._last_answer_us) / 1e6
        failures = f", {self._failed_requests} requests failed since" if self._failed_requests else ""
        return f"list of version {self.generation}, last answer of discovery {age_s:.1f} s ago{failures}"

    def _clear_suspicion(self) -> None:
        if self.suspicion is not None:
            self.suspicion.clear()
        if self._check_task is not None:
            self._check_task.cancel()
            self._check_task = None

    async def _check_suspected_watch(self, suspicion: WatchSuspicion) -> None:
        """Wait for this instance's offset, then fetch the list on a separate connection.

        A watch that works must not be lost for this.
        """
        await asyncio.sleep(suspicion.delay_us / 1e6)
        client, endpoint_list = ListClient(MAX_LIST_BYTES), None
        try:
            endpoint_list = await self._fetch(client, PollRequest(False, 0, ANSWER_TIMEOUT_S))
        except Exception as error:  # the watch continues and detects its own failures
            log.warning("discovery: checking a suspected watch failed: %s: %s", type(error).__name__, error)
        finally:
            client.close_connection()
        is_newer = endpoint_list is not None and endpoint_list.generation > self.generation
        suspicion.polled(now_us(), is_newer)
        self._check_task = None
        if endpoint_list is not None and is_newer:
            log.info("discovery: the watch has missed version %d", endpoint_list.generation)
            self._stop()
            try:
                self._apply(endpoint_list)
            except Exception as error:  # the new watch fetches it again
                log.warning("discovery: %s: %s", type(error).__name__, error)
            self.set_active(True)

    def change_address(self, host: str, port: int) -> None:
        """Watch another address; the last list stays in use until the new address has sent its full list.

        The first list must be a full one, because the versions of two addresses are unrelated.
        """
        log.info("discovery: the address changes to %s:%d", host, port)
        self.set_active(False)
        self.host, self.port = host, port
        self.schedule = self.schedule.for_new_address()
        self.set_active(True)

    async def _run(self) -> None:
        while True:
            poll_request = self.schedule.next_poll(now_us())
            self._send(poll_request)
            await self._await_next_poll(poll_request.timeout_s)

    def _send(self, poll_request: PollRequest) -> None:
        kept_request = poll_request._replace(timeout_s=poll_request.timeout_s + self.schedule.late_answer_s)
        self._sent_us = now_us()
        self._requests.send(lambda client: self._fetch(client, kept_request))

    async def _await_next_poll(self, timeout_s: float) -> None:
        """Wait until the next request is to be sent: after an answer, or after a failure and the pause that follows.

        `timeout_s` is the time after which the current request is late.
        """
        due_us = now_us() + int(timeout_s * 1e6)
        while True:
            ended = await self._requests.next_ended((due_us - now_us()) / 1e6)
            if ended is not None:
                error = self._take(ended)
                if error is None:
                    return
                if not ended.is_current:
                    continue
            elif self._requests.has_current:
                self._requests.set_current_aside()
                error = TimeoutError("late")
            else:
                return
            due_us = now_us() + int(self._note_failure(error) * 1e6)

    def _take(self, ended: EndedRequest) -> Exception | None:
        """Apply the list that a request was answered with; return the error if there is none, or it can't be applied.

        After any error the watch goes on, or the list would stay out of date.
        """
        if isinstance(ended.outcome, Exception):
            return ended.outcome
        try:
            self._apply(ended.outcome)
        except Exception as error:
            ended.request.close()
            return error.with_traceback(None)
        self._requests.close_all_but(ended.request)
        return None

    def _note_failure(self, error: Exception) -> float:
        """Return the seconds until the next request, after the current one has failed or is late."""
        pause_s = self.schedule.failed(now_us(), isinstance(error, TimeoutError))
        self._log_failure(error, pause_s)
        self.deliver(ListForm.FAILED, [])
        return pause_s

    def _log_failure(self, error: Exception, pause_s: float) -> None:
        self._failed_requests += 1
        log.warning(
            "discovery: %s: %s; failure %d in a row, after %.2f s; the next request in %.2f s",
            type(error).__name__,
            error,
            self._failed_requests,
            (now_us() - self._sent_us) / 1e6,
            pause_s,
        )

    def _log_list(self, endpoint_list: EndpointList, is_full: bool) -> None:
        if self._failed_requests:
            log.info("discovery: answers again; %s", self.describe_state())
        if endpoint_list.entries or is_full:
            log.info(
                "discovery: version %d after %d, %s: %s",
                endpoint_list.generation,
                self.generation,
                "the full list" if is_full else "changes",
                describe_entries(endpoint_list.entries),
            )

    def _apply(self, endpoint_list: EndpointList) -> None:
        # The watch has answered, so the suspicion is cleared. This also cancels a fetch of changes, whose answer would
        # be mistaken for the full list if that is needed from now on.
        self._clear_suspicion()
        is_full = endpoint_list.is_full or self.schedule.needs_full_list
        if not is_full and endpoint_list.generation < self.generation:
            # The changes start from an unknown version: only the full list contains what happened in between.
            log.warning("discovery: received version %d after version %d", endpoint_list.generation, self.generation)
            self.schedule.needs_full_list = True
            return
        self.deliver(ListForm.FULL if is_full else ListForm.DELTA, endpoint_list.entries)
        self._log_list(endpoint_list, is_full)
        self.generation = endpoint_list.generation
        self._last_answer_us, self._failed_requests = now_us(), 0
        self.schedule.succeeded()

    async def _fetch(self, client: ListClient, poll_request: PollRequest) -> EndpointList:
        path = "/discovery/hosts"
        if not poll_request.is_full:
            path = f"{path}?after={self.generation}&wait_ms={poll_request.wait_ms}"
        request = f"GET {path} HTTP/1.1\r\nHost: {self.host}:{self.port}\r\n\r\n".encode()
        response = await client.fetch(self.host, self.port, request, poll_request.timeout_s)
        if response.status != 200:
            raise ValueError(f"answered {response.status}")
        return read_endpoint_list(json.loads(response.body))
