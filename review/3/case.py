"""New configurations in quick succession while a quarter of the endpoints drain. See `claim.txt`."""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from rig import Client, Discovery, Drain, Endpoint, Record, Sidecar, main, now, row, settings, trouble  # noqa: E402

ANSWER_S = 1.0  # how late discovery's answers come, with the disruption and without
BETWEEN_S = 0.8
CONFIGURATIONS = 15


async def case(folder: Path, record: Record) -> bool:
    endpoints = [Endpoint(f"e{i}", record) for i in range(12)]
    discovery = Discovery("discovery", record)
    await discovery.listen()
    for i, endpoint in enumerate(endpoints):
        await endpoint.listen()
        discovery.set(row(endpoint, cell=i // 4))
    discovery.delay_s = ANSWER_S
    sidecar = Sidecar(
        folder,
        record,
        {"discovery": discovery.address, "known": discovery.whole(), "settings": settings(rank=0, balancers=10)},
    )
    drain = Drain(discovery, endpoints[::4], record)
    client = Client(sidecar, record)
    try:
        await sidecar.start()
        await sidecar.wait_up()
        load = asyncio.create_task(client.run(16.0, now() + 18))
        ends = None
        await asyncio.sleep(3.0)
        for serial in range(CONFIGURATIONS):
            if trouble():
                # Each new configuration has the list as discovery has it now, and a new seed.
                sidecar.write_config({**sidecar.document, "seed": f"{serial + 1:016x}", "known": discovery.whole()})
                sidecar.signal(signal.SIGHUP)
            if ends is None:
                drain.list()
                ends = asyncio.create_task(drain.end())
            await asyncio.sleep(BETWEEN_S)
        await ends
        await load
    finally:
        await sidecar.end()
        for endpoint in endpoints:
            endpoint.stop()
        discovery.stop()
    return drain.held(client)


main(case, HERE)
