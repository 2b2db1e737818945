"""A bare byte relay on the sidecar's loop: the least that anything between a caller and an endpoint can cost."""

from __future__ import annotations

import asyncio
import sys

import uvloop


class Side(asyncio.Protocol):
    """One end of a pair; what comes in goes out at the other."""

    def __init__(self, target: tuple[str, int] | None) -> None:
        self.target = target
        self.other: Side | None = None
        self.early: list[bytes] = []

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport: asyncio.WriteTransport = transport  # type: ignore[assignment]
        if self.target is not None:
            self.task = asyncio.get_running_loop().create_task(self.connect(*self.target))

    async def connect(self, host: str, port: int) -> None:
        _, other = await asyncio.get_running_loop().create_connection(lambda: Side(None), host, port)
        other.other, self.other = self, other
        other.transport.writelines(self.early)

    def data_received(self, data: bytes) -> None:
        if self.other is None:
            self.early.append(data)
        else:
            self.other.transport.write(data)

    def connection_lost(self, exc: Exception | None) -> None:
        if self.other is not None:
            self.other.transport.close()


async def serve(listen: str, target: str) -> None:
    (host, _, port), (to, _, to_port) = listen.rpartition(":"), target.rpartition(":")
    loop = asyncio.get_running_loop()
    server = await loop.create_server(lambda: Side((to, int(to_port))), host, int(port))
    await server.serve_forever()


if __name__ == "__main__":
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(serve(*sys.argv[1:]))
