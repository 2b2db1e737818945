"""The Consul stand-in, read by an independent client library."""

from __future__ import annotations

import asyncio
from typing import Any

import consul as py_consul
import pytest

from standins.consul import Consul, instance
from tests.sidecar_support import run


def test_a_client_library_reads_the_stand_in_and_waits_for_changes() -> None:
    async def test() -> None:
        agent = await Consul().start()
        agent.token = "secret"
        agent.set("web", instance("web", "10.0.0.1:80", "warning", zone="a"))
        host, _, port = agent.address.rpartition(":")
        client = py_consul.Consul(host=host, port=int(port), token="secret")

        def read(index: int | None = None) -> Any:
            return client.health.service("web", index=index, wait="5s" if index else None)

        index, rows = await asyncio.to_thread(read)
        service = rows[0]["Service"]
        assert (service["Address"], service["Port"], service["Meta"]) == ("10.0.0.1", 80, {"zone": "a"})
        assert [check["Status"] for check in rows[0]["Checks"]] == ["warning"]
        _, flat = await asyncio.to_thread(client.catalog.service, "web")
        assert (flat[0]["ServiceAddress"], flat[0]["ServicePort"]) == ("10.0.0.1", 80)
        waiting = asyncio.create_task(asyncio.to_thread(read, int(index)))
        while len(agent.requests) < 3:
            await asyncio.sleep(0.005)
        assert not waiting.done()
        agent.set("web")
        newer, rows = await waiting
        assert int(newer) > int(index) and rows == []
        agent.token = "another"
        with pytest.raises(py_consul.ACLPermissionDenied):
            await asyncio.to_thread(read)
        agent.stop()

    run(test())
