"""Converts messages from one encoding to the other, without IDL and without loss.

Every value keeps its bits: a double only changes its byte order, so a NaN keeps its payload. The one difference is an
empty map, which has no types in the compact encoding. It gets the types 0 in binary, which libraries read as an empty
map of any types.
"""

from __future__ import annotations

from collections.abc import Callable
from struct import Struct
from struct import error as struct_error

from eiderhub.protocols.thrift import binary, compact
from eiderhub.protocols.thrift.definitions import MAX_DEPTH, Encoding, MalformedMessage, MessageHeader, TType

COMPACT_TYPES: dict[int, int] = {
    TType.BOOL: compact.TRUE,
    TType.BYTE: compact.BYTE,
    TType.DOUBLE: compact.DOUBLE,
    TType.I16: compact.I16,
    TType.I32: compact.I32,
    TType.I64: compact.I64,
    TType.STRING: compact.BINARY,
    TType.STRUCT: compact.STRUCT,
    TType.MAP: compact.MAP,
    TType.SET: compact.SET,
    TType.LIST: compact.LIST,
    TType.UUID: compact.UUID,
}
BINARY_TYPES: dict[int, int] = {compact_type: binary_type for binary_type, compact_type in COMPACT_TYPES.items()} | {
    compact.FALSE: TType.BOOL
}
# By type: the size of an integer in bytes, and the function that reads it.
INTEGERS: dict[int, tuple[int, Callable[[bytes, int], tuple[int]]]] = {
    TType.I16: (2, binary.I16.unpack_from),
    TType.I32: (4, binary.I32.unpack_from),
    TType.I64: (8, binary.I64.unpack_from),
}
# Header and value of the most common fields; of a string, its length.
I32_FIELD, I64_FIELD, STRING_FIELD = Struct(">Bhi"), Struct(">Bhq"), Struct(">BhI")
INTEGER_PACKERS: dict[int, Callable[[int], bytes]] = {
    compact.I16: binary.I16.pack,
    compact.I32: binary.I32.pack,
    compact.I64: binary.I64.pack,
}
TYPE_BYTES: dict[int, bytes] = {type_id: bytes((type_id,)) for type_id in range(17)}


def convert(message: bytes, header: MessageHeader, to: Encoding, seqid: int) -> bytes:
    """Return the message in the encoding `to`, with this sequence id.

    Raises MalformedMessage if it has to be converted and can't be parsed, or has bytes after its end, which can't be
    converted.
    """
    if header.encoding is to:
        return with_seqid(message, header, seqid)
    try:
        if to is Encoding.COMPACT:
            out = bytearray(compact.write_header(header.message_type, header.name, seqid))
            end = _struct_to_compact(message, header.body_start, out, 1)
        else:
            out = bytearray(binary.write_header(header.message_type, header.name, seqid))
            end = _struct_to_binary(message, header.body_start, out, 1)
    except (IndexError, struct_error) as error:  # a read past the end; only strings are checked before
        raise MalformedMessage("a value that ends past its frame") from error
    if end != len(message):
        raise MalformedMessage("bytes behind the message's end")
    return bytes(out)


def with_seqid(message: bytes, header: MessageHeader, seqid: int) -> bytes:
    """Return the message with another sequence id, and otherwise unchanged."""
    if seqid == header.seqid:
        return message
    write = binary.write_seqid if header.encoding is Encoding.BINARY else compact.write_seqid
    return message[: header.seqid_start] + write(seqid) + message[header.seqid_end :]


# --- binary to compact ---


