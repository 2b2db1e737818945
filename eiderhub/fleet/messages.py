"""The wire format between sidecars: datagrams of at most 256 bytes.

A datagram consists of the byte FORMAT_VERSION, a digest of the body (keyed if the fleet shares a key) and the body, one
message in MessagePack. The messages are those of SWIM (ping, ack, ping request), Lifeguard's nack, and digests and
parts of the view for anti-entropy. Their fields are written by position.
"""

from __future__ import annotations

import hashlib
import hmac
from enum import IntEnum
from typing import Annotated

import msgspec

MAX_DATAGRAM_BYTES = 256  # the platform carries no larger datagrams
FORMAT_VERSION = 0x71  # datagrams with another version are dropped
MAC_BYTES = 16  # length of the keyed digest: a forger needs 2**64 tries, and 256 bytes have to hold the body as well
CHECKSUM_BYTES = 6  # length of the digest without a key: a corrupted name or incarnation would spread through the fleet
MAX_NAME_BYTES = 24  # length of a member's name

MemberName = Annotated[str, msgspec.Meta(min_length=1, max_length=MAX_NAME_BYTES)]
Uint48 = Annotated[int, msgspec.Meta(ge=0, le=(1 << 48) - 1)]
Uint32 = Annotated[int, msgspec.Meta(ge=0, le=0xFFFF_FFFF)]
ShortBytes = Annotated[bytes, msgspec.Meta(max_length=8)]
PackedAddress = Annotated[bytes, msgspec.Meta(min_length=6, max_length=6)]


class State(IntEnum):
    """State of a member. Within one incarnation a higher state supersedes a lower one.

    GONE is SWIM's "confirm": the member is declared failed. LEFT is an orderly end.
    """

    ALIVE = 0
    SUSPECT = 1
    LEFT = 2
    GONE = 3


class MemberUpdate(msgspec.Struct, array_like=True, frozen=True):
    """A membership update on one member, piggybacked on messages and passed on from member to member."""

    name: MemberName
    address: PackedAddress
    incarnation: Uint48
    state: State
    boot_id: Uint32  # random for each process: tells two processes with the same name apart
    build: ShortBytes  # digest of the program's version and of the configuration in force
    suspector: ShortBytes = b""  # of a suspicion: digest of the name of the member that raised it independently

    def supersedes(self, other: MemberUpdate) -> bool:
        """Whether this update replaces `other`: a newer incarnation, or a higher state of the same incarnation.

        Updates that differ only in other fields are ordered by those. Without an order between them, each member would
        keep the one that it received first, and the views would never become equal.
        """
        if self.incarnation != other.incarnation:
            return self.incarnation > other.incarnation
        if self.state is not other.state:
            return self.state > other.state
        return (self.boot_id, self.build, self.address) > (other.boot_id, other.build, other.address)


class Observation(msgspec.Struct, array_like=True, frozen=True):
    """One member's recent calls to one endpoint, valid for one start of that endpoint."""

    reporter: MemberName
    endpoint: ShortBytes  # digest of the endpoint's id
    endpoint_started_ms: Uint48  # Unix time in milliseconds, as discovery reports it; 0: long ago
    sequence: Uint32  # the reporter's sequence number: a higher one replaces the earlier observation
    calls: Annotated[int, msgspec.Meta(ge=0, le=255)]
    failures: Annotated[int, msgspec.Meta(ge=0, le=255)]
    last_failure: Annotated[int, msgspec.Meta(ge=0, le=255)]  # value of `interface.Outcome` of the latest failure


class Ping(msgspec.Struct, array_like=True, frozen=True, tag=1):
    """Asks the target for an ack. `target` keeps a new process at the same address from answering for the old one."""

    sequence: Uint32
    target: MemberName
    sender: MemberUpdate
    view: ShortBytes
    updates: list[MemberUpdate] = []
    observations: list[Observation] = []


class Ack(msgspec.Struct, array_like=True, frozen=True, tag=2):
    """Answers a ping. With sequence 0 it is unsolicited and only carries updates."""

    sequence: Uint32
    sender: MemberUpdate
    view: ShortBytes
    updates: list[MemberUpdate] = []
    observations: list[Observation] = []


