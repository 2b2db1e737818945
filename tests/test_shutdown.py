"""Shutdown, eviction of connections, start-up and reload: no accepted request is lost. Each race is forced."""

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

SHORT_DEADLINES: list[dict[str, Any]] = [{**c, "AimUs": 200_000, "DeadlineUs": 400_000} for c in SETUP["Categories"]]


def connect_and_send(port: int, data: bytes = b"GET /up HTTP/1.1\r\nHost: a\r\n\r\n") -> socket.socket:
    """Connect and send a request before the sidecar's event loop runs again."""
    sock = socket.create_connection(("127.0.0.1", port))
    sock.sendall(data)
    sock.setblocking(False)
    return sock


async def read_status(sock: socket.socket) -> int:
    reader, writer = await asyncio.open_connection(sock=sock)
    status = (await read_message(reader)).status
    writer.close()
    return status


# --- the listener ---


def test_connections_in_the_backlog_are_accepted_before_the_listener_closes() -> None:
    """Closing a listener resets connections that only the kernel has accepted: their requests would be lost."""

    async def test() -> None:
        async with Sidecar() as sidecar:
            waiting = [connect_and_send(sidecar.port) for _ in range(100)]
            await close_listener(sidecar.server.listener)
            assert [await read_status(sock) for sock in waiting] == [200] * 100
            with pytest.raises(ConnectionRefusedError):
                connect_and_send(sidecar.port)

    run(test())


# --- eviction of callers' connections ---


