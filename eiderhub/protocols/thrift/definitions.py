"""Definitions that both encodings of Thrift share: type ids, message types, exception types, limits and errors.

Sources: "Thrift Binary protocol encoding" and "Thrift Compact protocol encoding" of the Apache Thrift specification.
"""

from __future__ import annotations

from enum import IntEnum
from typing import Final, NamedTuple

MAX_FRAME_BYTES = 64 * 1024 + 1024  # HTTP's limit on a body, plus a message header
MAX_DEPTH = 64  # of nested structs and containers; the Apache libraries have the same limit
MAX_NAME_BYTES = 256  # of a method name, including the service name before it


class Encoding(IntEnum):
    """Encodings of messages, which Thrift calls protocols."""

    BINARY = 0
    COMPACT = 1


class MessageType(IntEnum):
    """Message types, as numbered on the wire."""

    CALL = 1
    REPLY = 2
    EXCEPTION = 3
    ONEWAY = 4


class TType:
    """Type ids of the binary encoding. Plain integers rather than an enum, because decoding is a hot path."""

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
    """Bytes that are not valid Thrift or exceed a limit. The text says what is wrong."""


class MessageHeader(NamedTuple):
    """The header of a message. Offsets count from the beginning of the message."""

    encoding: Encoding
    message_type: MessageType
    name: bytes  # as sent: `method`, or `Service:method` with multiplexed services
    seqid: int  # signed, 32 bits
    seqid_start: int  # offset of the sequence id
    seqid_end: int
    body_start: int  # offset of the struct of arguments or of the result


class ExceptionType(IntEnum):
    """Types of TApplicationException, as numbered by the Apache libraries."""

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
