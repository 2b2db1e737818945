"""What both encodings of Thrift share: type numbers, message kinds, bounds, and how bytes are refused.

Sources: "Thrift Binary protocol encoding" and "Thrift Compact protocol encoding" of the Apache Thrift specification.
"""

from __future__ import annotations

from enum import IntEnum
from typing import Final, NamedTuple

MAX_FRAME = 64 * 1024 + 1024  # bytes of one frame: HTTP's bound on a body, and a message header beside it
MAX_DEPTH = 64  # structs and containers within each other: Thrift's own libraries stop at 64
MAX_NAME = 256  # bytes of a method's name, its service before it


class Encoding(IntEnum):
    BINARY = 0
    COMPACT = 1


class MessageType(IntEnum):
    """The type of a message."""

    CALL = 1
    REPLY = 2
    EXCEPTION = 3
    ONEWAY = 4


class TType:
    """Types as the binary encoding numbers them. Plain numbers, for they are read off the wire by the dozen."""

    STOP: Final = 0
    BOOL: Final = 2
    BYTE: Final = 3
    DOUBLE: Final = 4
    I16: Final = 6
    I32: Final = 8
    I64: Final = 10
    STRING: Final = 11
    STRUCT: Final = 12
    MAP: Final = 13
    SET: Final = 14
    LIST: Final = 15
    UUID: Final = 16


class MalformedMessage(ValueError):
    """Bytes that are no Thrift, or more than the bounds allow; the text says what was wrong."""


class MessageHeader(NamedTuple):
    """A message's header: what is called, and where its struct begins."""

    encoding: Encoding
    message_type: MessageType
    name: bytes  # as sent: `method`, or `Service:method` where services share a connection
    seqid: int  # signed, 32 bits
    seqid_at: int  # where its bytes begin
    seqid_end: int
    body_at: int  # where the struct of arguments, or of the result, begins


class ExceptionType(IntEnum):
    """The types of TApplicationException, as the Apache libraries number them."""

    UNKNOWN = 0
    UNKNOWN_METHOD = 1
    INVALID_MESSAGE_TYPE = 2
    WRONG_METHOD_NAME = 3
    BAD_SEQUENCE_ID = 4
    MISSING_RESULT = 5
    INTERNAL_ERROR = 6
    PROTOCOL_ERROR = 7
    INVALID_TRANSFORM = 8
    INVALID_PROTOCOL = 9
    UNSUPPORTED_CLIENT_TYPE = 10
