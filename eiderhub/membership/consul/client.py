"""Polls Consul agents for services and passes on their instances; `query` and `health` hold the logic without I/O."""

from __future__ import annotations

import asyncio
import logging
import random
import zlib
from collections.abc import Awaitable, Callable
from pathlib import Path

from eiderhub.membership.consul.health import InstanceList, read_catalogue, read_health
from eiderhub.membership.consul.query import Options, Query, QueryRequest
from eiderhub.membership.endpoint_list import ListedEndpoint
from eiderhub.membership.list_client import ListClient
from eiderhub.sidecar.clock import now_us

MAX_TOKEN_BYTES = 4096
MAX_INLINE_BYTES = 64 * 1024  # longer responses are decoded in a thread, since they would delay every request
OnList = Callable[[str, list[ListedEndpoint]], Awaitable[None]]
log = logging.getLogger(__name__)


class ConsulSource:
    """Polls each service with one request at a time. `on_list` gets a service's name and all of its instances."""

    def __init__(self, options: Options, on_list: OnList) -> None:
        self.options = options
        self.on_list = on_list
        self._tasks: list[asyncio.Task[None]] = []
        self._last_warnings: dict[str, str] = {}  # by service, so that no warning is logged twice in a row

    def start(self) -> None:
        """Start polling; needs a running event loop."""
        loop = asyncio.get_running_loop()
        self._tasks = [loop.create_task(self._poll_forever(service)) for service in self.options.services]

    def stop(self) -> None:
        """Cancel all polls."""
        for task in self._tasks:
            task.cancel()

    async def _poll_forever(self, service: str) -> None:
        query, client = Query(self.options, service), ListClient(self.options.max_response_bytes)
        try:
            while True:
                try:
                    pause_us = await self._poll_once(query, client)
                    self._warn_once(service, "")
                except Exception as error:  # after any failure the last list stays in force, and polling goes on
                    client.close_connection()
                    pause_us = query.on_failure(random.random())
                    self._warn_once(service, f"{type(error).__name__}: {error}")
                await asyncio.sleep(pause_us / 1e6)
        finally:
            client.close_connection()

    async def _poll_once(self, query: Query, client: ListClient) -> int:
        instances, headers = await fetch(self.options, query.next_request(now_us()), client)
        pause_us = query.on_response(now_us(), 200, headers)
        if instances.rejected:
            self._warn_once(
                query.service, f"{len(instances.rejected)} instances left out, such as {instances.rejected[0]}"
            )
        await self.on_list(query.service, instances.entries)
        return pause_us

    def _warn_once(self, service: str, text: str) -> None:
        if text and self._last_warnings.get(service) != text:
            log.warning("consul: %s: %s", service, text)
        self._last_warnings[service] = text


async def fetch(options: Options, request: QueryRequest, client: ListClient) -> tuple[InstanceList, dict[str, str]]:
    """Send one request; return the instances and the headers by their lower-case names.

    Raises ValueError with the reason if the response can't be used, and OSError or TimeoutError if there is none.
    """
    response = await client.fetch(
        request.host, request.port, await _request_bytes(options, request), request.timeout_us / 1e6
    )
    if response.status != 200:
        raise ValueError(f"unexpected status {response.status}")
    headers = {name.decode("latin-1").lower(): value.decode("latin-1") for name, value in response.headers}
    coding = headers.get("content-encoding", "")
    if len(response.body) > MAX_INLINE_BYTES or coding:
        return await asyncio.to_thread(_decode, options, response.body, coding), headers
    return _decode(options, response.body, coding), headers


async def _request_bytes(options: Options, request: QueryRequest) -> bytes:
    lines = [f"GET {request.target} HTTP/1.1", f"Host: {request.host}:{request.port}", "Accept-Encoding: gzip"]
    if options.token_file is not None:
        token = await asyncio.to_thread(_read_token, Path(options.token_file))
        lines.append(f"X-Consul-Token: {token}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def _decode(options: Options, body: bytes, coding: str) -> InstanceList:
    if coding == "gzip":
        body = _gunzip(body, options.max_response_bytes)
    elif coding not in ("", "identity"):
        raise ValueError(f"unsupported content encoding {coding[:20]!r}")
    read = read_catalogue if options.use_catalogue else read_health
    return read(body, options.field_mapping)


def _read_token(path: Path) -> str:
    """Read the token, for each request, since the file may be replaced at any time. No message contains the token.

    Raises ValueError if the file holds no token, and OSError if it can't be read.
    """
    with path.open("rb") as file:
        token = file.read(MAX_TOKEN_BYTES + 1).strip()
    if not token or len(token) > MAX_TOKEN_BYTES or not all(0x21 <= byte <= 0x7E for byte in token):
        raise ValueError("the token file does not contain a valid token")
    return token.decode("ascii")


def _gunzip(body: bytes, max_bytes: int) -> bytes:
    """Decompress gzip data. Raises ValueError if it is truncated, not gzip, or decompresses to over `max_bytes`."""
    decompressor = zlib.decompressobj(zlib.MAX_WBITS | 16)
    try:
        decompressed = decompressor.decompress(body, max_bytes)
    except zlib.error as error:
        raise ValueError(f"invalid gzip data: {error}") from None
    if not decompressor.eof:
        raise ValueError("the compressed response is truncated or too long")
    return decompressed
