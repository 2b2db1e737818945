"""A sidecar with Consul as a further source, against a stand-in with scripted faults; endpoints count the requests."""

from __future__ import annotations

import asyncio
import gzip
import json
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import pytest

from eiderhub.cli import main
from eiderhub.interface import ListForm, Readiness
from eiderhub.membership.consul.client import ConsulSource
from eiderhub.membership.consul.health import FieldMapping, read_health
from eiderhub.membership.consul.query import Options
from eiderhub.membership.endpoint_list import ListedEndpoint, read_endpoint_list
from eiderhub.membership.source_aggregator import add_consul_source
from standins.consul import Consul, instance
from standins.http import format_response
from standins.program import running_sidecar
from tests.sidecar_support import SETUP, Client, FakeServer, Sidecar, row, run
from tests.test_sidecar import RecordingCaller, direct_request


def options(*agents: Consul, **changes: Any) -> Options:
    addresses = tuple((a.address.rpartition(":")[0], int(a.address.rpartition(":")[2])) for a in agents)
    return Options(addresses, ("web",), **changes)


@asynccontextmanager
async def polling(*agents: Consul, **changes: Any) -> AsyncIterator[asyncio.Queue[list[ListedEndpoint]]]:
    """Run a Consul source on its own; yield a queue of the lists that it delivers."""
    lists: asyncio.Queue[list[ListedEndpoint]] = asyncio.Queue()
    source = ConsulSource(options(*agents, **changes), lambda _, entries: lists.put(entries))
    source.start()
    try:
        yield lists
    finally:
        source.stop()
        for agent in agents:
            agent.stop()


def ports(entries: list[ListedEndpoint]) -> list[int]:
    return sorted(entry.port for entry in entries)


def test_changes_are_delivered_as_they_come_with_one_request_at_a_time() -> None:
    async def test() -> None:
        agent = await Consul().start()
        agent.set("web", instance("web", "10.0.0.1:80"))
        async with polling(agent) as lists:
            assert ports(await lists.get()) == [80]
            for port in (81, 82):
                agent.set("web", instance("web", f"10.0.0.1:{port}"))
                assert ports(await lists.get()) == [port]
            assert len(agent.requests) - len(agent.answered_at) <= 1
            assert "index=2" in agent.requests[1]

    run(test())


@pytest.mark.parametrize(
    "response",
    [
        format_response(500, b"No cluster leader"),
        format_response(429, b"Your IP is issuing too many concurrent connections"),
        format_response(200, b"[]", "X-Consul-Index: 9", "X-Consul-KnownLeader: false"),
        format_response(200, b'[{"Node"', "X-Consul-Index: 9"),
        format_response(200, b"\x1f\x8b cut", "X-Consul-Index: 9", "Content-Encoding: gzip"),
        format_response(200, gzip.compress(b" " * 200_000), "X-Consul-Index: 9", "Content-Encoding: gzip"),
        format_response(200, b"[]", "X-Consul-Index: 9", "Content-Encoding: br"),
        b"HTTP/1.1 200 OK\r\nContent-Length: 104857600\r\nX-Consul-Index: 9\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nX-Consul-Index: 9\r\n\r\n[]",
    ],
)
def test_an_unusable_response_changes_nothing_and_the_other_agent_is_polled(response: bytes) -> None:
    async def test() -> None:
        first, second = await Consul().start(), await Consul().start()
        for agent in (first, second):
            agent.set("web", instance("web", "10.0.0.1:80"))
        async with polling(first, second, max_response_bytes=65_536) as lists:
            await lists.get()
            first.respond_with(response)
            assert ports(await lists.get()) == [80]
            assert len(second.requests) >= 1 and "index" not in second.requests[0]
            assert lists.empty()

    run(test())


def test_compressed_and_chunked_responses_are_read() -> None:
    async def test() -> None:
        agent = await Consul().start()
        body = json.dumps([instance("web", "10.0.0.1:90")]).encode()
        async with polling(agent) as lists:
            await lists.get()
            agent.respond_with(format_response(200, gzip.compress(body), "X-Consul-Index: 5", "Content-Encoding: gzip"))
            assert ports(await lists.get()) == [90]
            chunks = b"".join(b"%x\r\n%s\r\n" % (len(part), part) for part in (body[:7], body[7:]))
            agent.respond_with(
                b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-Consul-Index: 6\r\n\r\n" + chunks + b"0\r\n\r\n"
            )
            assert ports(await lists.get()) == [90]

    run(test())


