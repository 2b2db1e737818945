"""Turns a message from one encoding into the other, without IDL and without loss.

Every value keeps its bits: doubles change their order of bytes alone, so a NaN keeps its payload. What one encoding
cannot say the other never said: an empty map has no types in compact, and gets the types 0 in binary, which libraries
read as an empty map of any types.
"""

from __future__ import annotations

from collections.abc import Callable
from struct import Struct
from struct import error as struct_error

from eiderhub.protocols.thrift import binary, compact
from eiderhub.protocols.thrift.definitions import MAX_DEPTH, Encoding, MalformedMessage, MessageHeader, TType

TO_COMPACT: dict[int, int] = {
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
TO_BINARY: dict[int, int] = {theirs: ours for ours, theirs in TO_COMPACT.items()} | {compact.FALSE: TType.BOOL}
# By type: how many bytes a number has, and how it is read; and fields of the most common types, header and value.
NUMBERS: dict[int, tuple[int, Callable[[bytes, int], tuple[int]]]] = {
    TType.I16: (2, binary.I16.unpack_from),
    TType.I32: (4, binary.I32.unpack_from),
    TType.I64: (8, binary.I64.unpack_from),
}
I32_FIELD, I64_FIELD, STRING_FIELD = Struct(">Bhi"), Struct(">Bhq"), Struct(">BhI")
PACKERS: dict[int, Callable[[int], bytes]] = {
    compact.I16: binary.I16.pack,
    compact.I32: binary.I32.pack,
    compact.I64: binary.I64.pack,
}
HEADS: dict[int, bytes] = {kind: bytes((kind,)) for kind in range(17)}


def convert(message: bytes, header: MessageHeader, to: Encoding, seqid: int) -> bytes:
    """The whole message in the other encoding, or in its own, with this sequence id.

    Raises Malformed where it can't be walked, or has bytes behind its end, which have no place in the other encoding.
    """
    if header.encoding is to:
        return with_seqid(message, header, seqid)
    try:
        if to is Encoding.COMPACT:
            out = bytearray(compact.write_header(header.message_type, header.name, seqid))
            end = _struct_to_compact(message, header.body_at, out, 1)
        else:
            out = bytearray(binary.write_header(header.message_type, header.name, seqid))
            end = _struct_to_binary(message, header.body_at, out, 1)
    except (IndexError, struct_error) as error:  # read past the end; strings are held against it
        raise MalformedMessage("a value that ends past its frame") from error
    if end != len(message):
        raise MalformedMessage("bytes behind the message's end")
    return bytes(out)


def with_seqid(message: bytes, header: MessageHeader, seqid: int) -> bytes:
    """The same message, byte for byte, but for its sequence id."""
    if seqid == header.seqid:
        return message
    write = binary.write_seqid if header.encoding is Encoding.BINARY else compact.write_seqid
    return message[: header.seqid_at] + write(seqid) + message[header.seqid_end :]


# --- binary to compact ---


def _struct_to_compact(frame: bytes, at: int, out: bytearray, depth: int) -> int:
    """Long on purpose: it meets each field of each message, and a call for each would double what a field costs."""
    last = 0
    size = len(frame)
    append, read_i32, read_i64 = out.append, I32_FIELD.unpack_from, I64_FIELD.unpack_from
    read_string = STRING_FIELD.unpack_from
    while True:
        kind = frame[at]
        if not kind:
            append(0)
            return at + 1
        if kind == TType.STRING:
            _, number, length = read_string(frame, at)
            at += 7
            end = at + length
            if end > size:
                raise MalformedMessage("a string that ends past its frame")
            last = _header(number, last, compact.BINARY, out)
            if length < 0x80:
                append(length)
            else:
                out += compact.put_varint(length)
            out += frame[at:end]
            at = end
            continue
        if kind == TType.I32 or kind == TType.I64:
            if kind == TType.I32:
                _, number, value = read_i32(frame, at)
                at += 7
            else:
                _, number, value = read_i64(frame, at)
                at += 11
            last = _header(number, last, compact.I32 if kind == TType.I32 else compact.I64, out)
            unsigned = value << 1 ^ value >> 63
            if unsigned < 0x80:
                append(unsigned)
            else:
                out += compact.put_varint(unsigned)
            continue
        (number,) = binary.I16.unpack_from(frame, at + 1)
        at += 3
        if kind == TType.BOOL:
            last = _header(number, last, _flag(frame, at), out)
            at += 1
            continue
        theirs = TO_COMPACT.get(kind, 0)
        if not theirs:
            raise MalformedMessage(f"type {kind} is not known")
        last = _header(number, last, theirs, out)
        at = _to_compact(frame, at, kind, out, depth)


def _header(number: int, last: int, theirs: int, out: bytearray) -> int:
    """A field's header: its id as a step from the last one's, where it is a small one. The id, for the next."""
    step = number - last
    if 0 < step < 16:
        out.append(step << 4 | theirs)
    else:
        out.append(theirs)
        out += compact.put_zigzag(number)
    return number


def _flag(frame: bytes, at: int) -> int:
    """How a bool is told in compact, as a field's type and as an element alike."""
    if frame[at] > 1:
        raise MalformedMessage("a bool that is neither 0 nor 1")
    return compact.TRUE if frame[at] else compact.FALSE


def _to_compact(frame: bytes, at: int, kind: int, out: bytearray, depth: int) -> int:
    if kind == TType.STRING:
        begin, end = binary.string_end(frame, at)
        out += compact.put_varint(end - begin)
        out += frame[begin:end]
        return end
    number = NUMBERS.get(kind)
    if number is not None:
        end = at + number[0]
        if end > len(frame):
            raise MalformedMessage("a value that ends past its frame")
        value = number[1](frame, at)[0]
        unsigned = value << 1 if value >= 0 else (-value << 1) - 1
        if unsigned < 0x80:
            out.append(unsigned)
        else:
            out += compact.put_varint(unsigned)
        return end
    if kind == TType.BOOL:
        out.append(_flag(frame, at))
        return at + 1
    fixed = binary.FIXED.get(kind)
    if fixed is not None:
        end = at + fixed
        if end > len(frame):
            raise MalformedMessage("a value that ends past its frame")
        out += frame[at:end][::-1] if kind == TType.DOUBLE else frame[at:end]
        return end
    if depth >= MAX_DEPTH:
        raise MalformedMessage(f"more than {MAX_DEPTH} levels within each other")
    if kind == TType.STRUCT:
        return _struct_to_compact(frame, at, out, depth + 1)
    if kind == TType.MAP:
        return _map_to_compact(frame, at, out, depth + 1)
    if kind in (TType.LIST, TType.SET):
        return _list_to_compact(frame, at, out, depth + 1)
    raise MalformedMessage(f"type {kind} is not known")


def _list_to_compact(frame: bytes, at: int, out: bytearray, depth: int) -> int:
    element, count, at = binary.container(frame, at)
    theirs = TO_COMPACT.get(element, 0)
    if count < 15:
        out.append(count << 4 | theirs)
    else:
        out.append(0xF0 | theirs)
        out += compact.put_varint(count)
    if element == TType.BYTE:
        out += frame[at : at + count]
        return at + count
    for _ in range(count):
        at = _to_compact(frame, at, element, out, depth)
    return at


def _map_to_compact(frame: bytes, at: int, out: bytearray, depth: int) -> int:
    key, value, count, at = binary.pairs(frame, at)
    out += compact.put_varint(count)
    if count:
        out.append(TO_COMPACT[key] << 4 | TO_COMPACT[value])
    for _ in range(count):
        at = _to_compact(frame, at, key, out, depth)
        at = _to_compact(frame, at, value, out, depth)
    return at


# --- compact to binary ---


def _struct_to_binary(frame: bytes, at: int, out: bytearray, depth: int) -> int:
    """Long on purpose, as its counterpart is."""
    last = 0
    size = len(frame)
    append, pack_i32, pack_string = out.append, I32_FIELD.pack, STRING_FIELD.pack
    while True:
        byte = frame[at]
        kind, step = byte & 0x0F, byte >> 4
        if step and kind:
            at += 1
            last += step
            if last > 0x7FFF:
                raise MalformedMessage("a field id of more than 16 bits")
        else:
            kind, last, at = compact.field(frame, at, last)
        if kind == compact.BINARY:
            length = frame[at]
            if length < 0x80:
                at += 1
            else:
                length, at = compact.varint(frame, at, 32)
            end = at + length
            if end > size:
                raise MalformedMessage("a string that ends past its frame")
            out += pack_string(TType.STRING, last, length)
            out += frame[at:end]
            at = end
        elif kind == compact.I32:
            unsigned = frame[at]
            if unsigned < 0x80:
                at += 1
            else:
                unsigned, at = compact.varint(frame, at, 32)
            out += pack_i32(TType.I32, last, unsigned >> 1 ^ -(unsigned & 1))
        elif not kind:
            append(0)
            return at
        else:
            ours = TO_BINARY.get(kind)
            if ours is None:
                raise MalformedMessage(f"type {kind} is not known")
            append(ours)
            out += binary.I16.pack(last)
            if kind <= compact.FALSE:
                append(kind == compact.TRUE)
            else:
                at = _to_binary(frame, at, kind, out, depth)


def _to_binary(frame: bytes, at: int, kind: int, out: bytearray, depth: int) -> int:
    if kind == compact.BINARY:
        begin, end = compact.string_end(frame, at)
        out += binary.U32.pack(end - begin)
        out += frame[begin:end]
        return end
    bits = compact.VARINTS.get(kind)
    if bits is not None:
        unsigned, at = compact.varint(frame, at, bits)
        out += PACKERS[kind]((unsigned >> 1) ^ -(unsigned & 1))
        return at
    if kind <= compact.FALSE:
        if at >= len(frame):
            raise MalformedMessage("a value that ends past its frame")
        if frame[at] > 2:
            raise MalformedMessage("a bool that is neither true nor false")
        out.append(frame[at] == compact.TRUE)
        return at + 1
    fixed = compact.FIXED.get(kind)
    if fixed is not None:
        end = at + fixed
        if end > len(frame):
            raise MalformedMessage("a value that ends past its frame")
        out += frame[at:end][::-1] if kind == compact.DOUBLE else frame[at:end]
        return end
    if depth >= MAX_DEPTH:
        raise MalformedMessage(f"more than {MAX_DEPTH} levels within each other")
    if kind == compact.STRUCT:
        return _struct_to_binary(frame, at, out, depth + 1)
    if kind == compact.MAP:
        return _map_to_binary(frame, at, out, depth + 1)
    if kind in (compact.LIST, compact.SET):
        return _list_to_binary(frame, at, out, depth + 1)
    raise MalformedMessage(f"type {kind} is not known")


def _list_to_binary(frame: bytes, at: int, out: bytearray, depth: int) -> int:
    element, count, at = compact.container(frame, at)
    out += HEADS[TO_BINARY.get(element, 0)]
    out += binary.U32.pack(count)
    if element == compact.BYTE:
        out += frame[at : at + count]
        return at + count
    for _ in range(count):
        at = _to_binary(frame, at, element, out, depth)
    return at


def _map_to_binary(frame: bytes, at: int, out: bytearray, depth: int) -> int:
    key, value, count, at = compact.pairs(frame, at)
    out += HEADS[TO_BINARY.get(key, 0)] + HEADS[TO_BINARY.get(value, 0)]
    out += binary.U32.pack(count)
    for _ in range(count):
        at = _to_binary(frame, at, key, out, depth)
        at = _to_binary(frame, at, value, out, depth)
    return at
