"""The compact encoding, without IDL: headers, and a reader that walks any struct and copies nothing."""

from __future__ import annotations

import re
from struct import Struct
from typing import Final

from eiderhub.protocols.thrift.binary import SHORT, Patterns
from eiderhub.protocols.thrift.definitions import (
    MAX_DEPTH,
    MAX_NAME,
    Encoding,
    MalformedMessage,
    MessageHeader,
    MessageType,
)

PROTOCOL: Final = 0x82
VERSION: Final = 1
# Types as this encoding numbers them. A field of type bool holds its value in its type.
TRUE, FALSE, BYTE, I16, I32, I64, DOUBLE, BINARY, LIST, SET, MAP, STRUCT, UUID = range(1, 14)
LITTLE: Final = Struct("<d")
FIXED: Final[dict[int, int]] = {TRUE: 1, FALSE: 1, BYTE: 1, DOUBLE: 8, UUID: 16}  # as elements of containers
VARINTS: Final[dict[int, int]] = {I16: 16, I32: 32, I64: 64}  # and the bits of a zigzag number
LEAST: Final[dict[int, int]] = {**FIXED, I16: 1, I32: 1, I64: 1, BINARY: 1, LIST: 1, SET: 1, MAP: 1, STRUCT: 1}


def _headers(*kinds: int) -> bytes:
    """The headers of fields of these types whose ids are told as steps, as a class of a pattern."""
    return b"[%s]" % re.escape(bytes(step << 4 | kind for step in range(1, 16) for kind in kinds))


# As in binary: fields that need no look at what is within them. Numbers have one byte less than they might, for
# the last one can hold too many bits; those, and ids that are no steps, are looked at one by one.
PATTERNS: Final = Patterns(
    b"(?:"
    + b"|".join((
        _headers(TRUE, FALSE),
        _headers(I32) + b"[\x80-\xff]{0,3}+[\0-\x7f]",
        _headers(BINARY) + b"(?:%s)" % SHORT,
        _headers(I64) + b"[\x80-\xff]{0,8}+[\0-\x7f]",
        _headers(DOUBLE) + b".{8}",
        _headers(I16) + b"[\x80-\xff]?+[\0-\x7f]",
        _headers(BYTE) + b".",
        _headers(UUID) + b".{16}",
    ))
    + b")*+"
)  # fmt: skip


def varint(frame: bytes, at: int, bits: int) -> tuple[int, int]:
    """An unsigned number of at most so many bits, and where it ends."""
    size = len(frame)
    if at < size and frame[at] < 0x80:
        return frame[at], at + 1
    value = shift = 0
    while True:
        if at >= size:
            raise MalformedMessage("a number that ends past its frame")
        byte = frame[at]
        at += 1
        value |= (byte & 0x7F) << shift
        if byte < 0x80:
            break
        shift += 7
        if shift >= bits:
            raise MalformedMessage(f"a number of more than {bits} bits")
    if value >> bits:
        raise MalformedMessage(f"a number of more than {bits} bits")
    return value, at


def zigzag(value: int) -> int:
    """The signed number that stands for an unsigned one."""
    return (value >> 1) ^ -(value & 1)


def put_varint(value: int) -> bytes:
    """The bytes of an unsigned number."""
    if value < 0x80:
        return bytes((value,))
    if value < 0x4000:
        return bytes((value & 0x7F | 0x80, value >> 7))
    if value < 0x200000:
        return bytes((value & 0x7F | 0x80, value >> 7 & 0x7F | 0x80, value >> 14))
    out = bytearray()
    while value >= 0x80:
        out.append(value & 0x7F | 0x80)
        value >>= 7
    out.append(value)
    return bytes(out)


def put_zigzag(value: int) -> bytes:
    """The bytes of a signed number, of any width: the sign goes to the lowest bit."""
    return put_varint(value << 1 if value >= 0 else (-value << 1) - 1)


def read_header(frame: bytes) -> MessageHeader:
    if len(frame) < 4:
        raise MalformedMessage("a message that ends in its header")
    if frame[0] != PROTOCOL:
        raise MalformedMessage("no compact message")
    version, kind = frame[1] & 0x1F, frame[1] >> 5
    if version != VERSION:
        raise MalformedMessage(f"version {version} of the compact encoding is not known")
    if not 1 <= kind <= 4:
        raise MalformedMessage(f"a message of type {kind}")
    unsigned, seqid_end = varint(frame, 2, 32)
    length, at = varint(frame, seqid_end, 32)
    if length > MAX_NAME or at + length > len(frame):
        raise MalformedMessage("the method's name is too long")
    seqid = unsigned - (1 << 32) if unsigned >> 31 else unsigned
    return MessageHeader(Encoding.COMPACT, MessageType(kind), frame[at : at + length], seqid, 2, seqid_end, at + length)


