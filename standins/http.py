"""Reads and formats complete HTTP/1.1 messages: only the subset that the stand-ins and their callers need."""

from __future__ import annotations

import asyncio
import socket
import struct


class Message:
    """A complete HTTP request or response."""

    def __init__(self, start_line: bytes, headers: dict[str, str], body: bytes) -> None:
        self.start_line = start_line.decode()
        self.headers = headers  # with names in lower case
        self.body = body

    @property
    def status(self) -> int:
        return int(self.start_line.split(" ")[1])

    @property
    def method(self) -> str:
        return self.start_line.split(" ")[0]

    @property
    def target(self) -> str:
        return self.start_line.split(" ")[1]


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Return the next message. Raises IncompleteReadError or ConnectionError if the connection ends before it."""
    head = await reader.readuntil(b"\r\n\r\n")
    start_line, *lines = head[:-4].split(b"\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.decode().partition(": ")
        headers[name.lower()] = value
    return Message(start_line, headers, await reader.readexactly(int(headers.get("content-length", "0"))))


def format_response(status: int, body: bytes = b"", *headers: str) -> bytes:
    """Return a complete response; `headers` are whole lines, "Name: value"."""
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}", *headers]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def format_request(method: str, target: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return a complete request, with Content-Length unless the method is GET."""
    lines = [f"{method} {target} HTTP/1.1", *(f"{name}: {value}" for name, value in headers.items())]
    if method != "GET":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def disconnect(writer: asyncio.StreamWriter, how: str) -> None:
    """End a caller's connection: `how` is "close", "half close" (of the sending side) or "reset"."""
    if how == "half close":
        writer.write_eof()
    elif how == "close":
        writer.close()
    else:
        reset_on_close(writer.transport.get_extra_info("socket"))
        writer.transport.abort()


def reset_on_close(sock: socket.socket) -> None:
    """Let the close of a socket reset its connection."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))


def send_and_disconnect(sock: socket.socket, data: bytes, how: str) -> None:
    """Write data and end the connection before the other side reads either, as a network does that was cut."""
    sock.sendall(data)
    if how == "half close":
        sock.shutdown(socket.SHUT_WR)
        return
    if how == "reset":
        reset_on_close(sock)
    sock.close()
