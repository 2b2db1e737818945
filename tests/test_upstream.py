"""Endpoints on loopback sockets: how attempts end, and what answers are worth."""

from __future__ import annotations

import asyncio
import socket
import time

import pytest

from eiderhub.interface import Outcome
from eiderhub.protocols.http1.client import HTTP1, Response
from eiderhub.sidecar import host as hosting
from eiderhub.sidecar import upstream
from eiderhub.sidecar.resource_limits import ByteBudget
from eiderhub.sidecar.upstream import Attempt, Upstream
from tests.sidecar_support import (
    SETUP,
    Sidecar,
    next_request,
    one_attempt,
    run,
)


@pytest.mark.parametrize("status", [500, 503, 504, 429, 404])
def test_error_that_may_have_run_is_no_refusal_and_unsafe_is_not_sent_again(status: int) -> None:
    """Rule 2: an endpoint's own 503 must not reach the client as a promise that a retry is harmless."""

    async def test() -> None:
        async with Sidecar(endpoints=2) as sidecar:
            asked, client = await one_attempt(sidecar)
            asked.reply(status, b"")
            assert (await client.answer()).status == 502
            assert all(fake.received.empty() for fake in sidecar.endpoints)

    run(test())


@pytest.mark.parametrize("status", [503, 504])
def test_what_an_endpoint_turned_away_goes_to_another(status: int) -> None:
    async def test() -> None:
        async with Sidecar(endpoints=2) as sidecar:
            asked, client = await one_attempt(sidecar)
            asked.reply(status, b"", "Srv-Declined: 1")
            (await next_request(sidecar)).reply()
            assert (await client.answer()).status == 200

    run(test())


def test_refused_connection_goes_to_another() -> None:
    async def test() -> None:
        async with Sidecar(endpoints=2) as sidecar:
            sidecar.endpoints[0].server.close()
            await sidecar.endpoints[0].server.wait_closed()
            for _ in range(8):  # each draws its endpoint at random
                client = await sidecar.client()
                client.send()
                (await sidecar.endpoints[1].next()).reply()
                assert (await client.answer()).status == 200

    run(test())


@pytest.mark.parametrize("cut", ["nothing", "head", "body"])
def test_answer_cut_short_is_a_failure_and_unsafe_is_not_sent_again(cut: str) -> None:
    async def test() -> None:
        async with Sidecar(endpoints=2) as sidecar:
            asked, client = await one_attempt(sidecar)
            if cut != "nothing":
                asked.writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n")
            if cut == "body":
                asked.writer.write(b"\r\nhalf")
            asked.writer.close()
            assert (await client.answer()).status == 502
            assert all(fake.received.empty() for fake in sidecar.endpoints)

    run(test())


