"""Nothing adds up where connections, endpoints and ids are ever new: objects are counted after churn."""

from __future__ import annotations

import asyncio
import gc
from collections import Counter

import pytest

from eiderhub.interface import ListForm
from eiderhub.membership.endpoint_list import read_endpoint_list
from eiderhub.protocols.http1.client import Connection
from eiderhub.protocols.http1.server import CallerConnection
from eiderhub.sidecar.clock import Timer
from eiderhub.sidecar.host import Request
from eiderhub.sidecar.upstream import Attempt, Pool
from tests.sidecar_support import FakeServer, Sidecar, row, run

COUNTED = (Timer, Attempt, CallerConnection, Connection, Pool, Request)


def counts() -> Counter[str]:
    return Counter(type(o).__name__ for o in gc.get_objects() if isinstance(o, COUNTED))


@pytest.mark.parametrize("ending", ["answered", "turned away", "client gone", "spoilt", "timed out"])
def test_churned_connections_leave_nothing_for_the_collector(ending: str) -> None:
    """The start freezes what lives and makes full collections rare: what hangs in a cycle piles up."""

    async def one(sidecar: Sidecar) -> None:
        client = await sidecar.client()
        client.send(
            deadline_ms=80 if ending == "timed out" else 2500,
            Req_Owner="?" if ending == "turned away" else "acme",
        )
        if ending != "turned away":
            asked = await sidecar.endpoints[0].next()
            if ending == "answered":
                asked.reply(200, b"done", "Connection: close")
            elif ending == "spoilt":
                asked.writer.write(b"noise\r\n\r\n")
        if ending == "client gone":
            client.writer.close()
            await sidecar.endpoints[0].ends.get()
        else:
            await client.answer()
        client.writer.close()

    async def test() -> None:
        async with Sidecar(MayCancel=True) as sidecar:
            await one(sidecar)
            await settled(sidecar)
            gc.collect()
            gc.disable()
            try:
                before = counts()
                for _ in range(10):
                    await one(sidecar)
                await settled(sidecar)
                # The last one may still be on its way out; what adds up does so with each of them.
                assert max((counts() - before).values(), default=0) <= 2
            finally:
                gc.enable()

    async def settled(sidecar: Sidecar) -> None:
        while sidecar.callers or sidecar.host.requests or sidecar.host.upstream.open_connections:
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.05)  # what was aborted is let go of in the loop's next turns

    run(test())


@pytest.mark.parametrize("form", [ListForm.DELTA, ListForm.FULL])
def test_endpoints_that_are_gone_are_forgotten(form: ListForm) -> None:
    async def test() -> None:
        async with Sidecar(endpoints=1) as sidecar:
            address = sidecar.endpoints[0].address
            for i in range(50):
                rows = [row(f"s-{i + 1}", address)]
                if form is ListForm.DELTA:
                    rows += [row(f"s-{i}", address, "draining"), row(f"s-{i}", address, "gone")]
                listing = read_endpoint_list({"generation": i, "reset": False, "instances": rows})
                sidecar.host.on_list(form, listing.entries)
            assert list(sidecar.host.upstream.pools) == ["s-50"]
            assert list(sidecar.host.balancer.endpoints) == ["s-50"]

    run(test())


def test_late_outcome_of_an_endpoint_that_is_gone_does_no_harm() -> None:
    """Its address may have come back under a new id, whose own calls it must not be counted with."""

    async def test() -> None:
        async with Sidecar(endpoints=1) as sidecar:
            fake: FakeServer = sidecar.endpoints[0]
            old_client, new_client = await sidecar.client(), await sidecar.client()
            old_client.send()
            old = await fake.next()
            rows = [row("s-0", fake.address, "gone"), row("s-1", fake.address)]
            listing = read_endpoint_list({"generation": 2, "reset": False, "instances": rows})
            sidecar.host.on_list(ListForm.DELTA, listing.entries)
            balancer = sidecar.host.balancer
            assert set(balancer.endpoints) == {"s-0", "s-1"}  # one has something out
            new_client.send()
            new = await fake.next()
            assert new.connection != old.connection
            old.reply()
            assert (await old_client.answer()).status == 200
            assert set(balancer.endpoints) == {"s-1"}
            assert balancer.endpoints["s-1"].in_flight == 1
            new.reply()
            assert (await new_client.answer()).status == 200
            assert balancer.endpoints["s-1"].in_flight == 0
            assert sidecar.host.upstream.open_connections == 1

    run(test())
