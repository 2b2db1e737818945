"""The requests to discovery that are open at the same time: the current one, and late ones that may still be answered.

A server that is slow or crowded serves requests in turn. A late request that is closed and sent again loses its place
each time, so that a server which always takes a little longer than the timeout would never be listened to. A late
request therefore stays open while others are sent, each on a connection of its own.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import NamedTuple

from eiderhub.membership.endpoint_list import EndpointList
from eiderhub.membership.list_client import ListClient

MAX_LATE_REQUESTS = 3  # the oldest is closed beyond that: each takes a descriptor


@dataclass(frozen=True, slots=True)
class ListSource:
    """An address of discovery. Versions of lists from two sources are unrelated, even if the address is the same."""

    host: str
    port: int
    number: int  # how many sources there were before


class OpenRequest:
    """A request without an answer, and the client whose connection it has."""

    __slots__ = ("client", "source", "task")

    def __init__(self, source: ListSource, client: ListClient, task: asyncio.Task[EndpointList | Exception]) -> None:
        self.source = source
        self.client = client
        self.task = task

    def close(self) -> None:
        """Give the request up."""
        self.task.cancel()
        self.client.close_connection()  # a late answer would be taken for that of the next request


class EndedRequest(NamedTuple):
    """How a request has ended."""

    request: OpenRequest
    is_current: bool  # False for a late one
    outcome: EndpointList | Exception


class OpenRequests:
    """Sends requests over connections that are reused after an answer, and returns their outcomes as they come."""

    def __init__(self, new_client: Callable[[], ListClient]) -> None:
        self._new_client = new_client
        self._idle_client: ListClient | None = None
        self._current: OpenRequest | None = None
        self._late: list[OpenRequest] = []  # oldest first

    @property
    def has_current(self) -> bool:
        """Whether the last request has neither ended nor been set aside."""
        return self._current is not None

    def send(self, source: ListSource, fetch: Callable[[ListClient], Awaitable[EndpointList]]) -> None:
        """Begin a request, which becomes the current one; `fetch` sends it to the source and returns the list."""
        client, self._idle_client = self._idle_client or self._new_client(), None
        task = asyncio.get_running_loop().create_task(_outcome(fetch, client))
        self._current = OpenRequest(source, client, task)

    def set_current_aside(self) -> None:
        """Keep the current request open as a late one."""
        if self._current is not None:
            self._late.append(self._current)
            self._current = None
        if len(self._late) > MAX_LATE_REQUESTS:
            self._late.pop(0).close()

    def keep_for_former_source(self) -> None:
        """Keep the open requests, since another source is used from now on, as far as their number allows.

        The older ones stay: with many changes of the source in a row, each would be closed before its answer otherwise.
        """
        if self._current is not None and len(self._late) == MAX_LATE_REQUESTS:
            self._current.close()
            self._current = None
        self.set_current_aside()

    async def next_ended(self, timeout_s: float) -> EndedRequest | None:
        """Return the next request that ends, and remove it; None if the time is up."""
        requests = [*self._late, *([self._current] if self._current is not None else [])]
        if not requests:
            await asyncio.sleep(timeout_s)
            return None
        await asyncio.wait(
            [request.task for request in requests], timeout=max(0.0, timeout_s), return_when=asyncio.FIRST_COMPLETED
        )
        ended = next((request for request in requests if request.task.done()), None)
        return None if ended is None else self._remove(ended)

    def _remove(self, request: OpenRequest) -> EndedRequest:
        outcome = request.task.result()
        if isinstance(outcome, Exception):
            request.client.close_connection()
        if request is self._current:
            self._current = None
            return EndedRequest(request, True, outcome)
        self._late.remove(request)
        return EndedRequest(request, False, outcome)

    def close_all_but(self, answered: OpenRequest) -> None:
        """Give up all open requests after one was answered; the connection of that one is used for the next."""
        self.close()
        self._idle_client = answered.client

    def close(self) -> None:
        """Give up all open requests and close all connections."""
        self.set_current_aside()
        for request in self._late:
            request.close()
        self._late.clear()
        if self._idle_client is not None:
            self._idle_client.close_connection()
            self._idle_client = None


async def _outcome(
    fetch: Callable[[ListClient], Awaitable[EndpointList]], client: ListClient
) -> EndpointList | Exception:
    try:
        return await fetch(client)
    except Exception as error:  # whatever it is, another request follows
        return error.with_traceback(None)  # the error is kept for a while, what its frames refer to is not