def test_the_token_is_read_for_each_request_and_never_logged(tmp_path: Path, caplog: pytest.LogCaptureFixture) -> None:
    async def test() -> None:
        file = tmp_path / "token"
        file.write_text("wrong-secret\n")
        agent = await Consul().start()
        agent.token = "right-secret"
        agent.set("web", instance("web", "10.0.0.1:80"))
        async with polling(agent, token_file=str(file)) as lists:
            while not agent.requests:
                await asyncio.sleep(0.01)
            file.unlink()  # missing for a while
            while "FileNotFoundError" not in caplog.text:
                await asyncio.sleep(0.01)
            assert lists.empty()
            file.write_text("right-secret\n")
            assert ports(await lists.get()) == [80]
        assert "403" in caplog.text and "secret" not in caplog.text

    run(test())


@asynccontextmanager
async def sidecar_with_consul(endpoints: int) -> AsyncIterator[tuple[Sidecar, Consul]]:
    agent = await Consul().start()
    async with Sidecar(endpoints) as sidecar:
        rows = [instance("web", fake.address) for fake in sidecar.endpoints]
        agent.set("web", *rows)
        source = add_consul_source(options(agent), sidecar.host)
        known = [row(f"s-{i}", fake.address) for i, fake in enumerate(sidecar.endpoints)]
        listing = read_endpoint_list({"generation": 1, "reset": True, "instances": known})
        sidecar.host.list_receiver(ListForm.CACHED, listing.entries)  # as at the start, which has happened already
        source.start()
        while len(agent.requests) < 2:  # the first response has been read
            await asyncio.sleep(0.002)
        try:
            yield sidecar, agent
        finally:
            source.stop()
            agent.stop()


@pytest.mark.parametrize("how", ["critical", "gone", "maintenance"])
def test_nothing_is_sent_to_an_endpoint_that_consul_withdraws_until_it_returns(how: str) -> None:
    """The platform still lists both endpoints as ready."""

    async def test() -> None:
        async with sidecar_with_consul(2) as (sidecar, agent):
            first, second = sidecar.endpoints
            unavailable = instance("web", first.address, "critical")
            if how == "maintenance":
                unavailable = instance("web", first.address)
                unavailable["Checks"].append({"CheckID": "_node_maintenance", "Status": "critical"})
            rows = [instance("web", second.address)] + ([] if how == "gone" else [unavailable])
            agent.set("web", *rows)
            while "s-0" in sidecar.host.upstream.pools:
                await asyncio.sleep(0.002)
            assert time.monotonic() - agent.answered_at[-1] < 0.5
            client = await sidecar.client()
            for _ in range(20):
                client.send("look")
                (await second.next()).reply()
                assert (await client.answer()).status == 200
            assert first.received.empty()
            agent.set("web", *[instance("web", fake.address) for fake in sidecar.endpoints])
            while "s-0" not in sidecar.host.upstream.pools:
                await asyncio.sleep(0.002)

    run(test())


def test_a_silent_consul_removes_no_endpoint(caplog: pytest.LogCaptureFixture) -> None:
    async def test() -> None:
        async with sidecar_with_consul(1) as (sidecar, agent):
            agent.stop()
            while "Error" not in caplog.text:  # another poll has failed
                await asyncio.sleep(0.01)
            client = await sidecar.client()
            client.send("look")
            (await sidecar.endpoints[0].next()).reply()
            assert (await client.answer()).status == 200

    run(test())


