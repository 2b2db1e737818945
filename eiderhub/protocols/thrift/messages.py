"""Whole messages: read their header, word an exception, read one."""

from __future__ import annotations

from eiderhub.protocols.thrift import binary, compact, field_paths
from eiderhub.protocols.thrift.definitions import Encoding, MalformedMessage, MessageHeader, MessageType, TType

APPLICATION_EXCEPTION = field_paths.tree((("text", (1,)), ("type", (2,))))  # TApplicationException's two fields
MAX_TEXT = 512  # bytes of an exception's text that are read


def detect_encoding(message: bytes) -> Encoding:
    """Which encoding the first message of a connection is in: compact begins with a byte that no name's length has."""
    if message and message[0] == compact.PROTOCOL:
        return Encoding.COMPACT
    return Encoding.BINARY


def read_header(message: bytes, encoding: Encoding) -> MessageHeader:
    """Raises Malformed where the message is in another encoding, or in none."""
    if encoding is Encoding.COMPACT:
        return compact.read_header(message)
    return binary.read_header(message)


def exception(encoding: Encoding, name: bytes, seqid: int, failure: int, text: str) -> bytes:
    """A TApplicationException as the answer to a call: what every client library raises as one."""
    told = text.encode()
    if encoding is Encoding.BINARY:
        return b"".join((
            binary.write_header(MessageType.EXCEPTION, name, seqid),
            bytes((TType.STRING,)), binary.I16.pack(1), binary.U32.pack(len(told)), told,
            bytes((TType.I32,)), binary.I16.pack(2), binary.I32.pack(failure),
            b"\0",
        ))  # fmt: skip
    return b"".join((
        compact.write_header(MessageType.EXCEPTION, name, seqid),
        bytes((1 << 4 | compact.BINARY,)), compact.put_varint(len(told)), told,
        bytes((1 << 4 | compact.I32,)), compact.put_zigzag(failure),
        b"\0",
    ))  # fmt: skip


def read_exception(message: bytes, header: MessageHeader) -> tuple[int, str]:
    """The type of a TApplicationException, 0 where none is told, and its text. Raises Malformed."""
    found = field_paths.read(message, header, APPLICATION_EXCEPTION)
    kind, text = found.get("type", 0), found.get("text", b"")
    if isinstance(kind, bool) or not isinstance(kind, int) or not isinstance(text, bytes):
        raise MalformedMessage("an exception whose fields have other types")
    return kind, text[:MAX_TEXT].decode("utf-8", "replace")