def write_header(kind: int, name: bytes, seqid: int) -> bytes:
    return bytes((PROTOCOL, kind << 5 | VERSION)) + write_seqid(seqid) + put_varint(len(name)) + name


def write_seqid(seqid: int) -> bytes:
    """Not in zigzag: the 32 bits as they are."""
    return put_varint(seqid & 0xFFFFFFFF)


def skip(frame: bytes, at: int, kind: int, depth: int = 0) -> int:
    """Where a value of this type ends, as an element of a container or, but for bools, of a field."""
    fixed = FIXED.get(kind)
    if fixed is not None:
        if at + fixed > len(frame):
            raise MalformedMessage("a value that ends past its frame")
        return at + fixed
    if bits := VARINTS.get(kind):
        return varint(frame, at, bits)[1]
    if kind == BINARY:
        return string_end(frame, at)[1]
    if depth >= MAX_DEPTH:
        raise MalformedMessage(f"more than {MAX_DEPTH} levels within each other")
    if kind == STRUCT:
        return skip_struct(frame, at, depth + 1)
    if kind in (LIST, SET):
        element, count, at = container(frame, at)
        if fixed := FIXED.get(element):
            return at + fixed * count  # `container` has seen that so much is there
        if element == STRUCT and count:
            return _skip_structs(frame, at, count, depth + 2)
        for _ in range(count):
            at = skip(frame, at, element, depth + 1)
        return at
    if kind == MAP:
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
    run_of = PATTERNS.run
    while True:
        run = run_of(frame, at)
        if run is not None:
            at = run.end()
        kind, _, at = field(frame, at, 0)  # which field it is matters to nobody here
        if not kind:
            return at
        if kind > FALSE:
            at = skip(frame, at, kind, depth)


def field(frame: bytes, at: int, last: int) -> tuple[int, int, int]:
    """The type of the field at `at`, its id, and where its value begins; type 0 is the struct's stop.

    `last` is the id of the field before it in the same struct, 0 for the first: ids are told as steps.
    """
    if at >= len(frame):
        raise MalformedMessage("a struct without its stop")
    byte = frame[at]
    at += 1
    kind, step = byte & 0x0F, byte >> 4
    if not kind:
        if step:
            raise MalformedMessage("a stop that steps to a field")
        return 0, 0, at
    if step:
        number = last + step
    else:
        unsigned, at = varint(frame, at, 16)
        number = zigzag(unsigned)
    if number > 0x7FFF:
        raise MalformedMessage("a field id of more than 16 bits")
    return kind, number, at


def string_end(frame: bytes, at: int) -> tuple[int, int]:
    """Where a string's bytes begin and end."""
    length, begin = varint(frame, at, 32)
    if length > len(frame) - begin:
        raise MalformedMessage("a string that ends past its frame")
    return begin, begin + length


def container(frame: bytes, at: int) -> tuple[int, int, int]:
    """The element's type of a list or set, how many there are, and where they begin.

    The claim is held against what is left of the frame, so no loop over it outlasts the bytes that came.
    """
    if at >= len(frame):
        raise MalformedMessage("a container that ends in its header")
    element, count = frame[at] & 0x0F, frame[at] >> 4
    at += 1
    if count == 15:
        count, at = varint(frame, at, 32)
    _check_claim(count, LEAST.get(element, 0), len(frame) - at)
    return element, count, at


def pairs(frame: bytes, at: int) -> tuple[int, int, int, int]:
    """The types of a map's keys and values, how many pairs there are, and where they begin.

    An empty map is one byte, and tells no types: both are 0.
    """
    count, at = varint(frame, at, 32)
    if not count:
        return 0, 0, 0, at
    if at >= len(frame):
        raise MalformedMessage("a container that ends in its header")
    key, value = frame[at] >> 4, frame[at] & 0x0F
    at += 1
    known = key in LEAST and value in LEAST
    _check_claim(count, LEAST[key] + LEAST[value] if known else 0, len(frame) - at)
    return key, value, count, at


def _check_claim(count: int, least: int, left: int) -> None:
    if not count:
        return
    if not least:
        raise MalformedMessage("a container of a type that is not known")
    if count * least > left:
        raise MalformedMessage("a container that claims more than its frame holds")
