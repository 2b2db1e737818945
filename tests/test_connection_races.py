"""Race conditions of connections to endpoints, each forced on real sockets."""

from __future__ import annotations

import asyncio
import json
import socket
import struct
import time

import pytest

from eiderhub.interface import ListForm, Outcome
from eiderhub.membership.endpoint_list import read_endpoint_list
from eiderhub.protocols.http1.client import HTTP1, REUSE_DELAY_US, Connection
from eiderhub.sidecar.resource_limits import ByteBudget
from eiderhub.sidecar.upstream import Attempt, Upstream
from standins.http import format_response
from tests.sidecar_support import Client, FakeServer, ReceivedRequest, Sidecar, listing, next_request, row, run
from tests.test_sidecar import RecordingCaller, direct_request


def list_endpoint_at(sidecar: Sidecar, address: str, started_ms: int = 0) -> None:
    """Deliver a full list with the only endpoint at this address."""
    endpoint_list = read_endpoint_list(json.loads(listing(2, True, row("s-0", address, started_ms=started_ms))))
    sidecar.host.on_list(ListForm.FULL, endpoint_list.entries)


# --- an endpoint that moves or restarts ---


@pytest.mark.parametrize("restarted", [False, True])
def test_a_connection_to_the_old_address_is_not_reused_after_the_endpoint_moves(restarted: bool) -> None:
    """Prevents requests to the old address of an endpoint.

    A connection whose answer arrived after the move was returned to the idle ones, and the next request used it.
    """

    async def test() -> None:
        async with Sidecar(endpoints=2) as sidecar:
            old_endpoint, new_endpoint = sidecar.endpoints
            list_endpoint_at(sidecar, old_endpoint.address)
            client = await sidecar.client()
            client.send()
            received = await old_endpoint.next()
            list_endpoint_at(
                sidecar, old_endpoint.address if restarted else new_endpoint.address, started_ms=1_700_000_000_000
            )
            received.reply(200, b"old")
            assert (await client.answer()).body == b"old"
            client.send()
            received = await next_request(sidecar)
            assert (received.connection, old_endpoint.connections) == (1 if restarted else 0, 2 if restarted else 1)
            assert new_endpoint.connections == (0 if restarted else 1)
            assert await old_endpoint.ends.get() == 0
            received.reply(200, b"new")
            assert (await client.answer()).body == b"new"

    run(test())


def test_a_connection_established_to_the_old_address_carries_no_request() -> None:
    async def test() -> None:
        async with Sidecar(endpoints=2) as sidecar:
            old_endpoint, new_endpoint = sidecar.endpoints
            caller = RecordingCaller()
            list_endpoint_at(sidecar, old_endpoint.address)
            sidecar.host.accept(direct_request(caller, "look"))
            await asyncio.sleep(0)  # the connection to the old address is being established
            list_endpoint_at(sidecar, new_endpoint.address)
            assert await caller.statuses.get() == 503  # refused: it never ran, and the only endpoint has been tried
            assert old_endpoint.received.empty()
            assert await old_endpoint.ends.get() == 0 and sidecar.host.upstream.open_connections == 0

    run(test())


# --- failures while a connection is established ---


def start_attempt_to(upstream: Upstream, port: int) -> tuple[Attempt, asyncio.Queue[Outcome]]:
    ended: asyncio.Queue[Outcome] = asyncio.Queue()
    upstream.set_endpoint("e", "127.0.0.1", port, 0)
    attempt = Attempt(0, "e", HTTP1, lambda _: b"x", lambda _, outcome, __: ended.put_nowait(outcome))
    upstream.send(attempt)
    return attempt, ended


def test_an_invalid_address_fails_the_attempt_and_releases_its_connection_slot() -> None:
    """Prevents an attempt that never ends.

    An error other than OSError ended the connecting task, but neither the attempt nor its count as an open connection.
    """

    async def test() -> None:
        upstream = Upstream(0, 1_000_000, 4, ByteBudget(1 << 20))
        _, ended = start_attempt_to(upstream, 70_000)
        assert await ended.get() is Outcome.CONNECT_FAILED
        assert upstream.open_connections == 0

    run(test())


