"""What the stand-ins that answer HTTP share: a port of their own, connections, and an end to all of them."""

from __future__ import annotations

import asyncio

from standins.http import Message, read_message


class HttpServer:
    """A server on a free loopback port; `reply` makes each answer."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[None]] = set()

    async def listen(self) -> None:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"

    def stop(self) -> None:
        """Take no new connection, and end those that are open."""
        self.server.close()
        for task in self._tasks:
            task.cancel()

    async def reply(self, message: Message) -> bytes:
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