def test_the_sidecar_program_runs_with_consul_as_its_only_source(tmp_path: Path) -> None:
    async def test() -> None:
        fake = await FakeServer().start()
        agent = await Consul().start()
        agent.set("web", instance("web", fake.address))
        document = {
            "name": "n0", "seed": "8c1f", "settings": SETUP,
            "known": {"generation": 1, "reset": True, "instances": []},
        }  # fmt: skip
        operator = f'[consul]\nagents = "{agent.address}"\nservices = "web"\n'
        async with running_sidecar(tmp_path, document, operator) as (_, host, port):
            client = Client(*await asyncio.open_connection(host, port))
            request = asyncio.create_task(fake.next())
            while not request.done():  # requests are refused until Consul has listed an endpoint
                client.send("look")
                answered = asyncio.create_task(client.answer())
                await asyncio.wait((request, answered), return_when=asyncio.FIRST_COMPLETED)
                if not request.done():
                    assert answered.result().status == 503
            request.result().reply()
            assert (await answered).status == 200
        agent.stop()

    run(test())


def test_the_catalogue_has_no_checks_and_unlisted_instances_are_removed() -> None:
    async def test() -> None:
        agent = await Consul().start()
        agent.set("web", instance("web", "10.0.0.1:80", "critical", zone="b", cell="2"))
        async with polling(agent, use_catalogue=True) as lists:
            (entry,) = await lists.get()
            assert (entry.host, entry.port, entry.endpoint.readiness) == ("10.0.0.1", 80, Readiness.READY)
            assert (entry.endpoint.id, entry.endpoint.zone, entry.endpoint.cell) == ("n1/web-80", "b", 2)
            assert agent.requests[0] == "/v1/catalog/service/web"
            agent.set("web")
            assert await lists.get() == []

    run(test())


def test_changes_are_read_even_if_the_index_stays_the_same() -> None:
    async def test() -> None:
        agent = await Consul().start()
        agent.set("web", instance("web", "10.0.0.1:80"))
        async with polling(agent) as lists:
            await lists.get()
            for port in (81, 82):
                rows = json.dumps([instance("web", f"10.0.0.1:{port}")]).encode()
                agent.respond_with(format_response(200, rows, f"X-Consul-Index: {agent.index}"))
                assert ports(await lists.get()) == [port]

    run(test())


def test_an_emptied_service_is_refused_at_once_and_returns_at_once_without_slow_start() -> None:
    async def test() -> None:
        async with Sidecar(1, consul=True) as sidecar:
            assert sidecar.consul is not None
            (fake,) = sidecar.endpoints
            client = await sidecar.client()
            for _ in range(3):
                sidecar.consul.set("web")
                await sidecar.wait_for_consul()
                begun = time.monotonic()
                client.send("look")
                assert (await client.answer()).status == 503
                assert time.monotonic() - begun < 0.5 and fake.received.empty()
                sidecar.consul.set("web", instance("web", fake.address))
                await sidecar.wait_for_consul()
                clients = [await sidecar.client() for _ in range(5)]
                for one in clients:  # a cold endpoint would get at most one request
                    one.send("look")
                for _ in clients:
                    (await fake.next()).reply()
                assert {(await one.answer()).status for one in clients} == {200}

    run(test())


def test_the_platforms_drain_overrides_a_ready_consul_even_if_that_falls_silent() -> None:
    async def test() -> None:
        async with sidecar_with_consul(2) as (sidecar, agent):
            first, second = sidecar.endpoints
            rows = [row("s-0", first.address, "draining")]
            listing = read_endpoint_list({"generation": 2, "reset": False, "instances": rows})
            sidecar.host.list_receiver(ListForm.DELTA, listing.entries)
            client = await sidecar.client()
            for silent in (False, True):
                if silent:
                    agent.stop()
                for _ in range(10):
                    client.send("look")
                    (await second.next()).reply()
                    assert (await client.answer()).status == 200
            assert first.received.empty()

    run(test())


async def set_critical(sidecar: Sidecar, *critical: int) -> None:
    """Make Consul report these endpoints as critical, and wait until the sidecar has received that."""
    assert sidecar.consul is not None
    rows = [
        instance("web", fake.address, "critical" if i in critical else "passing")
        for i, fake in enumerate(sidecar.endpoints)
    ]
    sidecar.consul.set("web", *rows)
    await sidecar.wait_for_consul()