@pytest.mark.parametrize("loop_blocked", ["before the connection is seen", "while the connection is seen"])
def test_a_connection_established_in_the_loop_iteration_of_its_timeout(
    loop_blocked: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Both events are pending: the loop is blocked until the timeout, before or while it handles the connection."""

    async def test() -> None:
        fake = await FakeServer().start()
        upstream = Upstream(0, 50_000, 4, ByteBudget(1 << 20))
        if loop_blocked == "while the connection is seen":
            original = Connection.connection_made

            def blocking_connection_made(self: Connection, transport: asyncio.BaseTransport) -> None:
                original(self, transport)
                time.sleep(0.06)

            monkeypatch.setattr(Connection, "connection_made", blocking_connection_made)
        attempt, ended = start_attempt_to(upstream, int(fake.address.rpartition(":")[2]))
        if loop_blocked == "before the connection is seen":
            await asyncio.sleep(0)
            time.sleep(0.06)
        assert await ended.get() is Outcome.CONNECT_FAILED
        assert await fake.ends.get() == 0  # its descriptor is closed too
        assert upstream.open_connections == 0 and not upstream.pools["e"].idle and not attempt.started
        fake.server.close()

    run(test())


# --- duplicate answers ---


def test_a_late_duplicate_answer_reaches_no_other_request(monkeypatch: pytest.MonkeyPatch) -> None:
    """Duplicate answers have been measured 1.0 to 2.7 ms after the first, on connections that were idle by then."""
    monkeypatch.setattr(Connection, "reuse_delay_us", 60_000_000)

    async def test() -> None:
        async with Sidecar() as sidecar:
            client = await sidecar.client()
            client.send()
            first = await sidecar.endpoints[0].next()
            first.reply(200, b"first")
            assert (await client.answer()).body == b"first"
            client.send()
            second = await sidecar.endpoints[0].next()
            first.reply(200, b"first")  # a duplicate, while the next request is in flight
            assert await sidecar.endpoints[0].ends.get() == first.connection
            second.reply(200, b"second")
            assert (await client.answer()).body == b"second"
            assert sidecar.host.upstream.open_connections == 1

    run(test())


def test_a_connection_is_reused_after_the_reuse_delay(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Connection, "reuse_delay_us", REUSE_DELAY_US)

    async def test() -> None:
        async with Sidecar() as sidecar:
            client = await sidecar.client()
            for _ in range(3):
                client.send()
                (await sidecar.endpoints[0].next()).reply()
                await client.answer()
                (link,) = sidecar.host.upstream.pools["s-0"].idle
                link.last_reply_us -= REUSE_DELAY_US
            assert sidecar.endpoints[0].connections == 1

    run(test())


def write_and_end(received: ReceivedRequest, last: bytes, end: str) -> None:
    """Write and close without the event loop: both are in the kernel before the sidecar's next loop iteration."""
    sock = received.writer.transport.get_extra_info("socket")
    with socket.socket(fileno=socket.dup(sock.fileno())) as duplicate_socket:
        duplicate_socket.sendall(last)
        if end == "close":
            duplicate_socket.shutdown(socket.SHUT_WR)
        else:
            duplicate_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    if end == "reset":
        received.reset()


@pytest.mark.parametrize("end", ["close", "reset"])
def test_an_answer_and_the_end_of_its_connection_in_one_loop_iteration(end: str) -> None:
    """The answer is delivered once, the connection is not reused, and an unsafe request is sent only once."""

    async def test() -> None:
        async with Sidecar(endpoints=2) as sidecar:
            client = await sidecar.client()
            client.send()
            received = await next_request(sidecar)
            write_and_end(received, format_response(200, b"whole"), end)
            assert (await client.answer()).body == b"whole"
            client.send()
            next_received = await next_request(sidecar)
            next_received.reply(200, b"next")
            assert (await client.answer()).body == b"next"
            assert sum(fake.received.qsize() for fake in sidecar.endpoints) == 0
            assert sidecar.host.upstream.open_connections == 1

    run(test())


def test_an_answer_to_a_cancelled_request_is_discarded() -> None:
    async def test() -> None:
        async with Sidecar() as sidecar:
            departed = await sidecar.client()
            departed.send()
            received = await sidecar.endpoints[0].next()
            received.reply(200, b"late")
            departed.writer.close()
            other_client = await sidecar.client()
            other_client.send()
            next_received = await sidecar.endpoints[0].next()
            next_received.reply(200, b"own")
            assert (await other_client.answer()).body == b"own"

    run(test())


def test_an_answer_that_trickles_without_end_times_out() -> None:
    async def test() -> None:
        async with Sidecar() as sidecar:
            client = await sidecar.client()
            client.send(deadline_ms=400)
            received = await sidecar.endpoints[0].next()
            received.writer.write(format_response(200, b"x" * 1000)[:-900])
            ended = asyncio.create_task(sidecar.endpoints[0].ends.get())
            while not ended.done():
                received.writer.write(b"x")
                await asyncio.sleep(0.02)
            assert (await client.answer()).status == 504
            assert sidecar.host.upstream.open_connections == 0 and not sidecar.host.requests

    run(test())


# --- timeouts ---


@pytest.mark.parametrize("first", ["answer", "timer"])
def test_an_answer_and_the_timeout_in_one_loop_iteration_give_one_answer(first: str) -> None:
    """Both orders are tested: the timer fires while the answer is still in the kernel, and after it was read."""

    async def test() -> None:
        async with Sidecar() as sidecar:
            client = await sidecar.client()
            client.send()
            received = await sidecar.endpoints[0].next()
            (request,) = sidecar.host.requests.values()
            received.reply()
            while first == "answer" and not request.answered:
                await asyncio.sleep(0)
            sidecar.host._on_deadline(request)
            assert (await client.answer()).status in ((200,) if first == "answer" else (502, 504))
            await assert_no_further_answer(client)
            assert not sidecar.host.requests and not sidecar.host.balancer.calls

    run(test())


async def assert_no_further_answer(client: Client) -> None:
    """Check that the next answer on the connection is that of a later request, and no second one before it."""
    client.writer.write(b"GET /up HTTP/1.1\r\nHost: a\r\n\r\n")
    assert (await client.answer()).body == b""


def test_a_loop_blocked_before_many_deadlines_still_gives_each_request_one_answer() -> None:
    async def test() -> None:
        async with Sidecar() as sidecar:
            clients = [await sidecar.client() for _ in range(20)]
            for client in clients:
                client.send("look", deadline_ms=300)
            await sidecar.endpoints[0].next()
            time.sleep(0.3)
            for client in clients:
                assert (await client.answer()).status in (503, 504)
                await assert_no_further_answer(client)
            assert not sidecar.host.requests and not sidecar.host.balancer.calls

    run(test())
