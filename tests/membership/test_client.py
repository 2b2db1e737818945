"""A sidecar with Consul beside its list, against a stand-in that plays what goes wrong; sends are counted outside."""

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
from eiderhub.membership.consul.client import Consul as Client
from eiderhub.membership.consul.health import Meaning, read_health
from eiderhub.membership.consul.query import Options
from eiderhub.membership.endpoint_list import ListedEndpoint, read_endpoint_list
from eiderhub.membership.source_aggregator import add_consul_source
from standins.consul import Consul, instance
from standins.http import answer
from standins.program import running
from tests.sidecar_support import SETUP, FakeServer, Sidecar, row, run
from tests.sidecar_support import Client as Caller
from tests.test_sidecar import RecordingCaller, direct_request


def options(*agents: Consul, **changes: Any) -> Options:
    addresses = tuple((a.address.rpartition(":")[0], int(a.address.rpartition(":")[2])) for a in agents)
    return Options(addresses, ("web",), **changes)


@asynccontextmanager
async def asking(*agents: Consul, **changes: Any) -> AsyncIterator[asyncio.Queue[list[ListedEndpoint]]]:
    """A client on its own, and what it tells."""
    told: asyncio.Queue[list[ListedEndpoint]] = asyncio.Queue()
    client = Client(options(*agents, **changes), lambda _, entries: told.put(entries))
    client.start()
    try:
        yield told
    finally:
        client.stop()
        for agent in agents:
            agent.stop()


def ports(entries: list[ListedEndpoint]) -> list[int]:
    return sorted(entry.port for entry in entries)


def test_changes_are_told_as_they_come_and_one_question_is_out_at_a_time() -> None:
    async def test() -> None:
        agent = await Consul().start()
        agent.set("web", instance("web", "10.0.0.1:80"))
        async with asking(agent) as told:
            assert ports(await told.get()) == [80]
            for port in (81, 82):
                agent.set("web", instance("web", f"10.0.0.1:{port}"))
                assert ports(await told.get()) == [port]
            assert len(agent.requests) - len(agent.answered_at) <= 1
            assert "index=2" in agent.requests[1]

    run(test())


@pytest.mark.parametrize(
    "bad",
    [
        answer(500, b"No cluster leader"),
        answer(429, b"Your IP is issuing too many concurrent connections"),
        answer(200, b"[]", "X-Consul-Index: 9", "X-Consul-KnownLeader: false"),
        answer(200, b'[{"Node"', "X-Consul-Index: 9"),
        answer(200, b"\x1f\x8b cut", "X-Consul-Index: 9", "Content-Encoding: gzip"),
        answer(200, gzip.compress(b" " * 200_000), "X-Consul-Index: 9", "Content-Encoding: gzip"),
        answer(200, b"[]", "X-Consul-Index: 9", "Content-Encoding: br"),
        b"HTTP/1.1 200 OK\r\nContent-Length: 104857600\r\nX-Consul-Index: 9\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nX-Consul-Index: 9\r\n\r\n[]",
    ],
)
def test_what_is_no_answer_changes_nothing_and_the_other_agent_is_asked(bad: bytes) -> None:
    async def test() -> None:
        first, second = await Consul().start(), await Consul().start()
        for agent in (first, second):
            agent.set("web", instance("web", "10.0.0.1:80"))
        async with asking(first, second, most=65_536) as told:
            await told.get()
            first.respond_with(bad)
            assert ports(await told.get()) == [80]
            assert len(second.requests) >= 1 and "index" not in second.requests[0]
            assert told.empty()

    run(test())


def test_compressed_and_chunked_answers_are_read() -> None:
    async def test() -> None:
        agent = await Consul().start()
        body = json.dumps([instance("web", "10.0.0.1:90")]).encode()
        async with asking(agent) as told:
            await told.get()
            agent.respond_with(answer(200, gzip.compress(body), "X-Consul-Index: 5", "Content-Encoding: gzip"))
            assert ports(await told.get()) == [90]
            chunks = b"".join(b"%x\r\n%s\r\n" % (len(part), part) for part in (body[:7], body[7:]))
            agent.respond_with(
                b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-Consul-Index: 6\r\n\r\n" + chunks + b"0\r\n\r\n"
            )
            assert ports(await told.get()) == [90]

    run(test())


def test_the_token_is_read_anew_and_never_logged(tmp_path: Path, caplog: pytest.LogCaptureFixture) -> None:
    async def test() -> None:
        file = tmp_path / "token"
        file.write_text("wrong-secret\n")
        agent = await Consul().start()
        agent.token = "right-secret"
        agent.set("web", instance("web", "10.0.0.1:80"))
        async with asking(agent, token_file=str(file)) as told:
            while not agent.requests:
                await asyncio.sleep(0.01)
            file.unlink()  # gone for a while
            while "FileNotFoundError" not in caplog.text:
                await asyncio.sleep(0.01)
            assert told.empty()
            file.write_text("right-secret\n")
            assert ports(await told.get()) == [80]
        assert "403" in caplog.text and "secret" not in caplog.text

    run(test())


