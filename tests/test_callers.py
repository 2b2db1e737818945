"""Callers on loopback sockets: bad input, callers that never finish, and bounds on them."""

from __future__ import annotations

import asyncio
import contextlib
import os
import time
from pathlib import Path

import pytest

from eiderhub.sidecar import callers as server
from eiderhub.sidecar.clock import now_us
from tests.sidecar_support import Sidecar, program, readiness_status, run


def test_client_gone_stops_the_attempt() -> None:
    async def test() -> None:
        async with Sidecar() as sidecar:
            client = await sidecar.client()
            client.send(deadline_ms=3_000_000)  # so that no attempt ends by time within the test
            await sidecar.endpoints[0].next()
            client.writer.close()
            assert await sidecar.endpoints[0].ends.get() == 0
            assert not sidecar.host.requests
            assert not sidecar.host.balancer.calls

    run(test())


def test_refusal_comes_when_the_module_gives_up_and_tells_when_to_come_back() -> None:
    async def test() -> None:
        async with Sidecar(endpoints=0) as sidecar:
            begun = time.monotonic()
            answer = await (await sidecar.client()).request("look", deadline_ms=3000)
            assert answer.status == 503
            assert float(answer.headers["retry-after"]) > 0
            assert time.monotonic() - begun < 2.0

    run(test())


