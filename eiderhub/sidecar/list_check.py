"""Fetches the endpoint list on a connection of its own, so that a working watch is not lost for it."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable

from eiderhub.membership.endpoint_list import EndpointList
from eiderhub.membership.list_client import ListClient
from eiderhub.membership.poll_schedule import ANSWER_TIMEOUT_S, PollRequest

CHANGES = PollRequest(is_full=False, wait_ms=0, timeout_s=ANSWER_TIMEOUT_S)
FULL_LIST = PollRequest(is_full=True, wait_ms=0, timeout_s=ANSWER_TIMEOUT_S)
log = logging.getLogger(__name__)


class ListCheck:
    """Runs one check at a time. A check that fails is not repeated: the watch detects its own failures."""

    def __init__(
        self,
        new_client: Callable[[], ListClient],
        fetch: Callable[[ListClient, PollRequest], Awaitable[EndpointList]],
        on_end: Callable[[EndpointList | None], None],
    ) -> None:
        """`fetch` sends a request and returns the list; `on_end` receives it, or None if the check has failed."""
        self._new_client = new_client
        self._fetch = fetch
        self._on_end = on_end
        self._task: asyncio.Task[None] | None = None
        self._poll_request = CHANGES  # of the running check
        self._is_needed_again = False  # once the running check has ended

    @property
    def is_running(self) -> bool:
        """Whether a check is waiting for its time or for its answer."""
        return self._task is not None

    def start(self, delay_s: float, poll_request: PollRequest) -> None:
        """Send the request after a delay, in place of a check that is running."""
        self.cancel()
        self._poll_request = poll_request
        self._task = asyncio.get_running_loop().create_task(self._run(delay_s, poll_request))

    def start_full(self, delay_s: float) -> None:
        """Fetch the full list, also if a check for it is running: its answer may already be on its way."""
        if self._task is not None and self._poll_request.is_full:
            self._is_needed_again = True
        else:
            self.start(delay_s, FULL_LIST)

    def cancel(self) -> None:
        """End the check, if one is running."""
        self._is_needed_again = False
        if self._task is not None:
            self._task.cancel()
            self._task = None

    async def _run(self, delay_s: float, poll_request: PollRequest) -> None:
        await asyncio.sleep(delay_s)
        client, endpoint_list = self._new_client(), None
        try:
            endpoint_list = await self._fetch(client, poll_request)
        except Exception as error:  # whatever it is, the watch goes on
            log.warning("discovery: checking the list failed: %s: %s", type(error).__name__, error)
        finally:
            client.close_connection()
        self._task = None
        is_needed_again, self._is_needed_again = self._is_needed_again, False
        if is_needed_again:
            self.start(delay_s, FULL_LIST)
        self._on_end(endpoint_list)
