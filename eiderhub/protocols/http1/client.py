"""Client side of HTTP/1.1: connections that carry one exchange at a time, and the outcomes of responses."""

from __future__ import annotations

import asyncio
from typing import NamedTuple

import httptools

from eiderhub.interface import LoadReport, Outcome
from eiderhub.load_reports import parse_load_report
from eiderhub.protocols.http1.framing_limit import FramingLimit
from eiderhub.sidecar.clock import now_us
from eiderhub.sidecar.protocol_interface import ConnectionOwner, EndpointConnection
from eiderhub.sidecar.resource_limits import ByteBudget

MAX_BODY_BYTES = 64 * 1024  # the protocol allows no longer response
# Some endpoints send a response twice, some milliseconds apart. A request written to the connection before the
# duplicate has arrived would take it for its own response.
REUSE_DELAY_US = 10_000

# Headers that apply to one connection and are not forwarded: RFC 9110, section 7.6.1.
HOP_BY_HOP = frozenset(
    (
        b"connection", b"keep-alive", b"proxy-connection", b"te", b"trailer", b"transfer-encoding",
        b"upgrade", b"content-length", b"expect",
    )
)  # fmt: skip


class Response(NamedTuple):
    """A complete response."""

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes

    def load(self) -> LoadReport | None:
        """Return the load report in the `Srv-Load` header, or None if it is missing or can't be parsed."""
        for name, value in self.headers:
            if name.lower() == b"srv-load":
                return parse_load_report(value.decode("latin-1"), "=")
        return None


class Connection(EndpointConnection):
    """HTTP/1.1 connection to an endpoint. It carries one exchange at a time.

    Only one complete response with one stated length is accepted. Anything else ends the exchange and closes the
    connection at once, because it is unknown which message the following bytes belong to.
    """

    reuse_delay_us = REUSE_DELAY_US

    def __init__(self, owner: ConnectionOwner, budget: ByteBudget, max_body_bytes: int = MAX_BODY_BYTES) -> None:
        super().__init__(owner)
        self.budget = budget
        self.max_body_bytes = max_body_bytes
        self._parser: httptools.HttpResponseParser | None = None  # while the connection is established
        self._body = bytearray()
        self._framing = FramingLimit()  # of the response, including all interim responses before it
        self._reset()

    def _reset(self) -> None:
        self._headers: list[tuple[bytes, bytes]] = []
        self.budget.release(len(self._body))
        self._body = bytearray()
        self._in_header_section = True
        self._framing.reset()
        self._keep_alive = False
        self._response: Response | None = None
        self.partial_read_us = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        # A connection and its parser refer to each other, until `release_resources` is called at the end of this one.
        # There is no such call for an attempt to connect that fails.
        self._parser = httptools.HttpResponseParser(self)

    def release_resources(self) -> None:
        self._parser = None  # breaks the reference cycle with the parser, which would rarely be collected
        self._reset()

    def outcome(self, reply: Response) -> Outcome:
        return classify(reply)

    # --- receiving ---

    def data_received(self, data: bytes) -> None:
        if self.closed or self._parser is None:
            return
        if not self.busy:  # unsolicited data
            self.fail()
            return
        received_body_bytes = len(self._body)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            # A complete response may be followed by other bytes, such as a duplicate of it. The response is valid,
            # since its stated length has arrived, but the connection can't be reused.
            if self._response is None:
                self.fail()
                return
            self._keep_alive = False
        if self._response is not None:
            self._complete(self._response)
            return
        self.partial_read_us = now_us()
        if not self._framing.add_read(len(data), len(self._body) - received_body_bytes):
            self.fail()

    def _complete(self, response: Response) -> None:
        reusable = self._keep_alive and self.flushed
        self.busy = False
        self._reset()
        if not reusable:
            self.close()
        attempt, self.attempt = self.attempt, None
        self.owner.on_response(self, attempt, response, reusable)

    # --- parser callbacks ---

    def on_message_begin(self) -> None:
        if self._response is not None:
            raise ValueError("a second response to one request")

    def on_header(self, name: bytes, value: bytes) -> None:
        if self._in_header_section:  # trailers of a chunked body are ignored
            self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        if self._parser is None or self._parser.get_status_code() < 200:
            return
        self._in_header_section = False
        self._framing.complete_section()
        length = -1
        for name, value in self._headers:
            key = name.lower()
            if key == b"content-length":
                length = int(value)  # the parser accepts only digits, and only one such header
            elif key == b"transfer-encoding" and value.lower() == b"chunked":
                length = 0
        # Without a length the response would end with the connection, so a truncated one would look complete.
        if length < 0 or length > self.max_body_bytes:
            raise ValueError("the response has no length, or is too long")

    def on_body(self, body: bytes) -> None:
        if len(self._body) + len(body) > self.max_body_bytes or not self.budget.reserve(len(body)):
            raise ValueError("the body is too long, or no memory is left")
        self._body += body

    def on_message_complete(self) -> None:
        parser = self._parser
        if parser is None:
            return
        if parser.get_status_code() < 200:  # an interim response
            self._headers = []
            return
        # Valid only within this callback: afterwards the parser reports on the next message.
        self._keep_alive = parser.should_keep_alive()
        self._response = Response(parser.get_status_code(), self._headers, bytes(self._body))


def classify(response: Response) -> Outcome:
    """Return the outcome of a response, as the platform's HTTP protocol defines it.

    A 503 or 504 without `Srv-Declined: 1` is an error after which the request may have run.
    """
    if response.status == 200:
        return Outcome.OK
    if response.status in (503, 504):
        for name, value in response.headers:
            if name.lower() == b"srv-declined" and value.strip() == b"1":
                return Outcome.REJECTED
    return Outcome.ERROR


class Http1Protocol:
    """HTTP/1.1 as a client protocol of the sidecar. It is the same for all endpoints."""

    def for_labels(self, labels: frozenset[str]) -> Http1Protocol:
        return self

    def new_connection(self, owner: ConnectionOwner, budget: ByteBudget) -> Connection:
        return Connection(owner, budget)


HTTP1 = Connection.protocol = Http1Protocol()


class RequestPayload:
    """A request as forwarded to endpoints. Each attempt adds its own remaining time."""

    __slots__ = ("body", "head")
    protocol = HTTP1

    def __init__(self, head: bytes, body: bytes) -> None:
        self.head = head  # request line and headers, except for the remaining time
        self.body = body

    def data(self, left_ms: int) -> bytes:
        return b"%sReq-Deadline-Ms: %d\r\n\r\n%s" % (self.head, left_ms, self.body)
