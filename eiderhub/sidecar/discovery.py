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

MAX_LIST = 2 << 20  # bytes of a list: some 200 for each endpoint
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
        pace: PollSchedule,
        deliver: Callable[[ListForm, list[ListedEndpoint]], None],
        doubt: WatchSuspicion | None = None,
    ) -> None:
        self.host = host
        self.port = port
        self.generation = generation
        self.pace = pace
        self.deliver = deliver
        self.doubt = doubt
        self._task: asyncio.Task[None] | None = None
        self._asker = ListClient(MAX_LIST)
        self._beside: asyncio.Task[None] | None = None  # the question of a doubt

    def turn(self, on: bool) -> None:
        if on and self._task is None:
            self._task = asyncio.get_running_loop().create_task(self._run())
        elif not on:
            self._end_doubt()
            self._stop()

    def _stop(self) -> None:
        if self._task is not None:
            self._task.cancel()
            self._task = None
            self._asker.close_connection()  # its answer would come in for the next watch

    def refused(self, endpoint: str) -> None:
        """A listed endpoint has refused a connection."""
        doubt = self.doubt
        if doubt is None or self._task is None or self._beside is not None or self.pace.needs_full_list:
            return
        if doubt.connection_refused(endpoint, now_us()):
            self._beside = asyncio.get_running_loop().create_task(self._ask_beside(doubt))

    def _end_doubt(self) -> None:
        if self.doubt is not None:
            self.doubt.clear()
        if self._beside is not None:
            self._beside.cancel()
            self._beside = None

    async def _ask_beside(self, doubt: WatchSuspicion) -> None:
        """Wait for our turn, then ask on a connection of its own: a watch that is sound must not be lost for it."""
        await asyncio.sleep(doubt.delay_us / 1e6)
        asker, listing = ListClient(MAX_LIST), None
        try:
            listing = await self._put(asker, PollRequest(False, 0, RECHECK_TIMEOUT_S))
        except Exception as error:  # the watch goes on, and knows by itself when it has failed
            log.warning("discovery, asked in doubt: %s: %s", type(error).__name__, error)
        finally:
            asker.close_connection()
        news = listing is not None and listing.generation > self.generation
        doubt.polled(now_us(), news)
        self._beside = None
        if listing is not None and news:
            log.info("discovery: the watch has missed version %d", listing.generation)
            self._stop()
            try:
                self._take(listing)
            except Exception as error:  # the new watch asks for it again
                log.warning("discovery: %s: %s", type(error).__name__, error)
            self.turn(True)

    def change_address(self, host: str, port: int) -> None:
        """Watch at another address; the last list stays in use until that has told all of its own.

        What it tells first must be the whole list: its versions need not be those of the last address.
        """
        log.info("discovery moves to %s:%d", host, port)
        self.turn(False)
        self.host, self.port = host, port
        self.pace = self.pace.for_new_address()
        self.turn(True)

    async def _run(self) -> None:
        while True:
            try:
                self._take(await self._ask())
            except Exception as error:  # whatever it is, the list must not stay as it is for good
                log.warning("discovery: %s: %s", type(error).__name__, error)
                self._asker.close_connection()
                pause_s = self.pace.failed(isinstance(error, TimeoutError))
                if pause_s is None:
                    self._task = None
                    self.deliver(ListForm.FAILED, [])
                    return
                await asyncio.sleep(pause_s)

    def _take(self, listing: EndpointList) -> None:
        # The watch has spoken: no doubt is left. Nor may changes that were asked for before come in once the whole
        # list is owed: they would be taken for it.
        self._end_doubt()
        whole = listing.is_full or self.pace.needs_full_list
        if not whole and listing.generation < self.generation:
            # Changes since a version that is not ours: what happened in between is told by the whole list alone.
            log.warning("discovery: version %d after %d", listing.generation, self.generation)
            self.pace.needs_full_list = True
            return
        self.deliver(ListForm.FULL if whole else ListForm.DELTA, listing.entries)
        self.generation = listing.generation
        self.pace.succeeded()

    async def _ask(self) -> EndpointList:
        return await self._put(self._asker, self.pace.next_poll())

    async def _put(self, asker: ListClient, question: PollRequest) -> EndpointList:
        path = "/discovery/hosts"
        if not question.is_full:
            path = f"{path}?after={self.generation}&wait_ms={question.wait_ms}"
        request = f"GET {path} HTTP/1.1\r\nHost: {self.host}:{self.port}\r\n\r\n".encode()
        response = await asker.fetch(self.host, self.port, request, question.timeout_s)
        if response.status != 200:
            raise ValueError(f"answered {response.status}")
        return read_endpoint_list(json.loads(response.body))
