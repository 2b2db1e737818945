"""Polls each agent once for each service: `eiderhub config check --probe`."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import replace
from typing import NamedTuple

from eiderhub.membership.consul.client import fetch
from eiderhub.membership.consul.query import Options, Query
from eiderhub.membership.list_client import ListClient
from eiderhub.sidecar.clock import now_us


class ProbeResult(NamedTuple):
    """Result of probing one agent for one service. The field names are keys of the command's JSON output."""

    agent: str
    service: str
    sound: bool
    text: str

    def __str__(self) -> str:
        return f"probe: {self.agent}: {self.service}: {self.text}"


async def probe(options: Options) -> list[ProbeResult]:
    """Probe all agents, one request at a time. Does not raise for anything that an agent does."""
    results = []
    for host, port in options.agents:
        client = ListClient(options.max_response_bytes)
        for service in options.services:
            sound, text = await _probe_service(replace(options, agents=((host, port),)), service, client)
            results.append(ProbeResult(f"{host}:{port}", service, sound, text))
        client.close_connection()
    return results


async def _probe_service(options: Options, service: str, client: ListClient) -> tuple[bool, str]:
    query = Query(options, service)
    try:
        instances, headers = await fetch(options, query.next_request(now_us()), client)
        query.on_response(now_us(), 200, headers)
    except (OSError, ValueError, TimeoutError) as error:
        client.close_connection()
        return False, f"{type(error).__name__}: {error}"
    return (
        bool(instances.entries),
        ", ".join(_summary(instances.rejected, [e.endpoint.readiness.value for e in instances.entries])),
    )


def _summary(rejected: list[str], states: list[str]) -> Iterator[str]:
    yield f"{len(states)} instances"
    yield f"{states.count('ready')} of them ready"
    if rejected:
        yield f"{len(rejected)} left out, such as {rejected[0]}"
