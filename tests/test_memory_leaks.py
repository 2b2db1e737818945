"""Memory leaks: counts objects after churn of connections, endpoints and ids."""

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

COUNTED_TYPES = (Timer, Attempt, CallerConnection, Connection, Pool, Request)


def count_objects() -> Counter[str]:
    return Counter(type(o).__name__ for o in gc.get_objects() if isinstance(o, COUNTED_TYPES))


@pytest.mark.parametrize("ending", ["answered", "refused", "client disconnected", "malformed reply", "timed out"])
def test_finished_requests_leave_no_reference_cycles(ending: str) -> None:
    """The sidecar freezes objects at its start and makes full collections rare: reference cycles would accumulate."""

    async def run_request(sidecar: Sidecar) -> None:
        client = await sidecar.client()
        client.send(
            deadline_ms=80 if ending == "timed out" else 2500,
            Req_Owner="?" if ending == "refused" else "acme",
        )
        if ending != "refused":
            request = await sidecar.endpoints[0].next()
            if ending == "answered":
                request.reply(200, b"done", "Connection: close")
            elif ending == "malformed reply":
                request.writer.write(b"noise\r\n\r\n")
        if ending == "client disconnected":
            client.writer.close()
            await sidecar.endpoints[0].ends.get()
        else:
            await client.answer()
        client.writer.close()

    async def test() -> None:
        async with Sidecar(MayCancel=True) as sidecar:
            await run_request(sidecar)
            await wait_until_idle(sidecar)
            gc.collect()
            gc.disable()
            try:
                before = count_objects()
                for _ in range(10):
                    await run_request(sidecar)
                await wait_until_idle(sidecar)
                # Objects of the last request may not be released yet; a leak would add some with each of the ten.
                assert max((count_objects() - before).values(), default=0) <= 2
            finally:
                gc.enable()

    async def wait_until_idle(sidecar: Sidecar) -> None:
        while sidecar.callers or sidecar.host.requests or sidecar.host.upstream.open_connections:
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.05)  # aborted connections are released in the next iterations of the event loop

    run(test())


@pytest.mark.parametrize("form", [ListForm.DELTA, ListForm.FULL])
def test_state_of_removed_endpoints_is_dropped(form: ListForm) -> None:
    async def test() -> None:
        async with Sidecar(endpoints=1) as sidecar:
            address = sidecar.endpoints[0].address
            for i in range(50):
                rows = [row(f"s-{i + 1}", address)]
                if form is ListForm.DELTA:
                    rows += [row(f"s-{i}", address, "draining"), row(f"s-{i}", address, "gone")]
                endpoint_list = read_endpoint_list({"generation": i, "reset": False, "instances": rows})
                sidecar.host.on_list(form, endpoint_list.entries)
            assert list(sidecar.host.upstream.pools) == ["s-50"]
            assert list(sidecar.host.balancer.endpoints) == ["s-50"]

    run(test())


def test_late_outcome_of_a_removed_endpoint_does_not_count_for_its_successor() -> None:
    """Its address may be listed again under a new id, whose calls in flight must not be changed."""

    async def test() -> None:
        async with Sidecar(endpoints=1) as sidecar:
            server: FakeServer = sidecar.endpoints[0]
            old_client, new_client = await sidecar.client(), await sidecar.client()
            old_client.send()
            old = await server.next()
            rows = [row("s-0", server.address, "gone"), row("s-1", server.address)]
            endpoint_list = read_endpoint_list({"generation": 2, "reset": False, "instances": rows})
            sidecar.host.on_list(ListForm.DELTA, endpoint_list.entries)
            balancer = sidecar.host.balancer
            assert set(balancer.endpoints) == {"s-0", "s-1"}  # s-0 has a call in flight
            new_client.send()
            new = await server.next()
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
