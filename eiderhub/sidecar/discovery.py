"""Discovery: lists of endpoints, and the watch on their changes."""

from __future__ import annotations

import asyncio
import json
import logging
from collections.abc import Callable

from eiderhub.interface import ListForm
from eiderhub.membership.asker import Asker
from eiderhub.membership.listing import Listed, Listing, read_listing
from eiderhub.membership.pace import Pace

MAX_LIST = 2 << 20  # bytes of a list: some 200 for each endpoint
log = logging.getLogger(__name__)


class Watcher:
    """Keeps one watch open while it is on. Where lists are asked for, one that fails ends, and the module decides when
    to ask again; one that falls silent is opened anew first, for there is no time to ask it."""

    def __init__(
        self,
        host: str,
        port: int,
        generation: int,
        pace: Pace,
        deliver: Callable[[ListForm, list[Listed]], None],
    ) -> None:
        self.host = host
        self.port = port
        self.generation = generation
        self.pace = pace
        self.deliver = deliver
        self._task: asyncio.Task[None] | None = None
        self._asker = Asker(MAX_LIST)

    def turn(self, on: bool) -> None:
        if on and self._task is None:
            self._task = asyncio.get_running_loop().create_task(self._run())
        elif not on and self._task is not None:
            self._task.cancel()
            self._task = None
            self._asker.hang_up()  # its answer would come in for the next watch

    def move(self, host: str, port: int) -> None:
        """Watch at another address; the last list stays in use until that has told all of its own.

        What it tells first must be the whole list: its versions need not be those of the last address.
        """
        log.info("discovery moves to %s:%d", host, port)
        self.turn(False)
        self.host, self.port = host, port
        self.pace = self.pace.elsewhere()
        self.turn(True)

    async def _run(self) -> None:
        while True:
            try:
                self._take(await self._ask())
            except Exception as error:  # whatever it is, the list must not stay as it is for good
                log.warning("discovery: %s: %s", type(error).__name__, error)
                self._asker.hang_up()
                pause_s = self.pace.failed(isinstance(error, TimeoutError))
                if pause_s is None:
                    self._task = None
                    self.deliver(ListForm.FAILED, [])
                    return
                await asyncio.sleep(pause_s)

    def _take(self, listing: Listing) -> None:
        whole = listing.whole or self.pace.whole
        if not whole and listing.generation < self.generation:
            # Changes since a version that is not ours: what happened in between is told by the whole list alone.
            log.warning("discovery: version %d after %d", listing.generation, self.generation)
            self.pace.whole = True
            return
        self.deliver(ListForm.FULL if whole else ListForm.DELTA, listing.entries)
        self.generation = listing.generation
        self.pace.answered()

    async def _ask(self) -> Listing:
        question = self.pace.question()
        path = "/discovery/hosts"
        if not question.whole:
            path = f"{path}?after={self.generation}&wait_ms={question.wait_ms}"
        request = f"GET {path} HTTP/1.1\r\nHost: {self.host}:{self.port}\r\n\r\n".encode()
        response = await self._asker.ask(self.host, self.port, request, question.patience_s)
        if response.status != 200:
            raise ValueError(f"answered {response.status}")
        return read_listing(json.loads(response.body))