class PingRequest(msgspec.Struct, array_like=True, frozen=True, tag=3):
    """Asks the receiver to ping the target and to forward its ack: SWIM's ping-req."""

    sequence: Uint32
    target: MemberName
    sender: MemberUpdate


class Nack(msgspec.Struct, array_like=True, frozen=True, tag=4):
    """Confirms a ping request at once, so that its sender knows that its own messages arrive (Lifeguard)."""

    sequence: Uint32


class ForwardedAck(msgspec.Struct, array_like=True, frozen=True, tag=5):
    """Reports to the sender of a ping request that the target has sent an ack."""

    sequence: Uint32
    responder: MemberUpdate


class ViewDigests(msgspec.Struct, array_like=True, frozen=True, tag=6):
    """Digests of the parts of the sender's view, to find where two views differ."""

    sender: MemberUpdate
    view: ShortBytes
    part_digests: Annotated[bytes, msgspec.Meta(max_length=128)]
    is_reply: bool


class ViewPart(msgspec.Struct, array_like=True, frozen=True, tag=7):
    """The sender's updates on members of one part of the view; `wants_reply` asks for the receiver's in return."""

    sender: MemberUpdate
    part: Annotated[int, msgspec.Meta(ge=0, le=255)]
    wants_reply: bool
    updates: list[MemberUpdate]


Message = Ping | Ack | PingRequest | Nack | ForwardedAck | ViewDigests | ViewPart


class InvalidDatagram(Exception):
    """A datagram that can't be read; the text is the cause, under which it is counted."""


class Codec:
    """Encodes and decodes messages, with a keyed digest if the fleet shares a key."""

    def __init__(self, key: bytes | None) -> None:
        self._key = key
        self._encode = msgspec.msgpack.Encoder().encode
        self._decode = msgspec.msgpack.Decoder(Message).decode
        self.header_bytes = 1 + (MAC_BYTES if key else CHECKSUM_BYTES)

    def encode(self, message: Message) -> bytes:
        """Return the datagram. Raises ValueError if it is too long: the caller has to keep to `bytes_left`."""
        body = self._encode(message)
        if self.header_bytes + len(body) > MAX_DATAGRAM_BYTES:
            raise ValueError(f"datagram too long: {self.header_bytes + len(body)} bytes")
        return bytes((FORMAT_VERSION,)) + self._digest(body) + body

    def bytes_left(self, message: Message) -> int:
        """Return how many bytes may still be added to the message."""
        return MAX_DATAGRAM_BYTES - self.header_bytes - len(self._encode(message))

    def encoded_size(self, item: MemberUpdate | Observation) -> int:
        """Return the bytes that an update or an observation takes in a message."""
        return len(self._encode(item))

    def decode(self, data: bytes) -> Message:
        """Return the message of a datagram. Raises InvalidDatagram."""
        if len(data) > MAX_DATAGRAM_BYTES:
            raise InvalidDatagram("oversize")
        if len(data) <= self.header_bytes or data[0] != FORMAT_VERSION:
            raise InvalidDatagram("version")
        body = data[self.header_bytes :]
        if not hmac.compare_digest(data[1 : self.header_bytes], self._digest(body)):
            raise InvalidDatagram("key" if self._key else "spoilt")
        try:
            return self._decode(body)
        except (msgspec.DecodeError, msgspec.ValidationError):
            raise InvalidDatagram("malformed") from None

    def _digest(self, body: bytes) -> bytes:
        return hashlib.blake2b(body, digest_size=self.header_bytes - 1, key=self._key or b"").digest()


def digest(*parts: bytes) -> bytes:
    """Return eight bytes that identify these parts among thousands; too few to withstand a forger."""
    hasher = hashlib.blake2b(digest_size=8)
    for part in parts:
        hasher.update(len(part).to_bytes(4, "big") + part)
    return hasher.digest()


def pack_address(host: str, port: int) -> bytes:
    """Return an IPv4 address and port as six bytes. Raises ValueError."""
    octets = [int(part) for part in host.split(".")]
    if len(octets) != 4 or not 0 <= port <= 0xFFFF:
        raise ValueError(f"not an IPv4 address: {host}:{port}")
    return bytes(octets) + port.to_bytes(2, "big")


def unpack_address(packed: bytes) -> tuple[str, int]:
    """Reverse `pack_address`."""
    return ".".join(str(byte) for byte in packed[:4]), int.from_bytes(packed[4:], "big")
