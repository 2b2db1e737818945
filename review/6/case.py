"""Clients that send many long requests at once on a connection: is a request refused that has already run?"""

import asyncio
import random
from pathlib import Path

from rig2 import (
    TROUBLE,
    Discovery,
    Endpoint,
    Message,
    Record,
    Sidecar,
    play,
    read_message,
    request,
    running,
    small_deployment,
)

MEMORY_MB, SOCKETS = 64, 640  # "at most 192 MB and 1,024 descriptors"
CLIENTS = 200
LONG_REQUESTS = 4  # of each client, behind its first request
BODY_BYTES = 64 * 1024  # "Bodies hold at most 64 KiB"
WORK_S = 0.6
PIECE_INTERVAL_S = 0.15  # between a client's first request and those behind it: "messages come in pieces"
TENANT, DEADLINE_MS = "norte-pedal", 6000


def long_request(request_id: str) -> bytes:
    head = [
        "POST /despacho/orden HTTP/1.1",
        "Host: service.internal",
        f"Req-Id: {request_id}",
        f"Req-Owner: {TENANT}",
        f"Req-Deadline-Ms: {DEADLINE_MS}",
        f"Content-Length: {BODY_BYTES}",
    ]
    return "\r\n".join(head).encode() + b"\r\n\r\n" + b"x" * BODY_BYTES


class OrderClient:
    """Sends one unsafe request and long ones behind it; repeats the first, if it is refused, on a new connection."""

    def __init__(self, sidecar: Sidecar, record: Record, number: int, later_s: float) -> None:
        self.sidecar, self.record, self.later_s = sidecar, record, later_s
        self.request_id, self.retry_id = f"a{number:015x}", f"f{number:015x}"
        self.long_ids = [f"{'bcde'[i]}{number:015x}" for i in range(LONG_REQUESTS)]
        self.first: Message | None = None

    async def run(self) -> None:
        reader, writer = await asyncio.open_connection(self.sidecar.host, self.sidecar.port)
        writer.write(request("despacho", self.request_id, DEADLINE_MS, TENANT))
        self.record.add(f"client sends {self.request_id}")
        if TROUBLE:
            await asyncio.sleep(self.later_s)
            writer.write(b"".join(map(long_request, self.long_ids)))
            self.record.add(f"client sends {LONG_REQUESTS} long requests behind {self.request_id}")
        self.first = await self._answer(reader, self.request_id)
        for request_id in self.long_ids if self.first is not None else []:
            if not TROUBLE:
                writer.write(long_request(request_id))
            if await self._answer(reader, request_id) is None:
                break
        writer.close()
        if self.first is not None and self.first.status in (429, 503):
            await self._repeat()

    async def _repeat(self) -> None:
        await asyncio.sleep(0.4)  # "Clients retry ... at once or after a short fixed wait"
        reader, writer = await asyncio.open_connection(self.sidecar.host, self.sidecar.port)
        writer.write(request("despacho", self.retry_id, DEADLINE_MS, TENANT))
        self.record.add(f"client repeats {self.request_id}, which was refused, as {self.retry_id}")
        await self._answer(reader, self.retry_id)
        writer.close()

    async def _answer(self, reader: asyncio.StreamReader, request_id: str) -> Message | None:
        try:
            message = await asyncio.wait_for(read_message(reader), DEADLINE_MS / 1000 + 0.5)
        except (OSError, EOFError, TimeoutError) as error:
            self.record.add(f"client gets no answer to {request_id}: {type(error).__name__}")
            return None
        self.record.add(f"client gets {request_id}: {message.status} {message.body.decode('latin-1').strip()}")
        return message


async def case(record: Record, folder: Path) -> bool:
    discovery = Discovery(record)
    await discovery.listen()
    endpoints = [Endpoint(f"s-{i}", record, WORK_S) for i in range(8)]
    for endpoint in endpoints:
        await endpoint.listen()
        discovery.set(endpoint.name, endpoint.address)
    sidecar = Sidecar(folder, discovery, small_deployment(Balancers=1))
    sidecar.document["limits"] = {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS}
    async with running(sidecar):
        rng = random.Random(62)
        clients = [OrderClient(sidecar, record, i, PIECE_INTERVAL_S * rng.uniform(1.0, 2.0)) for i in range(CLIENTS)]
        await asyncio.gather(*(client.run() for client in clients))
        await asyncio.sleep(0.1)
    began_at = {message.request_id: at for endpoint in endpoints for at, message in endpoint.attempts}
    broken = [
        client
        for client in clients
        if client.first is not None and client.first.status in (429, 503) and client.request_id in began_at
    ]
    for client in broken:
        again = " and again as its repeat" if client.retry_id in began_at else ""
        record.add(f"{client.request_id} ran{again}, and was answered {client.first.status if client.first else 0}")
    record.add(f"{CLIENTS} first requests, all unsafe; {len(broken)} were refused after they had begun to run")
    return not broken


play(__file__, case)
