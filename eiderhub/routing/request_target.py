"""The attributes of a request that routes compare, and the parser of request targets.

A server behind the sidecar may resolve dot segments, decode twice, merge slashes or ignore case. A target that some
server could interpret as a different path would bypass a route, so it is rejected here. All other targets have one
normal form. The endpoint receives the target unchanged.
"""

from __future__ import annotations

import re
from collections.abc import Mapping

MAX_SEGMENTS = 64  # of a path; no useful route needs more
UNRESERVED = frozenset(b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~")  # RFC 3986, 2.3

# Characters that every server takes literally. A path of only these, with no empty segment and none that begins with
# a dot, is in normal form. Nearly all paths are, and are recognized without a regular expression; `_split_strictly`
# handles the others.
_SAFE = bytes(UNRESERVED) + b"!$&'()*+,=:@/"
_ESCAPE = re.compile(rb"%([0-9A-Fa-f]{2})")
_BAD_ESCAPE = re.compile(rb"%(?![0-9A-Fa-f]{2})")
_ALLOWED = re.compile(rb"[A-Za-z0-9_~!$&'()*+,;=:@.%/-]*")
_FORBIDDEN_ESCAPES = (0x2F, 0x5C, 0x00)  # slash, backslash and NUL


class InvalidTargetError(ValueError):
    """A target that is invalid or that servers could interpret differently; the message names the cause.

    The sidecar's response with status 400 contains the message.
    """


def _unescape(match: re.Match[bytes]) -> bytes:
    byte = int(match[1], 16)
    if byte in _FORBIDDEN_ESCAPES:
        raise InvalidTargetError("an escaped slash, backslash or NUL")
    # RFC 3986, 6.2.2: unreserved characters are decoded; the hex digits of other escapes are upper case.
    return bytes((byte,)) if byte in UNRESERVED else match[0].upper()


def segments_of(path: bytes) -> tuple[bytes, ...]:
    """Return the segments of a path in normal form: `(b"a", b"b")` for `/a/b/` and `/a/b`, and `()` for `/`.

    Raises `InvalidTargetError` for paths that RFC 3986 and common servers interpret differently: dot segments, empty
    segments, escaped separators, escaped escapes, parameters that hide a dot segment, and forbidden bytes.
    """
    if path == b"/":
        return ()
    segments = path.strip(b"/").split(b"/") if _is_plain(path) else _split_strictly(path)
    if len(segments) > MAX_SEGMENTS:
        raise InvalidTargetError("too many parts")
    return tuple(segments)


def _is_plain(path: bytes) -> bool:
    return path[:1] == b"/" and not path.translate(None, _SAFE) and b"//" not in path and b"/." not in path


def first_segment_of(path: bytes) -> bytes:
    """Return the first item of `segments_of`, or b"" if it is empty. Raises `InvalidTargetError`."""
    # `_is_plain` is inlined, because without routes every request takes this path.
    if path[:1] == b"/" and not path.translate(None, _SAFE) and b"//" not in path and b"/." not in path:
        if path.count(b"/") <= MAX_SEGMENTS:
            return path[1:].partition(b"/")[0]
    segments = segments_of(path)
    return segments[0] if segments else b""


def _split_strictly(path: bytes) -> list[bytes]:
    """Return the segments of a path that `_is_plain` does not accept. Raises `InvalidTargetError`."""
    if not path.startswith(b"/"):
        raise InvalidTargetError("no path from the root")
    if not _ALLOWED.fullmatch(path):
        raise InvalidTargetError("a character that no path may hold")
    if _BAD_ESCAPE.search(path):
        raise InvalidTargetError("a broken escape")
    normalized = _ESCAPE.sub(_unescape, path)
    if b"%25" in normalized and _ESCAPE.search(normalized.replace(b"%25", b"%")):
        raise InvalidTargetError("an escape of an escape")
    body = normalized[1:-1] if normalized.endswith(b"/") and len(normalized) > 1 else normalized[1:]
    segments = body.split(b"/") if body else []
    for segment in segments:
        if not segment:
            raise InvalidTargetError("an empty part")
        if segment.partition(b";")[0] in (b"", b".", b".."):
            raise InvalidTargetError("a dot segment, or parameters without a name")
    if normalized == b"//":
        raise InvalidTargetError("an empty part")
    return segments


def query_values(query: bytes, names: frozenset[str]) -> dict[str, str]:
    """Return the query's values of the given names.

    Raises `InvalidTargetError` if a value is given twice, because servers differ in which one they use.
    """
    from urllib.parse import parse_qsl  # imported here, as most sidecars have no route with query values

    values: dict[str, str] = {}
    try:
        pairs = parse_qsl(query.decode("ascii"), keep_blank_values=True, max_num_fields=256)
    except ValueError as error:
        raise InvalidTargetError(f"a query that can't be read: {error}") from None
    for name, value in pairs:
        if name in names:
            if name in values:
                raise InvalidTargetError(f"{name!r} given twice in the query")
            values[name] = value
    return values


NO_HEADERS: Mapping[bytes, bytes] = {}


class RequestAttributes:
    """The attributes of a request that routes compare; headers and query only if some route needs them."""

    __slots__ = ("call", "headers", "method", "protocol", "query", "segments", "service", "tenant")

    def __init__(
        self,
        protocol: str,
        method: str = "",
        segments: tuple[bytes, ...] = (),
        headers: Mapping[bytes, bytes] = NO_HEADERS,
        query: bytes = b"",
        tenant: str | None = None,
        service: str | None = None,
        call: str | None = None,
    ) -> None:
        self.protocol = protocol
        self.method = method
        self.segments = segments
        self.headers = headers  # names in lower case
        self.query = query
        self.tenant = tenant
        self.service = service
        self.call = call