def test_a_drain_before_a_retry_keeps_the_retry_away() -> None:
    async def test() -> None:
        async with Sidecar(2, consul=True) as sidecar:
            client = await sidecar.client()
            client.send("look")
            request = await sidecar.next()
            other = 1 if sidecar.endpoints[0].connections else 0
            await set_critical(sidecar, other)
            request.reset()
            answered = asyncio.create_task(client.answer())
            retry = asyncio.create_task(sidecar.endpoints[1 - other].next())
            await asyncio.wait((answered, retry), return_when=asyncio.FIRST_COMPLETED)
            retry.cancel()
            assert sidecar.endpoints[other].received.empty()
            answered.cancel()

    run(test())


def test_a_drain_while_calls_are_queued_ends_them_unsent() -> None:
    async def test() -> None:
        async with Sidecar(1, consul=True) as sidecar:
            (fake,) = sidecar.endpoints
            clients = [await sidecar.client() for _ in range(40)]
            for client in clients:
                client.send("look")
            received = [await fake.next()]
            await set_critical(sidecar, 0)
            while not fake.received.empty():
                received.append(fake.received.get_nowait())
            for request in received:
                request.reply()
            statuses = [(await client.answer()).status for client in clients]
            assert statuses.count(200) == len(received) < 40 and set(statuses) == {200, 503}
            assert fake.received.empty()

    run(test())


def test_a_drain_while_a_connection_is_opened_keeps_the_request_from_it() -> None:
    async def test() -> None:
        async with Sidecar(1, consul=True) as sidecar:
            caller = RecordingCaller()
            sidecar.host.accept(direct_request(caller))
            (fake,) = sidecar.endpoints
            critical = read_health(json.dumps([instance("web", fake.address, "critical")]).encode(), FieldMapping())
            update = asyncio.create_task(sidecar.source.on_list("web", critical.entries))
            assert await caller.statuses.get() == 503
            await update
            assert fake.received.empty()

    run(test())


def test_a_flap_keeps_an_endpoints_statistics_and_a_restart_resets_them() -> None:
    async def test() -> None:
        async with Sidecar(1, consul=True) as sidecar:
            assert sidecar.consul is not None
            (fake,) = sidecar.endpoints
            (state,) = sidecar.host.balancer.endpoints.values()
            load_weight = state.load_weight
            await set_critical(sidecar, 0)
            await set_critical(sidecar)
            assert list(sidecar.host.balancer.endpoints.values()) == [state]
            assert state.is_ready and state.load_weight is load_weight
            sidecar.consul.set("web", instance("web", fake.address, started_ms=str(time.time_ns() // 1_000_000)))
            await sidecar.wait_for_consul()
            assert sidecar.host.balancer.endpoints[state.id].load_weight is not load_weight

    run(test())


def test_config_check_polls_the_agents_only_with_the_probe_flag(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    async def test() -> None:
        agent, other = await Consul().start(), await Consul().start()
        other.token = "secret"
        agent.set("web", instance("web", "10.0.0.1:80"), instance("web", "10.0.0.2:80", "critical"))
        path = tmp_path / "operator.toml"
        path.write_text(f'[consul]\nagents = ["{agent.address}", "{other.address}"]\nservices = ["web", "none"]\n')
        document = {"name": "n0", "listen": "127.0.0.1:7070", "seed": "8c1f", "settings": SETUP}
        (tmp_path / "sidecar.json").write_text(json.dumps(document))
        assert await asyncio.to_thread(main, ["config", "check", str(tmp_path)]) == 0
        assert not agent.requests
        assert await asyncio.to_thread(main, ["config", "check", "--probe", str(tmp_path)]) == 1
        lines = [line for line in capsys.readouterr().out.splitlines() if line.startswith("probe")]
        assert lines == [
            f"probe: {agent.address}: web: 2 instances, 1 of them ready",
            f"probe: {agent.address}: none: 0 instances, 0 of them ready",
            f"probe: {other.address}: web: ValueError: unexpected status 403",
            f"probe: {other.address}: none: ValueError: unexpected status 403",
        ]
        agent.stop()
        other.stop()

    run(test())


def test_a_critical_check_makes_the_entry_draining() -> None:
    async def test() -> None:
        agent = await Consul().start()
        agent.set("web", instance("web", "10.0.0.1:80", "critical"))
        async with polling(agent) as lists:
            assert [entry.endpoint.readiness for entry in await lists.get()] == [Readiness.DRAINING]

    run(test())