@pytest.mark.parametrize("established", [False, True], ids=["new", "between requests"])
def test_a_connection_with_an_unread_request_in_the_kernel_is_not_evicted(
    established: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The event loop has not read the request yet when a connection has to be evicted: the test pauses reading."""
    monkeypatch.setattr("eiderhub.sidecar.callers.EVICTABLE_IDLE_S", 0.0)

    async def test() -> None:
        async with Sidecar(callers=4) as sidecar:
            clients = [await sidecar.client() for _ in range(4)]
            if established:
                for client in clients:
                    assert await readiness_status(client) == 200
            while len(sidecar.callers) < 4:
                await asyncio.sleep(0)
            connection = next(iter(sidecar.callers.idle if established else sidecar.callers.unestablished))
            connection.set_reading(False)
            name = connection.transport.get_extra_info("peername")
            sender = next(client for client in clients if client.writer.get_extra_info("sockname") == name)
            sender.writer.write(b"GET /up HTTP/1.1\r\nHost: a\r\n\r\n")
            while not connection.has_unread_input():
                await asyncio.sleep(0)
            new_client = await sidecar.client()
            assert await readiness_status(new_client) == 200
            connection.set_reading(True)
            assert (await sender.answer()).status == 200
            reads = [asyncio.create_task(client.reader.read()) for client in clients if client is not sender]
            closed, still_open = await asyncio.wait(reads, return_when=asyncio.FIRST_COMPLETED)
            assert (len(closed), len(still_open)) == (1, 2)  # a connection without a request was evicted

    run(test())


def test_a_failing_timeout_check_of_one_connection_does_not_affect_the_others(
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


# --- shutdown ---


def test_at_shutdown_unsent_requests_are_refused_and_sent_ones_fail() -> None:
    async def test() -> None:
        async with Sidecar() as sidecar:
            sent, unsent_caller, late_caller = await sidecar.client(), RecordingCaller(), RecordingCaller()
            sent.send()
            await sidecar.endpoints[0].next()
            sidecar.host.accept(direct_request(unsent_caller))  # its connection is still being established
            sidecar.host.close()
            assert (await sent.answer()).status == 504
            assert await unsent_caller.statuses.get() == 503
            sidecar.host.accept(direct_request(late_caller))
            assert await late_caller.statuses.get() == 503
            assert sidecar.endpoints[0].received.empty()
            assert not sidecar.host.balancer.calls

    run(test())


def test_requests_read_ahead_are_answered_when_the_one_before_them_is_refused() -> None:
    async def test() -> None:
        async with Sidecar() as sidecar:
            client = await sidecar.client()
            client.send(body=b"0")
            await sidecar.endpoints[0].next()
            client.send(body=b"1")
            (connection,) = sidecar.callers.connections
            while not connection.queued_requests:  # type: ignore[attr-defined]
                await asyncio.sleep(0)
            client.send(body=b"2")
            while not connection._unparsed:  # type: ignore[attr-defined]
                await asyncio.sleep(0)
            sidecar.callers.closing = True
            sidecar.host.close()
            assert [(await client.answer()).status for _ in range(3)] == [504, 503, 503]
            assert await client.reader.read() == b""

    run(test())


def test_pipelined_requests_are_all_answered_at_shutdown(tmp_path: Path) -> None:
    """Prevents a pipelined request from being forwarded at shutdown and lost.

    When the first request was failed at the end, the second one was forwarded, and the process exited meanwhile.
    """

    async def test() -> None:
        async with program(tmp_path, {"settings": {**SETUP, "Categories": SHORT_DEADLINES}}) as running:
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


@pytest.mark.parametrize("max_deadline_ms", [200, 400])
def test_with_short_deadlines_all_accepted_requests_are_answered_before_sigkill(
    max_deadline_ms: int, tmp_path: Path
) -> None:
    """Endpoints hang; one request is still incomplete in the last stage, and one arrives late on a new connection."""
    classes = [{**c, "AimUs": max_deadline_ms * 500, "DeadlineUs": max_deadline_ms * 1000} for c in SETUP["Categories"]]

    async def test() -> None:
        async with program(tmp_path, {"settings": {**SETUP, "Categories": classes}}) as running:
            clients = [await running.client() for _ in range(4)]
            partial = await running.client()
            partial.writer.write(b"POST /pay/a HTTP/1.1\r\nHost: a\r\nReq-")
            running.process.send_signal(signal.SIGTERM)
            for client in clients:
                client.send(deadline_ms=max_deadline_ms)
            late_caller = await running.client()
            late_caller.send("look", deadline_ms=max_deadline_ms)
            for client in (*clients, late_caller):
                assert (await client.answer()).status in (502, 503, 504)
            assert await asyncio.to_thread(running.process.wait) == 0
            assert await partial.reader.read() == b""  # its request was never complete: it gets no answer

    run(test())


def test_partial_requests_on_all_connections_do_not_block_answers_during_a_drain(tmp_path: Path) -> None:
    """All descriptors are in use, each by a partial request, when the process receives SIGTERM."""
    sockets = 64
    classes = [{**c, "AimUs": 2_000_000, "DeadlineUs": 2_000_000} for c in SETUP["Categories"]]
    changes = {"limits": {"sockets": sockets, "memory_mb": 64}, "settings": {**SETUP, "Categories": classes}}

    async def test() -> None:
        async with program(tmp_path, changes) as running:
            kept_client = await running.client()
            assert await readiness_status(kept_client) == 200
            kept_client.send(deadline_ms=30_000)
            pending_request = await running.endpoint.next()
            partial_clients = [await running.client() for _ in range(2 * sockets)]
            for client in partial_clients:
                client.writer.write(b"POST /pay/a HTTP/1.1\r\nHost: a\r\nReq-")
            new_client = await running.client()
            assert await readiness_status(new_client) == 200
            assert sockets / 2 < len(os.listdir(f"/proc/{running.process.pid}/fd")) <= sockets
            running.process.send_signal(signal.SIGTERM)
            late_caller = await running.client()
            while await readiness_status(late_caller) != 503:  # the process has received the signal
                pass
            late_caller.send("look", deadline_ms=30_000)
            (await running.endpoint.next()).reply()
            assert (await late_caller.answer()).status == 200
            pending_request.reply()
            assert (await kept_client.answer()).status == 200
            assert await asyncio.to_thread(running.process.wait) == 0

    run(test())


def test_a_request_that_crosses_the_last_answer_is_served_or_not_accepted_at_all() -> None:
    """The request arrives in the loop iteration in which the answer with `Connection: close` is written."""

    async def test() -> None:
        async with Sidecar() as sidecar:
            client = await sidecar.client()
            client.send(body=b"0")
            received = await sidecar.endpoints[0].next()
            sidecar.callers.closing = True
            client.send(body=b"1")  # in the same loop iteration as the answer
            received.reply()
            response = await client.answer()
            if "connection" in response.headers:  # the answer was first: the caller retries elsewhere
                assert sidecar.endpoints[0].received.empty() and not sidecar.host.requests
            else:  # the request was first: it is accepted and served
                (await sidecar.endpoints[0].next()).reply()
                response = await client.answer()
            assert (response.status, response.headers["connection"]) == (200, "close")

    run(test())


def test_shutdown_waits_for_pending_answers_only() -> None:

    async def test() -> None:
        async with Sidecar() as sidecar:
            client = await sidecar.client()
            client.send()
            received = await sidecar.endpoints[0].next()
            assert sidecar.callers.has_unfinished_work()
            received.reply()
            assert (await client.answer()).status == 200
            assert not sidecar.callers.has_unfinished_work()
            client.send()
            await sidecar.endpoints[0].next()
            assert sidecar.callers.has_unfinished_work()

    run(test())


def test_a_new_connection_is_not_closed_before_its_first_request_arrives() -> None:
    async def test() -> None:
        async with Sidecar() as sidecar:
            client = await sidecar.client()
            while not sidecar.callers:
                await asyncio.sleep(0)
            sidecar.callers.closing = True
            sidecar.callers.close_idle()
            client.send()
            (await sidecar.endpoints[0].next()).reply()
            response = await client.answer()
            assert (response.status, response.headers["connection"]) == (200, "close")

    run(test())


def test_sigterm_before_the_first_list_and_during_a_reload_exits_cleanly(tmp_path: Path) -> None:
    async def test() -> None:
        known_list = json.loads(listing(1, True))
        async with program(
            tmp_path, {"settings": {**SETUP, "Categories": SHORT_DEADLINES}, "known": known_list}
        ) as running:
            client = await running.client()
            running.process.send_signal(signal.SIGHUP)
            running.process.send_signal(signal.SIGTERM)
            assert await readiness_status(client) == 503
            client.send("look", deadline_ms=300)
            assert (await client.answer()).status == 503
            assert await asyncio.to_thread(running.process.wait) == 0

    run(test())


# --- start-up ---


def test_with_pushed_lists_the_sidecar_is_not_ready_before_the_agents_list_is_applied() -> None:
    """Endpoint states that the agent knows count as notified from the start of the process.

    The notification's grace may be over when the program begins to serve.
    """

    async def test() -> None:
        async with Sidecar(endpoints=2, Discovery="push") as sidecar:
            remaining, removed = sidecar.endpoints
            client = await sidecar.client()
            assert await readiness_status(client) == 503
            received = await sidecar.discovery.next()
            received.reply(200, listing(2, False, row("s-1", removed.address, "draining")))
            while await readiness_status(client) != 200:
                pass
            await assert_all_go_to(remaining, client)
            assert removed.received.empty()

    run(test())


def test_a_silent_agent_does_not_keep_a_new_process_from_becoming_ready(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("eiderhub.sidecar.host.AGENT_WAIT_US", 100_000)

    async def test() -> None:
        async with Sidecar(Discovery="push") as sidecar:
            client: Client = await sidecar.client()
            while await readiness_status(client) != 200:
                pass

    run(test())


# --- another customer's configuration ---


@pytest.mark.parametrize("effect", ["idempotent", "at_most_once"])
def test_a_reload_accepts_what_a_start_accepts_for_any_class_name(effect: str, tmp_path: Path) -> None:
    """Prevents a reload from applying checks that a start does not apply.

    Classes with the same names as one customer's were checked against that customer's declared effects at reloads only.
    The new discovery address was rejected with them, and the old list stayed in use.
    """
    classes = [{**SETUP["Categories"][0], "Name": name, "Effect": effect} for name in ("despacho", "reserva")]

    async def test() -> None:
        other_discovery = await FakeServer().start()
        async with program(tmp_path, {"settings": {**SETUP, "Categories": classes}}) as running:
            path = tmp_path / "config.json"
            document = json.loads(path.read_text(encoding="utf-8"))
            path.write_text(json.dumps({**document, "discovery": other_discovery.address}), encoding="utf-8")
            running.process.send_signal(signal.SIGHUP)
            assert (await other_discovery.next()).message.start_line == "GET /discovery/hosts HTTP/1.1"

    run(test())


@pytest.mark.parametrize("change", ["tenant renamed", "no tenants", "another effect"])
def test_a_reload_with_another_customers_settings_is_rejected_completely(change: str, tmp_path: Path) -> None:
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
