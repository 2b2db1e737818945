"""Discovery: lists of endpoints, and the watch on their changes."""

from __future__ import annotations

import asyncio
import json
import logging
import random
from collections.abc import Callable

from eiderhub.interface import ListForm
from eiderhub.membership.asker import Asker
from eiderhub.membership.listing import Listed, Listing, read_listing

MAX_LIST = 2 << 20  # bytes of a list: some 200 for each endpoint
WAIT_MS = 30_000  # a watch waits so long: discovery works through its calls in turn, so they should be few
PATIENCE_S = 2.0  # and may be late by so much, as may a call that does not wait: then it counts as told
BACKOFF_S = (0.25, 4.0)  # first and longest wait after a failure, where nobody else decides on it
log = logging.getLogger(__name__)


class Watcher:
    """Keeps one watch open while it is on; a failure ends it, and the module decides when to ask again."""

    def __init__(
        self,
        host: str,
        port: int,
        generation: int,
        persist: bool,
        deliver: Callable[[ListForm, list[Listed]], None],
    ) -> None:
        self.host = host
        self.port = port
        self.generation = generation
        self.persist = persist  # lists are pushed: nobody asks again, so the watch itself goes on
        self.deliver = deliver
        self.moved = False  # the address is new and has told nothing yet
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
        self.moved = True
        self.turn(True)

    async def _run(self) -> None:
        wait, most = BACKOFF_S
        while True:
            try:
                listing = await self._ask()
            except Exception as error:  # whatever it is, the list must not stay as it is for good
                log.warning("discovery: %s: %s", type(error).__name__, error)
                self._asker.hang_up()
                # A reload is done once the new address has told its list: no longer back-off may stand above.
                if not self.persist and not self.moved:
                    self._task = None
                    self.deliver(ListForm.FAILED, [])
                    return
                await asyncio.sleep(wait * random.uniform(0.5, 1.5))
                wait = min(2 * wait, most)
                continue
            wait = BACKOFF_S[0]
            whole = listing.whole or self.moved
            self.generation, self.moved = listing.generation, False
            self.deliver(ListForm.FULL if whole else ListForm.DELTA, listing.entries)

    async def _ask(self) -> Listing:
        path, wait_ms = "/discovery/hosts", 0
        if not self.moved:
            path, wait_ms = f"{path}?after={self.generation}&wait_ms={WAIT_MS}", WAIT_MS
        request = f"GET {path} HTTP/1.1\r\nHost: {self.host}:{self.port}\r\n\r\n".encode()
        response = await self._asker.ask(self.host, self.port, request, wait_ms / 1000 + PATIENCE_S)
        if response.status != 200:
            raise ValueError(f"answered {response.status}")
        return read_listing(json.loads(response.body))
