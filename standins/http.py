"""Reading and writing whole HTTP/1.1 messages: only as much of it as the stand-ins send one another."""

from __future__ import annotations

import asyncio
import socket
import struct


class Message:
    """A whole HTTP message read off a connection."""

    def __init__(self, first: bytes, headers: dict[str, str], body: bytes) -> None:
        self.first = first.decode()
        self.headers = headers
        self.body = body

    @property
    def status(self) -> int:
        return int(self.first.split(" ")[1])

    @property
    def method(self) -> str:
        return self.first.split(" ")[0]

    @property
    def target(self) -> str:
        return self.first.split(" ")[1]


async def read_message(reader: asyncio.StreamReader) -> Message:
    """The next message; raises IncompleteReadError or ConnectionError where none comes."""
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head[:-4].split(b"\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.decode().partition(": ")
        headers[name.lower()] = value
    return Message(first, headers, await reader.readexactly(int(headers.get("content-length", "0"))))


def format_response(status: int, body: bytes = b"", *headers: str) -> bytes:
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}", *headers]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def format_request(method: str, target: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    lines = [f"{method} {target} HTTP/1.1", *(f"{name}: {value}" for name, value in headers.items())]
    if method != "GET":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def disconnect(writer: asyncio.StreamWriter, how: str) -> None:
    """End a caller's connection: `close`, `half close` or `reset`."""
    if how == "half close":
        writer.write_eof()
    elif how == "close":
        writer.close()
    else:
        sock = writer.transport.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        writer.transport.abort()
