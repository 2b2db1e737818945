"""Discovery answers each call 1.8 s late; a quarter of the endpoints drain. See `claim.txt`."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from rig import Client, Discovery, Drain, Endpoint, Record, Sidecar, main, now, row, settings, trouble  # noqa: E402

ANSWER_S = 1.8  # how late discovery's answers come


async def case(folder: Path, record: Record) -> bool:
    endpoints = [Endpoint(f"e{i}", record) for i in range(12)]
    discovery = Discovery("discovery", record)
    await discovery.listen()
    for i, endpoint in enumerate(endpoints):
        await endpoint.listen()
        discovery.set(row(endpoint, cell=i // 4))
    discovery.delay_s = ANSWER_S if trouble() else 0.0
    sidecar = Sidecar(
        folder,
        record,
        {"discovery": discovery.address, "known": discovery.whole(), "settings": settings(rank=9, balancers=10)},
    )
    drain = Drain(discovery, endpoints[::4], record)
    client = Client(sidecar, record)
    try:
        await sidecar.start()
        await sidecar.wait_up()
        # The first call of the sidecar is a watch. The endpoints drain half a second after the wait that it asked for.
        while not discovery.calls:
            await asyncio.sleep(0.01)
        called_at, _, wait_s = discovery.calls[0]
        drains_at = called_at + wait_s + 0.5
        load = asyncio.create_task(client.run(16.0, drains_at + 14))
        await asyncio.sleep(drains_at - now())
        drain.list()
        await drain.end()
        await load
    finally:
        await sidecar.end()
        for endpoint in endpoints:
            endpoint.stop()
        discovery.stop()
    return drain.held(client)


main(case, HERE)
