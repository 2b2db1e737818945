"""Binary encoding, without IDL: message headers, and skipping over structs of any shape without copying."""

from __future__ import annotations

import re
from struct import Struct
from typing import Final

from eiderhub.protocols.thrift.definitions import (
    MAX_DEPTH,
    MAX_NAME_BYTES,
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

# Bytes of each fixed-size type, and the minimum of each type: the claimed size of a container is checked with these.
FIXED_SIZES: Final[dict[int, int]] = {
    TType.BOOL: 1,
    TType.BYTE: 1,
    TType.I16: 2,
    TType.I32: 4,
    TType.I64: 8,
    TType.DOUBLE: 8,
    TType.UUID: 16,
}
MIN_SIZES: Final[dict[int, int]] = {
    **FIXED_SIZES,
    TType.STRING: 4,
    TType.STRUCT: 1,
    TType.MAP: 6,
    TType.SET: 5,
    TType.LIST: 5,
}

# A run of adjacent fields without nested values, skipped by one match instead of an interpreter step per field.
# The quantifier is possessive, so that a match never backtracks. A pattern can't use a string's length as a count, so
# each length of up to 127 bytes has its own branch. A field that the pattern doesn't match ends the run, and `skip`
# handles it.
SHORT_STRINGS: Final = b"|".join(re.escape(bytes((n,))) + b".{%d}" % n for n in range(128))
PLAIN_FIELDS: Final = (
    b"(?:[%s]..." % bytes((TType.BOOL, TType.BYTE))
    + b"".join(b"|\\x%02x.{%d}" % (type_id, 2 + size) for type_id, size in FIXED_SIZES.items() if size > 1)
    + b"|\\x%02x..\\0\\0\\0(?:%s))*+" % (TType.STRING, SHORT_STRINGS)
)


class Patterns:
    """Compiled patterns of an encoding, built from the pattern of a run of plain fields."""

    def __init__(self, plain_fields: bytes) -> None:
        self.match_run = re.compile(plain_fields, re.DOTALL).match
        # Eight structs of plain fields at a time, as elements of a list: a pattern can't use the list's count. If eight
        # don't match, they are skipped one by one, so that no byte is scanned more than twice.
        self.match_eight_structs = re.compile(b"(?:%s\\0){8}" % plain_fields, re.DOTALL).match

    def skip_structs(self, frame: bytes, offset: int, count: int) -> tuple[int, int]:
        """Skip plain structs in groups of eight. Return the number of structs left, and their offset."""
        while count >= 8 and (match := self.match_eight_structs(frame, offset)):
            offset = match.end()
            count -= 8
        return count, offset


PATTERNS: Final = Patterns(PLAIN_FIELDS)


def read_header(frame: bytes) -> MessageHeader:
    """Parse the header of a message, strict or old (name first, without a version). Raises MalformedMessage."""
    size = len(frame)
    if size < 4:
        raise MalformedMessage("a message that ends in its header")
    (first,) = U32.unpack_from(frame)
    if first & 0x80000000:
        if first & VERSION_MASK != VERSION_1:
            raise MalformedMessage(f"version {first >> 16:#06x} of the binary encoding is not known")
        return _header(frame, 4, first & 0xFF, strict=True)
    return _header(frame, 0, 0, strict=False)


def _header(frame: bytes, offset: int, message_type: int, *, strict: bool) -> MessageHeader:
    size = len(frame)
    if size < offset + 4:
        raise MalformedMessage("a message that ends in its header")
    (length,) = U32.unpack_from(frame, offset)
    offset += 4
    if length > MAX_NAME_BYTES:
        raise MalformedMessage("no Thrift message, or the method's name is too long")
    name = frame[offset : offset + length]
    offset += length
    if not strict:
        if offset >= size:
            raise MalformedMessage("a message that ends in its header")
        message_type = frame[offset]
        offset += 1
    if size < offset + 4:
        raise MalformedMessage("a message that ends in its header")
    if not 1 <= message_type <= 4:
        raise MalformedMessage(f"a message of type {message_type}")
    (seqid,) = I32.unpack_from(frame, offset)
    return MessageHeader(Encoding.BINARY, MessageType(message_type), name, seqid, offset, offset + 4, offset + 4)


def write_header(message_type: int, name: bytes, seqid: int) -> bytes:
    """Encode a strict message header."""
    return U32.pack(VERSION_1 | message_type) + U32.pack(len(name)) + name + I32.pack(seqid)


def write_seqid(seqid: int) -> bytes:
    """Encode a sequence id."""
    return I32.pack(seqid)


def skip(frame: bytes, offset: int, type_id: int, depth: int = 0) -> int:
    """Return the offset after a value of this type. Raises MalformedMessage."""
    end = offset + FIXED_SIZES.get(type_id, 0)
    if end > offset:
        if end > len(frame):
            raise MalformedMessage("a value that ends past its frame")
        return end
    if type_id == TType.STRING:
        return string_bounds(frame, offset)[1]
    if depth >= MAX_DEPTH:
        raise MalformedMessage(f"more than {MAX_DEPTH} levels within each other")
    if type_id == TType.STRUCT:
        return skip_struct(frame, offset, depth + 1)
    if type_id in (TType.LIST, TType.SET):
        element, count, offset = list_header(frame, offset)
        if fixed := FIXED_SIZES.get(element):
            return offset + fixed * count  # `list_header` has checked that the frame has these bytes
        if element == TType.STRUCT and count:
            return _skip_structs(frame, offset, count, depth + 2)
        for _ in range(count):
            offset = skip(frame, offset, element, depth + 1)
        return offset
    if type_id == TType.MAP:
        key, value, count, offset = map_header(frame, offset)
        for _ in range(count):
            offset = skip(frame, skip(frame, offset, key, depth + 1), value, depth + 1)
        return offset
    raise MalformedMessage(f"type {type_id} is not known")


def _skip_structs(frame: bytes, offset: int, count: int, depth: int) -> int:
    """Return the offset after `count` structs; `depth` is the nesting depth inside them."""
    if depth > MAX_DEPTH:
        raise MalformedMessage(f"more than {MAX_DEPTH} levels within each other")
    while count:
        count, offset = PATTERNS.skip_structs(frame, offset, count)
        for _ in range(min(count, 8)):
            offset = skip_struct(frame, offset, depth)
            count -= 1
    return offset


def skip_struct(frame: bytes, offset: int, depth: int = 0) -> int:
    """Return the offset after a struct and its stop field. Raises MalformedMessage."""
    size = len(frame)
    match_run = PATTERNS.match_run
    while True:
        run = match_run(frame, offset)
        if run is not None:
            offset = run.end()
        if offset >= size:
            raise MalformedMessage("a struct without its stop")
        type_id = frame[offset]
        if not type_id:
            return offset + 1
        offset = skip(frame, offset + 3, type_id, depth)


def field_header(frame: bytes, offset: int) -> tuple[int, int, int]:
    """Return a field's type, its id and the offset of its value; type 0 is the stop field."""
    if offset >= len(frame):
        raise MalformedMessage("a struct without its stop")
    type_id = frame[offset]
    if not type_id:
        return 0, 0, offset + 1
    if offset + 3 > len(frame):
        raise MalformedMessage("a field that ends in its header")
    return type_id, I16.unpack_from(frame, offset + 1)[0], offset + 3


def string_bounds(frame: bytes, offset: int) -> tuple[int, int]:
    """Return the offsets where a string's bytes begin and end."""
    if offset + 4 > len(frame):
        raise MalformedMessage("a string that ends in its length")
    (length,) = U32.unpack_from(frame, offset)
    begin = offset + 4
    if length > len(frame) - begin:
        raise MalformedMessage("a string that ends past its frame")
    return begin, begin + length


def list_header(frame: bytes, offset: int) -> tuple[int, int, int]:
    """Return the element type of a list or set, the count of elements and the offset of the first one.

    The count is checked against the rest of the frame, so that the cost of a loop over it is bounded by the frame.
    """
    if offset + 5 > len(frame):
        raise MalformedMessage("a container that ends in its header")
    element = frame[offset]
    (count,) = U32.unpack_from(frame, offset + 1)
    offset += 5
    _check_count(count, MIN_SIZES.get(element, 0), len(frame) - offset)
    return element, count, offset


def map_header(frame: bytes, offset: int) -> tuple[int, int, int, int]:
    """Return the types of a map's keys and values, the count of pairs and the offset of the first one."""
    if offset + 6 > len(frame):
        raise MalformedMessage("a container that ends in its header")
    key, value = frame[offset], frame[offset + 1]
    (count,) = U32.unpack_from(frame, offset + 2)
    offset += 6
    known = key in MIN_SIZES and value in MIN_SIZES
    _check_count(count, MIN_SIZES[key] + MIN_SIZES[value] if known else 0, len(frame) - offset)
    return key, value, count, offset


def _check_count(count: int, min_size: int, bytes_left: int) -> None:
    if not count:
        return  # the types of an empty container are ignored: some libraries write 0
    if not min_size:
        raise MalformedMessage("a container of a type that is not known")
    if count * min_size > bytes_left:
        raise MalformedMessage("a container that claims more than its frame holds")
