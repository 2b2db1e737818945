"""Asks Consul's agents for services and hands on what they say: the thin edge of `query` and `health`."""

from __future__ import annotations

import asyncio
import logging
import random
import zlib
from collections.abc import Awaitable, Callable
from pathlib import Path

from eiderhub.membership.consul.health import Answer, read_catalogue, read_health
from eiderhub.membership.consul.query import Ask, Options, Query
from eiderhub.membership.endpoint_list import ListedEndpoint
from eiderhub.membership.list_client import ListClient
from eiderhub.sidecar.clock import now_us

MAX_TOKEN = 4096  # bytes
ASIDE = 64 * 1024  # bytes of an answer that are read beside the loop: a long list would hold up every request
Told = Callable[[str, list[ListedEndpoint]], Awaitable[None]]
log = logging.getLogger(__name__)


class Consul:
    """One question at a time for each service. `told` gets a service's name and all of its instances."""

    def __init__(self, options: Options, told: Told) -> None:
        self.options = options
        self.told = told
        self._tasks: list[asyncio.Task[None]] = []
        self._complaints: dict[str, str] = {}  # by service: what was logged last, so that nothing is twice in a row

    def start(self) -> None:
        loop = asyncio.get_running_loop()
        self._tasks = [loop.create_task(self._watch(service)) for service in self.options.services]

    def stop(self) -> None:
        for task in self._tasks:
            task.cancel()

    async def _watch(self, service: str) -> None:
        query, asker = Query(self.options, service), ListClient(self.options.most)
        try:
            while True:
                try:
                    pause_us = await self._once(query, asker)
                    self._complain(service, "")
                except Exception as error:  # whatever it is: what Consul said last stands, and it is asked again
                    asker.close_connection()
                    pause_us = query.failed(random.random())
                    self._complain(service, f"{type(error).__name__}: {error}")
                await asyncio.sleep(pause_us / 1e6)
        finally:
            asker.close_connection()

    async def _once(self, query: Query, asker: ListClient) -> int:
        answer, headers = await fetch(self.options, query.ask(now_us()), asker)
        pause_us = query.answered(now_us(), 200, headers)
        if answer.refused:
            self._complain(query.service, f"{len(answer.refused)} instances left out, such as {answer.refused[0]}")
        await self.told(query.service, answer.entries)
        return pause_us

    def _complain(self, service: str, text: str) -> None:
        if text and self._complaints.get(service) != text:
            log.warning("consul: %s: %s", service, text)
        self._complaints[service] = text


async def fetch(options: Options, ask: Ask, asker: ListClient) -> tuple[Answer, dict[str, str]]:
    """One question's answer, and its headers by their names in small letters.

    Raises ValueError for what is no answer, with the reason, and OSError or TimeoutError where none comes.
    """
    response = await asker.fetch(ask.host, ask.port, await _request(options, ask), ask.patience_us / 1e6)
    if response.status != 200:
        raise ValueError(f"answered {response.status}")
    headers = {name.decode("latin-1").lower(): value.decode("latin-1") for name, value in response.headers}
    coding = headers.get("content-encoding", "")
    if len(response.body) > ASIDE or coding:
        return await asyncio.to_thread(_decoded, options, response.body, coding), headers
    return _decoded(options, response.body, coding), headers


async def _request(options: Options, ask: Ask) -> bytes:
    lines = [f"GET {ask.target} HTTP/1.1", f"Host: {ask.host}:{ask.port}", "Accept-Encoding: gzip"]
    if options.token_file is not None:
        token = await asyncio.to_thread(_token, Path(options.token_file))
        lines.append(f"X-Consul-Token: {token}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def _decoded(options: Options, body: bytes, coding: str) -> Answer:
    if coding == "gzip":
        body = _unzipped(body, options.most)
    elif coding not in ("", "identity"):
        raise ValueError(f"an answer coded as {coding[:20]!r}")
    read = read_catalogue if options.catalogue else read_health
    return read(body, options.meaning)


def _token(path: Path) -> str:
    """Read for each question: the file may be replaced at any time. It is never part of a message.

    Raises ValueError where it is no token, and OSError where there is none.
    """
    with path.open("rb") as file:
        told = file.read(MAX_TOKEN + 1).strip()
    if not told or len(told) > MAX_TOKEN or not all(0x21 <= byte <= 0x7E for byte in told):
        raise ValueError("the token's file holds no token")
    return told.decode("ascii")


def _unzipped(body: bytes, most: int) -> bytes:
    """Raises ValueError where it is cut, no gzip, or more than may be held."""
    unzip = zlib.decompressobj(zlib.MAX_WBITS | 16)
    try:
        found = unzip.decompress(body, most)
    except zlib.error as error:
        raise ValueError(f"no gzip: {error}") from None
    if not unzip.eof:
        raise ValueError("a compressed answer that is cut, or too long")
    return found
