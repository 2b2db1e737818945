"""The base class of the stand-ins that serve HTTP: listens on a free port, reads requests and closes connections."""

from __future__ import annotations

import asyncio

from standins.http import Message, read_message


class HttpServer:
    """An HTTP server on a free loopback port; subclasses implement `reply`."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[None]] = set()

    async def listen(self) -> None:
        """Start listening and set `address` to "host:port"."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"

    def stop(self) -> None:
        """Stop listening and close the open connections."""
        self.server.close()
        for task in self._tasks:
            task.cancel()

    async def reply(self, message: Message) -> bytes:
        """Return the complete response to a request, as it goes on the wire."""
        raise NotImplementedError

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            while True:
                writer.write(await self.reply(await read_message(reader)))
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            writer.close()
