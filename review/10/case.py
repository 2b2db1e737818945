"""A watch ends instead of telling a drain, and discovery is slow: is nothing new sent to the draining endpoint?"""

import asyncio
from pathlib import Path

from rig2 import TROUBLE, Client, Discovery, Endpoint, Record, Sidecar, now, play, running, small_deployment

ANSWER_S = 2.75  # discovery answers "seconds late"; the site lets a call wait for 3 s
TOLD_S = 6.0  # "a change counts as told at the latest 6 s after discovery had it and could be reached"
GRACE_S = 1.0 + 0.05  # DrainGraceUs; "each time limit is 50 ms longer"
MARGIN_S = 0.2  # for the hold-up that the pages allow, and for the stand-ins' own delays
LOAD_S, RATE = 16.0, 30.0


async def case(record: Record, folder: Path) -> bool:
    discovery = Discovery(record, ANSWER_S)
    await discovery.listen()
    endpoints = [Endpoint(f"s-{i}", record, 0.1) for i in range(4)]
    for endpoint in endpoints:
        await endpoint.listen()
        discovery.set(endpoint.name, endpoint.address)
    sidecar = Sidecar(folder, discovery, small_deployment(Rank=13))  # the last of 14
    async with running(sidecar):
        client = Client(sidecar, record)
        load = asyncio.create_task(client.load(RATE, now() + LOAD_S))
        await asyncio.sleep(0.5)
        discovery.set(endpoints[3].name, endpoints[3].address)  # a first answer, so that the watch is a working one
        await asyncio.sleep(4.0)
        drained = endpoints[0]
        discovery.set(drained.name, drained.address, "draining")
        had_it = now()
        if TROUBLE:
            discovery.reset_connections()  # the watch ends instead of telling; discovery can be reached again at once
        await load
    sends = [at - had_it for at, _ in drained.attempts if at > had_it]
    late = [at for at in sends if at > TOLD_S + GRACE_S + MARGIN_S]
    record.add(
        f"the last request that {drained.name} got came {max(sends, default=0):.2f} s after "
        f"discovery had its drain; {len(late)} came after {TOLD_S + GRACE_S + MARGIN_S:.2f} s"
    )
    return not late


play(__file__, case)
