"""What is still owed when the process, a listener or a caller's place ends: each crossing is forced."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
from pathlib import Path
from typing import Any

import pytest

from eiderhub.sidecar.__main__ import close_listener
from standins.http import read_message
from tests.sidecar_support import (
    SETUP,
    Client,
    FakeServer,
    Sidecar,
    assert_all_go_to,
    listing,
    program,
    readiness_status,
    row,
    run,
)
from tests.test_sidecar import RecordingCaller, direct_request

QUICK: list[dict[str, Any]] = [{**c, "AimUs": 200_000, "DeadlineUs": 400_000} for c in SETUP["Categories"]]


def in_the_kernel(port: int, data: bytes = b"GET /up HTTP/1.1\r\nHost: a\r\n\r\n") -> socket.socket:
    """A caller whose connection is up and whose request is sent, before the sidecar's loop has had a turn."""
    sock = socket.create_connection(("127.0.0.1", port))
    sock.sendall(data)
    sock.setblocking(False)
    return sock


async def answered(sock: socket.socket) -> int:
    reader, writer = await asyncio.open_connection(sock=sock)
    status = (await read_message(reader)).status
    writer.close()
    return status


# --- the listener ---


def test_what_waits_in_the_backlog_when_the_listener_closes_is_taken_first() -> None:
    """A closing listener resets what the machine has accepted and the program has not: the request would be lost."""

    async def test() -> None:
        async with Sidecar() as sidecar:
            waiting = [in_the_kernel(sidecar.port) for _ in range(100)]
            await close_listener(sidecar.server.listener)
            assert [await answered(sock) for sock in waiting] == [200] * 100
            with pytest.raises(ConnectionRefusedError):
                in_the_kernel(sidecar.port)

    run(test())


# --- callers' places ---


