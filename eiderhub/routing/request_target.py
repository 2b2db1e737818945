"""A request as routes see it, and the one reading of its target that routes, checker and sidecar share.

A server behind the sidecar may resolve dot segments, decode twice, merge slashes or ignore case. A target that
some server could read as another path than the table does would pass a route unseen, so it is refused here; all
that is left has one normal form, and what goes on to the endpoint is the target as it came.
"""

from __future__ import annotations

import re
from collections.abc import Mapping

MAX_SEGMENTS = 64  # of a path: more is no path that anybody routes on
UNRESERVED = frozenset(b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~")  # RFC 3986, 2.3

# Characters that mean themselves to every server. A path of nothing else, with no empty part and none that begins
# with a dot, is in normal form: nearly every path, told without a regular expression. All else takes the slow way.
_SAFE = bytes(UNRESERVED) + b"!$&'()*+,=:@/"
_ESCAPE = re.compile(rb"%([0-9A-Fa-f]{2})")
_BAD_ESCAPE = re.compile(rb"%(?![0-9A-Fa-f]{2})")
_ALLOWED = re.compile(rb"[A-Za-z0-9_~!$&'()*+,;=:@.%/-]*")
_HIDDEN = (0x2F, 0x5C, 0x00)  # a slash, a backslash or a NUL that is written as an escape


class InvalidTargetError(ValueError):
    """A target that could be read in two ways; the text says which part of it, and why."""


def _unescape(match: re.Match[bytes]) -> bytes:
    byte = int(match[1], 16)
    if byte in _HIDDEN:
        raise InvalidTargetError("an escaped slash, backslash or NUL")
    # RFC 3986, 6.2.2: an escape of an unreserved character means that character; of others, the hex is upper case.
    return bytes((byte,)) if byte in UNRESERVED else match[0].upper()


def segments_of(path: bytes) -> tuple[bytes, ...]:
    """The parts of a path in normal form: `/a/b/` and `/a/b` are `(b"a", b"b")`, and `/` is none.

    Raises `Refused` for what RFC 3986 and common servers read in different ways: dot segments, empty segments,
    escaped separators, escapes of escapes, parameters that hide a dot segment, and bytes that no path may hold.
    """
    if path == b"/":
        return ()
    parts = path.strip(b"/").split(b"/") if _is_plain(path) else _careful(path)
    if len(parts) > MAX_SEGMENTS:
        raise InvalidTargetError("too many parts")
    return tuple(parts)


def _is_plain(path: bytes) -> bool:
    return path[:1] == b"/" and not path.translate(None, _SAFE) and b"//" not in path and b"/." not in path


def first_part_of(path: bytes) -> bytes:
    """The first of `segments_of`, or nothing where there is none; raises as that does."""
    # `_is_plain`, written out: every request without routes comes through here.
    if path[:1] == b"/" and not path.translate(None, _SAFE) and b"//" not in path and b"/." not in path:
        if path.count(b"/") <= MAX_SEGMENTS:
            return path[1:].partition(b"/")[0]
    segments = segments_of(path)
    return segments[0] if segments else b""


def _careful(path: bytes) -> list[bytes]:
    if not path.startswith(b"/"):
        raise InvalidTargetError("no path from the root")
    if not _ALLOWED.fullmatch(path):
        raise InvalidTargetError("a character that no path may hold")
    if _BAD_ESCAPE.search(path):
        raise InvalidTargetError("a broken escape")
    plain = _ESCAPE.sub(_unescape, path)
    if b"%25" in plain and _ESCAPE.search(plain.replace(b"%25", b"%")):
        raise InvalidTargetError("an escape of an escape")
    body = plain[1:-1] if plain.endswith(b"/") and len(plain) > 1 else plain[1:]
    parts = body.split(b"/") if body else []
    for part in parts:
        if not part:
            raise InvalidTargetError("an empty part")
        if part.partition(b";")[0] in (b"", b".", b".."):
            raise InvalidTargetError("a dot segment, or parameters without a name")
    if plain == b"//":
        raise InvalidTargetError("an empty part")
    return parts


def query_values(query: bytes, names: frozenset[str]) -> dict[str, str]:
    """The values of those names. One that is given twice is `Refused`: servers differ on which of them counts."""
    from urllib.parse import parse_qsl  # most sidecars have no route that looks at a query

    found: dict[str, str] = {}
    try:
        pairs = parse_qsl(query.decode("ascii"), keep_blank_values=True, max_num_fields=256)
    except ValueError as error:
        raise InvalidTargetError(f"a query that can't be read: {error}") from None
    for name, value in pairs:
        if name in names:
            if name in found:
                raise InvalidTargetError(f"{name!r} given twice in the query")
            found[name] = value
    return found


NO_HEADERS: Mapping[bytes, bytes] = {}


class RequestAttributes:
    """A request as a route sees it. `headers` and `query` are read only where some route asks for them."""

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
        self.headers = headers  # by name in lower case
        self.query = query
        self.tenant = tenant
        self.service = service
        self.call = call
