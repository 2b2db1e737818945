"""Connections to endpoints at the instant in which something else ends: each crossing is forced, on real sockets."""

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
from standins.http import answer
from tests.sidecar_support import Client, FakeServer, ReceivedRequest, Sidecar, listing, next_request, row, run
from tests.test_sidecar import RecordingCaller, direct_request


def listed_at(sidecar: Sidecar, address: str, started_ms: int = 0) -> None:
    """Discovery tells where the only endpoint is."""
    told = read_endpoint_list(json.loads(listing(2, True, row("s-0", address, started_ms=started_ms))))
    sidecar.host.on_list(ListForm.FULL, told.entries)


# --- an endpoint that moves or restarts ---


@pytest.mark.parametrize("restarted", [False, True])
def test_a_connection_to_the_old_place_is_not_used_again_when_its_answer_comes_after_the_move(restarted: bool) -> None:
    """Seen by reading: it went back among the idle ones, and the next request went to the address that was left."""

    async def test() -> None:
        async with Sidecar(endpoints=2) as sidecar:
            old, new = sidecar.endpoints
            listed_at(sidecar, old.address)
            client = await sidecar.client()
            client.send()
            asked = await old.next()
            listed_at(sidecar, old.address if restarted else new.address, started_ms=1_700_000_000_000)
            asked.reply(200, b"old")
            assert (await client.answer()).body == b"old"
            client.send()
            asked = await next_request(sidecar)
            assert (asked.connection, old.connections) == (1 if restarted else 0, 2 if restarted else 1)
            assert new.connections == (0 if restarted else 1)
            assert await old.ends.get() == 0
            asked.reply(200, b"new")
            assert (await client.answer()).body == b"new"

    run(test())


def test_a_connection_that_came_up_to_the_old_place_carries_nothing() -> None:
    async def test() -> None:
        async with Sidecar(endpoints=2) as sidecar:
            old, new = sidecar.endpoints
            caller = RecordingCaller()
            listed_at(sidecar, old.address)
            sidecar.host.accept(direct_request(caller, "look"))
            await asyncio.sleep(0)  # the connection is on its way to the old address
            listed_at(sidecar, new.address)
            assert await caller.all.get() == 503  # it never ran; the only endpoint has been tried
            assert old.received.empty()
            assert await old.ends.get() == 0 and sidecar.host.upstream.open_connections == 0

    run(test())


# --- a connection that comes up as something else happens ---


def attempt_to(upstream: Upstream, port: int) -> tuple[Attempt, asyncio.Queue[Outcome]]:
    ended: asyncio.Queue[Outcome] = asyncio.Queue()
    upstream.set_endpoint("e", "127.0.0.1", port, 0)
    attempt = Attempt(0, "e", HTTP1, lambda _: b"x", lambda _, outcome, __: ended.put_nowait(outcome))
    upstream.send(attempt)
    return attempt, ended


def test_an_address_that_is_none_fails_the_attempt_and_leaves_no_count_behind() -> None:
    """Seen: an error other than OSError ended the task, and neither the attempt nor its place among the open ones."""

    async def test() -> None:
        upstream = Upstream(0, 1_000_000, 4, ByteBudget(1 << 20))
        _, ended = attempt_to(upstream, 70_000)
        assert await ended.get() is Outcome.CONNECT_FAILED
        assert upstream.open_connections == 0

    run(test())


@pytest.mark.parametrize("held", ["before it is seen", "when it is seen"])
def test_a_connection_that_comes_up_in_the_turn_of_its_time_out(held: str, monkeypatch: pytest.MonkeyPatch) -> None:
    """Both events stand ready: the loop is held until the time is up, before or after it has seen the connection."""

    async def test() -> None:
        fake = await FakeServer().start()
        upstream = Upstream(0, 50_000, 4, ByteBudget(1 << 20))
        if held == "when it is seen":
            made = Connection.connection_made

            def hold(self: Connection, transport: asyncio.BaseTransport) -> None:
                made(self, transport)
                time.sleep(0.06)

            monkeypatch.setattr(Connection, "connection_made", hold)
        attempt, ended = attempt_to(upstream, int(fake.address.rpartition(":")[2]))
        if held == "before it is seen":
            await asyncio.sleep(0)
            time.sleep(0.06)
        assert await ended.get() is Outcome.CONNECT_FAILED
        assert await fake.ends.get() == 0  # the descriptor is gone too
        assert upstream.open_connections == 0 and not upstream.pools["e"].idle and not attempt.begun
        fake.server.close()

    run(test())


# --- an answer that comes twice ---