@asynccontextmanager
async def joined(endpoints: int) -> AsyncIterator[tuple[Sidecar, Consul]]:
    agent = await Consul().start()
    async with Sidecar(endpoints) as world:
        rows = [instance("web", fake.address) for fake in world.endpoints]
        agent.set("web", *rows)
        source = add_consul_source(options(agent), world.host)
        known = [row(f"s-{i}", fake.address) for i, fake in enumerate(world.endpoints)]
        listing = read_endpoint_list({"generation": 1, "reset": True, "instances": known})
        world.host.list_receiver(ListForm.CACHED, listing.entries)  # as at the start, which is over here
        source.start()
        while len(agent.requests) < 2:  # the first answer has been read
            await asyncio.sleep(0.002)
        try:
            yield world, agent
        finally:
            source.stop()
            agent.stop()


@pytest.mark.parametrize("how", ["critical", "gone", "maintenance"])
def test_nothing_new_goes_to_what_consul_holds_back_and_its_return_is_at_once(how: str) -> None:
    """The platform goes on listing both as ready."""

    async def test() -> None:
        async with joined(2) as (world, agent):
            first, second = world.endpoints
            held = instance("web", first.address, "critical")
            if how == "maintenance":
                held = instance("web", first.address)
                held["Checks"].append({"CheckID": "_node_maintenance", "Status": "critical"})
            rows = [instance("web", second.address)] + ([] if how == "gone" else [held])
            agent.set("web", *rows)
            while "s-0" in world.host.upstream.pools:
                await asyncio.sleep(0.002)
            assert time.monotonic() - agent.answered_at[-1] < 0.5
            client = await world.client()
            for _ in range(20):
                client.send("look")
                (await second.next()).reply()
                assert (await client.answer()).status == 200
            assert first.received.empty()
            agent.set("web", *[instance("web", fake.address) for fake in world.endpoints])
            while "s-0" not in world.host.upstream.pools:
                await asyncio.sleep(0.002)

    run(test())


def test_a_silent_consul_takes_nothing_away(caplog: pytest.LogCaptureFixture) -> None:
    async def test() -> None:
        async with joined(1) as (world, agent):
            agent.stop()
            while "Error" not in caplog.text:  # it has been asked again, in vain
                await asyncio.sleep(0.01)
            client = await world.client()
            client.send("look")
            (await world.endpoints[0].next()).reply()
            assert (await client.answer()).status == 200

    run(test())


def test_the_real_program_takes_endpoints_from_consul_alone(tmp_path: Path) -> None:
    async def test() -> None:
        fake = await FakeServer().start()
        agent = await Consul().start()
        agent.set("web", instance("web", fake.address))
        document = {
            "name": "n0", "seed": "8c1f", "settings": SETUP,
            "known": {"generation": 1, "reset": True, "instances": []},
        }  # fmt: skip
        operator = f'[consul]\nagents = "{agent.address}"\nservices = "web"\n'
        async with running(tmp_path, document, operator) as (_, host, port):
            client = Caller(*await asyncio.open_connection(host, port))
            asked = asyncio.create_task(fake.next())
            while not asked.done():  # it is refused until Consul has told of one
                client.send("look")
                answered = asyncio.create_task(client.answer())
                await asyncio.wait((asked, answered), return_when=asyncio.FIRST_COMPLETED)
                if not asked.done():
                    assert answered.result().status == 503
            asked.result().reply()
            assert (await answered).status == 200
        agent.stop()

    run(test())


def test_the_catalogue_tells_no_checks_and_what_it_leaves_out_is_gone() -> None:
    async def test() -> None:
        agent = await Consul().start()
        agent.set("web", instance("web", "10.0.0.1:80", "critical", zone="b", cell="2"))
        async with asking(agent, catalogue=True) as told:
            (entry,) = await told.get()
            assert (entry.host, entry.port, entry.endpoint.readiness) == ("10.0.0.1", 80, Readiness.READY)
            assert (entry.endpoint.id, entry.endpoint.zone, entry.endpoint.cell) == ("n1/web-80", "b", 2)
            assert agent.requests[0] == "/v1/catalog/service/web"
            agent.set("web")
            assert await told.get() == []

    run(test())


def test_an_index_that_stands_still_hides_no_change() -> None:
    async def test() -> None:
        agent = await Consul().start()
        agent.set("web", instance("web", "10.0.0.1:80"))
        async with asking(agent) as told:
            await told.get()
            for port in (81, 82):
                rows = json.dumps([instance("web", f"10.0.0.1:{port}")]).encode()
                agent.respond_with(answer(200, rows, f"X-Consul-Index: {agent.index}"))
                assert ports(await told.get()) == [port]

    run(test())