HEAD = "POST /pay HTTP/1.1\r\nHost: a\r\nReq-Id: 1\r\nReq-Owner: acme\r\nReq-Deadline-Ms: 2000\r\n"
CHUNKED = "Transfer-Encoding: chunked\r\n\r\n"
BAD_INPUT = [
    ("noise", "\x00\x01\x02\r\n\r\n", 400),
    ("no request line", "nonsense\r\n\r\n", 400),
    ("other version", "POST /pay HTTP/2.0\r\n\r\n", 400),
    ("no version", "GET /look\r\n\r\n", 400),
    ("both lengths", HEAD + "Content-Length: 5\r\n" + CHUNKED + "0\r\n\r\n", 400),
    (
        "both lengths, turned round",
        HEAD + "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n",
        400,
    ),
    ("unknown coding and a length", HEAD + "Transfer-Encoding: xchunked\r\nContent-Length: 1\r\n\r\nx", 400),
    ("coding before chunked", HEAD + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", 400),
    ("two lengths", HEAD + "Content-Length: 1\r\nContent-Length: 1\r\n\r\nx", 400),
    ("list of lengths", HEAD + "Content-Length: 1, 1\r\n\r\nx", 400),
    ("negative length", HEAD + "Content-Length: -1\r\n\r\nx", 400),
    ("signed length", HEAD + "Content-Length: +1\r\n\r\nx", 400),
    ("length past 64 bits", HEAD + "Content-Length: 99999999999999999999\r\n\r\nx", 400),
    ("length too short", HEAD + "Content-Length: 1\r\n\r\nxyz", 400),
    ("bare LF", HEAD.replace("\r\n", "\n") + "Content-Length: 1\n\nx", 400),
    ("bare CR", HEAD + "A: b\rC: d\r\nContent-Length: 1\r\n\r\nx", 400),
    ("NUL", HEAD + "A: b\x00\r\nContent-Length: 1\r\n\r\nx", 400),
    ("folded line", HEAD + "A: b\r\n c\r\nContent-Length: 1\r\n\r\nx", 400),
    ("space before the colon", HEAD + "Content-Length : 1\r\n\r\nx", 400),
    ("chunk of no size", HEAD + CHUNKED + "zz\r\nx\r\n0\r\n\r\n", 400),
    ("chunk of negative size", HEAD + CHUNKED + "-1\r\nx\r\n0\r\n\r\n", 400),
    ("many headers", HEAD + "A: b\r\n" * 1000 + "\r\n", 431),
    ("line without end", HEAD + "A: " + "x" * 1_000_000, 431),
    ("head without end", HEAD + "A: b\r\n" * 100_000, 431),
    ("long body, told ahead", HEAD + "Content-Length: 60000000\r\n\r\n", 413),
    ("long body in chunks", HEAD + CHUNKED + "10000\r\n" + "x" * 65536 + "\r\n1\r\nx\r\n", 413),
    ("unknown path", "GET / HTTP/1.1\r\nHost: a\r\n\r\n", 404),
    ("unknown class", "GET /stare HTTP/1.1\r\nHost: a\r\n\r\n", 404),
    ("too many at once", (HEAD + "Content-Length: 1\r\n\r\nx") * 300, 400),
    ("one good, then noise", HEAD + "Content-Length: 1\r\n\r\nx\x00\x01", 400),
]


@pytest.mark.parametrize(("raw", "status"), [b[1:] for b in BAD_INPUT], ids=[b[0] for b in BAD_INPUT])
def test_bad_input_is_answered_once_reaches_nobody_and_closes(raw: str, status: int) -> None:
    async def test() -> None:
        async with Sidecar() as sidecar:
            client = await sidecar.client()
            client.writer.write(raw.encode("latin-1"))
            assert (await client.answer()).status == status
            assert await client.reader.read() == b""
            assert sidecar.host.accepted_count == 0
            assert sidecar.endpoints[0].connections == 0
            assert sidecar.host.budget.used == 0

    run(test())


def test_what_is_passed_on_is_framed_anew() -> None:
    """Extensions of chunks and trailers are dropped: another reader might take them for something else."""

    async def test() -> None:
        async with Sidecar() as sidecar:
            client = await sidecar.client()
            body = "3;a=b\r\nabc\r\n2\r\nde\r\n0\r\nReq-Id: 2\r\n\r\n"
            client.writer.write((HEAD + CHUNKED + body).encode())
            asked = await sidecar.endpoints[0].next()
            assert asked.message.body == b"abcde"
            assert asked.message.headers["content-length"] == "5"
            assert asked.message.headers["req-id"] == "1"
            assert "transfer-encoding" not in asked.message.headers
            asked.reply()
            assert (await client.answer()).status == 200

    run(test())


def test_noise_behind_an_open_request_ends_it_too() -> None:
    """A length that is too short looks so when the rest comes late: such a caller must not be served."""

    async def test() -> None:
        async with Sidecar() as sidecar:
            client = await sidecar.client()
            client.send(deadline_ms=3_000_000)
            await sidecar.endpoints[0].next()
            client.writer.write(b"\x00\x01 the rest")
            assert (await client.answer()).status == 400
            assert await client.reader.read() == b""
            assert await sidecar.endpoints[0].ends.get() == 0  # its attempt is given up
            assert not sidecar.host.requests
            assert not sidecar.host.balancer.calls

    run(test())


@pytest.mark.parametrize("sent", ["", "POST /pay HT", HEAD, HEAD + "Content-Length: 9\r\n\r\nhalf"])
def test_caller_that_never_makes_a_whole_request_is_closed(sent: str, monkeypatch: pytest.MonkeyPatch) -> None:
    """Seen: one that said nothing stayed for good, and one half way for ten seconds; three are allowed."""

    async def test() -> None:
        monkeypatch.setattr(server, "FIRST_REQUEST_TIMEOUT_S", 0.1)
        monkeypatch.setattr(server, "CHECK_INTERVAL_S", 0.02)
        async with Sidecar() as sidecar:
            asking = await sidecar.client()
            asking.send(deadline_ms=3_000_000)
            asked = await sidecar.endpoints[0].next()
            client = await sidecar.client()
            client.writer.write(sent.encode())
            if sent.startswith("POST /pay HTTP"):
                assert (await client.answer()).status == 408
            await client.reader.read()  # a close, with the parser's own word before it or without
            client.writer.close()
            while len(sidecar.callers) > 1:
                await asyncio.sleep(0.01)
            assert sidecar.host.budget.used == len(b"x")
            asked.reply()
            assert (await asking.answer()).status == 200  # one that waits for its answer is not idle

    run(test())


def test_idle_caller_is_closed_in_the_end(monkeypatch: pytest.MonkeyPatch) -> None:
    """Some ask once and keep their connection for good: without an end to that they add up."""

    async def test() -> None:
        monkeypatch.setattr(server, "IDLE_TIMEOUT_S", 0.1)
        monkeypatch.setattr(server, "CHECK_INTERVAL_S", 0.02)
        async with Sidecar() as sidecar:
            client = await sidecar.client()
            assert await readiness_status(client) == 200
            assert await client.reader.read() == b""
            assert not sidecar.callers

    run(test())


def test_callers_past_the_bound_close_those_that_never_asked_first(monkeypatch: pytest.MonkeyPatch) -> None:
    """Seen in the code: the one connected longest was closed, and that is likely a good one."""

    async def test() -> None:
        async with Sidecar(callers=3) as sidecar:
            good = await sidecar.client()
            assert await readiness_status(good) == 200
            silent, younger = await sidecar.client(), await sidecar.client()
            busy = await sidecar.client()
            assert await silent.reader.read() == b""
            busy.send()
            asked = await sidecar.endpoints[0].next()
            assert await readiness_status(younger) == 200
            # All are at work or were lately: the new one has asked for nothing and is closed at once.
            extra = await sidecar.client()
            assert await extra.reader.read() == b""
            monkeypatch.setattr(server, "EVICTABLE_IDLE_S", 0.0)
            newest = await sidecar.client()
            assert await good.reader.read() == b""  # the one idle longest
            assert [await readiness_status(newest), await readiness_status(younger)] == [200, 200]
            asked.reply()
            assert (await busy.answer()).status == 200

    run(test())


def test_bodies_past_the_memory_are_turned_away_unsent() -> None:
    async def test() -> None:
        async with Sidecar(held=1000) as sidecar:
            first, second = await sidecar.client(), await sidecar.client()
            first.send(body=b"x" * 700)
            asked = await sidecar.endpoints[0].next()
            second.send(body=b"x" * 700)
            answer = await second.answer()
            assert (answer.status, answer.headers["retry-after"]) == (503, "1")
            assert sidecar.host.accepted_count == 1
            asked.reply()
            assert (await first.answer()).status == 200
            first.send(body=b"x" * 700)
            (await sidecar.endpoints[0].next()).reply()
            assert (await first.answer()).status == 200
            assert sidecar.host.budget.used == 0

    run(test())


def test_caller_that_reads_no_answer_gets_no_more_of_them(monkeypatch: pytest.MonkeyPatch) -> None:
    """Answers pile up in this process where their caller does not read them."""

    async def test() -> None:
        monkeypatch.setattr(server, "IDLE_TIMEOUT_S", 0.2)
        monkeypatch.setattr(server, "CHECK_INTERVAL_S", 0.02)
        async with Sidecar() as sidecar:
            client = await sidecar.client()
            client.writer.transport.pause_reading()  # type: ignore[attr-defined]
            endpoint = sidecar.endpoints[0]
            served = 0
            with contextlib.suppress(TimeoutError):
                while served < 400:
                    client.send()
                    (await asyncio.wait_for(endpoint.next(), 0.3)).reply(200, b"x" * 65_000)
                    served += 1
            assert served < 400
            while sidecar.callers:
                await asyncio.sleep(0.01)

    run(test())


@pytest.mark.parametrize(
    ("grade", "changes", "status"),
    [
        ("pay", {"Req_Id": ""}, 400),
        ("pay", {"Req_Id": "a b"}, 400),
        ("pay", {"Req_Deadline_Ms": ""}, 400),
        ("pay", {"Req_Deadline_Ms": "-5"}, 400),
        ("pay", {"Req_Deadline_Ms": "soon"}, 400),
        ("pay", {"Req_Deadline_Ms": "9" * 30}, 400),
        ("pay", {"Req_Owner": ""}, 400),
        ("pay", {"Req_Owner": "stranger"}, 400),
        ("pay", {"Req_Cost": "much"}, 400),
        ("pay", {"Req_Retry": "yes"}, 400),
        ("hold", {"Idempotency_Key": ""}, 400),
    ],
)
def test_bad_headers_are_answered_and_reach_nobody(grade: str, changes: dict[str, str], status: int) -> None:
    async def test() -> None:
        async with Sidecar() as sidecar:
            client = await sidecar.client()
            assert (await client.request(grade, **changes)).status == status
            assert sidecar.host.accepted_count == 0
            assert sidecar.endpoints[0].connections == 0

    run(test())


def test_method_must_fit_the_class() -> None:
    async def test() -> None:
        async with Sidecar() as sidecar:
            client = await sidecar.client()
            client.writer.write(b"GET /pay HTTP/1.1\r\nReq-Id: 1\r\nReq-Owner: acme\r\nReq-Deadline-Ms: 9\r\n\r\n")
            assert (await client.answer()).status == 405
            assert sidecar.host.accepted_count == 0

    run(test())


def test_id_that_is_open_is_not_taken_twice() -> None:
    async def test() -> None:
        async with Sidecar() as sidecar:
            first, second = await sidecar.client(), await sidecar.client()
            first.send(request_id="0a")
            asked = await sidecar.endpoints[0].next()
            assert (await second.request(request_id="0a")).status == 409
            assert await second.reader.read() == b""
            asked.reply()
            assert (await first.answer()).status == 200
            first.send(request_id="0a")
            (await sidecar.endpoints[0].next()).reply()
            assert (await first.answer()).status == 200

    run(test())


def test_flood_of_connections_leaves_descriptors_for_all_else(tmp_path: Path) -> None:
    """Past its limit the process could neither accept nor reach an endpoint."""
    sockets = 64

    async def test() -> None:
        async with program(tmp_path, {"limits": {"sockets": sockets, "memory_mb": 64}}) as running:
            most = 0
            silent = []
            for _ in range(2 * sockets):
                silent.append(await running.client())
                most = max(most, len(os.listdir(f"/proc/{running.process.pid}/fd")))
            client = await running.client()
            client.send()
            (await running.endpoint.next()).reply()
            assert (await client.answer()).status == 200
            assert sockets / 2 < most <= sockets

    run(test())


def test_answer_that_closes_has_time_to_leave(monkeypatch: pytest.MonkeyPatch) -> None:
    """The caller's clock still stood at its request: its last answer could be cut off while it left."""

    async def test() -> None:
        monkeypatch.setattr(server, "CHECK_INTERVAL_S", 0.01)
        monkeypatch.setattr(server, "LINGER_S", 0.5)
        async with Sidecar() as sidecar:
            client = await sidecar.client()
            client.send(Connection="close")
            asked = await sidecar.endpoints[0].next()
            (caller,) = sidecar.callers.connections
            caller.state_since_us -= 60_000_000
            asked.reply(200, b"x" * 60_000)
            answer = await client.answer()
            assert len(answer.body) == 60_000
            assert now_us() - caller.state_since_us < 10_000_000
            assert await client.reader.read() == b""

    run(test())
