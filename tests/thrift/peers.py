"""Scripted Thrift peers: an endpoint whose every call waits for the test's word, and a client that sends raw frames."""

from __future__ import annotations

import asyncio
from typing import Any

from eiderhub.protocols.thrift import messages
from eiderhub.protocols.thrift.definitions import Encoding, MessageHeader, TType
from eiderhub.protocols.thrift.framing import framed
from tests.sidecar_support import FakeServer, ReceivedRequest
from tests.thrift.values import Value, apache

SHED = 77  # the type by which these endpoints turn a call away


async def read_frame(reader: asyncio.StreamReader) -> bytes:
    return await reader.readexactly(int.from_bytes(await reader.readexactly(4), "big"))


def told(value: bytes) -> Value:
    """A struct with one text, as field 1."""
    return TType.STRUCT, [(1, (TType.STRING, value))]


class AskedThrift(ReceivedRequest):
    """A call as an endpoint got it; the test says what comes back."""

    def __init__(self, frame: bytes, writer: asyncio.StreamWriter, connection: int) -> None:
        self.frame = frame
        self.writer = writer
        self.connection = connection
        self.header: MessageHeader = messages.read_header(frame, messages.detect_encoding(frame))

    def send(self, message: bytes) -> None:
        self.writer.write(framed(message))

    def reply(self, status: int = 200, body: bytes = b"done", *headers: str) -> None:
        """A result whose field 0 is this text."""
        result = TType.STRUCT, [(0, (TType.STRING, body))]
        name = self.header.name.decode()
        self.send(apache(self.header.encoding, result, name, self.header.seqid, kind=2))

    def raises(self, kind: int, text: str = "no") -> None:
        self.send(messages.write_exception(self.header.encoding, self.header.name, self.header.seqid, kind, text))


class ThriftFake(FakeServer):
    """A Thrift server whose every call waits for the test's word."""

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        number = self.connections
        self.connections += 1
        self.writers.append(writer)
        try:
            while True:
                self.received.put_nowait(AskedThrift(await read_frame(reader), writer, number))
        except (asyncio.IncompleteReadError, ConnectionError):
            self.ends.put_nowait(number)
        finally:
            writer.close()


class Answer:
    """What a client got: a result's text, or an exception's type and text."""

    def __init__(self, frame: bytes) -> None:
        self.frame = frame
        self.header = messages.read_header(frame, messages.detect_encoding(frame))
        self.kind = self.text = None
        if self.header.message_type == 3:
            self.kind, self.text = messages.read_exception(frame, self.header)


class ThriftClient:
    """A caller's connection, in one encoding."""

    def __init__(self, encoding: Encoding, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.encoding = encoding
        self.reader = reader
        self.writer = writer
        self.seqid = 0

    @staticmethod
    async def connect(port: int, encoding: Encoding) -> ThriftClient:
        return ThriftClient(encoding, *await asyncio.open_connection("127.0.0.1", port))

    def send(
        self, name: str, deadline_ms: int = 2500, key: bytes = b"k1", kind: int = 1, seqid: int | None = None, **_: Any
    ) -> int:
        self.seqid += 1
        number = self.seqid if seqid is None else seqid
        call = TType.STRUCT, [(1, (TType.STRING, key)), (2, (TType.I32, deadline_ms)), (3, (TType.BOOL, True))]
        self.writer.write(framed(apache(self.encoding, call, name, number, kind)))
        return number

    async def answer(self) -> Answer:
        return Answer(await read_frame(self.reader))
