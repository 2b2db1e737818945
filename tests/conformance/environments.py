"""A test environment for each protocol, with one interface, so that the same scenarios run for all protocols."""

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
from tests.thrift.peers import SHED_TYPE, FakeThriftServer, ReceivedCall, ThriftClient

SERVED, REFUSED, FAILED = "served", "refused", "failed"


class Caller(Protocol):
    """Connection of a caller."""

    def send(self, class_name: str, deadline_ms: int = 2500) -> None: ...

    async def outcome(self) -> str:
        """Wait for the response to the oldest pending request. Return SERVED, REFUSED or FAILED."""

    def disconnect(self) -> None: ...


class HttpCaller:
    def __init__(self, client: Client) -> None:
        self.client = client

    def send(self, class_name: str, deadline_ms: int = 2500) -> None:
        self.client.send(class_name, deadline_ms=deadline_ms)

    async def outcome(self) -> str:
        status = (await self.client.answer()).status
        return SERVED if status == 200 else REFUSED if status in (429, 503) else FAILED

    def disconnect(self) -> None:
        self.client.writer.close()


class ThriftCaller:
    def __init__(self, client: ThriftClient) -> None:
        self.client = client

    def send(self, class_name: str, deadline_ms: int = 2500) -> None:
        self.client.send(class_name, deadline_ms)

    async def outcome(self) -> str:
        response = await self.client.answer()
        assert response.header.encoding is self.client.encoding
        if response.exception_type is None:
            return SERVED
        return REFUSED if response.exception_type == LOAD_SHEDDING else FAILED

    def disconnect(self) -> None:
        self.client.writer.close()


class Environment:
    """A sidecar, its endpoints and its callers, all of one protocol."""

    def __init__(self, sidecar: Sidecar, connect: Callable[[], Any], send_shed_reply: Callable[[Any], None]) -> None:
        self.sidecar = sidecar
        self.connect = connect
        self.send_shed_reply = send_shed_reply  # the endpoint sheds a call without running it
        self.executed_by: list[int] = []  # the endpoint that ran each call, in order

    async def caller(self) -> Caller:
        caller: Caller = await self.connect()
        return caller

    async def next_call(self) -> tuple[int, ReceivedRequest]:
        """Wait for the next call at any endpoint. Return the endpoint's index and the call."""
        while True:
            for index, endpoint in enumerate(self.sidecar.endpoints):
                if not endpoint.received.empty():
                    return index, endpoint.received.get_nowait()
            await asyncio.sleep(0.002)

    async def next_executed_call(self) -> tuple[int, ReceivedRequest]:
        """As `next_call`, and record that the endpoint ran the call."""
        index, call = await self.next_call()
        self.executed_by.append(index)
        return index, call

    def no_other_calls(self) -> bool:
        return all(endpoint.received.empty() for endpoint in self.sidecar.endpoints)

    async def update_endpoints(self, *states: str, started_ms: int = 0) -> None:
        """Publish the states of the endpoints, in their order. Returns once the sidecar has received them."""
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
        instances = []
        for state, endpoint in zip_longest(states, self.sidecar.endpoints):
            # Consul publishes whole lists, so endpoints without a new state are listed as before.
            meta = {"started_ms": str(started_ms)} if started_ms and state else {}
            if state != "gone":
                status = "critical" if state == "draining" else "passing"
                instances.append(instance("web", endpoint.address, status, **meta))
        self.sidecar.consul.set("web", *instances)
        await self.sidecar.wait_for_consul()

    async def close_endpoint(self, index: int) -> None:
        """Close the listener and the connections of an endpoint."""
        endpoint = self.sidecar.endpoints[index]
        endpoint.server.close()
        for writer in endpoint.writers:
            writer.transport.abort()


def send_http_shed_reply(call: ReceivedRequest) -> None:
    call.reply(503, b"", "Srv-Declined: 1")


def send_thrift_shed_reply(call: ReceivedCall) -> None:
    call.reply_exception(SHED_TYPE)


@asynccontextmanager
async def http_environment(endpoints: int, **settings: Any) -> AsyncIterator[Environment]:
    async with Sidecar(endpoints, **settings) as sidecar:

        async def connect() -> Caller:
            return HttpCaller(await sidecar.client())

        yield Environment(sidecar, connect, send_http_shed_reply)


def thrift_environment(encoding: Encoding, endpoint_encoding: Encoding | None = None) -> Callable[..., Any]:
    """Return an environment with callers of one encoding, and endpoints of the same or another one."""

    @asynccontextmanager
    async def environment(endpoints: int, **settings: Any) -> AsyncIterator[Environment]:
        field_paths = {"key": (1,), "deadline_ms": (2,)}
        options = ListenerOptions(
            "127.0.0.1",
            0,
            endpoint_encoding=endpoint_encoding,
            default_tenant="acme",
            field_paths=field_paths,
            shed_exception_types=frozenset((SHED_TYPE,)),
        )
        async with Sidecar(endpoints, thrift=options, fake=FakeThriftServer, **settings) as sidecar:

            async def connect() -> Caller:
                return ThriftCaller(await ThriftClient.connect(sidecar.thrift_port, encoding))

            yield Environment(sidecar, connect, send_thrift_shed_reply)

    return environment


ENVIRONMENTS: dict[str, Callable[..., Any]] = {
    "http": http_environment,
    "http, endpoints from Consul only": partial(http_environment, consul=True),
    "binary": thrift_environment(Encoding.BINARY),
    "compact": thrift_environment(Encoding.COMPACT),
    "binary to compact": thrift_environment(Encoding.BINARY, Encoding.COMPACT),
    "compact to binary": thrift_environment(Encoding.COMPACT, Encoding.BINARY),
}

__all__ = ["ENVIRONMENTS", "FAILED", "REFUSED", "SERVED", "Caller", "Environment", "FakeServer"]
