"""Checks parsed requests: headers that servers could read differently, and what a class requires. No I/O."""

from __future__ import annotations

from typing import NamedTuple

from eiderhub.interface import Effect, RequestClass
from eiderhub.protocols.http1.client import HOP_BY_HOP

NOT_FORWARDED = HOP_BY_HOP | {b"req-deadline-ms"}  # each attempt writes its own remaining time
# Headers that endpoints and the sidecar must read alike. If one is repeated, it is unclear which value counts.
SINGLE_VALUE_HEADERS = frozenset((b"host", b"idempotency-key", b"cookie", b"content-length", b"transfer-encoding"))
# Some servers let these replace the method or the path, so that the request would bypass the routes.
OVERRIDE_HEADERS = frozenset(
    (
        b"x-http-method-override", b"x-http-method", b"x-method-override", b"x-original-url", b"x-rewrite-url",
        b"x-original-uri",
    )
)  # fmt: skip
REFUSAL_STATUSES = (429, 503)  # from the protocol


class Rejection(NamedTuple):
    """Why input is rejected: it reaches neither the decision module nor an endpoint, and the connection closes."""

    status: int
    reason: str

    @property
    def is_refusal(self) -> bool:
        """Whether it promises that the rejected request has no effect, so that a retry is harmless."""
        return self.status in REFUSAL_STATUSES


class Rejected(Exception):
    """Ends the handling of invalid input.

    Connections keep its rejection and never the exception: its traceback refers back to the connection and to the
    input, and this reference cycle would hold both until the next full garbage collection.
    """

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.rejection = Rejection(status, reason)


class IncomingRequest(NamedTuple):
    """A parsed request, as the caller sent it."""

    method: bytes
    url: bytes
    headers: list[tuple[bytes, bytes]]
    body: bytes
    keep_alive: bool
    received_us: int


class HeaderRule(NamedTuple):
    """How a header of one name is treated."""

    key: bytes  # the name in lower case
    is_forwarded: bool
    is_single_value: bool  # a request that repeats it is rejected as ambiguous
    rejection: str  # why a request with it is rejected; "" if it is allowed


class HeaderRules:
    """The rules for header names, cached by name as sent, because callers use the same few names all the time.

    `routed_headers` are those that routes match on: a repeated one could match two routes.
    """

    MAX_CACHED_NAMES = 256  # rules for further names are computed each time, so that new names take no memory

    def __init__(self, routed_headers: frozenset[bytes]) -> None:
        self.routed_headers = routed_headers
        self.cached_rules: dict[bytes, HeaderRule] = {}

    def create_rule(self, name: bytes) -> HeaderRule:
        """Return the rule for this header name, and cache it while there is space."""
        key = name.lower()
        rejection = ""
        if key in OVERRIDE_HEADERS:
            rejection = f"{key.decode('latin-1')}: the request line says what is asked for"
        # Servers that turn headers into variables, as CGI does, read `Req_Id` as `Req-Id`.
        elif b"_" in key and self.must_agree(key.replace(b"_", b"-")):
            rejection = f"{key.decode('latin-1')}: could be read as another header"
        rule = HeaderRule(key, key not in NOT_FORWARDED, self.must_agree(key), rejection)
        if len(self.cached_rules) < self.MAX_CACHED_NAMES:
            self.cached_rules[name] = rule
        return rule

    def must_agree(self, key: bytes) -> bool:
        """Return whether endpoints and the sidecar must read the same value of this header."""
        return key in SINGLE_VALUE_HEADERS or key in self.routed_headers or key.startswith(b"req-")

    def read(self, incoming: IncomingRequest) -> tuple[dict[bytes, bytes], list[bytes]]:
        """Return the headers by name in lower case, and the lines of the header section to forward.

        Raises Rejected for headers that a server could read in another way.
        """
        headers: dict[bytes, bytes] = {}
        forwarded_lines = [b"%s %s HTTP/1.1\r\n" % (incoming.method, incoming.url)]
        cached_rules = self.cached_rules
        for name, value in incoming.headers:
            key, is_forwarded, is_single_value, rejection = cached_rules.get(name) or self.create_rule(name)
            if rejection:
                raise Rejected(400, rejection)
            if is_single_value and key in headers:
                raise Rejected(400, f"{key.decode('latin-1')}: given twice")
            headers[key] = value
            if is_forwarded:
                forwarded_lines.append(b"%s: %s\r\n" % (name, value))
        if b"connection" in headers:
            for token in headers[b"connection"].lower().split(b","):
                if self.must_agree(token.strip()):
                    raise Rejected(400, "connection: names a header that must go on")
        if b"host" not in headers:  # optional in HTTP/1.0, but required in the HTTP/1.1 request that is forwarded
            forwarded_lines.append(b"Host: endpoint\r\n")
        return headers, forwarded_lines


def check_method(incoming: IncomingRequest, request_class: RequestClass, headers: dict[bytes, bytes]) -> None:
    """Check that method, idempotency key and body match the class, as the platform's HTTP protocol requires.

    A request that differs was meant for another class. Raises Rejected.
    """
    is_idempotent = request_class.effect is Effect.IDEMPOTENT
    if incoming.method != (b"GET" if is_idempotent else b"POST"):
        raise Rejected(405, "the method does not fit the class")
    key = headers.get(b"idempotency-key")
    if request_class.effect is Effect.DEDUPLICATED:
        if not key:
            raise Rejected(400, "idempotency-key: missing")
    elif key is not None:
        raise Rejected(400, "idempotency-key: the class is not keyed")
    if is_idempotent and incoming.body:
        # A server that ignores the body of a GET would read it as the next request on that connection.
        raise Rejected(400, "a body on a GET")


def is_token(value: bytes) -> bool:
    """Return whether a value is short, and printable without spaces."""
    return 0 < len(value) <= 128 and all(0x21 <= byte <= 0x7E for byte in value)


def parse_number(headers: dict[bytes, bytes], key: bytes, maximum: int) -> int | None:
    """Return the number in a header, None if there is no such header. Raises Rejected."""
    text = headers.get(key)
    if text is None:
        return None
    if not text.isdigit() or len(text) > 18 or int(text) > maximum:
        raise Rejected(400, f"{key.decode()}: no number within its range")
    return int(text)
