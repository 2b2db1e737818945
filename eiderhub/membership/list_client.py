"""Requests lists from a server, one request at a time over one persistent connection, with a limit on response size."""

from __future__ import annotations

import asyncio

from eiderhub.protocols.http1.client import Connection, Response
from eiderhub.sidecar.resource_limits import ByteBudget

CONNECT_TIMEOUT_S = 1.0  # or the request's timeout, if shorter: a connection attempt that hangs counts as silence too


class ListClient:
    """Sends requests over one connection, which is reopened after it has ended."""

    def __init__(self, max_body_bytes: int) -> None:
        self.max_body_bytes = max_body_bytes
        self._address: tuple[str, int] | None = None
        self._connection: Connection | None = None
        self._response: asyncio.Future[Response] | None = None

    async def fetch(self, host: str, port: int, request: bytes, timeout_s: float) -> Response:
        """Send a request and return its response.

        Raises OSError or TimeoutError if there is none, ConnectionResetError if it is malformed or too long.
        """
        loop = asyncio.get_running_loop()
        if self._address != (host, port):
            self.close_connection()
        if self._connection is None or self._connection.closed:
            connection = Connection(self, ByteBudget(self.max_body_bytes), self.max_body_bytes)
            async with asyncio.timeout(min(CONNECT_TIMEOUT_S, timeout_s)):
                await loop.create_connection(lambda: connection, host, port)
            self._connection, self._address = connection, (host, port)
        self._response = loop.create_future()
        self._connection.send(request)
        async with asyncio.timeout(timeout_s):
            return await self._response

    def close_connection(self) -> None:
        """Close the connection, since a late response would be taken for that of the next request."""
        if self._connection is not None:
            self._connection.close()
            self._connection = None

    def on_response(self, connection: Connection, attempt: object, response: Response, reusable: bool) -> None:
        """Complete the pending request."""
        if self._response is not None and not self._response.done():
            self._response.set_result(response)

    def on_lost(self, connection: Connection) -> None:
        """Fail the pending request."""
        if self._response is not None and not self._response.done():
            self._response.set_exception(ConnectionResetError("connection closed before a valid response"))
