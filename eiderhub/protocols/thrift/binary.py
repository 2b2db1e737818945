"""The binary encoding, without IDL: headers, and a reader that walks any struct and copies nothing."""

from __future__ import annotations

import re
from struct import Struct
from typing import Final

from eiderhub.protocols.thrift.definitions import (
    MAX_DEPTH,
    MAX_NAME,
    Encoding,
    MalformedMessage,
    MessageHeader,
    MessageType,
    TType,
)

VERSION_1: Final = 0x80010000
VERSION_MASK: Final = 0xFFFF0000
I16: Final = Struct(">h")
I32: Final = Struct(">i")
I64: Final = Struct(">q")
U32: Final = Struct(">I")
DOUBLE: Final = Struct(">d")

# The bytes of each type of fixed size, and the least bytes of every type: what a container claims is held against them.
FIXED: Final[dict[int, int]] = {
    TType.BOOL: 1,
    TType.BYTE: 1,
    TType.I16: 2,
    TType.I32: 4,
    TType.I64: 8,
    TType.DOUBLE: 8,
    TType.UUID: 16,
}
LEAST: Final[dict[int, int]] = {**FIXED, TType.STRING: 4, TType.STRUCT: 1, TType.MAP: 6, TType.SET: 5, TType.LIST: 5}

# Fields that need no look at what is within them, as many as stand together: skipped at once, without a step of the
# interpreter for each. Possessive, so a match never goes back over what it took. A string's length can't be counted in
# a pattern, so each length of up to 127 bytes has its branch. What the pattern does not know ends the run, and `skip`
# looks at it.
SHORT: Final = b"|".join(re.escape(bytes((n,))) + b".{%d}" % n for n in range(128))
PLAIN: Final = (
    b"(?:[%s]..." % bytes((TType.BOOL, TType.BYTE))
    + b"".join(b"|\\x%02x.{%d}" % (kind, 2 + size) for kind, size in FIXED.items() if size > 1)
    + b"|\\x%02x..\\0\\0\\0(?:%s))*+" % (TType.STRING, SHORT)
)


class Patterns:
    """The patterns of an encoding, from that of a run of plain fields."""

    def __init__(self, plain: bytes) -> None:
        self.run = re.compile(plain, re.DOTALL).match
        # Structs of plain fields alone, eight at a time as elements of a list: a list tells its count, which no pattern
        # can read. Where eight fail they are skipped one by one, so nothing is looked at more than twice.
        self.eight = re.compile(b"(?:%s\\0){8}" % plain, re.DOTALL).match

    def structs(self, frame: bytes, at: int, count: int) -> tuple[int, int]:
        """How many of the next structs are left, and where they begin, behind the first that are plain."""
        while count >= 8 and (found := self.eight(frame, at)):
            at = found.end()
            count -= 8
        return count, at


PATTERNS: Final = Patterns(PLAIN)


def read_header(frame: bytes) -> MessageHeader:
    """The header of a message, strict or as old clients send it (the name first, with no version)."""
    size = len(frame)
    if size < 4:
        raise MalformedMessage("a message that ends in its header")
    (first,) = U32.unpack_from(frame)
    if first & 0x80000000:
        if first & VERSION_MASK != VERSION_1:
            raise MalformedMessage(f"version {first >> 16:#06x} of the binary encoding is not known")
        return _header(frame, 4, first & 0xFF, strict=True)
    return _header(frame, 0, 0, strict=False)


def _header(frame: bytes, at: int, kind: int, *, strict: bool) -> MessageHeader:
    size = len(frame)
    if size < at + 4:
        raise MalformedMessage("a message that ends in its header")
    (length,) = U32.unpack_from(frame, at)
    at += 4
    if length > MAX_NAME:
        raise MalformedMessage("no Thrift message, or the method's name is too long")
    name = frame[at : at + length]
    at += length
    if not strict:
        if at >= size:
            raise MalformedMessage("a message that ends in its header")
        kind = frame[at]
        at += 1
    if size < at + 4:
        raise MalformedMessage("a message that ends in its header")
    if not 1 <= kind <= 4:
        raise MalformedMessage(f"a message of type {kind}")
    (seqid,) = I32.unpack_from(frame, at)
    return MessageHeader(Encoding.BINARY, MessageType(kind), name, seqid, at, at + 4, at + 4)


def write_header(kind: int, name: bytes, seqid: int) -> bytes:
    """A strict header."""
    return U32.pack(VERSION_1 | kind) + U32.pack(len(name)) + name + I32.pack(seqid)