def test_a_service_that_empties_is_refused_at_once_and_back_at_once_and_not_cold() -> None:
    async def test() -> None:
        async with Sidecar(1, consul=True) as world:
            assert world.consul is not None
            (fake,) = world.endpoints
            client = await world.client()
            for _ in range(3):
                world.consul.set("web")
                await world.wait_for_consul()
                begun = time.monotonic()
                client.send("look")
                assert (await client.answer()).status == 503
                assert time.monotonic() - begun < 0.5 and fake.received.empty()
                world.consul.set("web", instance("web", fake.address))
                await world.wait_for_consul()
                clients = [await world.client() for _ in range(5)]
                for one in clients:  # a cold endpoint would be sent one at the most
                    one.send("look")
                for _ in clients:
                    (await fake.next()).reply()
                assert {(await one.answer()).status for one in clients} == {200}

    run(test())


def test_the_platforms_drain_holds_against_a_ready_consul_also_when_that_falls_silent() -> None:
    async def test() -> None:
        async with joined(2) as (world, agent):
            first, second = world.endpoints
            rows = [row("s-0", first.address, "draining")]
            listed = read_endpoint_list({"generation": 2, "reset": False, "instances": rows})
            world.host.list_receiver(ListForm.DELTA, listed.entries)
            client = await world.client()
            for silent in (False, True):
                if silent:
                    agent.stop()
                for _ in range(10):
                    client.send("look")
                    (await second.next()).reply()
                    assert (await client.answer()).status == 200
            assert first.received.empty()

    run(test())


async def drains(world: Sidecar, *held: int) -> None:
    """Consul says that these endpoints are critical; it has been heard then."""
    assert world.consul is not None
    rows = [
        instance("web", fake.address, "critical" if i in held else "passing") for i, fake in enumerate(world.endpoints)
    ]
    world.consul.set("web", *rows)
    await world.wait_for_consul()


def test_a_drain_told_before_a_retry_leaves_keeps_it_away() -> None:
    async def test() -> None:
        async with Sidecar(2, consul=True) as world:
            client = await world.client()
            client.send("look")
            asked = await world.next()
            other = 1 if world.endpoints[0].connections else 0
            await drains(world, other)
            asked.reset()
            answered = asyncio.create_task(client.answer())
            again = asyncio.create_task(world.endpoints[1 - other].next())
            await asyncio.wait((answered, again), return_when=asyncio.FIRST_COMPLETED)
            again.cancel()
            assert world.endpoints[other].received.empty()
            answered.cancel()

    run(test())


def test_a_drain_told_while_calls_are_held_ends_them_unsent() -> None:
    async def test() -> None:
        async with Sidecar(1, consul=True) as world:
            (fake,) = world.endpoints
            clients = [await world.client() for _ in range(40)]
            for client in clients:
                client.send("look")
            out = [await fake.next()]
            await drains(world, 0)
            while not fake.received.empty():
                out.append(fake.received.get_nowait())
            for asked in out:
                asked.reply()
            statuses = [(await client.answer()).status for client in clients]
            assert statuses.count(200) == len(out) < 40 and set(statuses) == {200, 503}
            assert fake.received.empty()

    run(test())


def test_a_drain_told_while_a_connection_comes_up_keeps_the_request_from_it() -> None:
    async def test() -> None:
        async with Sidecar(1, consul=True) as world:
            caller = RecordingCaller()
            world.host.accept(direct_request(caller))
            (fake,) = world.endpoints
            critical = read_health(json.dumps([instance("web", fake.address, "critical")]).encode(), Meaning())
            telling = asyncio.create_task(world.source.told("web", critical.entries))
            assert await caller.statuses.get() == 503
            await telling
            assert fake.received.empty()

    run(test())


def test_a_flap_keeps_what_was_learned_and_a_new_start_voids_it() -> None:
    async def test() -> None:
        async with Sidecar(1, consul=True) as world:
            assert world.consul is not None
            (fake,) = world.endpoints
            (state,) = world.host.balancer.endpoints.values()
            learned = state.load_weight
            await drains(world, 0)
            await drains(world)
            assert list(world.host.balancer.endpoints.values()) == [state]
            assert state.is_ready and state.load_weight is learned
            world.consul.set("web", instance("web", fake.address, started_ms=str(time.time_ns() // 1_000_000)))
            await world.wait_for_consul()
            assert world.host.balancer.endpoints[state.id].load_weight is not learned

    run(test())


def test_config_check_asks_the_agents_where_it_is_told_to(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
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
            f"probe: {other.address}: web: ValueError: answered 403",
            f"probe: {other.address}: none: ValueError: answered 403",
        ]
        agent.stop()
        other.stop()

    run(test())


def test_what_a_check_says_reaches_the_entry() -> None:
    async def test() -> None:
        agent = await Consul().start()
        agent.set("web", instance("web", "10.0.0.1:80", "critical"))
        async with asking(agent) as told:
            assert [entry.endpoint.readiness for entry in await told.get()] == [Readiness.DRAINING]

    run(test())
