"""Discovery: lists of endpoints, and the watch on their changes."""

from __future__ import annotations

import asyncio
import json
import logging
from collections.abc import Callable

from eiderhub.interface import ListForm
from eiderhub.membership.endpoint_list import EndpointList, ListedEndpoint, read_endpoint_list
from eiderhub.membership.list_client import ListClient
from eiderhub.membership.poll_schedule import RECHECK_TIMEOUT_S, PollRequest, PollSchedule
from eiderhub.membership.watch_suspicion import WatchSuspicion
from eiderhub.sidecar.clock import now_us

MAX_LIST_BYTES = 2 << 20  # bytes of a list: some 200 for each endpoint
log = logging.getLogger(__name__)


class Watcher:
    """Keeps one watch open while it is on. Where lists are asked for, one that fails ends, and the module decides when
    to ask again; one that falls silent is opened anew first, for there is no time to ask it. One that is doubted is
    asked beside: it stays as it is unless it has missed something."""

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
        self._client = ListClient(MAX_LIST_BYTES)
        self._recheck_task: asyncio.Task[None] | None = None  # the question of a doubt

    def set_active(self, active: bool) -> None:
        if active and self._task is None:
            self._task = asyncio.get_running_loop().create_task(self._run())
        elif not active:
            self._clear_suspicion()
            self._stop()

    def _stop(self) -> None:
        if self._task is not None:
            self._task.cancel()
            self._task = None
            self._client.close_connection()  # its answer would come in for the next watch

    def on_connection_refused(self, endpoint: str) -> None:
        """A listed endpoint has refused a connection."""
        suspicion = self.suspicion
        if suspicion is None or self._task is None or self._recheck_task is not None or self.schedule.needs_full_list:
            return
        if suspicion.connection_refused(endpoint, now_us()):
            self._recheck_task = asyncio.get_running_loop().create_task(self._recheck(suspicion))

    def _clear_suspicion(self) -> None:
        if self.suspicion is not None:
            self.suspicion.clear()
        if self._recheck_task is not None:
            self._recheck_task.cancel()
            self._recheck_task = None

    async def _recheck(self, suspicion: WatchSuspicion) -> None:
        """Wait for our turn, then ask on a connection of its own: a watch that is sound must not be lost for it."""
        await asyncio.sleep(suspicion.delay_us / 1e6)
        client, endpoint_list = ListClient(MAX_LIST_BYTES), None
        try:
            endpoint_list = await self._fetch(client, PollRequest(False, 0, RECHECK_TIMEOUT_S))
        except Exception as error:  # the watch goes on, and knows by itself when it has failed
            log.warning("discovery, asked in doubt: %s: %s", type(error).__name__, error)
        finally:
            client.close_connection()
        is_newer = endpoint_list is not None and endpoint_list.generation > self.generation
        suspicion.polled(now_us(), is_newer)
        self._recheck_task = None
        if endpoint_list is not None and is_newer:
            log.info("discovery: the watch has missed version %d", endpoint_list.generation)
            self._stop()
            try:
                self._apply(endpoint_list)
            except Exception as error:  # the new watch asks for it again
                log.warning("discovery: %s: %s", type(error).__name__, error)
            self.set_active(True)

    def change_address(self, host: str, port: int) -> None:
        """Watch at another address; the last list stays in use until that has told all of its own.

        What it tells first must be the whole list: its versions need not be those of the last address.
        """
        log.info("discovery moves to %s:%d", host, port)
        self.set_active(False)
        self.host, self.port = host, port
        self.schedule = self.schedule.for_new_address()
        self.set_active(True)

    async def _run(self) -> None:
        while True:
            try:
                self._apply(await self._poll())
            except Exception as error:  # whatever it is, the list must not stay as it is for good
                log.warning("discovery: %s: %s", type(error).__name__, error)
                self._client.close_connection()
                pause_s = self.schedule.failed(isinstance(error, TimeoutError))
                if pause_s is None:
                    self._task = None
                    self.deliver(ListForm.FAILED, [])
                    return
                await asyncio.sleep(pause_s)

    def _apply(self, endpoint_list: EndpointList) -> None:
        # The watch has spoken: no doubt is left. Nor may changes that were asked for before come in once the whole
        # list is owed: they would be taken for it.
        self._clear_suspicion()
        is_full = endpoint_list.is_full or self.schedule.needs_full_list
        if not is_full and endpoint_list.generation < self.generation:
            # Changes since a version that is not ours: what happened in between is told by the whole list alone.
            log.warning("discovery: version %d after %d", endpoint_list.generation, self.generation)
            self.schedule.needs_full_list = True
            return
        self.deliver(ListForm.FULL if is_full else ListForm.DELTA, endpoint_list.entries)
        self.generation = endpoint_list.generation
        self.schedule.succeeded()

    async def _poll(self) -> EndpointList:
        return await self._fetch(self._client, self.schedule.next_poll())

    async def _fetch(self, client: ListClient, poll_request: PollRequest) -> EndpointList:
        path = "/discovery/hosts"
        if not poll_request.is_full:
            path = f"{path}?after={self.generation}&wait_ms={poll_request.wait_ms}"
        request = f"GET {path} HTTP/1.1\r\nHost: {self.host}:{self.port}\r\n\r\n".encode()
        response = await client.fetch(self.host, self.port, request, poll_request.timeout_s)
        if response.status != 200:
            raise ValueError(f"answered {response.status}")
        return read_endpoint_list(json.loads(response.body))