def _struct_to_compact(frame: bytes, offset: int, out: bytearray, depth: int) -> int:
    """Convert a struct. The common types are handled inline, because a call per field doubles the cost of a field."""
    last_id = 0
    size = len(frame)
    append, read_i32, read_i64 = out.append, I32_FIELD.unpack_from, I64_FIELD.unpack_from
    read_string = STRING_FIELD.unpack_from
    while True:
        type_id = frame[offset]
        if not type_id:
            append(0)
            return offset + 1
        if type_id == TType.STRING:
            _, field_id, length = read_string(frame, offset)
            offset += 7
            end = offset + length
            if end > size:
                raise MalformedMessage("a string that ends past its frame")
            last_id = _write_field_header(field_id, last_id, compact.BINARY, out)
            if length < 0x80:
                append(length)
            else:
                out += compact.write_varint(length)
            out += frame[offset:end]
            offset = end
            continue
        if type_id == TType.I32 or type_id == TType.I64:
            if type_id == TType.I32:
                _, field_id, value = read_i32(frame, offset)
                offset += 7
            else:
                _, field_id, value = read_i64(frame, offset)
                offset += 11
            last_id = _write_field_header(field_id, last_id, compact.I32 if type_id == TType.I32 else compact.I64, out)
            unsigned = value << 1 ^ value >> 63
            if unsigned < 0x80:
                append(unsigned)
            else:
                out += compact.write_varint(unsigned)
            continue
        (field_id,) = binary.I16.unpack_from(frame, offset + 1)
        offset += 3
        if type_id == TType.BOOL:
            last_id = _write_field_header(field_id, last_id, _bool_type(frame, offset), out)
            offset += 1
            continue
        compact_type = COMPACT_TYPES.get(type_id, 0)
        if not compact_type:
            raise MalformedMessage(f"type {type_id} is not known")
        last_id = _write_field_header(field_id, last_id, compact_type, out)
        offset = _to_compact(frame, offset, type_id, out, depth)


def _write_field_header(field_id: int, last_id: int, compact_type: int, out: bytearray) -> int:
    """Write a field header, with the id as a delta if that is small. Return the id, for the next field's delta."""
    delta = field_id - last_id
    if 0 < delta < 16:
        out.append(delta << 4 | compact_type)
    else:
        out.append(compact_type)
        out += compact.write_zigzag(field_id)
    return field_id


def _bool_type(frame: bytes, offset: int) -> int:
    """Return the compact type id that encodes a bool's value, both as a field type and as an element."""
    if frame[offset] > 1:
        raise MalformedMessage("a bool that is neither 0 nor 1")
    return compact.TRUE if frame[offset] else compact.FALSE


def _to_compact(frame: bytes, offset: int, type_id: int, out: bytearray, depth: int) -> int:
    if type_id == TType.STRING:
        begin, end = binary.string_bounds(frame, offset)
        out += compact.write_varint(end - begin)
        out += frame[begin:end]
        return end
    integer = INTEGERS.get(type_id)
    if integer is not None:
        end = offset + integer[0]
        if end > len(frame):
            raise MalformedMessage("a value that ends past its frame")
        value = integer[1](frame, offset)[0]
        unsigned = value << 1 if value >= 0 else (-value << 1) - 1
        if unsigned < 0x80:
            out.append(unsigned)
        else:
            out += compact.write_varint(unsigned)
        return end
    if type_id == TType.BOOL:
        out.append(_bool_type(frame, offset))
        return offset + 1
    fixed = binary.FIXED_SIZES.get(type_id)
    if fixed is not None:
        end = offset + fixed
        if end > len(frame):
            raise MalformedMessage("a value that ends past its frame")
        out += frame[offset:end][::-1] if type_id == TType.DOUBLE else frame[offset:end]
        return end
    if depth >= MAX_DEPTH:
        raise MalformedMessage(f"more than {MAX_DEPTH} levels within each other")
    if type_id == TType.STRUCT:
        return _struct_to_compact(frame, offset, out, depth + 1)
    if type_id == TType.MAP:
        return _map_to_compact(frame, offset, out, depth + 1)
    if type_id in (TType.LIST, TType.SET):
        return _list_to_compact(frame, offset, out, depth + 1)
    raise MalformedMessage(f"type {type_id} is not known")


def _list_to_compact(frame: bytes, offset: int, out: bytearray, depth: int) -> int:
    element, count, offset = binary.list_header(frame, offset)
    compact_type = COMPACT_TYPES.get(element, 0)
    if count < 15:
        out.append(count << 4 | compact_type)
    else:
        out.append(0xF0 | compact_type)
        out += compact.write_varint(count)
    if element == TType.BYTE:
        out += frame[offset : offset + count]
        return offset + count
    for _ in range(count):
        offset = _to_compact(frame, offset, element, out, depth)
    return offset


def _map_to_compact(frame: bytes, offset: int, out: bytearray, depth: int) -> int:
    key, value, count, offset = binary.map_header(frame, offset)
    out += compact.write_varint(count)
    if count:
        out.append(COMPACT_TYPES[key] << 4 | COMPACT_TYPES[value])
    for _ in range(count):
        offset = _to_compact(frame, offset, key, out, depth)
        offset = _to_compact(frame, offset, value, out, depth)
    return offset