@pytest.mark.parametrize("known", [False, True], ids=["new", "between requests"])
def test_a_caller_whose_request_is_in_the_kernel_does_not_lose_its_place(
    known: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The loop has not come to its request yet when the place is asked for: reading is held until then."""
    monkeypatch.setattr("eiderhub.sidecar.callers.EVICTABLE_IDLE_S", 0.0)

    async def test() -> None:
        async with Sidecar(callers=4) as sidecar:
            here = [await sidecar.client() for _ in range(4)]
            if known:
                for client in here:
                    assert await readiness_status(client) == 200
            while len(sidecar.callers) < 4:
                await asyncio.sleep(0)
            first = next(iter(sidecar.callers.idle if known else sidecar.callers.unestablished))
            first.set_reading(False)
            name = first.transport.get_extra_info("peername")
            asks = next(client for client in here if client.writer.get_extra_info("sockname") == name)
            asks.writer.write(b"GET /up HTTP/1.1\r\nHost: a\r\n\r\n")
            while not first.has_unread_input():
                await asyncio.sleep(0)
            new = await sidecar.client()
            assert await readiness_status(new) == 200
            first.set_reading(True)
            assert (await asks.answer()).status == 200
            ends = [asyncio.create_task(client.reader.read()) for client in here if client is not asks]
            done, waits = await asyncio.wait(ends, return_when=asyncio.FIRST_COMPLETED)
            assert (len(done), len(waits)) == (1, 2)  # one that asked for nothing made room

    run(test())


def test_one_caller_that_cannot_be_looked_at_does_not_leave_the_others_unwatched(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("eiderhub.sidecar.callers.FIRST_REQUEST_TIMEOUT_S", 0.05)

    async def test() -> None:
        async with Sidecar() as sidecar:
            broken, silent = await sidecar.client(), await sidecar.client()
            while len(sidecar.callers) < 2:
                await asyncio.sleep(0)

            def fail(now: int) -> None:
                raise ValueError("no descriptor")

            monkeypatch.setattr(next(iter(sidecar.callers.connections)), "check_timeouts", fail)
            assert await silent.reader.read() == b""
            broken.writer.close()

    run(test())


# --- the end of the process ---


def test_at_the_end_what_was_never_sent_on_is_refused_and_of_the_rest_nothing_is_promised() -> None:
    async def test() -> None:
        async with Sidecar() as sidecar:
            sent, waits, late = await sidecar.client(), RecordingCaller(), RecordingCaller()
            sent.send()
            await sidecar.endpoints[0].next()
            sidecar.host.accept(direct_request(waits))  # its connection is still to come up
            sidecar.host.close()
            assert (await sent.answer()).status == 504
            assert await waits.all.get() == 503
            sidecar.host.accept(direct_request(late))
            assert await late.all.get() == 503
            assert sidecar.endpoints[0].received.empty()
            assert not sidecar.host.balancer.calls

    run(test())


def test_what_was_read_ahead_has_an_answer_too_when_the_one_before_it_is_refused_at_once() -> None:
    async def test() -> None:
        async with Sidecar() as sidecar:
            client = await sidecar.client()
            client.send(body=b"0")
            await sidecar.endpoints[0].next()
            client.send(body=b"1")
            (caller,) = sidecar.callers.connections
            while not caller.queued_requests:  # type: ignore[attr-defined]
                await asyncio.sleep(0)
            client.send(body=b"2")
            while not caller._unparsed:  # type: ignore[attr-defined]
                await asyncio.sleep(0)
            sidecar.callers.closing = True
            sidecar.host.close()
            assert [(await client.answer()).status for _ in range(3)] == [504, 503, 503]
            assert await client.reader.read() == b""

    run(test())


def test_requests_behind_one_another_all_have_an_answer_when_the_process_ends(tmp_path: Path) -> None:
    """Seen by reading: as the first was failed at the end, the second was sent on, and the process ended on it."""

    async def test() -> None:
        async with program(tmp_path, {"settings": {**SETUP, "Categories": QUICK}}) as running:
            client = await running.client()
            for _ in range(4):
                client.send(deadline_ms=30_000)
            await running.endpoint.next()
            running.process.send_signal(signal.SIGTERM)
            running.process.send_signal(signal.SIGTERM)  # a second one changes nothing
            assert [(await client.answer()).status for _ in range(4)] == [504, 503, 503, 503]
            assert await client.reader.read() == b""
            assert await asyncio.to_thread(running.process.wait) == 0
            assert running.endpoint.received.empty()

    run(test())


@pytest.mark.parametrize("longest_ms", [200, 400])
def test_with_short_deadlines_all_that_was_taken_is_answered_before_sigkill_can_come(
    longest_ms: int, tmp_path: Path
) -> None:
    """Endpoints hang; one request is half written as the last stage begins, one comes on a new connection late."""
    classes = [{**c, "AimUs": longest_ms * 500, "DeadlineUs": longest_ms * 1000} for c in SETUP["Categories"]]

    async def test() -> None:
        async with program(tmp_path, {"settings": {**SETUP, "Categories": classes}}) as running:
            clients = [await running.client() for _ in range(4)]
            half = await running.client()
            half.writer.write(b"POST /pay/a HTTP/1.1\r\nHost: a\r\nReq-")
            running.process.send_signal(signal.SIGTERM)
            for client in clients:
                client.send(deadline_ms=longest_ms)
            late = await running.client()
            late.send("look", deadline_ms=longest_ms)
            for client in (*clients, late):
                assert (await client.answer()).status in (502, 503, 504)
            assert await asyncio.to_thread(running.process.wait) == 0
            assert await half.reader.read() == b""  # it was never whole: it is owed nothing

    run(test())


def test_bad_callers_that_hold_all_places_keep_nothing_from_being_answered_in_a_drain(tmp_path: Path) -> None:
    """Descriptors are at their bound, each held by half a request, and the process is told to end."""
    sockets = 64
    classes = [{**c, "AimUs": 2_000_000, "DeadlineUs": 2_000_000} for c in SETUP["Categories"]]
    changes = {"limits": {"sockets": sockets, "memory_mb": 64}, "settings": {**SETUP, "Categories": classes}}

    async def test() -> None:
        async with program(tmp_path, changes) as running:
            kept = await running.client()
            assert await readiness_status(kept) == 200
            kept.send(deadline_ms=30_000)
            out = await running.endpoint.next()
            bad = [await running.client() for _ in range(2 * sockets)]
            for client in bad:
                client.writer.write(b"POST /pay/a HTTP/1.1\r\nHost: a\r\nReq-")
            new = await running.client()
            assert await readiness_status(new) == 200
            assert sockets / 2 < len(os.listdir(f"/proc/{running.process.pid}/fd")) <= sockets
            running.process.send_signal(signal.SIGTERM)
            late = await running.client()
            while await readiness_status(late) != 503:  # it has heard
                pass
            late.send("look", deadline_ms=30_000)
            (await running.endpoint.next()).reply()
            assert (await late.answer()).status == 200
            out.reply()
            assert (await kept.answer()).status == 200
            assert await asyncio.to_thread(running.process.wait) == 0

    run(test())


def test_a_request_that_crosses_the_last_answer_on_its_connection_is_not_half_taken() -> None:
    """It comes in the turn in which the answer with `Connection: close` is written: taken whole, or not at all."""

    async def test() -> None:
        async with Sidecar() as sidecar:
            client = await sidecar.client()
            client.send(body=b"0")
            asked = await sidecar.endpoints[0].next()
            sidecar.callers.closing = True
            client.send(body=b"1")  # in the same turn as the answer
            asked.reply()
            told = await client.answer()
            if "connection" in told.headers:  # the answer went first: the caller asks again elsewhere
                assert sidecar.endpoints[0].received.empty() and not sidecar.host.requests
            else:  # the request went first: it is taken, and served
                (await sidecar.endpoints[0].next()).reply()
                told = await client.answer()
            assert (told.status, told.headers["connection"]) == (200, "close")

    run(test())


def test_the_end_waits_for_what_is_owed_and_for_nothing_else() -> None:

    async def test() -> None:
        async with Sidecar() as sidecar:
            client = await sidecar.client()
            client.send()
            asked = await sidecar.endpoints[0].next()
            assert sidecar.callers.has_unfinished_work()
            asked.reply()
            assert (await client.answer()).status == 200
            assert not sidecar.callers.has_unfinished_work()
            client.send()
            await sidecar.endpoints[0].next()
            assert sidecar.callers.has_unfinished_work()

    run(test())


def test_a_caller_that_has_just_connected_is_not_closed_before_its_request_comes() -> None:
    async def test() -> None:
        async with Sidecar() as sidecar:
            client = await sidecar.client()
            while not sidecar.callers:
                await asyncio.sleep(0)
            sidecar.callers.closing = True
            sidecar.callers.close_idle()
            client.send()
            (await sidecar.endpoints[0].next()).reply()
            told = await client.answer()
            assert (told.status, told.headers["connection"]) == (200, "close")

    run(test())


def test_sigterm_before_the_first_list_and_during_a_reload_ends_in_order(tmp_path: Path) -> None:
    async def test() -> None:
        known = json.loads(listing(1, True))
        async with program(tmp_path, {"settings": {**SETUP, "Categories": QUICK}, "known": known}) as running:
            client = await running.client()
            running.process.send_signal(signal.SIGHUP)
            running.process.send_signal(signal.SIGTERM)
            assert await readiness_status(client) == 503
            client.send("look", deadline_ms=300)
            assert (await client.answer()).status == 503
            assert await asyncio.to_thread(running.process.wait) == 0

    run(test())


# --- the start of one ---


def test_where_lists_are_pushed_nobody_is_asked_to_come_before_the_agents_list_is_in_force() -> None:
    """What the agent has counts as told from the first moment, and the grace may be over when the program serves."""

    async def test() -> None:
        async with Sidecar(endpoints=2, Discovery="push") as sidecar:
            stays, goes = sidecar.endpoints
            client = await sidecar.client()
            assert await readiness_status(client) == 503
            asked = await sidecar.discovery.next()
            asked.reply(200, listing(2, False, row("s-1", goes.address, "draining")))
            while await readiness_status(client) != 200:
                pass
            await assert_all_go_to(stays, client)
            assert goes.received.empty()

    run(test())


def test_a_silent_agent_does_not_keep_a_new_process_from_serving(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("eiderhub.sidecar.host.AGENT_WAIT_US", 100_000)

    async def test() -> None:
        async with Sidecar(Discovery="push") as sidecar:
            client: Client = await sidecar.client()
            while await readiness_status(client) != 200:
                pass

    run(test())


# --- another customer's file ---


@pytest.mark.parametrize("effect", ["idempotent", "at_most_once"])
def test_a_reload_takes_what_a_start_takes_whatever_a_class_is_called(effect: str, tmp_path: Path) -> None:
    """Seen: classes with names that one customer declared were held to that customer's effects, at reloads alone.

    The move of discovery was refused with them, and the old list stayed in use.
    """
    classes = [{**SETUP["Categories"][0], "Name": name, "Effect": effect} for name in ("despacho", "reserva")]

    async def test() -> None:
        other = await FakeServer().start()
        async with program(tmp_path, {"settings": {**SETUP, "Categories": classes}}) as running:
            path = tmp_path / "config.json"
            document = json.loads(path.read_text(encoding="utf-8"))
            path.write_text(json.dumps({**document, "discovery": other.address}), encoding="utf-8")
            running.process.send_signal(signal.SIGHUP)
            assert (await other.next()).message.first == "GET /discovery/hosts HTTP/1.1"

    run(test())


@pytest.mark.parametrize("change", ["tenant renamed", "no tenants", "another effect"])
def test_a_reload_with_another_customers_settings_is_refused_whole(change: str, tmp_path: Path) -> None:
    async def test() -> None:
        async with program(tmp_path, {}) as running:
            path = tmp_path / "config.json"
            document = json.loads(path.read_text(encoding="utf-8"))
            if change == "another effect":
                document["settings"]["Categories"][2]["Effect"] = "idempotent"
            else:
                document["settings"]["Parties"] = [{"Name": "b", "Share": 1.0}] if "renamed" in change else []
            document["discovery"] = "127.0.0.1:2"
            path.write_text(json.dumps(document), encoding="utf-8")
            running.process.send_signal(signal.SIGHUP)
            line = await running.line_with("the configuration is not taken")
            assert "a restart is needed" in line
            client = await running.client()
            client.send()
            (await running.endpoint.next()).reply()
            assert (await client.answer()).status == 200

    run(test())