def write_seqid(seqid: int) -> bytes:
    return I32.pack(seqid)


def skip(frame: bytes, at: int, kind: int, depth: int = 0) -> int:
    """Where a value of this type ends."""
    end = at + FIXED.get(kind, 0)
    if end > at:
        if end > len(frame):
            raise MalformedMessage("a value that ends past its frame")
        return end
    if kind == TType.STRING:
        return string_end(frame, at)[1]
    if depth >= MAX_DEPTH:
        raise MalformedMessage(f"more than {MAX_DEPTH} levels within each other")
    if kind == TType.STRUCT:
        return skip_struct(frame, at, depth + 1)
    if kind in (TType.LIST, TType.SET):
        element, count, at = container(frame, at)
        if fixed := FIXED.get(element):
            return at + fixed * count  # `container` has seen that so much is there
        if element == TType.STRUCT and count:
            return _skip_structs(frame, at, count, depth + 2)
        for _ in range(count):
            at = skip(frame, at, element, depth + 1)
        return at
    if kind == TType.MAP:
        key, value, count, at = pairs(frame, at)
        for _ in range(count):
            at = skip(frame, skip(frame, at, key, depth + 1), value, depth + 1)
        return at
    raise MalformedMessage(f"type {kind} is not known")


def _skip_structs(frame: bytes, at: int, count: int, depth: int) -> int:
    """Where so many structs end; `depth` is that within them."""
    if depth > MAX_DEPTH:
        raise MalformedMessage(f"more than {MAX_DEPTH} levels within each other")
    while count:
        count, at = PATTERNS.structs(frame, at, count)
        for _ in range(min(count, 8)):
            at = skip_struct(frame, at, depth)
            count -= 1
    return at


def skip_struct(frame: bytes, at: int, depth: int = 0) -> int:
    """Where a struct ends, its stop included."""
    size = len(frame)
    run_of = PATTERNS.run
    while True:
        run = run_of(frame, at)
        if run is not None:
            at = run.end()
        if at >= size:
            raise MalformedMessage("a struct without its stop")
        kind = frame[at]
        if not kind:
            return at + 1
        at = skip(frame, at + 3, kind, depth)


def field(frame: bytes, at: int) -> tuple[int, int, int]:
    """The type of the field at `at`, its id, and where its value begins; type 0 is the struct's stop."""
    if at >= len(frame):
        raise MalformedMessage("a struct without its stop")
    kind = frame[at]
    if not kind:
        return 0, 0, at + 1
    if at + 3 > len(frame):
        raise MalformedMessage("a field that ends in its header")
    return kind, I16.unpack_from(frame, at + 1)[0], at + 3


def string_end(frame: bytes, at: int) -> tuple[int, int]:
    """Where a string's bytes begin and end."""
    if at + 4 > len(frame):
        raise MalformedMessage("a string that ends in its length")
    (length,) = U32.unpack_from(frame, at)
    begin = at + 4
    if length > len(frame) - begin:
        raise MalformedMessage("a string that ends past its frame")
    return begin, begin + length


def container(frame: bytes, at: int) -> tuple[int, int, int]:
    """The element's type of a list or set, how many there are, and where they begin.

    The claim is held against what is left of the frame, so no loop over it outlasts the bytes that came.
    """
    if at + 5 > len(frame):
        raise MalformedMessage("a container that ends in its header")
    element = frame[at]
    (count,) = U32.unpack_from(frame, at + 1)
    at += 5
    _check_claim(count, LEAST.get(element, 0), len(frame) - at)
    return element, count, at


def pairs(frame: bytes, at: int) -> tuple[int, int, int, int]:
    """The types of a map's keys and values, how many pairs there are, and where they begin."""
    if at + 6 > len(frame):
        raise MalformedMessage("a container that ends in its header")
    key, value = frame[at], frame[at + 1]
    (count,) = U32.unpack_from(frame, at + 2)
    at += 6
    known = key in LEAST and value in LEAST
    _check_claim(count, LEAST[key] + LEAST[value] if known else 0, len(frame) - at)
    return key, value, count, at


def _check_claim(count: int, least: int, left: int) -> None:
    if not count:
        return  # an empty container's types say nothing: some write 0 there
    if not least:
        raise MalformedMessage("a container of a type that is not known")
    if count * least > left:
        raise MalformedMessage("a container that claims more than its frame holds")
