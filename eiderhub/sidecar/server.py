"""Callers' connections: parsing, `/up`, and answers."""

from __future__ import annotations

import asyncio
import logging
from http import HTTPStatus
from typing import NamedTuple, cast

import httptools

from eiderhub.interface import Effect, RequestClass
from eiderhub.sidecar.clock import now_us
from eiderhub.sidecar.host import Host, Request
from eiderhub.sidecar.upstream import HOP_BY_HOP

MAX_BODY = 64 * 1024
MAX_HEAD = 16 * 1024
MAX_DEADLINE_MS = 3_600_000
READ_S = 10.0  # a request that has not come whole by then never will: callers give up sooner
READ_CHECK_S = 1.0
LINGER_S = 1.0  # how long input is still read after an answer that the caller may not be waiting for yet
BACKLOG = 1024
BUSY_WAIT = b"1"  # Retry-After where no descriptor is left
REASONS = {status.value: status.phrase.encode() for status in HTTPStatus}
NOT_FORWARDED = HOP_BY_HOP | {b"req-deadline-ms"}  # it is told anew with each attempt
log = logging.getLogger(__name__)


class Rejected(Exception):
    """Bad input: neither the module nor an endpoint hears of it."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status


class Incoming(NamedTuple):
    """A request as it came, or what was wrong with it."""

    method: bytes
    url: bytes
    headers: list[tuple[bytes, bytes]]
    body: bytes
    keep: bool
    arrived_us: int
    fault: Rejected | None = None


class CallerConnection(asyncio.Protocol):
    """One caller's connection: requests are served one after another."""

    def __init__(self, server: Server) -> None:
        self.server = server
        self.current: Request | None = None
        self.request_id = b""
        self.waiting: list[Incoming] = []  # came before the answer to the one before
        self.keep = True
        self.receiving = False
        self.began_us = 0  # when the request that is coming in began
        self.ended = False  # nothing that still comes is read
        self.fault: Rejected | None = None
        self.parser = httptools.HttpRequestParser(self)

    # --- the socket ---

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # Not `isinstance`: uvloop's transports only have the shape of asyncio's.
        self.transport = cast(asyncio.Transport, transport)
        self.server.joined(self)

    def data_received(self, data: bytes) -> None:
        if self.ended:
            return
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self.ended = True  # the request itself was taken, and its answer closes the connection
        except httptools.HttpParserError:
            self.stop(self.fault or Rejected(400, "malformed HTTP"))

    def stop(self, fault: Rejected) -> None:
        """Read nothing more; the answer comes in its turn, and the connection closes after it."""
        self.ended = True
        self._accept(Incoming(b"", b"", [], b"", False, 0, fault))

    def eof_received(self) -> bool:
        return False  # a caller that closes has gone away, whatever it still could read

    def connection_lost(self, exc: Exception | None) -> None:
        self.ended = True
        self.waiting.clear()
        self.server.left(self)
        current, self.current = self.current, None
        if current is not None:
            self.server.forget(self.request_id)
            self.server.host.gone(current)

    # --- the parser's calls ---

    def on_message_begin(self) -> None:
        self.receiving = True
        self.began_us = now_us()
        self._url = b""
        self._headers: list[tuple[bytes, bytes]] = []
        self._body: list[bytes] = []
        self._head_size = self._body_size = 0

    def on_url(self, url: bytes) -> None:
        self._url += url
        self._grow_head(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        self._headers.append((name, value))
        self._grow_head(len(name) + len(value))

    def _grow_head(self, size: int) -> None:
        self._head_size += size
        if self._head_size > MAX_HEAD:
            self._fault(Rejected(431, "the headers are too long"))

    def on_body(self, body: bytes) -> None:
        self._body_size += len(body)
        if self._body_size > MAX_BODY:
            self._fault(Rejected(413, "the body is too long"))
        self._body.append(body)

    def _fault(self, fault: Rejected) -> None:
        self.fault = fault
        raise fault

    def on_message_complete(self) -> None:
        self.receiving = False
        self._accept(
            Incoming(
                self.parser.get_method(),
                self._url,
                self._headers,
                b"".join(self._body),
                self.parser.should_keep_alive() and not self.parser.should_upgrade(),
                now_us(),
            )
        )

    # --- one request after another ---

    @property
    def busy(self) -> bool:
        return self.current is not None or self.receiving or bool(self.waiting)

    def _accept(self, incoming: Incoming) -> None:
        if self.current is not None or self.waiting:
            self.waiting.append(incoming)
            self.transport.pause_reading()
            return
        self._serve(incoming)

    def _serve(self, incoming: Incoming) -> None:
        self.keep = incoming.keep
        try:
            request = self.server.admit(self, incoming)
        except Rejected as rejected:
            self.answer(rejected.status, [], f"{rejected}\n".encode())
            return
        except Exception:
            # It has not reached the module, but what was asked for is unclear: no promise is made.
            log.exception("a request could not be read")
            self.answer(500, [], b"")
            return
        if request is not None:
            self.current = request
            self.server.host.take(request)

    def answer(self, status: int, headers: list[tuple[bytes, bytes]], body: bytes) -> None:
        """Write an answer; the connection closes after it where the caller, the input or our end asks so."""
        if self.current is not None:
            self.current = None
            self.server.forget(self.request_id)
        # Rule 1: what waits behind this request was taken too, so it is answered even while we drain.
        keep = self.keep and (bool(self.waiting) or not self.server.draining)
        lines = [b"HTTP/1.1 %d %s" % (status, REASONS[status]), b"Content-Length: %d" % len(body)]
        lines += [b"%s: %s" % header for header in headers if header[0].lower() not in HOP_BY_HOP]
        if not keep:
            lines.append(b"Connection: close")
        self.transport.write(b"\r\n".join(lines) + b"\r\n\r\n" + body)
        if keep:
            self._next()
        else:
            self._finish()

    def _next(self) -> None:
        if self.waiting:
            # Later: the answer may have come from within a call that still works on the last request.
            asyncio.get_running_loop().call_soon(self._resume)

    def _resume(self) -> None:
        if self.waiting and self.current is None:
            incoming = self.waiting.pop(0)
            if not self.waiting:
                self.transport.resume_reading()
            self._serve(incoming)

    def _finish(self) -> None:
        """Close, but for bad input not before the caller has had time to read why.

        A socket that is closed with unread input is reset, and the answer on its way would be lost.
        """
        unread = self.ended or self.receiving
        self.ended = True
        self.waiting.clear()
        if unread and self.transport.can_write_eof():
            self.transport.write_eof()
            asyncio.get_running_loop().call_later(LINGER_S, self.transport.close)
        else:
            self.transport.close()


class Server:
    """All callers' connections."""

    def __init__(self, host: Host, most: int) -> None:
        self.host = host
        self.most = most  # connections that callers may have open
        self.callers: dict[CallerConnection, None] = {}  # the longest connected first
        self.open_ids: set[bytes] = set()
        self.classes = {c.name.encode(): c for c in host.settings.classes}
        self.tenants = {t.name for t in host.settings.tenants}
        self.draining = False

    async def bind(self, host: str, port: int) -> None:
        """Take the address; connections wait until the module has started."""
        loop = asyncio.get_running_loop()
        self.listener = await loop.create_server(
            lambda: CallerConnection(self), host, port, backlog=BACKLOG, start_serving=False
        )

    def joined(self, caller: CallerConnection) -> None:
        self.callers[caller] = None
        if len(self.callers) > self.most:
            for other in self.callers:
                if not other.busy and other is not caller:
                    other.transport.close()
                    break

    def left(self, caller: CallerConnection) -> None:
        self.callers.pop(caller, None)

    def forget(self, request_id: bytes) -> None:
        self.open_ids.discard(request_id)

    async def watch_callers(self) -> None:
        """Guards the descriptors against callers that never finish what they began to send."""
        while True:
            await asyncio.sleep(READ_CHECK_S)
            before = now_us() - int(READ_S * 1e6)
            for caller in list(self.callers):
                if caller.receiving and not caller.ended and caller.began_us < before:
                    caller.stop(Rejected(408, "the request did not come whole"))

    def close_idle(self) -> None:
        for caller in list(self.callers):
            if not caller.busy:
                caller.transport.close()

    # --- reading a request ---

    def admit(self, caller: CallerConnection, incoming: Incoming) -> Request | None:
        """The request to take, or None where it is answered already."""
        if incoming.fault is not None:
            raise incoming.fault
        path = incoming.url.partition(b"?")[0]
        if path == b"/up":
            self._up(caller, incoming)
            return None
        grade = self.classes.get(path[1:].partition(b"/")[0]) if path[:1] == b"/" else None
        if grade is None:
            raise Rejected(404, "no such class")
        if len(self.callers) > self.most:
            caller.keep = False
            caller.answer(503, [(b"Retry-After", BUSY_WAIT)], b"")  # harmless: it was sent nowhere
            return None
        return self._request(caller, incoming, grade)

    def _up(self, caller: CallerConnection, incoming: Incoming) -> None:
        if incoming.method != b"GET":
            raise Rejected(405, "GET only")
        caller.answer(200 if self.host.ready and not self.draining else 503, [], b"")

    def _request(self, caller: CallerConnection, incoming: Incoming, grade: RequestClass) -> Request:
        fields: dict[bytes, bytes] = {}
        lines = [b"%s %s HTTP/1.1\r\n" % (incoming.method, incoming.url)]
        for name, value in incoming.headers:
            key = name.lower()
            if key in fields and (key.startswith(b"req-") or key == b"idempotency-key"):
                raise Rejected(400, f"{key.decode('latin-1')}: given twice")
            fields[key] = value
            if key not in NOT_FORWARDED:
                lines.append(b"%s: %s\r\n" % (name, value))
        if b"host" not in fields:  # HTTP/1.0 may leave it out, what goes on may not
            lines.append(b"Host: endpoint\r\n")
        _check_method(incoming.method, grade, fields)
        request_id = fields.get(b"req-id", b"")
        if not _is_token(request_id):
            raise Rejected(400, "req-id: missing or bad")
        deadline_ms = _number(fields, b"req-deadline-ms", MAX_DEADLINE_MS)
        if deadline_ms is None:
            raise Rejected(400, "req-deadline-ms: missing")
        if fields.get(b"req-retry", b"1") not in (b"0", b"1"):
            raise Rejected(400, "req-retry: bad value")
        hint_us = _number(fields, b"req-cost", 1 << 50)
        tenant = self._tenant(fields)
        if request_id in self.open_ids:
            # Two answers would be owed under one id, and endpoints could not tell its attempts apart.
            raise Rejected(409, "req-id: this request is open")
        self.open_ids.add(request_id)
        caller.request_id = request_id
        if incoming.body or grade.effect is not Effect.IDEMPOTENT:
            lines.append(b"Content-Length: %d\r\n" % len(incoming.body))
        return Request(
            caller,
            grade.name,
            tenant,
            hint_us,
            incoming.arrived_us + deadline_ms * 1000,
            b"".join(lines),
            incoming.body,
        )

    def _tenant(self, fields: dict[bytes, bytes]) -> str | None:
        """The owner. An unknown one is no tenant: each name would get a budget, and memory, of its own."""
        if not self.tenants:
            return None
        owner = fields.get(b"req-owner", b"").decode("latin-1")
        if owner not in self.tenants:
            raise Rejected(400, "req-owner: missing or unknown")
        return owner


def _check_method(method: bytes, grade: RequestClass, fields: dict[bytes, bytes]) -> None:
    if method != (b"GET" if grade.effect is Effect.IDEMPOTENT else b"POST"):
        raise Rejected(405, "the method does not fit the class")
    if grade.effect is Effect.DEDUPLICATED and not fields.get(b"idempotency-key"):
        raise Rejected(400, "idempotency-key: missing")


def _is_token(value: bytes) -> bool:
    return 0 < len(value) <= 128 and all(0x21 <= byte <= 0x7E for byte in value)


def _number(fields: dict[bytes, bytes], key: bytes, most: int) -> int | None:
    text = fields.get(key)
    if text is None:
        return None
    if not text.isdigit() or len(text) > 18 or int(text) > most:
        raise Rejected(400, f"{key.decode()}: no number within its range")
    return int(text)
