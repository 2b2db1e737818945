"""Framed transport: each message follows its length in four bytes. No I/O."""

from __future__ import annotations

from eiderhub.protocols.thrift.definitions import MAX_FRAME_BYTES, MalformedMessage

HTTP_PREFIXES = (b"GET ", b"POST", b"PUT ", b"HEAD", b"OPTI", b"DELE", b"PATC", b"CONN", b"TRAC", b"PRI ", b"HTTP")


class FrameReader:
    """Splits a stream of bytes into frames.

    It buffers at most one frame of the maximum size: a longer one is rejected as soon as its length is read.
    """

    __slots__ = ("_buffer", "_frame_length", "_max_frame_bytes")

    def __init__(self, max_frame_bytes: int = MAX_FRAME_BYTES) -> None:
        self._max_frame_bytes = max_frame_bytes
        self._buffer = bytearray()
        self._frame_length = -1  # of the frame being received; below 0: not known yet

    @property
    def is_partial(self) -> bool:
        """Return whether a frame has begun and is incomplete."""
        return bool(self._buffer) or self._frame_length >= 0

    @property
    def buffered_bytes(self) -> int:
        """Bytes buffered of the frame being received."""
        return len(self._buffer)

    def feed(self, data: bytes) -> list[bytes]:
        """Return the messages whose frames these bytes complete, in order. Raises MalformedMessage for a bad length.

        Complete frames before a bad length are dropped with it: the connection can't be used any further, and bytes
        that can't be parsed after a frame make that frame doubtful too.
        """
        if not self._buffer and self._frame_length < 0 and len(data) >= 4:
            # The usual case: one read brings exactly one frame, whose message is copied only once.
            length = int.from_bytes(data[:4], "big")
            if length + 4 == len(data):
                self._check_length(length, data[:4])
                return [data[4:]]
        self._buffer += data
        frames = []
        offset = 0
        buffer = self._buffer
        while True:
            if self._frame_length < 0:
                if len(buffer) - offset < 4:
                    break
                length_bytes = bytes(buffer[offset : offset + 4])
                self._frame_length = int.from_bytes(length_bytes, "big")
                self._check_length(self._frame_length, length_bytes)
                offset += 4
            if len(buffer) - offset < self._frame_length:
                break
            frames.append(bytes(buffer[offset : offset + self._frame_length]))
            offset += self._frame_length
            self._frame_length = -1
        del buffer[:offset]
        return frames

    def _check_length(self, length: int, length_bytes: bytes) -> None:
        if 0 < length <= self._max_frame_bytes:
            return
        raise MalformedMessage(self._describe_bad_length(length, length_bytes))

    def _describe_bad_length(self, length: int, length_bytes: bytes) -> str:
        if length_bytes in HTTP_PREFIXES:
            return "HTTP on a port for framed Thrift"
        if length_bytes[0] == 0x16 and length_bytes[1] == 3:
            return "TLS on a port for plain framed Thrift"
        if length_bytes[:2] == b"\x80\x01" or length_bytes[0] == 0x82:
            return "Thrift without frames: the client's transport must be framed"
        if length == 0:
            return "a frame of no bytes"
        if length >= 1 << 31:
            return "a frame of negative length"
        return f"a frame of {length} bytes; {self._max_frame_bytes} are allowed"


def framed(message: bytes) -> bytes:
    """Return the message as a frame, with its length before it."""
    return len(message).to_bytes(4, "big") + message
