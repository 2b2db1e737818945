"""The codec compared with the Apache library, and on malformed input."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from eiderhub.protocols.thrift import binary, compact, field_paths, messages
from eiderhub.protocols.thrift.convert import convert, with_seqid
from eiderhub.protocols.thrift.definitions import (
    MAX_DEPTH,
    Encoding,
    MalformedMessage,
    MessageHeader,
    MessageType,
    TType,
)
from eiderhub.protocols.thrift.framing import FrameReader, framed
from tests.thrift.values import Value, drop_empty_map_types, encode_with_apache, integers, structs

ENCODINGS = (Encoding.BINARY, Encoding.COMPACT)
SKIP_STRUCT = {Encoding.BINARY: binary.skip_struct, Encoding.COMPACT: compact.skip_struct}


def parse_header(message: bytes, encoding: Encoding) -> MessageHeader:
    assert messages.detect_encoding(message) is encoding
    return messages.read_header(message, encoding)


@given(structs, st.text("abcdefgh:", min_size=1, max_size=30), integers(32), st.sampled_from(list(MessageType)))
def test_converted_messages_equal_those_of_the_apache_library(
    struct: Value, name: str, seqid: int, message_type: MessageType
) -> None:
    comparable = (TType.STRUCT, drop_empty_map_types(*struct))
    binary_message = encode_with_apache(Encoding.BINARY, struct, name, seqid, message_type)
    compact_message = encode_with_apache(Encoding.COMPACT, struct, name, seqid, message_type)
    assert (
        convert(binary_message, parse_header(binary_message, Encoding.BINARY), Encoding.COMPACT, seqid)
        == compact_message
    )
    assert convert(
        compact_message, parse_header(compact_message, Encoding.COMPACT), Encoding.BINARY, seqid
    ) == encode_with_apache(Encoding.BINARY, comparable, name, seqid, message_type)


@given(structs, integers(32), integers(32), st.sampled_from(ENCODINGS))
def test_headers_are_parsed_and_another_seqid_changes_nothing_else(
    struct: Value, seqid: int, other: int, encoding: Encoding
) -> None:
    message = encode_with_apache(encoding, struct, "Service:ask", seqid)
    found = parse_header(message, encoding)
    assert (found.message_type, found.name, found.seqid) == (MessageType.CALL, b"Service:ask", seqid)
    assert SKIP_STRUCT[encoding](message, found.body_start) == len(message)
    assert with_seqid(message, found, other) == encode_with_apache(encoding, struct, "Service:ask", other)


@given(structs, st.sampled_from(ENCODINGS), st.data())
def test_a_path_reads_the_encoded_value(struct: Value, encoding: Encoding, data: st.DataObject) -> None:
    field, key = data.draw(integers(64)), data.draw(st.binary(max_size=20))
    call: Value = (
        TType.STRUCT,
        [
            (1, (TType.STRUCT, [(3, (TType.I64, field)), (300, (TType.STRING, key)), (7, (TType.BOOL, True))])),
            (2, struct),
        ],
    )
    message = encode_with_apache(encoding, call)
    wanted = field_paths.build_tree([(p, field_paths.parse_path(p)) for p in ("1.3", "1.300", "1.7", "1.8", "9.1")])
    found = field_paths.read_values(message, parse_header(message, encoding), wanted)
    assert found == {"1.3": field, "1.300": key, "1.7": True}


@pytest.mark.parametrize("encoding", ENCODINGS)
@pytest.mark.parametrize(
    ("fields", "reason"),
    [
        ([(1, (TType.STRUCT, [(3, (TType.I32, 1)), (3, (TType.I32, 2))]))], "field 3 stands twice"),
        ([(1, (TType.STRUCT, [])), (1, (TType.STRUCT, [(3, (TType.I32, 2))]))], "field 1 stands twice"),
    ],
)
def test_a_repeated_field_on_a_path_is_malformed(
    encoding: Encoding, fields: list[tuple[int, Value]], reason: str
) -> None:
    message = encode_with_apache(encoding, (TType.STRUCT, fields))
    with pytest.raises(MalformedMessage, match=reason):
        field_paths.read_values(message, parse_header(message, encoding), field_paths.build_tree([("key", (1, 3))]))


@pytest.mark.parametrize("encoding", ENCODINGS)
@pytest.mark.parametrize(
    "field", [(TType.I32, 5), (TType.STRUCT, [(3, (TType.LIST, (TType.I32, [1])))]), (TType.STRUCT, [])]
)
def test_a_path_has_no_value_in_arguments_of_another_shape(encoding: Encoding, field: Value) -> None:
    message = encode_with_apache(encoding, (TType.STRUCT, [(1, field)]))
    assert (
        field_paths.read_values(message, parse_header(message, encoding), field_paths.build_tree([("key", (1, 3))]))
        == {}
    )


@pytest.mark.parametrize("text", ["", "1.", "a", "1.x", "40000", "1.2.3.4.5.6.7.8.9", "²"])
def test_invalid_paths_are_rejected_with_a_reason(text: str) -> None:
    with pytest.raises(ValueError, match=r"path|deep"):
        field_paths.parse_path(text)


def test_a_path_that_is_a_prefix_of_another_is_rejected() -> None:
    for rows in ([("a", (1,)), ("b", (1, 2))], [("a", (1, 2)), ("b", (1,))], [("a", (1,)), ("b", (1,))]):
        with pytest.raises(ValueError, match="field"):
            field_paths.build_tree(rows)


@given(st.binary(max_size=300), st.sampled_from(ENCODINGS), st.booleans())
def test_random_bytes_raise_nothing_but_malformed_message(
    random_bytes: bytes, encoding: Encoding, has_header: bool
) -> None:
    start = encode_with_apache(encoding, (TType.STRUCT, []))[:-1] if has_header else b""
    message = start + random_bytes
    try:
        found = messages.read_header(message, encoding)
        assert found.body_start <= len(message)
        SKIP_STRUCT[encoding](message, found.body_start)
        convert(message, found, Encoding(1 - encoding), 1)
        field_paths.read_values(message, found, field_paths.build_tree([("key", (1, 3))]))
        messages.read_exception(message, found)
    except MalformedMessage:
        pass


@given(structs, st.sampled_from(ENCODINGS), st.data())
def test_a_truncated_message_is_malformed_wherever_it_ends(
    struct: Value, encoding: Encoding, data: st.DataObject
) -> None:
    message = encode_with_apache(encoding, struct)
    cut = message[: data.draw(st.integers(0, len(message) - 1))]
    with pytest.raises(MalformedMessage):
        convert(cut, messages.read_header(cut, encoding), Encoding(1 - encoding), 1)


def nested_structs(encoding: Encoding, depth: int) -> bytes:
    start = encode_with_apache(encoding, (TType.STRUCT, []))[:-1]
    return start + (b"\x0c\0\1" if encoding is Encoding.BINARY else b"\x1c") * depth + b"\0" * (depth + 1)


@pytest.mark.parametrize("encoding", ENCODINGS)
def test_nesting_of_structs_is_limited(encoding: Encoding) -> None:
    allowed, too_deep = nested_structs(encoding, MAX_DEPTH - 1), nested_structs(encoding, 10_000)
    assert SKIP_STRUCT[encoding](allowed, parse_header(allowed, encoding).body_start) == len(allowed)
    found = parse_header(too_deep, encoding)
    for walk in (
        lambda: SKIP_STRUCT[encoding](too_deep, found.body_start),
        lambda: convert(too_deep, found, Encoding(1 - encoding), 1),
        lambda: field_paths.read_values(too_deep, found, field_paths.build_tree([("key", (2,))])),
    ):
        with pytest.raises(MalformedMessage, match="levels"):
            walk()


MALFORMED_BODIES = [
    (Encoding.BINARY, b"\x0f\0\1\x0c\x7f\xff\xff\xff\0\0", "claims more"),
    (Encoding.BINARY, b"\x0d\0\1\x08\x0a\xff\xff\xff\xff\0\0", "claims more"),
    (Encoding.BINARY, b"\x0f\0\1\x00\0\0\0\1\0\0", "not known"),
    (Encoding.BINARY, b"\x0b\0\1\0\0\1\0abc\0", "past its frame"),
    (Encoding.BINARY, b"\x0b\0\1\xff\xff\xff\xffabc\0", "past its frame"),
    (Encoding.BINARY, b"\x09\0\1\0", "not known"),
    (Encoding.COMPACT, b"\x19\xfc\xff\xff\xff\xff\x07\0", "claims more"),
    (Encoding.COMPACT, b"\x1b\xff\xff\xff\xff\x0f\x55\0", "claims more"),
    (Encoding.COMPACT, b"\x15" + b"\xff" * 40 + b"\0", "32 bits"),
    (Encoding.COMPACT, b"\x16" + b"\x80" * 40 + b"\0", "64 bits"),
    (Encoding.COMPACT, b"\x14\xff\xff\x7f\0", "16 bits"),
    (Encoding.COMPACT, b"\x18\xff\xff\xff\xff\x07abc\0", "past its frame"),
    (Encoding.COMPACT, b"\x1e\0", "not known"),
    (Encoding.COMPACT, b"\x30", "steps"),
]


@pytest.mark.parametrize(("encoding", "body", "reason"), MALFORMED_BODIES)
def test_malicious_bodies_are_rejected_at_once(encoding: Encoding, body: bytes, reason: str) -> None:
    message = encode_with_apache(encoding, (TType.STRUCT, []))[:-1] + body
    found = parse_header(message, encoding)
    with pytest.raises(MalformedMessage, match=reason):
        SKIP_STRUCT[encoding](message, found.body_start)
    with pytest.raises(MalformedMessage):
        convert(message, found, Encoding(1 - encoding), 1)


def test_old_headers_without_a_version_are_parsed() -> None:
    message = b"\0\0\0\3ask" + b"\1" + b"\0\0\0\x09" + b"\0"
    found = parse_header(message, Encoding.BINARY)
    assert (found.message_type, found.name, found.seqid, found.body_start) == (MessageType.CALL, b"ask", 9, 12)
    assert with_seqid(message, found, 1) == b"\0\0\0\3ask\1\0\0\0\1\0"
    strict = encode_with_apache(Encoding.COMPACT, (TType.STRUCT, []), "ask", 9)
    assert convert(message, found, Encoding.COMPACT, 9) == strict


@pytest.mark.parametrize(
    ("message", "encoding"),
    [
        (b"\x80\x02\0\1\0\0\0\3ask\0\0\0\1\0", Encoding.BINARY),
        (b"\x80\x01\0\x09\0\0\0\3ask\0\0\0\1\0", Encoding.BINARY),
        (b"\x80\x01\0\1\0\1\0\0ask", Encoding.BINARY),
        (b"\x80\x01\0\1\0\0\0\3as", Encoding.BINARY),
        (b"GET / HTTP/1.1", Encoding.BINARY),
        (b"\x81\x21\1\3ask\0", Encoding.COMPACT),
        (b"\x82\x22\1\3ask\0", Encoding.COMPACT),
        (b"\x82\xa1\1\3ask\0", Encoding.COMPACT),
        (b"\x82\x21\xff\xff\xff\xff\xff\3ask\0", Encoding.COMPACT),
        (b"\x82\x21\1\x7fask\0", Encoding.COMPACT),
    ],
)
def test_invalid_headers_are_rejected(message: bytes, encoding: Encoding) -> None:
    with pytest.raises(MalformedMessage):
        messages.read_header(message, encoding)


@pytest.mark.parametrize("encoding", ENCODINGS)
def test_exceptions_are_compatible_with_the_apache_library(encoding: Encoding) -> None:
    from thrift.Thrift import TApplicationException
    from thrift.transport.TTransport import TMemoryBuffer

    from tests.thrift.values import PROTOCOLS

    written = messages.write_exception(encoding, b"ask", -3, 6, "no endpoint answered é")
    protocol = PROTOCOLS[encoding](TMemoryBuffer(written))
    assert protocol.readMessageBegin() == ("ask", MessageType.EXCEPTION, -3)
    error = TApplicationException()
    error.read(protocol)
    assert (error.type, error.message) == (6, "no endpoint answered é")
    assert messages.read_exception(written, parse_header(written, encoding)) == (6, "no endpoint answered é")


# --- frames ---


@given(st.lists(st.binary(min_size=1, max_size=50), max_size=8), st.data())
def test_frames_are_independent_of_how_the_stream_is_split(wanted: list[bytes], data: st.DataObject) -> None:
    stream = b"".join(map(framed, wanted))
    reader = FrameReader(max_frame_bytes=50)
    found = []
    while stream:
        step = data.draw(st.integers(1, len(stream)))
        found += reader.feed(stream[:step])
        stream = stream[step:]
        assert reader.buffered_bytes <= 54
    assert found == wanted
    assert not reader.is_partial


@pytest.mark.parametrize(
    ("start", "reason"),
    [
        (b"\0\0\0\0", "no bytes"),
        (b"\xff\xff\xff\xff", "negative"),
        (b"\x7f\xff\xff\xff", "are allowed"),
        (b"\x80\x00\0\0", "negative"),
        (b"\x80\x01\0\1\0\0\0\3ask", "without frames"),
        (b"\x82\x21\1\3ask", "without frames"),
        (b"POST /ask HTTP/1.1\r\n", "HTTP"),
        (b"\x16\x03\x01\x02\x00\x01", "TLS"),
    ],
)
def test_an_invalid_frame_is_rejected_by_its_first_four_bytes(start: bytes, reason: str) -> None:
    for step in (1, len(start)):
        reader = FrameReader()
        with pytest.raises(MalformedMessage, match=reason):
            for at in range(0, len(start), step):
                reader.feed(start[at : at + step])
