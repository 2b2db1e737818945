"""Compact encoding, without IDL: message headers, and skipping over structs of any shape without copying."""

from __future__ import annotations

import re
from struct import Struct
from typing import Final

from eiderhub.protocols.thrift.binary import SHORT_STRINGS, Patterns
from eiderhub.protocols.thrift.definitions import (
    MAX_DEPTH,
    MAX_NAME_BYTES,
    Encoding,
    MalformedMessage,
    MessageHeader,
    MessageType,
)

PROTOCOL_ID: Final = 0x82
VERSION: Final = 1
# Type ids of this encoding. The type of a bool field holds its value.
TRUE, FALSE, BYTE, I16, I32, I64, DOUBLE, BINARY, LIST, SET, MAP, STRUCT, UUID = range(1, 14)
LITTLE_ENDIAN_DOUBLE: Final = Struct("<d")
FIXED_SIZES: Final[dict[int, int]] = {TRUE: 1, FALSE: 1, BYTE: 1, DOUBLE: 8, UUID: 16}  # as elements of containers
INTEGER_BITS: Final[dict[int, int]] = {I16: 16, I32: 32, I64: 64}  # encoded as zigzag varints
MIN_SIZES: Final[dict[int, int]] = {
    **FIXED_SIZES,
    I16: 1,
    I32: 1,
    I64: 1,
    BINARY: 1,
    LIST: 1,
    SET: 1,
    MAP: 1,
    STRUCT: 1,
}


def _header_class(*type_ids: int) -> bytes:
    """Return a character class of the one-byte field headers of these types, which hold the field id as a delta."""
    return b"[%s]" % re.escape(bytes(delta << 4 | type_id for delta in range(1, 16) for type_id in type_ids))


# As in the binary encoding: a run of fields without nested values. Varints match up to one byte less than their
# maximum, because the last byte could hold too many bits. Longer ones, and fields with a full id, are skipped singly.
PATTERNS: Final = Patterns(
    b"(?:"
    + b"|".join((
        _header_class(TRUE, FALSE),
        _header_class(I32) + b"[\x80-\xff]{0,3}+[\0-\x7f]",
        _header_class(BINARY) + b"(?:%s)" % SHORT_STRINGS,
        _header_class(I64) + b"[\x80-\xff]{0,8}+[\0-\x7f]",
        _header_class(DOUBLE) + b".{8}",
        _header_class(I16) + b"[\x80-\xff]?+[\0-\x7f]",
        _header_class(BYTE) + b".",
        _header_class(UUID) + b".{16}",
    ))
    + b")*+"
)  # fmt: skip


def read_varint(frame: bytes, offset: int, bits: int) -> tuple[int, int]:
    """Return an unsigned varint of at most `bits` bits, and the offset after it. Raises MalformedMessage."""
    size = len(frame)
    if offset < size and frame[offset] < 0x80:
        return frame[offset], offset + 1
    value = shift = 0
    while True:
        if offset >= size:
            raise MalformedMessage("a number that ends past its frame")
        byte = frame[offset]
        offset += 1
        value |= (byte & 0x7F) << shift
        if byte < 0x80:
            break
        shift += 7
        if shift >= bits:
            raise MalformedMessage(f"a number of more than {bits} bits")
    if value >> bits:
        raise MalformedMessage(f"a number of more than {bits} bits")
    return value, offset


def decode_zigzag(value: int) -> int:
    """Return the signed integer that a zigzag value encodes."""
    return (value >> 1) ^ -(value & 1)


def write_varint(value: int) -> bytes:
    """Encode an unsigned integer as a varint."""
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


def write_zigzag(value: int) -> bytes:
    """Encode a signed integer of any width as a zigzag varint."""
    return write_varint(value << 1 if value >= 0 else (-value << 1) - 1)


def read_header(frame: bytes) -> MessageHeader:
    """Parse the header of a message. Raises MalformedMessage."""
    if len(frame) < 4:
        raise MalformedMessage("a message that ends in its header")
    if frame[0] != PROTOCOL_ID:
        raise MalformedMessage("no compact message")
    version, message_type = frame[1] & 0x1F, frame[1] >> 5
    if version != VERSION:
        raise MalformedMessage(f"version {version} of the compact encoding is not known")
    if not 1 <= message_type <= 4:
        raise MalformedMessage(f"a message of type {message_type}")
    unsigned, seqid_end = read_varint(frame, 2, 32)
    length, offset = read_varint(frame, seqid_end, 32)
    if length > MAX_NAME_BYTES or offset + length > len(frame):
        raise MalformedMessage("the method's name is too long")
    seqid = unsigned - (1 << 32) if unsigned >> 31 else unsigned
    return MessageHeader(
        Encoding.COMPACT,
        MessageType(message_type),
        frame[offset : offset + length],
        seqid,
        2,
        seqid_end,
        offset + length,
    )


