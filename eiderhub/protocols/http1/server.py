"""The server side of HTTP/1.1: reading requests, `/up`, and wording answers."""

from __future__ import annotations

import asyncio
import logging
from typing import NamedTuple

import httptools

from eiderhub.interface import Effect, RequestClass
from eiderhub.protocols.http1.client import HOP_BY_HOP, RequestPayload, Response
from eiderhub.routing.request_target import InvalidTargetError, RequestAttributes, segments_of
from eiderhub.sidecar.callers import BaseCallerConnection, Callers
from eiderhub.sidecar.clock import now_us
from eiderhub.sidecar.host import Host, Request
from eiderhub.sidecar.protocol_interface import FailureReason

MAX_BODY = 64 * 1024
MAX_HEAD = 16 * 1024
HEADER_COST = 32  # bytes that each header counts beside its own: tiny ones fill the memory with objects
MAX_UNPARSED_BYTES = (
    64 * 1024
)  # bytes read behind requests that wait: read on, for a caller's end is heard by reading alone
MAX_WAITING = 4  # requests of one caller that wait for the answer before: callers send one at a time
MAX_DEADLINE_MS = 3_600_000
LISTEN_BACKLOG = 1024
BUSY_WAIT = b"1"  # Retry-After where no memory is left
REASONS = {  # of every status that is answered; `http` would bring sixty more, and their memory
    200: b"OK",
    400: b"Bad Request",
    404: b"Not Found",
    405: b"Method Not Allowed",
    408: b"Request Timeout",
    409: b"Conflict",
    413: b"Content Too Large",
    431: b"Request Header Fields Too Large",
    500: b"Internal Server Error",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}
NOT_FORWARDED = HOP_BY_HOP | {b"req-deadline-ms"}  # it is told anew with each attempt
# Headers on which endpoints and the sidecar must agree: two of one are two readings of one request.
GIVEN_ONCE = frozenset((b"host", b"idempotency-key", b"cookie", b"content-length", b"transfer-encoding"))
# Some servers let these stand for the method or the path: the request would run as what no route has seen.
OVERRIDES = frozenset(
    (
        b"x-http-method-override", b"x-http-method", b"x-method-override", b"x-original-url", b"x-rewrite-url",
        b"x-original-uri",
    )
)  # fmt: skip
STATUS_BY_FAILURE = {FailureReason.ENDPOINT_ERROR: 502, FailureReason.TIMED_OUT: 504, FailureReason.INTERNAL_ERROR: 500}
log = logging.getLogger(__name__)