def test_silent_endpoint_ends_by_time_and_its_late_answer_reaches_nobody(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def test() -> None:
        monkeypatch.setattr(hosting, "ANSWER_MARGIN_US", 1_800_000)  # leaves a slow machine ample time
        async with Sidecar() as sidecar:
            client = await sidecar.client()
            begun = time.monotonic()
            client.send(deadline_ms=2000)
            asked = await sidecar.endpoints[0].next()
            answer = await client.answer()
            assert answer.status == 504
            assert time.monotonic() - begun < 1.5
            asked.reply(200, b"late")
            client.send(deadline_ms=8000)
            fresh = await sidecar.endpoints[0].next()
            assert fresh.connection != asked.connection
            fresh.reply(200, b"fresh")
            assert (await client.answer()).body == b"fresh"

    run(test())


def test_break_before_the_last_byte_never_ran_and_after_it_may_have() -> None:
    async def test() -> None:
        for size, expected in ((16 << 20, Outcome.CONNECT_FAILED), (16, Outcome.RESET)):
            listener = socket.create_server(("127.0.0.1", 0))
            listener.setblocking(False)
            ended: asyncio.Queue[Outcome] = asyncio.Queue()
            upstream = Upstream(0, 1_000_000, 4, ByteBudget(1 << 20))
            upstream.set_endpoint("e", "127.0.0.1", listener.getsockname()[1], 0)

            def on_end(
                _: Attempt, outcome: Outcome, __: Response | None, ended: asyncio.Queue[Outcome] = ended
            ) -> None:
                ended.put_nowait(outcome)

            upstream.send(Attempt(0, "e", HTTP1, lambda _, size=size: b"x" * size, on_end))  # type: ignore[misc]
            peer, _ = await asyncio.get_running_loop().sock_accept(listener)
            assert await asyncio.get_running_loop().sock_recv(peer, 16)  # the first bytes have come
            peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
            peer.close()
            assert await ended.get() is expected
            assert upstream.open_connections == 0
            listener.close()

    run(test())


def test_connection_that_does_not_come_up_is_given_up() -> None:
    async def test() -> None:
        full = socket.create_server(("127.0.0.1", 0), backlog=0)
        fillers = [socket.socket() for _ in range(3)]
        for filler in fillers:  # take what the backlog holds: the next handshake gets no answer
            filler.setblocking(False)
            filler.connect_ex(full.getsockname())
        upstream = Upstream(0, 100_000, 4, ByteBudget(1 << 20))
        upstream.set_endpoint("e", "127.0.0.1", full.getsockname()[1], 0)
        ended: asyncio.Queue[Outcome] = asyncio.Queue()
        upstream.send(Attempt(0, "e", HTTP1, lambda _: b"x", lambda _, outcome, __: ended.put_nowait(outcome)))
        assert await ended.get() is Outcome.CONNECT_FAILED
        for sock in (full, *fillers):
            sock.close()

    run(test())


def test_idle_connection_that_has_ended_is_not_used() -> None:
    """Its end may wait in the kernel while the loop is at work: a send would be a reset that may have run."""

    async def test() -> None:
        listener = socket.create_server(("127.0.0.1", 0))
        listener.setblocking(False)
        loop = asyncio.get_running_loop()
        upstream = Upstream(0, 1_000_000, 4, ByteBudget(1 << 20))
        upstream.set_endpoint("e", "127.0.0.1", listener.getsockname()[1], 0)
        ended: asyncio.Queue[Outcome] = asyncio.Queue()

        def send() -> None:
            upstream.send(Attempt(0, "e", HTTP1, lambda _: b"x", lambda _, outcome, __: ended.put_nowait(outcome)))

        async def serve() -> socket.socket:
            peer, _ = await loop.sock_accept(listener)
            await loop.sock_recv(peer, 16)
            await loop.sock_sendall(peer, b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
            return peer

        send()
        peer = await serve()
        assert await ended.get() is Outcome.OK
        peer.close()
        send()  # no turn of the loop lies between
        (await serve()).close()
        assert await ended.get() is Outcome.OK
        listener.close()

    run(test())


def test_idle_connections_close_before_their_endpoint_closes_them() -> None:
    async def test() -> None:
        async with Sidecar(Allowed={**SETUP["Allowed"], "ConnIdleUs": 300_000}) as sidecar:
            client = await sidecar.client()
            client.send()
            (await sidecar.endpoints[0].next()).reply()
            await client.answer()
            assert await sidecar.endpoints[0].ends.get() == 0
            assert sidecar.host.upstream.open_connections == 0

    run(test())


def test_connections_to_endpoints_stay_within_their_bound() -> None:
    async def test() -> None:
        async with Sidecar(endpoints=2, upstream=1) as sidecar:
            client = await sidecar.client()
            seen: set[int] = set()
            while len(seen) < 2:
                client.send()
                asked = await next_request(sidecar)
                asked.reply()
                await client.answer()
                seen.add(next(i for i, f in enumerate(sidecar.endpoints) if asked.writer in f.writers))
                assert sidecar.host.upstream.open_connections == 1

    run(test())


GOOD = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood"
OK = b"HTTP/1.1 200 OK\r\n"
SPOILT = [
    ("noise", b"\x00\x01\xfe noise\r\n\r\n"),
    ("other protocol", b"ICY 200 OK\r\nContent-Length: 4\r\n\r\ngood"),
    ("status no number", b"HTTP/1.1 2x0 OK\r\nContent-Length: 4\r\n\r\ngood"),
    ("no colon", OK + b"none here\r\nContent-Length: 4\r\n\r\ngood"),
    ("two lengths", OK + b"Content-Length: 2\r\nContent-Length: 4\r\n\r\ngood"),
    (
        "length and chunks",
        OK + b"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ngood\r\n0\r\n\r\n",
    ),
    ("negative length", OK + b"Content-Length: -1\r\n\r\ngood"),
    ("length of 3 GB", OK + b"Content-Length: 3000000000\r\n\r\ngood"),
    ("no length", OK + b"\r\ngood"),
    ("chunk of no size", OK + b"Transfer-Encoding: chunked\r\n\r\n2\r\ngo\r\nzz\r\nod\r\n0\r\n\r\n"),
    (
        "chunks without end",
        OK + b"Transfer-Encoding: chunked\r\n\r\n" + b"1000\r\n" + b"x" * 4096 + b"\r\n" * 1,
    ),
    ("head without end", OK + b"X-Pad: pppp\r\n" * 20_000),
    ("line without end", OK + b"X-Pad: " + b"p" * 200_000),
    ("interim answers without end", b"HTTP/1.1 103 Early Hints\r\n\r\n" * 10_000),
    ("another protocol agreed", b"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n"),
]


@pytest.mark.parametrize("raw", [s[1] for s in SPOILT], ids=[s[0] for s in SPOILT])
def test_spoilt_answer_is_a_failure_at_once_and_its_connection_closes(
    raw: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The request has run: an unsafe one is not sent again, and nothing of the answer is passed on."""

    async def test() -> None:
        monkeypatch.setattr(upstream, "STALL_TIMEOUT_US", 100_000)
        async with Sidecar(endpoints=2) as sidecar:
            asked, client = await one_attempt(sidecar)
            asked.writer.write(raw)
            answer = await client.answer()
            assert (answer.status, answer.body) == (502, b"")
            assert await asyncio.wait_for(ended(sidecar), 2) == 0
            assert all(fake.received.empty() for fake in sidecar.endpoints)
            assert (sidecar.host.upstream.open_connections, sidecar.host.budget.used) == (0, 0)

    run(test())


async def ended(sidecar: Sidecar) -> int:
    """Wait until an endpoint's connection has ended."""
    waits = [asyncio.create_task(fake.ends.get()) for fake in sidecar.endpoints]
    done, pending = await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
    for task in pending:
        task.cancel()
    return done.pop().result()


@pytest.mark.parametrize("more", [GOOD, GOOD[:20], b"\xfe\x00 noise\r\n\r\n"], ids=["copy", "part", "noise"])
def test_whole_answer_with_more_behind_it_is_delivered_and_its_connection_closes(more: bytes) -> None:
    """Seen: the exchange failed for what came behind it. The answer's one length has come, so it is whole."""

    async def test() -> None:
        async with Sidecar() as sidecar:
            client = await sidecar.client()
            client.send()
            (await sidecar.endpoints[0].next()).writer.write(GOOD + more)
            answer = await client.answer()
            assert (answer.status, answer.body) == (200, b"good")
            client.send()
            asked = await sidecar.endpoints[0].next()
            assert asked.connection == 1
            asked.reply()
            assert (await client.answer()).body == b"done"

    run(test())


def test_interim_answers_and_unreadable_load_reports_do_not_spoil_an_answer() -> None:
    async def test() -> None:
        async with Sidecar() as sidecar:
            client = await sidecar.client()
            client.send()
            asked = await sidecar.endpoints[0].next()
            asked.writer.write(b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n")
            asked.reply(200, b"good", "Srv-Load: =,;inflight=nan")
            answer = await client.answer()
            assert (answer.status, answer.body) == (200, b"good")
            assert "link" not in answer.headers

    run(test())
