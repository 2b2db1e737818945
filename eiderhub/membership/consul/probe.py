"""Asks each agent for each service once: `eiderhub config check --probe`."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import replace
from typing import NamedTuple

from eiderhub.membership.consul.client import fetch
from eiderhub.membership.consul.query import Options, Query
from eiderhub.membership.list_client import ListClient
from eiderhub.sidecar.clock import now_us


class Probed(NamedTuple):
    """What one agent says of one service."""

    agent: str
    service: str
    sound: bool
    text: str

    def __str__(self) -> str:
        return f"probe: {self.agent}: {self.service}: {self.text}"


async def probe(options: Options) -> list[Probed]:
    """One question at a time; never raises for what an agent does."""
    found = []
    for host, port in options.agents:
        asker = ListClient(options.most)
        for service in options.services:
            sound, text = await _ask(replace(options, agents=((host, port),)), service, asker)
            found.append(Probed(f"{host}:{port}", service, sound, text))
        asker.close_connection()
    return found


async def _ask(options: Options, service: str, asker: ListClient) -> tuple[bool, str]:
    query = Query(options, service)
    try:
        answer, headers = await fetch(options, query.ask(now_us()), asker)
        query.answered(now_us(), 200, headers)
    except (OSError, ValueError, TimeoutError) as error:
        asker.close_connection()
        return False, f"{type(error).__name__}: {error}"
    return bool(answer.entries), ", ".join(_told(answer.refused, [e.endpoint.readiness.value for e in answer.entries]))


def _told(refused: list[str], states: list[str]) -> Iterator[str]:
    yield f"{len(states)} instances"
    yield f"{states.count('ready')} of them ready"
    if refused:
        yield f"{len(refused)} left out, such as {refused[0]}"
