"""Asks a server of lists, one question at a time, over one kept connection and with a bound on its answers."""

from __future__ import annotations

import asyncio

from eiderhub.protocols.http1.client import Connection, Response
from eiderhub.sidecar.resource_limits import ByteBudget

CONNECT_S = 1.0  # and no longer than the answer is waited for: a connection that does not come up is silence too


class ListClient:
    """One connection, made anew where the last one has ended."""

    def __init__(self, most: int) -> None:
        self.most = most  # bytes of an answer's body
        self._at: tuple[str, int] | None = None
        self._connection: Connection | None = None
        self._answer: asyncio.Future[Response] | None = None

    async def fetch(self, host: str, port: int, request: bytes, timeout_s: float) -> Response:
        """Raises OSError and TimeoutError, and ConnectionResetError for what is no answer, or too long."""
        loop = asyncio.get_running_loop()
        if self._at != (host, port):
            self.close_connection()
        if self._connection is None or self._connection.closed:
            fresh = Connection(self, ByteBudget(self.most), self.most)
            async with asyncio.timeout(min(CONNECT_S, timeout_s)):
                await loop.create_connection(lambda: fresh, host, port)
            self._connection, self._at = fresh, (host, port)
        self._answer = loop.create_future()
        self._connection.send(request)
        async with asyncio.timeout(timeout_s):
            return await self._answer

    def close_connection(self) -> None:
        """Nothing more is wanted of this connection: an answer on its way would be taken for the next question's."""
        if self._connection is not None:
            self._connection.close()
            self._connection = None

    def on_response(self, link: Connection, attempt: object, response: Response, reusable: bool) -> None:
        if self._answer is not None and not self._answer.done():
            self._answer.set_result(response)

    def on_lost(self, link: Connection) -> None:
        if self._answer is not None and not self._answer.done():
            self._answer.set_exception(ConnectionResetError("the connection ended"))
