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
from eiderhub.membership.open_requests import EndedRequest, ListSource, OpenRequests
from eiderhub.membership.poll_schedule import PollRequest, PollSchedule
from eiderhub.membership.watch_suspicion import WatchSuspicion
from eiderhub.sidecar.clock import now_us
from eiderhub.sidecar.list_check import CHANGES, ListCheck

MAX_LIST_BYTES = 2 << 20  # an endpoint takes about 200 bytes
CHECK_SPREAD_S = 1.0  # over which the instances check their lists after a reload; a check is answered within 3 s more
log = logging.getLogger(__name__)


class Watcher:
    """Keeps one watch open while it is active, and delivers the lists that it receives.

    A request that fails or is late is followed by another one, when the schedule says; a late one stays open for a
    while, and the first answer ends all others. If a watch is under suspicion, or the configuration was reloaded, the
    list is fetched on a separate connection; the watch is kept unless it has missed a version.
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
        self._source = ListSource(host, port, 0)
        self._listed_by = self._source  # the source of the list in use
        self.generation = generation  # of the list in use
        self.schedule = schedule
        self.deliver = deliver
        self.suspicion = suspicion
        self._task: asyncio.Task[None] | None = None
        self._requests = OpenRequests(lambda: ListClient(MAX_LIST_BYTES))
        self._list_check = ListCheck(
            lambda: ListClient(MAX_LIST_BYTES),
            lambda client, poll_request: self._fetch(client, self._source, poll_request),
            self._on_check_ended,
        )
        self._last_answer_us = now_us()  # until the first answer, when the watcher was created
        self._failed_requests = 0  # since the last answer
        self._sent_us = 0  # when the last request was sent

    @property
    def host(self) -> str:
        """The host of the address that is watched."""
        return self._source.host

    @property
    def port(self) -> int:
        """The port of the address that is watched."""
        return self._source.port

    def set_active(self, active: bool) -> None:
        """Start the watch, or end it."""
        if active and self._task is None:
            self._task = asyncio.get_running_loop().create_task(self._run())
        elif not active:
            self._clear_suspicion()
            self._stop()

    def _stop(self) -> None:
        self._stop_sending()
        self._requests.close()

    def _stop_sending(self) -> None:
        if self._task is not None:
            self._task.cancel()
            self._task = None

    def on_connection_refused(self, endpoint: str) -> None:
        """Note that a listed endpoint has refused a connection, which may put the watch under suspicion."""
        suspicion = self.suspicion
        if suspicion is None or self._task is None or self._list_check.is_running:
            return
        if self.schedule.needs_full_list or self.schedule.is_failing:
            return  # there is no open watch to be checked
        if suspicion.connection_refused(endpoint, now_us()):
            self._list_check.start(suspicion.delay_us / 1e6, CHANGES)

    def describe_state(self) -> str:
        """Return the list's version and how current it is, for the log."""
        age_s = (now_us() - self._last_answer_us) / 1e6
        failures = f", {self._failed_requests} requests failed since" if self._failed_requests else ""
        return f"list of version {self.generation}, last answer of discovery {age_s:.1f} s ago{failures}"

    def _clear_suspicion(self) -> None:
        if self.suspicion is not None:
            self.suspicion.clear()
        self._list_check.cancel()

    def _on_check_ended(self, endpoint_list: EndpointList | None) -> None:
        has_missed_version = endpoint_list is not None and self._is_missed(endpoint_list)
        if self.suspicion is not None:
            self.suspicion.polled(now_us(), has_missed_version)
        if endpoint_list is not None and has_missed_version:
            self._replace_watch(endpoint_list)

    def _is_missed(self, endpoint_list: EndpointList) -> bool:
        """Return whether a list that was fetched by a check contains what the watch has not sent.

        The full list may have an older version too, if discovery has restarted.
        """
        if endpoint_list.is_full:
            return endpoint_list.generation != self.generation
        return endpoint_list.generation > self.generation

    def _replace_watch(self, endpoint_list: EndpointList) -> None:
        """Apply a list that the watch has missed, and open a new watch."""
        log.info("discovery: the watch has missed version %d", endpoint_list.generation)
        self._stop()
        try:
            self._apply(endpoint_list)
        except Exception as error:  # the new watch fetches it again
            log.warning("discovery: %s: %s", type(error).__name__, error)
        self.set_active(True)

    def change_address(self, host: str, port: int) -> None:
        """Watch the address of a new configuration, which may be the present one.

        If it is another one, its first list must be a full one, because the versions of two addresses are unrelated.
        Until it has come the last list stays in use, and so do the open requests to former addresses: however often the
        address changes, the answer to one of them is taken.
        """
        if self._task is not None and (host, port) == (self.host, self.port):
            self._check_after_reload()
            return
        log.info("discovery: the address changes to %s:%d", host, port)
        self._clear_suspicion()
        self._stop_sending()
        self._requests.keep_for_former_source()
        self._source = ListSource(host, port, self._source.number + 1)
        self.schedule = self.schedule.for_new_address()
        self.set_active(True)

    def _check_after_reload(self) -> None:
        """Fetch the full list while the watch stays open: what discovery has counts as notified 4 s after a reload.

        An agent is polled several times within the notification's grace anyway.
        """
        if not self.schedule.uses_local_agent and not self.schedule.needs_full_list:
            self._list_check.start_full(self.schedule.offset * CHECK_SPREAD_S)

    async def _run(self) -> None:
        while True:
            poll_request = self.schedule.next_poll(now_us())
            self._send(poll_request)
            await self._await_next_poll(poll_request.timeout_s)

    def _send(self, poll_request: PollRequest) -> None:
        kept_request = poll_request._replace(timeout_s=poll_request.timeout_s + self.schedule.late_answer_s)
        self._sent_us = now_us()
        source = self._source
        self._requests.send(source, lambda client: self._fetch(client, source, kept_request))

    async def _await_next_poll(self, timeout_s: float) -> None:
        """Wait until the next request is to be sent: after an answer, or after a failure and the pause that follows.

        `timeout_s` is the time after which the current request is late.
        """
        due_us = now_us() + int(timeout_s * 1e6)
        while True:
            ended = await self._requests.next_ended((due_us - now_us()) / 1e6)
            if ended is not None and ended.request.source is not self._source:
                self._take_from_former_source(ended)
                continue
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

    def _take_from_former_source(self, ended: EndedRequest) -> None:
        """Apply a list from a former address, unless a later address has sent one already.

        The full list of the present address is still needed after that.
        """
        source, endpoint_list = ended.request.source, ended.outcome
        ended.request.close()
        if isinstance(endpoint_list, Exception) or source.number < self._listed_by.number:
            return
        if not endpoint_list.is_full and (source is not self._listed_by or endpoint_list.generation < self.generation):
            return  # the list that it changes is not in use
        try:
            self._use_list(source, endpoint_list)
        except Exception as error:  # the list of the present address is requested already
            log.warning("discovery: %s: %s", type(error).__name__, error)

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

    def _log_list(self, endpoint_list: EndpointList) -> None:
        if self._failed_requests:
            log.info("discovery: answers again; %s", self.describe_state())
        if endpoint_list.entries or endpoint_list.is_full:
            log.info(
                "discovery: version %d after %d, %s: %s",
                endpoint_list.generation,
                self.generation,
                "the full list" if endpoint_list.is_full else "changes",
                describe_entries(endpoint_list.entries),
            )

    def _apply(self, endpoint_list: EndpointList) -> None:
        # The watch has answered, so the suspicion is cleared. This also cancels a fetch of changes, whose answer would
        # be mistaken for the full list if that is needed from now on.
        self._clear_suspicion()
        if not endpoint_list.is_full and endpoint_list.generation < self.generation:
            # The changes start from an unknown version: only the full list contains what happened in between.
            log.warning("discovery: received version %d after version %d", endpoint_list.generation, self.generation)
            self.schedule.needs_full_list = True
            return
        self._use_list(self._source, endpoint_list)
        self._failed_requests = 0
        self.schedule.succeeded()

    def _use_list(self, source: ListSource, endpoint_list: EndpointList) -> None:
        self.deliver(ListForm.FULL if endpoint_list.is_full else ListForm.DELTA, endpoint_list.entries)
        self._log_list(endpoint_list)
        self._listed_by, self.generation = source, endpoint_list.generation
        self._last_answer_us = now_us()

    async def _fetch(self, client: ListClient, source: ListSource, poll_request: PollRequest) -> EndpointList:
        path = "/discovery/hosts"
        if not poll_request.is_full:
            path = f"{path}?after={self.generation}&wait_ms={poll_request.wait_ms}"
        request = f"GET {path} HTTP/1.1\r\nHost: {source.host}:{source.port}\r\n\r\n".encode()
        response = await client.fetch(source.host, source.port, request, poll_request.timeout_s)
        if response.status != 200:
            raise ValueError(f"answered {response.status}")
        endpoint_list = read_endpoint_list(json.loads(response.body))
        return endpoint_list._replace(is_full=True) if poll_request.is_full else endpoint_list