def write_header(message_type: int, name: bytes, seqid: int) -> bytes:
    """Encode a message header."""
    return bytes((PROTOCOL_ID, message_type << 5 | VERSION)) + write_seqid(seqid) + write_varint(len(name)) + name


def write_seqid(seqid: int) -> bytes:
    """Encode a sequence id as a varint of its 32 bits, without zigzag."""
    return write_varint(seqid & 0xFFFFFFFF)


def skip(frame: bytes, offset: int, type_id: int, depth: int = 0) -> int:
    """Return the offset after a value of this type, in a container or a field. Raises MalformedMessage.

    For bools it is valid only in a container: a bool field has no value bytes.
    """
    fixed = FIXED_SIZES.get(type_id)
    if fixed is not None:
        if offset + fixed > len(frame):
            raise MalformedMessage("a value that ends past its frame")
        return offset + fixed
    if bits := INTEGER_BITS.get(type_id):
        return read_varint(frame, offset, bits)[1]
    if type_id == BINARY:
        return string_bounds(frame, offset)[1]
    if depth >= MAX_DEPTH:
        raise MalformedMessage(f"more than {MAX_DEPTH} levels within each other")
    if type_id == STRUCT:
        return skip_struct(frame, offset, depth + 1)
    if type_id in (LIST, SET):
        element, count, offset = list_header(frame, offset)
        if fixed := FIXED_SIZES.get(element):
            return offset + fixed * count  # `list_header` has checked that the frame has these bytes
        if element == STRUCT and count:
            return _skip_structs(frame, offset, count, depth + 2)
        for _ in range(count):
            offset = skip(frame, offset, element, depth + 1)
        return offset
    if type_id == MAP:
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
    match_run = PATTERNS.match_run
    while True:
        run = match_run(frame, offset)
        if run is not None:
            offset = run.end()
        type_id, _, offset = field_header(frame, offset, 0)  # the field id does not matter here
        if not type_id:
            return offset
        if type_id > FALSE:
            offset = skip(frame, offset, type_id, depth)


def field_header(frame: bytes, offset: int, last_id: int) -> tuple[int, int, int]:
    """Return a field's type, its id and the offset of its value; type 0 is the stop field.

    `last_id` is the id of the field before it in the same struct, 0 for the first: ids are encoded as deltas.
    """
    if offset >= len(frame):
        raise MalformedMessage("a struct without its stop")
    byte = frame[offset]
    offset += 1
    type_id, delta = byte & 0x0F, byte >> 4
    if not type_id:
        if delta:
            raise MalformedMessage("a stop that steps to a field")
        return 0, 0, offset
    if delta:
        field_id = last_id + delta
    else:
        unsigned, offset = read_varint(frame, offset, 16)
        field_id = decode_zigzag(unsigned)
    if field_id > 0x7FFF:
        raise MalformedMessage("a field id of more than 16 bits")
    return type_id, field_id, offset


def string_bounds(frame: bytes, offset: int) -> tuple[int, int]:
    """Return the offsets where a string's bytes begin and end."""
    length, begin = read_varint(frame, offset, 32)
    if length > len(frame) - begin:
        raise MalformedMessage("a string that ends past its frame")
    return begin, begin + length


def list_header(frame: bytes, offset: int) -> tuple[int, int, int]:
    """Return the element type of a list or set, the count of elements and the offset of the first one.

    The count is checked against the rest of the frame, so that the cost of a loop over it is bounded by the frame.
    """
    if offset >= len(frame):
        raise MalformedMessage("a container that ends in its header")
    element, count = frame[offset] & 0x0F, frame[offset] >> 4
    offset += 1
    if count == 15:
        count, offset = read_varint(frame, offset, 32)
    _check_count(count, MIN_SIZES.get(element, 0), len(frame) - offset)
    return element, count, offset


def map_header(frame: bytes, offset: int) -> tuple[int, int, int, int]:
    """Return the types of a map's keys and values, the count of pairs and the offset of the first one.

    An empty map is one byte without types: both are returned as 0.
    """
    count, offset = read_varint(frame, offset, 32)
    if not count:
        return 0, 0, 0, offset
    if offset >= len(frame):
        raise MalformedMessage("a container that ends in its header")
    key, value = frame[offset] >> 4, frame[offset] & 0x0F
    offset += 1
    known = key in MIN_SIZES and value in MIN_SIZES
    _check_count(count, MIN_SIZES[key] + MIN_SIZES[value] if known else 0, len(frame) - offset)
    return key, value, count, offset


def _check_count(count: int, min_size: int, bytes_left: int) -> None:
    if not count:
        return
    if not min_size:
        raise MalformedMessage("a container of a type that is not known")
    if count * min_size > bytes_left:
        raise MalformedMessage("a container that claims more than its frame holds")
