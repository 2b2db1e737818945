"""Messages in either encoding: reads headers, and reads and writes exceptions."""

from __future__ import annotations

from eiderhub.protocols.thrift import binary, compact, field_paths
from eiderhub.protocols.thrift.definitions import Encoding, MalformedMessage, MessageHeader, MessageType, TType

EXCEPTION_FIELDS = field_paths.build_tree((("text", (1,)), ("type", (2,))))  # the fields of TApplicationException
MAX_TEXT_BYTES = 512  # of an exception's text; the rest is dropped


def detect_encoding(message: bytes) -> Encoding:
    """Return the encoding of a connection's first message.

    A compact message begins with a byte that neither a version nor a valid name length of the binary encoding has.
    """
    if message and message[0] == compact.PROTOCOL_ID:
        return Encoding.COMPACT
    return Encoding.BINARY


def read_header(message: bytes, encoding: Encoding) -> MessageHeader:
    """Parse the header of a message. Raises MalformedMessage if the message is not in this encoding."""
    if encoding is Encoding.COMPACT:
        return compact.read_header(message)
    return binary.read_header(message)


def write_exception(encoding: Encoding, name: bytes, seqid: int, exception_type: int, text: str) -> bytes:
    """Encode a TApplicationException as the response to a call."""
    encoded_text = text.encode()
    if encoding is Encoding.BINARY:
        return b"".join((
            binary.write_header(MessageType.EXCEPTION, name, seqid),
            bytes((TType.STRING,)), binary.I16.pack(1), binary.U32.pack(len(encoded_text)), encoded_text,
            bytes((TType.I32,)), binary.I16.pack(2), binary.I32.pack(exception_type),
            b"\0",
        ))  # fmt: skip
    return b"".join((
        compact.write_header(MessageType.EXCEPTION, name, seqid),
        bytes((1 << 4 | compact.BINARY,)), compact.write_varint(len(encoded_text)), encoded_text,
        bytes((1 << 4 | compact.I32,)), compact.write_zigzag(exception_type),
        b"\0",
    ))  # fmt: skip


def read_exception(message: bytes, header: MessageHeader) -> tuple[int, str]:
    """Return the type of a TApplicationException, 0 if it has none, and its text. Raises MalformedMessage."""
    values = field_paths.read_values(message, header, EXCEPTION_FIELDS)
    exception_type, text = values.get("type", 0), values.get("text", b"")
    if isinstance(exception_type, bool) or not isinstance(exception_type, int) or not isinstance(text, bytes):
        raise MalformedMessage("an exception whose fields have other types")
    return exception_type, text[:MAX_TEXT_BYTES].decode("utf-8", "replace")
