"""Memory leaks: counts objects after churn of connections, endpoints and ids."""

from __future__ import annotations

import asyncio
import gc
import tracemalloc
from collections import Counter
from collections.abc import Awaitable, Callable

import httptools
import pytest

from eiderhub.interface import ListForm
from eiderhub.membership.endpoint_list import read_endpoint_list
from eiderhub.membership.list_client import ListClient
from eiderhub.protocols.http1.client import Connection
from eiderhub.protocols.http1.framing_limit import MAX_FRAMING_BYTES
from eiderhub.protocols.http1.request_checks import Rejected
from eiderhub.protocols.http1.server import CallerConnection
from eiderhub.protocols.thrift.admission import ListenerOptions
from eiderhub.protocols.thrift.server import CallerConnection as ThriftCallerConnection
from eiderhub.sidecar import upstream
from eiderhub.sidecar.clock import Timer
from eiderhub.sidecar.host import Request
from eiderhub.sidecar.upstream import Attempt, Pool
from tests.sidecar_support import Client, FakeServer, Sidecar, row, run
from tests.test_callers import BAD_INPUT
from tests.test_upstream import INVALID_ANSWERS

COUNTED_TYPES = (Timer, Attempt, CallerConnection, Connection, Pool, Request, ThriftCallerConnection)
COUNTED_ERRORS = (Rejected, ValueError, httptools.HttpParserError)  # their tracebacks refer to input
REPETITIONS = 10


def count_objects() -> Counter[str]:
    return Counter(type(o).__name__ for o in gc.get_objects() if isinstance(o, COUNTED_TYPES + COUNTED_ERRORS))


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
            await assert_nothing_accumulates(sidecar, run_request)

    run(test())


async def assert_nothing_accumulates(sidecar: Sidecar, exchange: Callable[[Sidecar], Awaitable[None]]) -> None:
    """Assert that an exchange leaves no objects that only the cyclic garbage collector would free."""
    await exchange(sidecar)
    await wait_until_idle(sidecar)
    gc.collect()
    gc.disable()
    try:
        before = count_objects()
        for _ in range(REPETITIONS):
            await exchange(sidecar)
        await wait_until_idle(sidecar)
        # Objects of the last exchange may not be released yet; a leak would add some with each repetition.
        assert max((count_objects() - before).values(), default=0) <= 2
    finally:
        gc.enable()


async def wait_until_idle(sidecar: Sidecar) -> None:
    while sidecar.callers or sidecar.host.requests or sidecar.host.upstream.open_connections:
        await asyncio.sleep(0.01)
    await asyncio.sleep(0.05)  # aborted connections are released in the next iterations of the event loop


@pytest.mark.parametrize("raw", [case[1] for case in BAD_INPUT], ids=[case[0] for case in BAD_INPUT])
def test_rejected_input_of_callers_leaves_no_reference_cycles(raw: str) -> None:
    """Guards against bad clients whose connections and bodies stay in memory after they have gone (review/2)."""

    async def send_bad_input(sidecar: Sidecar) -> None:
        client = await sidecar.client()
        client.writer.write(raw.encode("latin-1"))
        await client.answer()
        client.writer.close()

    async def test() -> None:
        async with Sidecar() as sidecar:
            await assert_nothing_accumulates(sidecar, send_bad_input)

    run(test())


def test_rejected_input_is_freed_while_its_caller_stays() -> None:
    """Guards against bad clients that stay for a while: what the parser has of their input is on no budget."""
    clients, input_bytes = 20, 200_000

    async def test() -> None:
        async with Sidecar() as sidecar:
            connected = [await sidecar.client() for _ in range(clients)]
            gc.collect()
            tracemalloc.start()
            try:
                for client in connected:
                    client.writer.write(b"GET /look/a HTTP/1.1\r\nA: " + b"x" * input_bytes)
                    assert (await client.answer()).status == 431
                    await client.writer.drain()
                assert len(sidecar.callers) == clients
                held_bytes, _ = tracemalloc.get_traced_memory()
                assert held_bytes < clients * MAX_FRAMING_BYTES
            finally:
                tracemalloc.stop()

    run(test())


@pytest.mark.parametrize("raw", [case[1] for case in INVALID_ANSWERS], ids=[case[0] for case in INVALID_ANSWERS])
def test_invalid_answers_of_endpoints_leave_no_reference_cycles(raw: bytes, monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against endpoints whose invalid answers stay in memory."""
    monkeypatch.setattr(upstream, "STALL_TIMEOUT_US", 1)
    monkeypatch.setattr(upstream, "SWEEP_INTERVAL_S", 0.02)

    async def get_invalid_answer(sidecar: Sidecar) -> None:
        client = await sidecar.client()
        client.send()
        (await sidecar.next()).writer.write(raw)
        await client.answer()
        client.writer.close()

    async def test() -> None:
        async with Sidecar() as sidecar:
            await assert_nothing_accumulates(sidecar, get_invalid_answer)

    run(test())


def test_refused_connections_leave_no_reference_cycles() -> None:
    """Guards against endpoints and a discovery that are down for long: each refused connection would stay in memory."""

    async def connect_to_closed_ports(sidecar: Sidecar) -> None:
        assert (await (await sidecar.client()).request()).status == 503
        with pytest.raises(OSError, match="refused"):
            await ListClient(1).fetch("127.0.0.1", int(sidecar.discovery.address.rpartition(":")[2]), b"", 1.0)

    async def test() -> None:
        async with Sidecar() as sidecar:
            for server in (sidecar.discovery.server, sidecar.endpoints[0].server):
                server.close()
                await server.wait_closed()
            await assert_nothing_accumulates(sidecar, connect_to_closed_ports)

    run(test())


@pytest.mark.parametrize("raw", [b"GET / HTTP/1.1\r\n", b"\0\0\0\x04\x80\x01\0\x01", b"\x7f\0\0\0"])
def test_rejected_thrift_input_leaves_no_reference_cycles(raw: bytes) -> None:
    """Guards against the same as for HTTP."""

    async def send_bad_input(sidecar: Sidecar) -> None:
        client = Client(*await asyncio.open_connection("127.0.0.1", sidecar.thrift_port))
        client.writer.write(raw)
        await client.reader.read()
        client.writer.close()

    async def test() -> None:
        async with Sidecar(thrift=ListenerOptions("127.0.0.1", 0)) as sidecar:
            await assert_nothing_accumulates(sidecar, send_bad_input)

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
