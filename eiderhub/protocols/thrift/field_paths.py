"""Reads single fields of a call by their path, without IDL: `1.3` is field 3 of argument 1.

Danger: a field that stands twice in one struct is two readings of one request. Servers keep the last one, or the first;
so the structs on the way to a path are walked to their end, and a second one refuses the message.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from eiderhub.protocols.thrift import binary, compact
from eiderhub.protocols.thrift.definitions import Encoding, MalformedMessage, MessageHeader, TType

MAX_PATH = 8  # fields on the way of one path
Value = int | float | bool | bytes


@dataclass(slots=True)
class Tree:
    """Paths that begin alike share their way: what is read at a struct, by field id."""

    leaves: dict[int, str] = field(default_factory=dict)  # to the name under which the value is told
    below: dict[int, Tree] = field(default_factory=dict)


def parse(path: str) -> tuple[int, ...]:
    """The ids of a path. Raises ValueError, with what is wrong, where it is none."""
    parts = path.split(".")
    if len(parts) > MAX_PATH:
        raise ValueError(f"{path}: more than {MAX_PATH} fields deep")
    ids = []
    for part in parts:
        digits = part.removeprefix("-")
        if not digits.isascii() or not digits.isdigit() or not -0x8000 <= int(part) <= 0x7FFF:
            raise ValueError(f"{path}: a path is field ids with dots between them, as in 1.3")
        ids.append(int(part))
    return tuple(ids)


def tree(paths: Iterable[tuple[str, tuple[int, ...]]]) -> Tree:
    """All paths in one tree, each under its name. Raises ValueError where one path goes on through another's value."""
    root = Tree()
    for name, ids in paths:
        here = root
        for step in ids[:-1]:
            if step in here.leaves:
                raise ValueError(f"{name}: field {step} is read as a value by {here.leaves[step]}")
            here = here.below.setdefault(step, Tree())
        last = ids[-1]
        if last in here.below or last in here.leaves:
            raise ValueError(f"{name}: another path reads the same field")
        here.leaves[last] = name
    return root


def read(message: bytes, header: MessageHeader, wanted: Tree) -> dict[str, Value]:
    """The values at the wanted paths, by name; those that are absent are left out.

    One port serves methods whose arguments differ: a path that leads through what is no struct in this one, or ends at
    what is no single value, is absent from it. Raises Malformed where the message can't be walked, or a field on a path
    stands twice.
    """
    found: dict[str, Value] = {}
    walk = _walk_binary if header.encoding is Encoding.BINARY else _walk_compact
    walk(message, header.body_at, wanted, found)
    return found


def _walk_binary(message: bytes, at: int, wanted: Tree, found: dict[str, Value]) -> int:
    seen: set[int] = set()
    skip = binary.skip
    while True:
        kind, number, at = binary.field(message, at)
        if not kind:
            return at
        name = wanted.leaves.get(number)
        if name is not None:
            _once(number, seen)
            value, at = _binary_value(message, at, kind)
            if value is not None:
                found[name] = value
        elif number in wanted.below and kind == TType.STRUCT:
            _once(number, seen)
            at = _walk_binary(message, at, wanted.below[number], found)
        else:
            at = skip(message, at, kind, 1)


def _walk_compact(message: bytes, at: int, wanted: Tree, found: dict[str, Value]) -> int:
    seen: set[int] = set()
    last = 0
    while True:
        kind, last, at = compact.field(message, at, last)
        if not kind:
            return at
        name = wanted.leaves.get(last)
        if name is not None:
            _once(last, seen)
            value, at = _compact_value(message, at, kind)
            if value is not None:
                found[name] = value
        elif last in wanted.below and kind == compact.STRUCT:
            _once(last, seen)
            at = _walk_compact(message, at, wanted.below[last], found)
        elif kind > compact.FALSE:
            at = compact.skip(message, at, kind, 1)


def _once(number: int, seen: set[int]) -> None:
    if number in seen:
        raise MalformedMessage(f"field {number} stands twice in one struct")
    seen.add(number)


INTEGERS: dict[int, Callable[[bytes, int], tuple[int]]] = {
    TType.I16: binary.I16.unpack_from,
    TType.I32: binary.I32.unpack_from,
    TType.I64: binary.I64.unpack_from,
}


def _binary_value(message: bytes, at: int, kind: int) -> tuple[Value | None, int]:
    """The value and where it ends; None where it is no single one."""
    end = binary.skip(message, at, kind, 1)
    if kind == TType.STRING:
        begin, end = binary.string_end(message, at)
        return message[begin:end], end
    if kind in INTEGERS:
        return INTEGERS[kind](message, at)[0], end
    if kind == TType.BOOL:
        return message[at] != 0, end
    if kind == TType.BYTE:
        return message[at] - 256 if message[at] > 127 else message[at], end
    if kind == TType.DOUBLE:
        return float(binary.DOUBLE.unpack_from(message, at)[0]), end
    return None, end


def _compact_value(message: bytes, at: int, kind: int) -> tuple[Value | None, int]:
    """The value and where it ends; None where it is no single one."""
    if kind <= compact.FALSE:
        return kind == compact.TRUE, at
    if kind == compact.BINARY:
        begin, end = compact.string_end(message, at)
        return message[begin:end], end
    if bits := compact.VARINTS.get(kind):
        unsigned, end = compact.varint(message, at, bits)
        return compact.zigzag(unsigned), end
    end = compact.skip(message, at, kind, 1)
    if kind == compact.BYTE:
        return message[at] - 256 if message[at] > 127 else message[at], end
    if kind == compact.DOUBLE:
        return float(compact.LITTLE.unpack_from(message, at)[0]), end
    return None, end
