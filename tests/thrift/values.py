"""Random Thrift values, and how Apache's own library writes them: the measure for the codec of this repository."""

from __future__ import annotations

from typing import Any
from uuid import UUID

from hypothesis import strategies as st
from thrift.protocol.TBinaryProtocol import TBinaryProtocol
from thrift.protocol.TCompactProtocol import TCompactProtocol
from thrift.transport.TTransport import TMemoryBuffer

from eiderhub.protocols.thrift.definitions import Encoding, TType

PROTOCOLS = {Encoding.BINARY: TBinaryProtocol, Encoding.COMPACT: TCompactProtocol}
Value = tuple[int, Any]  # a type, and a value of it


def integers(bits: int) -> st.SearchStrategy[int]:
    return st.integers(-(1 << bits - 1), (1 << bits - 1) - 1)


SCALARS: dict[int, st.SearchStrategy[Any]] = {
    TType.BOOL: st.booleans(),
    TType.BYTE: integers(8),
    TType.I16: integers(16),
    TType.I32: integers(32),
    TType.I64: integers(64),
    TType.DOUBLE: st.floats(),
    TType.STRING: st.binary(max_size=40),
    TType.UUID: st.uuids(),
}


def struct_of(inner: st.SearchStrategy[Value]) -> st.SearchStrategy[Value]:
    fields = st.dictionaries(st.integers(1, 0x7FFF) | st.integers(1, 40), inner, max_size=6)
    return fields.map(lambda f: (TType.STRUCT, list(f.items())))


def container_of(inner: st.SearchStrategy[Value]) -> st.SearchStrategy[Value]:
    """A list or set; its elements are of the first one's type, several copies of one or scalars drawn anew."""

    def filled(first: Value) -> st.SearchStrategy[Value]:
        one = SCALARS[first[0]] if first[0] in SCALARS else st.just(first[1])
        return st.tuples(
            st.sampled_from((TType.LIST, TType.SET)), st.tuples(st.just(first[0]), st.lists(one, max_size=20))
        )

    return inner.flatmap(filled)


def map_of(inner: st.SearchStrategy[Value]) -> st.SearchStrategy[Value]:
    def filled(both: tuple[Value, Value]) -> st.SearchStrategy[Value]:
        key, value = both
        keys = SCALARS[key[0]] if key[0] in SCALARS else st.just(key[1])
        values = SCALARS[value[0]] if value[0] in SCALARS else st.just(value[1])
        rows = st.lists(st.tuples(keys, values), max_size=5)
        return st.tuples(st.just(TType.MAP), st.tuples(st.just(key[0]), st.just(value[0]), rows))

    return st.tuples(inner, inner).flatmap(filled)


scalars: st.SearchStrategy[Value] = st.sampled_from(sorted(SCALARS)).flatmap(
    lambda kind: st.tuples(st.just(kind), SCALARS[kind])
)
values = st.recursive(scalars, lambda inner: struct_of(inner) | container_of(inner) | map_of(inner), max_leaves=12)
structs = struct_of(values)


def write(protocol: Any, kind: int, value: Any) -> None:
    simple = {
        TType.BOOL: "writeBool", TType.BYTE: "writeByte", TType.I16: "writeI16", TType.I32: "writeI32",
        TType.I64: "writeI64", TType.DOUBLE: "writeDouble", TType.STRING: "writeBinary", TType.UUID: "writeUuid",
    }  # fmt: skip
    if kind in simple:
        getattr(protocol, simple[kind])(value)
    elif kind == TType.STRUCT:
        protocol.writeStructBegin("s")
        for number, (inner, one) in value:
            protocol.writeFieldBegin("f", inner, number)
            write(protocol, inner, one)
            protocol.writeFieldEnd()
        protocol.writeFieldStop()
        protocol.writeStructEnd()
    elif kind == TType.MAP:
        key, inner, rows = value
        protocol.writeMapBegin(key, inner, len(rows))
        for left, right in rows:
            write(protocol, key, left)
            write(protocol, inner, right)
        protocol.writeMapEnd()
    else:
        element, rows = value
        begin, end = ("writeListBegin", "writeListEnd") if kind == TType.LIST else ("writeSetBegin", "writeSetEnd")
        getattr(protocol, begin)(element, len(rows))
        for one in rows:
            write(protocol, element, one)
        getattr(protocol, end)()


def apache(encoding: Encoding, struct: Value, name: str = "ask", seqid: int = 7, kind: int = 1) -> bytes:
    """The message as Apache's library writes it."""
    buffer = TMemoryBuffer()
    protocol = PROTOCOLS[encoding](buffer)
    protocol.writeMessageBegin(name, kind, seqid)
    write(protocol, *struct)
    protocol.writeMessageEnd()
    return bytes(buffer.getvalue())


def without_types_of_empty_maps(kind: int, value: Any) -> Any:
    """What compact can say: an empty map has no types there."""
    if kind == TType.STRUCT:
        return [(n, (k, without_types_of_empty_maps(k, v))) for n, (k, v) in value]
    if kind == TType.MAP:
        key, inner, rows = value
        if not rows:
            return 0, 0, []
        return (
            key,
            inner,
            [(without_types_of_empty_maps(key, a), without_types_of_empty_maps(inner, b)) for a, b in rows],
        )
    if kind in (TType.LIST, TType.SET):
        return value[0], [without_types_of_empty_maps(value[0], one) for one in value[1]]
    return value


SAMPLE_UUID = UUID("00112233-4455-6677-8899-aabbccddeeff")
