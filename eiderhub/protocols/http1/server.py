"""Server side of HTTP/1.1: parses and validates requests, serves `/up`, and writes responses."""

from __future__ import annotations

import asyncio
import logging

import httptools

from eiderhub.interface import Effect, RequestClass
from eiderhub.protocols.http1.client import HOP_BY_HOP, RequestPayload, Response
from eiderhub.protocols.http1.framing_limit import FramingLimit
from eiderhub.protocols.http1.request_checks import (
    HeaderRules,
    IncomingRequest,
    Rejected,
    Rejection,
    check_method,
    is_token,
    parse_number,
)
from eiderhub.routing.request_target import InvalidTargetError, RequestAttributes, segments_of
from eiderhub.sidecar.callers import BaseCallerConnection, Callers
from eiderhub.sidecar.clock import now_us
from eiderhub.sidecar.host import Host, Request
from eiderhub.sidecar.protocol_interface import FailureReason

MAX_BODY_BYTES = 64 * 1024
MAX_HEADER_BYTES = 16 * 1024
HEADER_OVERHEAD_BYTES = 32  # counted for each header in addition to its bytes: tiny headers still cost objects
# Bytes buffered after queued requests. Reading goes on until then, because only a read detects a disconnect.
MAX_UNPARSED_BYTES = 64 * 1024
MAX_QUEUED_REQUESTS = 4  # pipelined requests of one caller; callers usually send one at a time
MAX_DEADLINE_MS = 3_600_000
LISTEN_BACKLOG = 1024
OVERLOAD_RETRY_AFTER = b"1"  # seconds, sent with a 503 for lack of memory or connections
REASON_PHRASES = {  # of every status in use; the `http` module would load sixty more
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
STATUS_BY_FAILURE = {FailureReason.ENDPOINT_ERROR: 502, FailureReason.TIMED_OUT: 504, FailureReason.INTERNAL_ERROR: 500}
log = logging.getLogger(__name__)


class CallerConnection(BaseCallerConnection):
    """Connection of one caller. Pipelined requests are served one after another."""

    def __init__(self, server: Server) -> None:
        super().__init__(server.callers)
        self.server = server
        self.current: Request | None = None
        self.request_id = b""
        self.queued_requests: list[IncomingRequest] = []  # complete, but not yet admitted
        self.keep_alive = True
        self.rejection: Rejection | None = None  # set by a parser callback, for the error that the parser then raises
        self._deferred_rejection: Rejection | None = None  # answered after the requests before it
        self._unparsed = bytearray()  # bytes received after the queued requests
        self._is_parsing_early = False  # while input is parsed only because it could not be kept
        self._body = bytearray()  # of the request being received
        self._in_header_section = True
        self._framing = FramingLimit()  # of the request being received
        self._parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(self)

    # --- the socket ---

    def data_received(self, data: bytes) -> None:
        if self.input_closed or self._parser is None:
            return
        if self.queued_requests:
            self._buffer_unparsed(data)
        else:
            self._feed(data)

    def _buffer_unparsed(self, data: bytes) -> None:
        if not self.callers.budget.reserve(len(data)):
            self._parse_early(data)
            return
        self.reserved_bytes += len(data)
        self._unparsed += data
        if len(self._unparsed) >= MAX_UNPARSED_BYTES:
            self.set_reading(False)

    def _parse_early(self, data: bytes) -> None:
        """Parse input that there is no memory to keep unparsed: it may hold whole requests, which need less.

        The first request that does not fit is refused, and ends the input.
        """
        unparsed, self._unparsed = self._unparsed + data, bytearray()
        self._release(len(unparsed) - len(data))
        self._is_parsing_early = True
        self._feed(bytes(unparsed))
        self._is_parsing_early = False

    def _feed(self, data: bytes) -> None:
        assert self._parser is not None
        received_body_bytes = len(self._body)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self.input_closed = True  # the request itself is served, and its response closes the connection
        except httptools.HttpParserError:
            self.stop(self.rejection or Rejection(400, "malformed HTTP"))
            return
        if not self._framing.add_read(len(data), len(self._body) - received_body_bytes):
            self.stop(Rejection(431, "the headers, a chunk-size line or the trailers are too long"))
            return
        self._serve_next()

    def stop(self, rejection: Rejection) -> None:
        """Reject everything that the caller has sent: stop reading, cancel its request, and forward nothing more.

        Bytes after a request that can't be parsed make that request doubtful too, since a Content-Length that is
        too short looks the same. Callers that send one request at a time are not affected. A refusal is deferred: it
        promises no effect, which is true only of the input that it rejects, and not of a request before it.
        """
        if rejection.is_refusal and (self.current is not None or self.queued_requests):
            self._defer_rejection(rejection)
            return
        if self.current is not None:
            self.server.host.cancel_request(self.current)
        self._reject(rejection)

    def _defer_rejection(self, rejection: Rejection) -> None:
        """Discard further input now, and answer with the rejection once the requests before it are answered."""
        self._deferred_rejection = rejection
        self.input_closed = True
        self._release(len(self._body))
        self._body = bytearray()
        self.receiving = False

    def _release(self, size: int) -> None:
        self.callers.budget.release(size)
        self.reserved_bytes -= size

    def on_read_timeout(self) -> None:
        self.stop(Rejection(408, "the request did not come whole"))

    def on_disconnect(self) -> None:
        self._drop_waiting_input()
        self._parser = None  # breaks the reference cycle with the parser, which would rarely be collected
        current, self.current = self.current, None
        if current is not None:
            self._release_request_id()
            self.server.host.cancel_request(current)

    # --- parser callbacks ---

    def on_message_begin(self) -> None:
        self.begin_request()
        self._url = b""
        self._headers: list[tuple[bytes, bytes]] = []
        self._header_bytes = 0

    def on_url(self, url: bytes) -> None:
        self._url += url
        self._count_header_bytes(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        if self._in_header_section:  # trailers of a chunked body are not forwarded
            self._headers.append((name, value))
        self._count_header_bytes(len(name) + len(value) + HEADER_OVERHEAD_BYTES)

    def _count_header_bytes(self, size: int) -> None:
        self._header_bytes += size
        if self._header_bytes > MAX_HEADER_BYTES:
            self._reject_input(431, "the headers are too long")

    def on_headers_complete(self) -> None:
        self._in_header_section = False
        self._framing.complete_section()
        if self._parser is not None and self._parser.get_http_version() not in ("1.0", "1.1"):
            self._reject_input(400, "HTTP/1.0 or 1.1 only")
        for name, value in self._headers:
            key = name.lower()
            if key == b"transfer-encoding" and value.lower() != b"chunked":
                self._reject_input(400, "transfer-encoding: chunked only")  # the parser accepts other codings
            if key == b"content-length" and int(value) > MAX_BODY_BYTES:  # the parser accepts only digits
                self._reject_input(413, "the body is too long")

    def on_body(self, body: bytes) -> None:
        if len(self._body) + len(body) > MAX_BODY_BYTES:
            self._reject_input(413, "the body is too long")
        if not self.callers.budget.reserve(len(body)):
            self._reject_input(503, "no memory is left")  # a retry is harmless: nothing was sent to an endpoint
        self.reserved_bytes += len(body)
        self._body += body

    def _reject_input(self, status: int, reason: str) -> None:
        self.rejection = Rejection(status, reason)
        raise Rejected(status, reason)

    def on_message_complete(self) -> None:
        parser = self._parser
        assert parser is not None
        self.receiving, self._in_header_section = False, True
        self._framing.complete_section()
        if len(self.queued_requests) >= MAX_QUEUED_REQUESTS:
            if self._is_parsing_early:
                self._reject_input(503, "no memory is left")
            self._reject_input(400, "too many requests at once")
        keep_alive = parser.should_keep_alive() and not parser.should_upgrade()
        self.queued_requests.append(
            IncomingRequest(parser.get_method(), self._url, self._headers, bytes(self._body), keep_alive, now_us())
        )
        self._body = bytearray()

    # --- serving one request after another ---

    @property
    def answering(self) -> bool:
        return self.current is not None or self._has_waiting_input

    @property
    def _has_waiting_input(self) -> bool:
        """Whether the caller has sent anything after the request in progress that is yet to be answered."""
        return bool(self.queued_requests or self._unparsed) or self._deferred_rejection is not None

    def _drop_waiting_input(self) -> None:
        self.queued_requests.clear()
        self._unparsed = bytearray()
        self._deferred_rejection = None

    def _serve_next(self) -> None:
        """Serve the next queued request if none is in progress, then parse the bytes received after it.

        A deferred rejection follows once all of that is answered.
        """
        if self.queued_requests and self.current is None and not self.write_blocked and not self.disconnected:
            self._serve(self.queued_requests.pop(0))
        if self._unparsed and not self.queued_requests and not self.input_closed:
            unparsed, self._unparsed = bytes(self._unparsed), bytearray()
            self._release(len(unparsed))  # the parser's callback reserves the bodies in it
            self._feed(unparsed)
        rejection = self._deferred_rejection
        if rejection is not None and self.current is None and not self.queued_requests and not self.write_blocked:
            self._reject(rejection)

    def _serve(self, incoming: IncomingRequest) -> None:
        self.keep_alive = incoming.keep_alive
        try:
            if self.is_over_limit and incoming.url != b"/up":
                raise Rejected(503, "no connection is left")  # a retry is harmless: nothing was sent to an endpoint
            request = self.server.admit(self, incoming)
        except Rejected as rejected:
            self._reject(rejected.rejection)
            return
        except Exception:
            # The request has not reached the decision module. 500 rather than 503, as its meaning is unclear.
            log.exception("unexpected error while admitting a request")
            self.answer(500, [], b"")
            return
        if not self.is_over_limit:
            self.mark_established()
        if request is not None:
            self.current = request
            self.server.host.accept(request)

    def _reject(self, rejection: Rejection) -> None:
        self.keep_alive = False
        self._drop_waiting_input()
        self.input_closed = True
        headers = [(b"Retry-After", OVERLOAD_RETRY_AFTER)] if rejection.status == 503 else []
        self.answer(rejection.status, headers, f"{rejection.reason}\n".encode())

    # --- the final response ---

    def send_reply(self, reply: Response) -> None:
        self.answer(200, reply.headers, reply.body)

    def send_refusal(self, wait_us: int) -> None:
        self.answer(503, [(b"Retry-After", b"%.3f" % (wait_us / 1e6))] if wait_us > 0 else [], b"")

    def send_failure(self, why: FailureReason) -> None:
        self.answer(STATUS_BY_FAILURE[why], [], b"")

    def answer(self, status: int, headers: list[tuple[bytes, bytes]], body: bytes) -> None:
        """Write a response. The connection closes after it on request of the caller, on bad input and on shutdown."""
        if self.current is not None:
            self.current = None
            self._release_request_id()
        if not self._has_waiting_input and not self.receiving:
            self.release_budget()
        # Pipelined requests were received too, so each of them gets its response even while the sidecar shuts down.
        keep_alive = self.keep_alive and (self._has_waiting_input or not self.callers.closing)
        lines = [b"HTTP/1.1 %d %s" % (status, REASON_PHRASES.get(status, b"Other")), b"Content-Length: %d" % len(body)]
        lines += [b"%s: %s" % header for header in headers if header[0].lower() not in HOP_BY_HOP]
        if not keep_alive:
            lines.append(b"Connection: close")
        self.transport.write(b"\r\n".join(lines) + b"\r\n\r\n" + body)
        if keep_alive:
            self._schedule_next()
        else:
            self._finish()

    def _release_request_id(self) -> None:
        self.callers.open_request_ids.discard(self.request_id)

    def _schedule_next(self) -> None:
        if self._has_waiting_input:
            # Deferred: the response may have been written by a call that is still working on the last request.
            asyncio.get_running_loop().call_soon(self.resume)
        elif not self.busy:
            self.mark_idle()

    def resume(self) -> None:
        self._serve_next()
        if not self.queued_requests and not self.write_blocked:
            self.set_reading(True)

    def _finish(self) -> None:
        unread = self.input_closed or self.receiving
        self._drop_waiting_input()
        self._body = bytearray()
        self._parser = None  # it holds an unfinished line, and the connection may stay open until the answer is read
        self.release_budget()
        self.finish(unread)


class Server:
    """Listener for HTTP/1.1."""

    def __init__(self, host: Host, callers: Callers) -> None:
        self.host = host
        self.callers = callers
        self.tenants = {t.name.encode("utf-8", "surrogatepass"): t.name for t in host.settings.tenants}
        self.header_rules = HeaderRules(frozenset())

    async def bind(self, host: str, port: int) -> None:
        """Bind the address; connections are accepted once the decision module has started."""
        loop = asyncio.get_running_loop()
        self.listener = await loop.create_server(
            lambda: CallerConnection(self), host, port, backlog=LISTEN_BACKLOG, start_serving=False
        )

    # --- admitting a request ---

    def admit(self, caller: CallerConnection, incoming: IncomingRequest) -> Request | None:
        """Return the request to serve, or None if it is answered already (`/up`).

        Raises Rejected for a request that is invalid, ambiguous or of no known class.
        """
        path, _, query = incoming.url.partition(b"?")
        if path == b"/up":
            self._serve_up(caller, incoming)
            return None
        plan = self.host.plan
        if self.header_rules.routed_headers != plan.routed_headers:
            self.header_rules = HeaderRules(plan.routed_headers)
        headers, forwarded_lines = self.header_rules.read(incoming)
        tenant = self.tenants.get(headers.get(b"req-owner", b""))
        try:
            if plan.table is None:
                request_class = plan.class_at_path(path)
            else:
                method = incoming.method.decode("latin-1")
                request_class = plan.class_of(
                    RequestAttributes("http", method, segments_of(path), headers, query, tenant)
                )
        except InvalidTargetError as refused:
            # A target that a server could read as another path than the sidecar does would bypass the routes.
            raise Rejected(400, f"the target has {refused}") from None
        if request_class is None:
            raise Rejected(404, "no such class")
        if self.tenants and tenant is None:  # each unknown name would get its own budget, and take memory
            raise Rejected(400, "req-owner: missing or unknown")
        return self._create_request(caller, incoming, request_class, tenant, headers, forwarded_lines)

    def _serve_up(self, caller: CallerConnection, incoming: IncomingRequest) -> None:
        if incoming.method != b"GET":
            raise Rejected(405, "GET only")
        caller.answer(200 if self.host.ready and not self.callers.draining else 503, [], b"")

    def _create_request(
        self,
        caller: CallerConnection,
        incoming: IncomingRequest,
        request_class: RequestClass,
        tenant: str | None,
        headers: dict[bytes, bytes],
        forwarded_lines: list[bytes],
    ) -> Request:
        check_method(incoming, request_class, headers)
        request_id = headers.get(b"req-id", b"")
        if not is_token(request_id):
            raise Rejected(400, "req-id: missing or bad")
        deadline_ms = parse_number(headers, b"req-deadline-ms", MAX_DEADLINE_MS)
        if deadline_ms is None:
            raise Rejected(400, "req-deadline-ms: missing")
        if headers.get(b"req-retry", b"1") not in (b"0", b"1"):
            raise Rejected(400, "req-retry: bad value")
        cost_hint_us = parse_number(headers, b"req-cost", 1 << 50)
        timeout_us = deadline_ms * 1000
        # A route may shorten the client's deadline; a class's own deadline never does.
        timeout_us = min(timeout_us, self.host.plan.deadline_limits_us.get(request_class.name, timeout_us))
        open_ids = self.callers.open_request_ids
        if request_id in open_ids:
            # Two responses would be pending under one id, and endpoints could not tell the attempts apart.
            raise Rejected(409, "req-id: this request is open")
        open_ids.add(request_id)
        caller.request_id = request_id
        if request_class.effect is not Effect.IDEMPOTENT:
            forwarded_lines.append(b"Content-Length: %d\r\n" % len(incoming.body))
        return Request(
            caller,
            request_class.name,
            tenant,
            cost_hint_us,
            incoming.received_us + timeout_us,
            RequestPayload(b"".join(forwarded_lines), incoming.body),
        )