# --- compact to binary ---


def _struct_to_binary(frame: bytes, offset: int, out: bytearray, depth: int) -> int:
    """Convert a struct, with the common types inline as in `_struct_to_compact`."""
    last_id = 0
    size = len(frame)
    append, pack_i32, pack_string = out.append, I32_FIELD.pack, STRING_FIELD.pack
    while True:
        byte = frame[offset]
        type_id, delta = byte & 0x0F, byte >> 4
        if delta and type_id:
            offset += 1
            last_id += delta
            if last_id > 0x7FFF:
                raise MalformedMessage("a field id of more than 16 bits")
        else:
            type_id, last_id, offset = compact.field_header(frame, offset, last_id)
        if type_id == compact.BINARY:
            length = frame[offset]
            if length < 0x80:
                offset += 1
            else:
                length, offset = compact.read_varint(frame, offset, 32)
            end = offset + length
            if end > size:
                raise MalformedMessage("a string that ends past its frame")
            out += pack_string(TType.STRING, last_id, length)
            out += frame[offset:end]
            offset = end
        elif type_id == compact.I32:
            unsigned = frame[offset]
            if unsigned < 0x80:
                offset += 1
            else:
                unsigned, offset = compact.read_varint(frame, offset, 32)
            out += pack_i32(TType.I32, last_id, unsigned >> 1 ^ -(unsigned & 1))
        elif not type_id:
            append(0)
            return offset
        else:
            binary_type = BINARY_TYPES.get(type_id)
            if binary_type is None:
                raise MalformedMessage(f"type {type_id} is not known")
            append(binary_type)
            out += binary.I16.pack(last_id)
            if type_id <= compact.FALSE:
                append(type_id == compact.TRUE)
            else:
                offset = _to_binary(frame, offset, type_id, out, depth)


def _to_binary(frame: bytes, offset: int, type_id: int, out: bytearray, depth: int) -> int:
    if type_id == compact.BINARY:
        begin, end = compact.string_bounds(frame, offset)
        out += binary.U32.pack(end - begin)
        out += frame[begin:end]
        return end
    bits = compact.INTEGER_BITS.get(type_id)
    if bits is not None:
        unsigned, offset = compact.read_varint(frame, offset, bits)
        out += INTEGER_PACKERS[type_id]((unsigned >> 1) ^ -(unsigned & 1))
        return offset
    if type_id <= compact.FALSE:
        if offset >= len(frame):
            raise MalformedMessage("a value that ends past its frame")
        if frame[offset] > 2:
            raise MalformedMessage("a bool that is neither true nor false")
        out.append(frame[offset] == compact.TRUE)
        return offset + 1
    fixed = compact.FIXED_SIZES.get(type_id)
    if fixed is not None:
        end = offset + fixed
        if end > len(frame):
            raise MalformedMessage("a value that ends past its frame")
        out += frame[offset:end][::-1] if type_id == compact.DOUBLE else frame[offset:end]
        return end
    if depth >= MAX_DEPTH:
        raise MalformedMessage(f"more than {MAX_DEPTH} levels within each other")
    if type_id == compact.STRUCT:
        return _struct_to_binary(frame, offset, out, depth + 1)
    if type_id == compact.MAP:
        return _map_to_binary(frame, offset, out, depth + 1)
    if type_id in (compact.LIST, compact.SET):
        return _list_to_binary(frame, offset, out, depth + 1)
    raise MalformedMessage(f"type {type_id} is not known")


def _list_to_binary(frame: bytes, offset: int, out: bytearray, depth: int) -> int:
    element, count, offset = compact.list_header(frame, offset)
    out += TYPE_BYTES[BINARY_TYPES.get(element, 0)]
    out += binary.U32.pack(count)
    if element == compact.BYTE:
        out += frame[offset : offset + count]
        return offset + count
    for _ in range(count):
        offset = _to_binary(frame, offset, element, out, depth)
    return offset


def _map_to_binary(frame: bytes, offset: int, out: bytearray, depth: int) -> int:
    key, value, count, offset = compact.map_header(frame, offset)
    out += TYPE_BYTES[BINARY_TYPES.get(key, 0)] + TYPE_BYTES[BINARY_TYPES.get(value, 0)]
    out += binary.U32.pack(count)
    for _ in range(count):
        offset = _to_binary(frame, offset, key, out, depth)
        offset = _to_binary(frame, offset, value, out, depth)
    return offset