class Rejected(Exception):
    """Bad input: neither the module nor an endpoint hears of it, and the connection closes."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status


class IncomingRequest(NamedTuple):
    """A request as it came."""

    method: bytes
    url: bytes
    headers: list[tuple[bytes, bytes]]
    body: bytes
    keep: bool
    arrived_us: int


class CallerConnection(BaseCallerConnection):
    """One caller's connection: requests are served one after another."""

    def __init__(self, server: Server) -> None:
        super().__init__(server.callers)
        self.server = server
        self.current: Request | None = None
        self.request_id = b""
        self.queued_requests: list[IncomingRequest] = []  # whole, but not yet admitted
        self.keep = True
        self.fault: Rejected | None = None
        self._unparsed = bytearray()  # what came behind those
        self._body = bytearray()
        self._in_head = True
        self._head_fed = 0  # bytes of a head that has not come whole; the parser keeps what has no end yet
        self._parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(self)

    # --- the socket ---

    def data_received(self, data: bytes) -> None:
        if self.input_closed or self._parser is None:
            return
        if self.queued_requests:
            self._keep_for_later(data)
        else:
            self._feed(data)

    def _keep_for_later(self, data: bytes) -> None:
        if not self.callers.budget.reserve(len(data)):
            self.stop(Rejected(503, "no memory is left"))
            return
        self.reserved_bytes += len(data)
        self._unparsed += data
        if len(self._unparsed) >= MAX_UNPARSED_BYTES:
            self.set_reading(False)

    def _feed(self, data: bytes) -> None:
        assert self._parser is not None
        was_in_head = self._in_head
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self.input_closed = True  # the request itself was taken, and its answer closes the connection
        except httptools.HttpParserError:
            self.stop(self.fault or Rejected(400, "malformed HTTP"))
            return
        # Guards against a line without end: the parser hands on nothing of it before it ends.
        self._head_fed = self._head_fed + len(data) if was_in_head and self._in_head else 0
        if self._head_fed > MAX_HEAD and not self.queued_requests:
            self.stop(Rejected(431, "the headers are too long"))
            return
        self._serve_next()

    def stop(self, fault: Rejected) -> None:
        """Turn the caller away, with all that it has sent: it is read no further, and nothing is sent on.

        What can't be read behind a request makes that request doubtful too: a length that is too short looks
        just so. Callers that send one request at a time are never met by this.
        """
        if self.current is not None:
            self.server.host.cancel_request(self.current)
        self._reject(fault)

    def on_read_timeout(self) -> None:
        self.stop(Rejected(408, "the request did not come whole"))

    def on_disconnect(self) -> None:
        self.queued_requests.clear()
        self._unparsed = bytearray()
        self._parser = None  # it holds this connection in turn: a cycle, which is rarely collected
        current, self.current = self.current, None
        if current is not None:
            self._forget()
            self.server.host.cancel_request(current)

    # --- the parser's calls ---

    def on_message_begin(self) -> None:
        self.begin_request()
        self._url = b""
        self._headers: list[tuple[bytes, bytes]] = []
        self._body = bytearray()
        self._head_size = 0

    def on_url(self, url: bytes) -> None:
        self._url += url
        self._grow_head(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        if self._in_head:  # what comes behind a chunked body is no part of the head, and not passed on
            self._headers.append((name, value))
        self._grow_head(len(name) + len(value) + HEADER_COST)

    def _grow_head(self, size: int) -> None:
        self._head_size += size
        if self._head_size > MAX_HEAD:
            self._fault(431, "the headers are too long")

    def on_headers_complete(self) -> None:
        self._in_head = False
        if self._parser is not None and self._parser.get_http_version() not in ("1.0", "1.1"):
            self._fault(400, "HTTP/1.0 or 1.1 only")
        for name, value in self._headers:
            key = name.lower()
            if key == b"transfer-encoding" and value.lower() != b"chunked":
                self._fault(400, "transfer-encoding: chunked only")  # the parser lets other codings pass
            if key == b"content-length" and int(value) > MAX_BODY:  # digits: the parser saw to that
                self._fault(413, "the body is too long")

    def on_body(self, body: bytes) -> None:
        if len(self._body) + len(body) > MAX_BODY:
            self._fault(413, "the body is too long")
        if not self.callers.budget.reserve(len(body)):
            self._fault(503, "no memory is left")  # harmless: it was sent nowhere
        self.reserved_bytes += len(body)
        self._body += body

    def _fault(self, status: int, reason: str) -> None:
        self.fault = Rejected(status, reason)
        raise self.fault

    def on_message_complete(self) -> None:
        parser = self._parser
        assert parser is not None
        self.receiving, self._in_head = False, True
        if len(self.queued_requests) >= MAX_WAITING:
            self._fault(400, "too many requests at once")
        keep = parser.should_keep_alive() and not parser.should_upgrade()
        self.queued_requests.append(
            IncomingRequest(parser.get_method(), self._url, self._headers, bytes(self._body), keep, now_us())
        )

    # --- one request after another ---

    @property
    def answering(self) -> bool:
        return self.current is not None or bool(self.queued_requests or self._unparsed)

    def _serve_next(self) -> None:
        """Serve what waits, once the read that brought it is parsed whole and nothing is in the way."""
        if self.queued_requests and self.current is None and not self.write_blocked and not self.disconnected:
            self._serve(self.queued_requests.pop(0))
        if self._unparsed and not self.queued_requests and not self.input_closed:
            behind, self._unparsed = bytes(self._unparsed), bytearray()
            self._feed(behind)

    def _serve(self, incoming: IncomingRequest) -> None:
        self.keep = incoming.keep
        try:
            if self.is_over_limit and incoming.url != b"/up":
                raise Rejected(503, "no connection is left")  # harmless: it was sent nowhere
            request = self.server.admit(self, incoming)
        except Rejected as rejected:
            self._reject(rejected)
            return
        except Exception:
            # It has not reached the module, but what was asked for is unclear: no promise is made.
            log.exception("a request could not be read")
            self.answer(500, [], b"")
            return
        if not self.is_over_limit:
            self.mark_established()
        if request is not None:
            self.current = request
            self.server.host.accept(request)

    def _reject(self, fault: Rejected) -> None:
        self.keep = False
        self.queued_requests.clear()
        self._unparsed = bytearray()
        self.input_closed = True
        headers = [(b"Retry-After", BUSY_WAIT)] if fault.status == 503 else []
        self.answer(fault.status, headers, f"{fault}\n".encode())

    # --- the one answer ---

    def send_reply(self, reply: Response) -> None:
        self.answer(200, reply.headers, reply.body)

    def send_refusal(self, wait_us: int) -> None:
        self.answer(503, [(b"Retry-After", b"%.3f" % (wait_us / 1e6))] if wait_us > 0 else [], b"")

    def send_failure(self, why: FailureReason) -> None:
        self.answer(STATUS_BY_FAILURE[why], [], b"")

    def answer(self, status: int, headers: list[tuple[bytes, bytes]], body: bytes) -> None:
        """Write an answer; the connection closes after it where the caller, the input or our end asks so."""
        if self.current is not None:
            self.current = None
            self._forget()
        if not self.queued_requests and not self.receiving and not self._unparsed:
            self.release_budget()
        # Rule 1: what waits behind this request was taken too, so it is answered even while we drain.
        keep = self.keep and (bool(self.queued_requests or self._unparsed) or not self.callers.closing)
        lines = [b"HTTP/1.1 %d %s" % (status, REASONS.get(status, b"Other")), b"Content-Length: %d" % len(body)]
        lines += [b"%s: %s" % header for header in headers if header[0].lower() not in HOP_BY_HOP]
        if not keep:
            lines.append(b"Connection: close")
        self.transport.write(b"\r\n".join(lines) + b"\r\n\r\n" + body)
        if keep:
            self._next()
        else:
            self._finish()

    def _forget(self) -> None:
        self.callers.open_request_ids.discard(self.request_id)

    def _next(self) -> None:
        if self.queued_requests:
            # Later: the answer may have come from within a call that still works on the last request.
            asyncio.get_running_loop().call_soon(self.resume)
        elif not self.busy:
            self.mark_idle()

    def resume(self) -> None:
        self._serve_next()
        if not self.queued_requests and not self.write_blocked:
            self.set_reading(True)

    def _finish(self) -> None:
        unread = self.input_closed or self.receiving
        self.queued_requests.clear()
        self._body = bytearray()
        self.release_budget()
        self.finish(unread)


class Server:
    """The HTTP/1.1 port."""

    def __init__(self, host: Host, callers: Callers) -> None:
        self.host = host
        self.callers = callers
        self.tenants = {t.name.encode("utf-8", "surrogatepass"): t.name for t in host.settings.tenants}
        self.names = HeaderNames(frozenset())

    async def bind(self, host: str, port: int) -> None:
        """Take the address; connections wait until the module has started."""
        loop = asyncio.get_running_loop()
        self.listener = await loop.create_server(
            lambda: CallerConnection(self), host, port, backlog=LISTEN_BACKLOG, start_serving=False
        )

    # --- reading a request ---

    def admit(self, caller: CallerConnection, incoming: IncomingRequest) -> Request | None:
        """The request to take, or None where it is answered already."""
        path, _, query = incoming.url.partition(b"?")
        if path == b"/up":
            self._up(caller, incoming)
            return None
        plan = self.host.plan
        if self.names.routed != plan.routed_headers:
            self.names = HeaderNames(plan.routed_headers)
        fields, head = self.names.read(incoming)
        tenant = self.tenants.get(fields.get(b"req-owner", b""))
        try:
            if plan.table is None:
                grade = plan.class_at_path(path)
            else:
                method = incoming.method.decode("latin-1")
                grade = plan.class_of(RequestAttributes("http", method, segments_of(path), fields, query, tenant))
        except InvalidTargetError as refused:
            # Danger: what a server could read as another path than we do would pass a route unseen.
            raise Rejected(400, f"the target has {refused}") from None
        if grade is None:
            raise Rejected(404, "no such class")
        if self.tenants and tenant is None:  # each unknown name would get a budget, and memory, of its own
            raise Rejected(400, "req-owner: missing or unknown")
        return self._request(caller, incoming, grade, tenant, fields, head)

    def _up(self, caller: CallerConnection, incoming: IncomingRequest) -> None:
        if incoming.method != b"GET":
            raise Rejected(405, "GET only")
        caller.answer(200 if self.host.ready and not self.callers.draining else 503, [], b"")

    def _request(
        self,
        caller: CallerConnection,
        incoming: IncomingRequest,
        grade: RequestClass,
        tenant: str | None,
        fields: dict[bytes, bytes],
        head: list[bytes],
    ) -> Request:
        _check_method(incoming, grade, fields)
        request_id = fields.get(b"req-id", b"")
        if not _is_token(request_id):
            raise Rejected(400, "req-id: missing or bad")
        deadline_ms = _number(fields, b"req-deadline-ms", MAX_DEADLINE_MS)
        if deadline_ms is None:
            raise Rejected(400, "req-deadline-ms: missing")
        if fields.get(b"req-retry", b"1") not in (b"0", b"1"):
            raise Rejected(400, "req-retry: bad value")
        hint_us = _number(fields, b"req-cost", 1 << 50)
        wait_us = deadline_ms * 1000
        # A route may be tighter than the client; a class's own time never cuts a client's.
        wait_us = min(wait_us, self.host.plan.deadline_limits_us.get(grade.name, wait_us))
        open_ids = self.callers.open_request_ids
        if request_id in open_ids:
            # Two answers would be owed under one id, and endpoints could not tell its attempts apart.
            raise Rejected(409, "req-id: this request is open")
        open_ids.add(request_id)
        caller.request_id = request_id
        if grade.effect is not Effect.IDEMPOTENT:
            head.append(b"Content-Length: %d\r\n" % len(incoming.body))
        return Request(
            caller,
            grade.name,
            tenant,
            hint_us,
            incoming.arrived_us + wait_us,
            RequestPayload(b"".join(head), incoming.body),
        )


class Header(NamedTuple):
    """What is done with a header, by its name."""

    key: bytes  # in lower case
    goes_on: bool
    once: bool  # two of one would be two readings of one request
    refused: str  # why no request may have it; "" where it may


class HeaderNames:
    """What is known of headers' names, kept for those seen lately: callers use the same few all day.

    `routed` are those that routes look at: two of one could meet two routes.
    """

    MOST = 256  # names kept; past it they are worked out anew, so that ever new ones take no memory

    def __init__(self, routed: frozenset[bytes]) -> None:
        self.routed = routed
        self.known: dict[bytes, Header] = {}

    def learn(self, name: bytes) -> Header:
        key = name.lower()
        refused = ""
        if key in OVERRIDES:
            refused = f"{key.decode('latin-1')}: the request line says what is asked for"
        # Danger: servers that turn headers into variables read `Req_Id` as `Req-Id`.
        elif b"_" in key and self.matters(key.replace(b"_", b"-")):
            refused = f"{key.decode('latin-1')}: could be read as another header"
        found = Header(key, key not in NOT_FORWARDED, self.matters(key), refused)
        if len(self.known) < self.MOST:
            self.known[name] = found
        return found

    def matters(self, key: bytes) -> bool:
        """Whether endpoints and the sidecar must agree on it."""
        return key in GIVEN_ONCE or key in self.routed or key.startswith(b"req-")

    def read(self, incoming: IncomingRequest) -> tuple[dict[bytes, bytes], list[bytes]]:
        """The headers by name in lower case, and the lines that go on; what has two readings is refused."""
        fields: dict[bytes, bytes] = {}
        head = [b"%s %s HTTP/1.1\r\n" % (incoming.method, incoming.url)]
        known = self.known
        for name, value in incoming.headers:
            key, goes_on, once, refused = known.get(name) or self.learn(name)
            if refused:
                raise Rejected(400, refused)
            if once and key in fields:
                raise Rejected(400, f"{key.decode('latin-1')}: given twice")
            fields[key] = value
            if goes_on:
                head.append(b"%s: %s\r\n" % (name, value))
        if b"connection" in fields:
            for token in fields[b"connection"].lower().split(b","):
                if self.matters(token.strip()):
                    raise Rejected(400, "connection: names a header that must go on")
        if b"host" not in fields:  # HTTP/1.0 may leave it out, what goes on may not
            head.append(b"Host: endpoint\r\n")
        return fields, head


def _check_method(incoming: IncomingRequest, grade: RequestClass, fields: dict[bytes, bytes]) -> None:
    """PROTOCOL: method, key and body follow from the class. One that differs was meant as another class."""
    harmless = grade.effect is Effect.IDEMPOTENT
    if incoming.method != (b"GET" if harmless else b"POST"):
        raise Rejected(405, "the method does not fit the class")
    key = fields.get(b"idempotency-key")
    if grade.effect is Effect.DEDUPLICATED:
        if not key:
            raise Rejected(400, "idempotency-key: missing")
    elif key is not None:
        raise Rejected(400, "idempotency-key: the class is not keyed")
    if harmless and incoming.body:
        # Danger: a server that skips the body of a GET reads it as the next request on that connection.
        raise Rejected(400, "a body on a GET")


def _is_token(value: bytes) -> bool:
    return 0 < len(value) <= 128 and all(0x21 <= byte <= 0x7E for byte in value)


def _number(fields: dict[bytes, bytes], key: bytes, most: int) -> int | None:
    text = fields.get(key)
    if text is None:
        return None
    if not text.isdigit() or len(text) > 18 or int(text) > most:
        raise Rejected(400, f"{key.decode()}: no number within its range")
    return int(text)
