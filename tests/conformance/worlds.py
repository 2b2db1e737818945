"""One world for each protocol, in the same words: so that one list of scenarios says what holds for all of them."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable, Sequence
from contextlib import asynccontextmanager
from functools import partial
from itertools import zip_longest
from typing import Any, Protocol

from eiderhub.interface import ListForm
from eiderhub.membership.endpoint_list import read_endpoint_list
from eiderhub.protocols.thrift.admission import ListenerOptions
from eiderhub.protocols.thrift.definitions import Encoding
from eiderhub.protocols.thrift.replies import LOAD_SHEDDING
from standins.consul import instance
from tests.sidecar_support import Client, FakeServer, ReceivedRequest, Sidecar, row
from tests.thrift.peers import SHED, AskedThrift, ThriftClient, ThriftFake

SERVED, REFUSED, FAILED = "served", "refused", "failed"


class Caller(Protocol):
    """One connection of a client."""

    def send(self, grade: str, deadline_ms: int = 2500) -> None: ...

    async def outcome(self) -> str:
        """What became of the request that was sent first and has no answer yet."""

    def leave(self) -> None: ...


class HttpCaller:
    def __init__(self, client: Client) -> None:
        self.client = client

    def send(self, grade: str, deadline_ms: int = 2500) -> None:
        self.client.send(grade, deadline_ms=deadline_ms)

    async def outcome(self) -> str:
        status = (await self.client.answer()).status
        return SERVED if status == 200 else REFUSED if status in (429, 503) else FAILED

    def leave(self) -> None:
        self.client.writer.close()


class ThriftCaller:
    def __init__(self, client: ThriftClient) -> None:
        self.client = client

    def send(self, grade: str, deadline_ms: int = 2500) -> None:
        self.client.send(grade, deadline_ms)

    async def outcome(self) -> str:
        answer = await self.client.answer()
        assert answer.header.encoding is self.client.encoding
        if answer.kind is None:
            return SERVED
        return REFUSED if answer.kind == LOAD_SHEDDING else FAILED

    def leave(self) -> None:
        self.client.writer.close()


class World:
    """A sidecar, its endpoints and its callers, all of one protocol."""

    def __init__(self, sidecar: Sidecar, connect: Callable[[], Any], shed: Callable[[Any], None]) -> None:
        self.sidecar = sidecar
        self.connect = connect
        self.shed = shed  # the endpoint turns a call away, and did not run it
        self.runs: list[int] = []  # effects, as the endpoints' side counts them: which endpoint ran a call

    async def caller(self) -> Caller:
        found: Caller = await self.connect()
        return found

    async def asked(self) -> tuple[int, ReceivedRequest]:
        """The next call that any endpoint gets whole, and which one."""
        while True:
            for number, fake in enumerate(self.sidecar.endpoints):
                if not fake.received.empty():
                    return number, fake.received.get_nowait()
            await asyncio.sleep(0.002)

    async def runs_next(self) -> tuple[int, ReceivedRequest]:
        """As `asked`; the call runs."""
        number, call = await self.asked()
        self.runs.append(number)
        return number, call

    def nothing_else(self) -> bool:
        return all(fake.received.empty() for fake in self.sidecar.endpoints)

    async def list(self, *states: str, started_ms: int = 0) -> None:
        """What discovery tells of the endpoints, in their order; it has been heard then."""
        if self.sidecar.consul is not None:
            await self._list_consul(states, started_ms)
            return
        rows = []
        for i, state in enumerate(states):
            entry = row(f"s-{i}", self.sidecar.endpoints[i].address, state)
            rows.append({**entry, "startedAtMs": started_ms} if state == "ready" else entry)
        listing = read_endpoint_list({"generation": 9, "reset": False, "instances": rows})
        self.sidecar.host.on_list(ListForm.DELTA, listing.entries)

    async def _list_consul(self, states: Sequence[str], started_ms: int) -> None:
        assert self.sidecar.consul is not None
        found = []
        for state, fake in zip_longest(states, self.sidecar.endpoints):
            # A list is whole here: what a change would leave as it is stands in it as ever.
            meta = {"started_ms": str(started_ms)} if started_ms and state else {}
            if state != "gone":
                status = "critical" if state == "draining" else "passing"
                found.append(instance("web", fake.address, status, **meta))
        self.sidecar.consul.set("web", *found)
        await self.sidecar.wait_for_consul()

    async def close(self, endpoint: int) -> None:
        """Nobody listens there any more."""
        fake = self.sidecar.endpoints[endpoint]
        fake.server.close()
        for writer in fake.writers:
            writer.transport.abort()


def http_shed(call: ReceivedRequest) -> None:
    call.reply(503, b"", "Srv-Declined: 1")


def thrift_shed(call: AskedThrift) -> None:
    call.raises(SHED)


@asynccontextmanager
async def http_world(endpoints: int, **settings: Any) -> AsyncIterator[World]:
    async with Sidecar(endpoints, **settings) as sidecar:

        async def connect() -> Caller:
            return HttpCaller(await sidecar.client())

        yield World(sidecar, connect, http_shed)


def thrift_world(encoding: Encoding, inner: Encoding | None = None) -> Callable[..., Any]:
    """Callers of one encoding, endpoints of the same or of another."""

    @asynccontextmanager
    async def world(endpoints: int, **settings: Any) -> AsyncIterator[World]:
        fields = {"key": (1,), "deadline_ms": (2,)}
        options = ListenerOptions(
            "127.0.0.1",
            0,
            endpoint_encoding=inner,
            default_tenant="acme",
            field_paths=fields,
            shed_exception_types=frozenset((SHED,)),
        )
        async with Sidecar(endpoints, thrift=options, fake=ThriftFake, **settings) as sidecar:

            async def connect() -> Caller:
                return ThriftCaller(await ThriftClient.connect(sidecar.thrift_port, encoding))

            yield World(sidecar, connect, thrift_shed)

    return world


WORLDS: dict[str, Callable[..., Any]] = {
    "http": http_world,
    "http, endpoints from Consul alone": partial(http_world, consul=True),
    "binary": thrift_world(Encoding.BINARY),
    "compact": thrift_world(Encoding.COMPACT),
    "binary to compact": thrift_world(Encoding.BINARY, Encoding.COMPACT),
    "compact to binary": thrift_world(Encoding.COMPACT, Encoding.BINARY),
}

__all__ = ["FAILED", "REFUSED", "SERVED", "WORLDS", "Caller", "FakeServer", "World"]
