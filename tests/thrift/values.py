"""Random Thrift values, and their encoding by the Apache library, as the reference for the codec."""

from __future__ import annotations

from typing import Any
from uuid import UUID

from hypothesis import strategies as st
from thrift.protocol.TBinaryProtocol import TBinaryProtocol
from thrift.protocol.TCompactProtocol import TCompactProtocol
from thrift.transport.TTransport import TMemoryBuffer

from eiderhub.protocols.thrift.definitions import Encoding, TType

PROTOCOLS = {Encoding.BINARY: TBinaryProtocol, Encoding.COMPACT: TCompactProtocol}
Value = tuple[int, Any]  # a type id and a value of that type


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
    """Lists and sets. Their elements have the type of the first: random scalars, or the same container repeated."""

    def build(first: Value) -> st.SearchStrategy[Value]:
        item = SCALARS[first[0]] if first[0] in SCALARS else st.just(first[1])
        return st.tuples(
            st.sampled_from((TType.LIST, TType.SET)), st.tuples(st.just(first[0]), st.lists(item, max_size=20))
        )

    return inner.flatmap(build)


def map_of(inner: st.SearchStrategy[Value]) -> st.SearchStrategy[Value]:
    def build(key_and_value: tuple[Value, Value]) -> st.SearchStrategy[Value]:
        key, value = key_and_value
        keys = SCALARS[key[0]] if key[0] in SCALARS else st.just(key[1])
        values = SCALARS[value[0]] if value[0] in SCALARS else st.just(value[1])
        rows = st.lists(st.tuples(keys, values), max_size=5)
        return st.tuples(st.just(TType.MAP), st.tuples(st.just(key[0]), st.just(value[0]), rows))

    return st.tuples(inner, inner).flatmap(build)


scalars: st.SearchStrategy[Value] = st.sampled_from(sorted(SCALARS)).flatmap(
    lambda type_id: st.tuples(st.just(type_id), SCALARS[type_id])
)
values = st.recursive(scalars, lambda inner: struct_of(inner) | container_of(inner) | map_of(inner), max_leaves=12)
structs = struct_of(values)


def encode_value(protocol: Any, type_id: int, value: Any) -> None:
    simple = {
        TType.BOOL: "writeBool", TType.BYTE: "writeByte", TType.I16: "writeI16", TType.I32: "writeI32",
        TType.I64: "writeI64", TType.DOUBLE: "writeDouble", TType.STRING: "writeBinary", TType.UUID: "writeUuid",
    }  # fmt: skip
    if type_id in simple:
        getattr(protocol, simple[type_id])(value)
    elif type_id == TType.STRUCT:
        protocol.writeStructBegin("s")
        for field_id, (inner, item) in value:
            protocol.writeFieldBegin("f", inner, field_id)
            encode_value(protocol, inner, item)
            protocol.writeFieldEnd()
        protocol.writeFieldStop()
        protocol.writeStructEnd()
    elif type_id == TType.MAP:
        key, inner, rows = value
        protocol.writeMapBegin(key, inner, len(rows))
        for map_key, map_value in rows:
            encode_value(protocol, key, map_key)
            encode_value(protocol, inner, map_value)
        protocol.writeMapEnd()
    else:
        element, rows = value
        begin, end = ("writeListBegin", "writeListEnd") if type_id == TType.LIST else ("writeSetBegin", "writeSetEnd")
        getattr(protocol, begin)(element, len(rows))
        for item in rows:
            encode_value(protocol, element, item)
        getattr(protocol, end)()


def encode_with_apache(
    encoding: Encoding, struct: Value, name: str = "ask", seqid: int = 7, message_type: int = 1
) -> bytes:
    """Return a message as the Apache library encodes it."""
    buffer = TMemoryBuffer()
    protocol = PROTOCOLS[encoding](buffer)
    protocol.writeMessageBegin(name, message_type, seqid)
    encode_value(protocol, *struct)
    protocol.writeMessageEnd()
    return bytes(buffer.getvalue())


def drop_empty_map_types(type_id: int, value: Any) -> Any:
    """Return a value without the key and value types of empty maps, which the compact encoding can't represent."""
    if type_id == TType.STRUCT:
        return [(n, (k, drop_empty_map_types(k, v))) for n, (k, v) in value]
    if type_id == TType.MAP:
        key, inner, rows = value
        if not rows:
            return 0, 0, []
        return (
            key,
            inner,
            [(drop_empty_map_types(key, a), drop_empty_map_types(inner, b)) for a, b in rows],
        )
    if type_id in (TType.LIST, TType.SET):
        return value[0], [drop_empty_map_types(value[0], item) for item in value[1]]
    return value


SAMPLE_UUID = UUID("00112233-4455-6677-8899-aabbccddeeff")
