"""Some answers of endpoints never end; the requests of other clients get no answer. See `claim.txt`."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from rig import (  # noqa: E402
    CannotRunError,
    Client,
    Discovery,
    Endpoint,
    Record,
    Sidecar,
    main,
    now,
    row,
    settings,
    trouble,
)

SPOILT_ONE_IN = 40
LASTS_S = 30.0
MAX_OWN_LAG_S = 0.5  # a sound answer takes 0.25 s, and the shortest limit is 1.95 s: with less, no answer seems lost


class SpoiltEndpoint(Endpoint):
    """An endpoint, one of whose answers at times never ends: a whole chunked body, then a trailer without an end."""

    answers = 0  # of all endpoints
    spoilt: set[str]  # the ids of the requests that got such an answer

    async def answer(
        self, writer: asyncio.StreamWriter, words: list[str], headers: dict[str, str], body: bytes
    ) -> None:
        SpoiltEndpoint.answers += 1
        if not trouble() or SpoiltEndpoint.answers % SPOILT_ONE_IN:
            await super().answer(writer, words, headers, body)
            return
        request_id = headers.get("req-id", "")
        self.spoilt.add(request_id)
        self.record.write(f"endpoint {self.name} begins an answer to {request_id} that never ends")
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ngood\r\n0\r\nChecksum: ")
        written, began = 0, now()
        try:
            while True:
                writer.write(b"a" * 65_536)
                await writer.drain()
                written += 65_536
        finally:
            lasted_s = now() - began
            self.record.write(f"the answer to {request_id} was given up after {lasted_s:.2f} s, {written >> 10} KiB")


async def measure_lag(lags: list[float]) -> None:
    """Note how late this program itself is."""
    while True:
        began = now()
        await asyncio.sleep(0.02)
        lags.append(now() - began - 0.02)


async def case(folder: Path, record: Record) -> bool:
    SpoiltEndpoint.spoilt = set()
    endpoints = [SpoiltEndpoint(f"e{i}", record) for i in range(12)]
    discovery = Discovery("discovery", record)
    await discovery.listen()
    for i, endpoint in enumerate(endpoints):
        await endpoint.listen()
        discovery.set(row(endpoint, cell=i // 4))
    sidecar = Sidecar(
        folder, record, {"discovery": discovery.address, "known": discovery.whole(), "settings": settings()}
    )
    client = Client(sidecar, record)
    lags: list[float] = [0.0]
    try:
        await sidecar.start()
        await sidecar.wait_up()
        lag = asyncio.create_task(measure_lag(lags))
        await client.run(16.0, now() + LASTS_S)
        lag.cancel()
    finally:
        await sidecar.end()
        for endpoint in endpoints:
            endpoint.stop()
        discovery.stop()
    if max(lags) > MAX_OWN_LAG_S:
        raise CannotRunError(f"this program itself was late by {max(lags):.2f} s")
    ran = {request_id for endpoint in endpoints for _, request_id in endpoint.received}
    lost = {request_id for request_id, status in client.statuses.items() if not status}
    others = lost - SpoiltEndpoint.spoilt
    record.write(
        f"{len(SpoiltEndpoint.spoilt)} answers never ended; this program was late by {max(lags):.3f} s at most"
    )
    record.write(
        f"{len(lost)} of {len(client.statuses)} requests got no answer within half a second after their time: "
        f"{len(others)} of other requests, {len(lost & ran)} of which had run at an endpoint"
    )
    return not lost


main(case, HERE)
