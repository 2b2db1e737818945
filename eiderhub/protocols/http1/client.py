"""The client side of HTTP/1.1: one exchange at a time on a connection, and what its answer is worth."""

from __future__ import annotations

from typing import NamedTuple

import httptools

from eiderhub.interface import LoadReport, Outcome
from eiderhub.load_reports import parse_load_report
from eiderhub.sidecar.clock import now_us
from eiderhub.sidecar.protocol_interface import ConnectionOwner, EndpointConnection
from eiderhub.sidecar.resource_limits import ByteBudget

MAX_BODY = 64 * 1024  # bytes: more than the protocol allows is no answer
MAX_HEAD = 16 * 1024  # bytes of a head, with all interim answers before it
# Some endpoints answer twice, some milliseconds apart: written to sooner, a request would get the copy for its answer.
REUSE_DELAY_US = 10_000

# Headers that belong to one connection, and not to the message: RFC 9110, 7.6.1.
HOP_BY_HOP = frozenset(
    (
        b"connection", b"keep-alive", b"proxy-connection", b"te", b"trailer", b"transfer-encoding",
        b"upgrade", b"content-length", b"expect",
    )
)  # fmt: skip


class Response(NamedTuple):
    """A whole answer."""

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes

    def load(self) -> LoadReport | None:
        """What the endpoint says of its load, where the answer carries a report that can be read."""
        for name, value in self.headers:
            if name.lower() == b"srv-load":
                return parse_load_report(value.decode("latin-1"), "=")
        return None


class Connection(EndpointConnection):
    """One HTTP/1.1 connection that we opened; it carries one exchange at a time.

    What comes from an endpoint is believed only as far as it is one whole answer with one stated length. All
    else ends the exchange at once, and the connection with it: nobody can tell what its next bytes belong to.
    """

    reuse_delay_us = REUSE_DELAY_US

    def __init__(self, owner: ConnectionOwner, budget: ByteBudget, max_body: int = MAX_BODY) -> None:
        super().__init__(owner)
        self.budget = budget
        self.max_body = max_body
        self._parser: httptools.HttpResponseParser | None = httptools.HttpResponseParser(self)
        self._body = bytearray()
        self._reset()

    def _reset(self) -> None:
        self._headers: list[tuple[bytes, bytes]] = []
        self.budget.release(len(self._body))
        self._body = bytearray()
        self._in_head = True
        self._head_size = 0
        self._keep = False
        self._response: Response | None = None
        self.partial_read_us = 0

    def release_resources(self) -> None:
        self._parser = None  # it holds this connection in turn: a cycle, which is rarely collected
        self._reset()

    def outcome(self, reply: Response) -> Outcome:
        return classify(reply)

    # --- what comes ---

    def data_received(self, data: bytes) -> None:
        if self.closed or self._parser is None:
            return
        if not self.busy:  # nobody asked
            self.fail()
            return
        in_head = self._in_head
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            # Behind a whole answer there may be more than belongs to it, a second copy or noise: the answer
            # stands, for its one stated length has come, and the connection is of no further use.
            if self._response is None:
                self.fail()
                return
            self._keep = False
        if self._response is not None:
            self._complete(self._response)
            return
        self.partial_read_us = now_us()
        # Guards against a head that never ends, or interim answers without end.
        self._head_size += len(data) if in_head else 0
        if in_head and self._in_head and self._head_size > MAX_HEAD:
            self.fail()

    def _complete(self, response: Response) -> None:
        reusable = self._keep and self.flushed
        self.busy = False
        self._reset()
        if not reusable:
            self.close()
        attempt, self.attempt = self.attempt, None
        self.owner.on_response(self, attempt, response, reusable)

    # --- the parser's calls ---

    def on_message_begin(self) -> None:
        if self._response is not None:
            raise ValueError("a second answer to one request")

    def on_header(self, name: bytes, value: bytes) -> None:
        if self._in_head:  # what comes behind a chunked body is no part of the head
            self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        if self._parser is None or self._parser.get_status_code() < 200:
            return
        self._in_head = False
        length = -1
        for name, value in self._headers:
            key = name.lower()
            if key == b"content-length":
                length = int(value)  # digits, and given once: the parser has seen to that
            elif key == b"transfer-encoding" and value.lower() == b"chunked":
                length = 0
        # With no length the end of the connection would end the answer: a cut would look whole.
        if length < 0 or length > self.max_body:
            raise ValueError("no length, or too long")

    def on_body(self, body: bytes) -> None:
        if len(self._body) + len(body) > self.max_body or not self.budget.reserve(len(body)):
            raise ValueError("the body is too long")
        self._body += body

    def on_message_complete(self) -> None:
        parser = self._parser
        if parser is None:
            return
        if parser.get_status_code() < 200:  # an interim answer
            self._headers = []
            return
        # Only here does the parser know: once it has left this message, it speaks for the next.
        self._keep = parser.should_keep_alive()
        self._response = Response(parser.get_status_code(), self._headers, bytes(self._body))


def classify(response: Response) -> Outcome:
    """The protocol's table of what comes back; a plain 503 is an error that may have run."""
    if response.status == 200:
        return Outcome.OK
    if response.status in (503, 504):
        for name, value in response.headers:
            if name.lower() == b"srv-declined" and value.strip() == b"1":
                return Outcome.REJECTED
    return Outcome.ERROR


class Http1:
    """The way to speak HTTP/1.1 to an endpoint."""

    def for_labels(self, labels: frozenset[str]) -> Http1:
        return self

    def new_connection(self, owner: ConnectionOwner, budget: ByteBudget) -> Connection:
        return Connection(owner, budget)


HTTP1 = Connection.protocol = Http1()


class RequestPayload:
    """A request as it goes out: the time that is left is told anew with each attempt."""

    __slots__ = ("body", "head")
    protocol = HTTP1

    def __init__(self, head: bytes, body: bytes) -> None:
        self.head = head  # request line and headers, but for the time that is left
        self.body = body

    def data(self, left_ms: int) -> bytes:
        return b"%sReq-Deadline-Ms: %d\r\n\r\n%s" % (self.head, left_ms, self.body)
