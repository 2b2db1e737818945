"""Frames: four bytes of length, then one message. Bytes in, frames out, no I/O."""

from __future__ import annotations

from eiderhub.protocols.thrift.definitions import MAX_FRAME, MalformedMessage

HTTP_WORDS = (b"GET ", b"POST", b"PUT ", b"HEAD", b"OPTI", b"DELE", b"PATC", b"CONN", b"TRAC", b"PRI ", b"HTTP")


class FrameReader:
    """Cuts a stream into frames, each of which is handed on whole.

    A peer can make it hold one frame's bound and no more: a length past the bound is refused by its four bytes.
    """

    __slots__ = ("_held", "_most", "_wanted")

    def __init__(self, most: int = MAX_FRAME) -> None:
        self._most = most
        self._held = bytearray()
        self._wanted = -1  # bytes of the frame that is coming in; below 0: its length is not known yet

    @property
    def partial(self) -> bool:
        """Whether a frame has begun and is not whole."""
        return bool(self._held) or self._wanted >= 0

    @property
    def held(self) -> int:
        """Bytes kept of the frame that is coming in."""
        return len(self._held)

    def feed(self, data: bytes) -> list[bytes]:
        """The frames that are whole now, in order. Raises Malformed where no frame can begin.

        What came whole before the bad bytes is lost with them: the connection is of no further use, and what can't be
        read behind a frame makes that frame doubtful too.
        """
        if not self._held and self._wanted < 0 and len(data) >= 4:
            # The usual case: one read brings one whole frame, which is cut out once and copied nowhere else.
            length = int.from_bytes(data[:4], "big")
            if length + 4 == len(data):
                self._check(length, data[:4])
                return [data[4:]]
        self._held += data
        frames = []
        at = 0
        held = self._held
        while True:
            if self._wanted < 0:
                if len(held) - at < 4:
                    break
                head = bytes(held[at : at + 4])
                self._wanted = int.from_bytes(head, "big")
                self._check(self._wanted, head)
                at += 4
            if len(held) - at < self._wanted:
                break
            frames.append(bytes(held[at : at + self._wanted]))
            at += self._wanted
            self._wanted = -1
        del held[:at]
        return frames

    def _check(self, length: int, head: bytes) -> None:
        if 0 < length <= self._most:
            return
        raise MalformedMessage(self._told(length, head))

    def _told(self, length: int, head: bytes) -> str:
        if head in HTTP_WORDS:
            return "HTTP on a port for framed Thrift"
        if head[0] == 0x16 and head[1] == 3:
            return "TLS on a port for plain framed Thrift"
        if head[:2] == b"\x80\x01" or head[0] == 0x82:
            return "Thrift without frames: the client's transport must be framed"
        if length == 0:
            return "a frame of no bytes"
        if length >= 1 << 31:
            return "a frame of negative length"
        return f"a frame of {length} bytes; {self._most} are allowed"


def framed(message: bytes) -> bytes:
    """The message with its length before it."""
    return len(message).to_bytes(4, "big") + message
