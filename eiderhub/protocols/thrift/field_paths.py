"""Reads single fields of a call by their path, without IDL: `1.3` is field 3 of argument 1.

A field that occurs twice in one struct is ambiguous: some servers keep the first one, others the last. Therefore the
structs along a path are read to their end, and a message with a repeated field on a path is malformed.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from eiderhub.protocols.thrift import binary, compact
from eiderhub.protocols.thrift.definitions import Encoding, MalformedMessage, MessageHeader, TType

MAX_PATH_LENGTH = 8  # field ids
Value = int | float | bool | bytes


@dataclass(slots=True)
class PathTree:
    """Paths by their common prefixes. A node lists what to read from one struct, by field id."""

    names: dict[int, str] = field(default_factory=dict)  # names of the values at the end of a path
    children: dict[int, PathTree] = field(default_factory=dict)


def parse_path(path: str) -> tuple[int, ...]:
    """Return the field ids of a path such as "1.3". Raises ValueError if it is invalid."""
    parts = path.split(".")
    if len(parts) > MAX_PATH_LENGTH:
        raise ValueError(f"{path}: more than {MAX_PATH_LENGTH} fields deep")
    ids = []
    for part in parts:
        digits = part.removeprefix("-")
        if not digits.isascii() or not digits.isdigit() or not -0x8000 <= int(part) <= 0x7FFF:
            raise ValueError(f"{path}: a path consists of field ids separated by dots, such as 1.3")
        ids.append(int(part))
    return tuple(ids)


def build_tree(paths: Iterable[tuple[str, tuple[int, ...]]]) -> PathTree:
    """Build a tree from names and paths. Raises ValueError if two paths are the same or one is a prefix of another."""
    root = PathTree()
    for name, ids in paths:
        node = root
        for field_id in ids[:-1]:
            if field_id in node.names:
                raise ValueError(f"{name}: field {field_id} is read as a value by {node.names[field_id]}")
            node = node.children.setdefault(field_id, PathTree())
        last_id = ids[-1]
        if last_id in node.children or last_id in node.names:
            raise ValueError(f"{name}: another path reads the same field")
        node.names[last_id] = name
    return root


def read_values(message: bytes, header: MessageHeader, wanted: PathTree) -> dict[str, Value]:
    """Return the values at the wanted paths, by name, without those that are absent.

    One listener serves methods with different arguments: a value is also absent if its path leads through a field that
    is not a struct, or ends at a struct or container. Raises MalformedMessage if the message can't be parsed or a field
    on a path occurs twice.
    """
    found: dict[str, Value] = {}
    walk = _walk_binary if header.encoding is Encoding.BINARY else _walk_compact
    walk(message, header.body_start, wanted, found)
    return found


def _walk_binary(message: bytes, offset: int, wanted: PathTree, found: dict[str, Value]) -> int:
    seen: set[int] = set()
    skip = binary.skip
    while True:
        type_id, field_id, offset = binary.field_header(message, offset)
        if not type_id:
            return offset
        name = wanted.names.get(field_id)
        if name is not None:
            _check_unique(field_id, seen)
            value, offset = _binary_value(message, offset, type_id)
            if value is not None:
                found[name] = value
        elif field_id in wanted.children and type_id == TType.STRUCT:
            _check_unique(field_id, seen)
            offset = _walk_binary(message, offset, wanted.children[field_id], found)
        else:
            offset = skip(message, offset, type_id, 1)


def _walk_compact(message: bytes, offset: int, wanted: PathTree, found: dict[str, Value]) -> int:
    seen: set[int] = set()
    field_id = 0
    while True:
        type_id, field_id, offset = compact.field_header(message, offset, field_id)
        if not type_id:
            return offset
        name = wanted.names.get(field_id)
        if name is not None:
            _check_unique(field_id, seen)
            value, offset = _compact_value(message, offset, type_id)
            if value is not None:
                found[name] = value
        elif field_id in wanted.children and type_id == compact.STRUCT:
            _check_unique(field_id, seen)
            offset = _walk_compact(message, offset, wanted.children[field_id], found)
        elif type_id > compact.FALSE:
            offset = compact.skip(message, offset, type_id, 1)


def _check_unique(field_id: int, seen: set[int]) -> None:
    """Record a field of a struct. Raises MalformedMessage if the struct had it before."""
    if field_id in seen:
        raise MalformedMessage(f"field {field_id} stands twice in one struct")
    seen.add(field_id)


INTEGER_READERS: dict[int, Callable[[bytes, int], tuple[int]]] = {
    TType.I16: binary.I16.unpack_from,
    TType.I32: binary.I32.unpack_from,
    TType.I64: binary.I64.unpack_from,
}


def _binary_value(message: bytes, offset: int, type_id: int) -> tuple[Value | None, int]:
    """Return the value, None if it is a struct or container, and the offset after it."""
    end = binary.skip(message, offset, type_id, 1)
    if type_id == TType.STRING:
        begin, end = binary.string_bounds(message, offset)
        return message[begin:end], end
    if type_id in INTEGER_READERS:
        return INTEGER_READERS[type_id](message, offset)[0], end
    if type_id == TType.BOOL:
        return message[offset] != 0, end
    if type_id == TType.BYTE:
        return message[offset] - 256 if message[offset] > 127 else message[offset], end
    if type_id == TType.DOUBLE:
        return float(binary.DOUBLE.unpack_from(message, offset)[0]), end
    return None, end


def _compact_value(message: bytes, offset: int, type_id: int) -> tuple[Value | None, int]:
    """Return the value, None if it is a struct or container, and the offset after it."""
    if type_id <= compact.FALSE:
        return type_id == compact.TRUE, offset
    if type_id == compact.BINARY:
        begin, end = compact.string_bounds(message, offset)
        return message[begin:end], end
    if bits := compact.INTEGER_BITS.get(type_id):
        unsigned, end = compact.read_varint(message, offset, bits)
        return compact.decode_zigzag(unsigned), end
    end = compact.skip(message, offset, type_id, 1)
    if type_id == compact.BYTE:
        return message[offset] - 256 if message[offset] > 127 else message[offset], end
    if type_id == compact.DOUBLE:
        return float(compact.LITTLE_ENDIAN_DOUBLE.unpack_from(message, offset)[0]), end
    return None, end