def test_a_late_second_answer_reaches_no_other_request(monkeypatch: pytest.MonkeyPatch) -> None:
    """Measured on the fleet's join day: second answers came 1.0 to 2.7 ms late, on connections then idle."""
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
            first.reply(200, b"first")  # again, with the next request out
            assert await sidecar.endpoints[0].ends.get() == first.connection
            second.reply(200, b"second")
            assert (await client.answer()).body == b"second"
            assert sidecar.host.upstream.open_connections == 1

    run(test())


def test_a_connection_is_used_again_once_it_has_rested(monkeypatch: pytest.MonkeyPatch) -> None:
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


def end_with(asked: ReceivedRequest, last: bytes, end: str) -> None:
    """Write and end past the loop: both lie in the kernel before the sidecar's next turn."""
    sock = asked.writer.transport.get_extra_info("socket")
    with socket.socket(fileno=socket.dup(sock.fileno())) as same:
        same.sendall(last)
        if end == "close":
            same.shutdown(socket.SHUT_WR)
        else:
            same.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    if end == "reset":
        asked.reset()


@pytest.mark.parametrize("end", ["close", "reset"])
def test_an_answer_and_the_end_of_its_connection_in_one_turn(end: str) -> None:
    """The answer counts, once; the connection takes no more requests, and an unsafe one goes out once."""

    async def test() -> None:
        async with Sidecar(endpoints=2) as sidecar:
            client = await sidecar.client()
            client.send()
            asked = await next_request(sidecar)
            end_with(asked, answer(200, b"whole"), end)
            assert (await client.answer()).body == b"whole"
            client.send()
            again = await next_request(sidecar)
            again.reply(200, b"next")
            assert (await client.answer()).body == b"next"
            assert sum(fake.received.qsize() for fake in sidecar.endpoints) == 0
            assert sidecar.host.upstream.open_connections == 1

    run(test())


def test_an_answer_for_a_request_that_was_given_up_reaches_nobody() -> None:
    async def test() -> None:
        async with Sidecar() as sidecar:
            gone = await sidecar.client()
            gone.send()
            asked = await sidecar.endpoints[0].next()
            asked.reply(200, b"late")
            gone.writer.close()
            other = await sidecar.client()
            other.send()
            fresh = await sidecar.endpoints[0].next()
            fresh.reply(200, b"own")
            assert (await other.answer()).body == b"own"

    run(test())


def test_an_answer_that_drips_without_end_is_given_up_with_its_time() -> None:
    async def test() -> None:
        async with Sidecar() as sidecar:
            client = await sidecar.client()
            client.send(deadline_ms=400)
            asked = await sidecar.endpoints[0].next()
            asked.writer.write(answer(200, b"x" * 1000)[:-900])
            ended = asyncio.create_task(sidecar.endpoints[0].ends.get())
            while not ended.done():
                asked.writer.write(b"x")
                await asyncio.sleep(0.02)
            assert (await client.answer()).status == 504
            assert sidecar.host.upstream.open_connections == 0 and not sidecar.host.requests

    run(test())


# --- time ---


@pytest.mark.parametrize("first", ["answer", "alarm"])
def test_an_answer_and_the_alarm_in_the_same_turn_are_one_answer(first: str) -> None:
    """Both in one turn, in both orders: the alarm rings with the answer in the kernel, and after it was read."""

    async def test() -> None:
        async with Sidecar() as sidecar:
            client = await sidecar.client()
            client.send()
            asked = await sidecar.endpoints[0].next()
            (request,) = sidecar.host.requests.values()
            asked.reply()
            while first == "answer" and not request.answered:
                await asyncio.sleep(0)
            sidecar.host._on_deadline(request)
            assert (await client.answer()).status in ((200,) if first == "answer" else (502, 504))
            await nothing_more(client)
            assert not sidecar.host.requests and not sidecar.host.balancer.calls

    run(test())


async def nothing_more(client: Client) -> None:
    """Until a later answer has come on the same connection, so that no second one stands before it."""
    client.writer.write(b"GET /up HTTP/1.1\r\nHost: a\r\n\r\n")
    assert (await client.answer()).body == b""


def test_a_loop_that_is_held_up_before_many_deadlines_still_gives_each_one_answer() -> None:
    async def test() -> None:
        async with Sidecar() as sidecar:
            clients = [await sidecar.client() for _ in range(20)]
            for client in clients:
                client.send("look", deadline_ms=300)
            await sidecar.endpoints[0].next()
            time.sleep(0.3)
            for client in clients:
                assert (await client.answer()).status in (503, 504)
                await nothing_more(client)
            assert not sidecar.host.requests and not sidecar.host.balancer.calls

    run(test())
