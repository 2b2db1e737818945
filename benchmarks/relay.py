"""A bare byte relay on the sidecar's event loop: the minimum cost of any proxy between a caller and an endpoint."""

from __future__ import annotations

import asyncio
import sys

import uvloop


class Connection(asyncio.Protocol):
    """One connection of a pair; writes what it receives to the other one."""

    def __init__(self, target: tuple[str, int] | None) -> None:
        self.target = target
        self.other: Connection | None = None
        self.buffered: list[bytes] = []  # received before the other connection was open

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport: asyncio.WriteTransport = transport  # type: ignore[assignment]
        if self.target is not None:
            self.task = asyncio.get_running_loop().create_task(self.connect(*self.target))

    async def connect(self, host: str, port: int) -> None:
        _, other = await asyncio.get_running_loop().create_connection(lambda: Connection(None), host, port)
        other.other, self.other = self, other
        other.transport.writelines(self.buffered)

    def data_received(self, data: bytes) -> None:
        if self.other is None:
            self.buffered.append(data)
        else:
            self.other.transport.write(data)

    def connection_lost(self, exc: Exception | None) -> None:
        if self.other is not None:
            self.other.transport.close()


async def serve(listen: str, target: str) -> None:
    """Relay connections to `listen` to `target`; both are "host:port"."""
    (host, _, port), (target_host, _, target_port) = listen.rpartition(":"), target.rpartition(":")
    loop = asyncio.get_running_loop()
    server = await loop.create_server(lambda: Connection((target_host, int(target_port))), host, int(port))
    await server.serve_forever()


if __name__ == "__main__":
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(serve(*sys.argv[1:]))
