"""Client side of Thrift: framed connections that carry one call at a time, and the payload of calls."""

from __future__ import annotations

import asyncio
from typing import Any

from eiderhub.interface import LoadReport, Outcome
from eiderhub.protocols.thrift import replies
from eiderhub.protocols.thrift.admission import ListenerOptions
from eiderhub.protocols.thrift.convert import convert, with_seqid
from eiderhub.protocols.thrift.definitions import (
    MAX_FRAME_BYTES,
    Encoding,
    MalformedMessage,
    MessageHeader,
    MessageType,
)
from eiderhub.protocols.thrift.framing import FrameReader, framed
from eiderhub.protocols.thrift.messages import read_header
from eiderhub.sidecar.clock import now_us
from eiderhub.sidecar.protocol_interface import NO_REPLY, ConnectionOwner, EndpointConnection
from eiderhub.sidecar.resource_limits import ByteBudget
from eiderhub.sidecar.upstream import Attempt

MAX_SEQID = 0x7FFFFFFF  # sequence ids are signed, 32 bits


class Reply:
    """A complete reply of an endpoint, in the endpoint's encoding."""

    __slots__ = ("header", "message")

    def __init__(self, message: bytes, header: MessageHeader) -> None:
        self.message = message
        self.header = header

    def load(self) -> LoadReport | None:
        """Return None: Thrift replies carry no load report."""
        return None


class ThriftProtocol:
    """Framed Thrift in one encoding, as a client protocol of the sidecar.

    `shed_exception_types` are the types of TApplicationException by which endpoints shed calls.
    """

    def __init__(
        self,
        encoding: Encoding,
        shed_exception_types: frozenset[int] = replies.NO_SHED_TYPES,
        max_frame_bytes: int = MAX_FRAME_BYTES,
    ) -> None:
        self.encoding = encoding
        self.shed_exception_types = shed_exception_types
        self.max_frame_bytes = max_frame_bytes  # of a reply
        # By an endpoint's label, which takes precedence over this protocol's encoding.
        self.protocols_by_label: dict[str, ThriftProtocol] = {}

    def for_labels(self, labels: frozenset[str]) -> ThriftProtocol:
        if self.protocols_by_label:
            for label, protocol in self.protocols_by_label.items():
                if label in labels:
                    return protocol
        return self

    def new_connection(self, owner: ConnectionOwner, budget: ByteBudget) -> Connection:
        return Connection(owner, budget, self)


def client_protocols(options: ListenerOptions) -> dict[Encoding, ThriftProtocol]:
    """Return the protocol to forward calls with, by the caller's encoding."""
    found = {e: ThriftProtocol(e, options.shed_exception_types, options.max_frame_bytes) for e in Encoding}
    if options.encoding_from_labels:
        labels = {f"thrift={e.name.lower()}": protocol for e, protocol in found.items()}
        for protocol in found.values():
            protocol.protocols_by_label = labels
    return {e: found[options.endpoint_encoding if options.endpoint_encoding is not None else e] for e in Encoding}


class CallPayload:
    """A call as forwarded to endpoints: the caller's message with another sequence id.

    The message is converted at most once to each encoding.
    """

    __slots__ = ("_encoded", "conversion_failed", "header", "is_method_unknown", "protocol")

    def __init__(self, message: bytes, header: MessageHeader, protocol: ThriftProtocol) -> None:
        """Raises MalformedMessage if the message has to be converted and can't be, which is the caller's fault."""
        self.header = header
        self.protocol = protocol
        self.is_method_unknown = False  # whether an endpoint replied that it has no such method
        self.conversion_failed = False  # whether conversion for an endpoint with another encoding failed
        self._encoded = {header.encoding: (message, header)}
        if protocol.encoding is not header.encoding and not protocol.protocols_by_label:
            self._encoded[protocol.encoding] = _convert_message(message, header, protocol.encoding)

    @property
    def is_oneway(self) -> bool:
        return self.header.message_type is MessageType.ONEWAY

    def data(self, left_ms: int) -> CallPayload:
        """Return the payload itself: Thrift's message header can't carry the remaining time."""
        return self

    def encode(self, encoding: Encoding, seqid: int) -> bytes:
        """Return the message in the endpoint's encoding, with this sequence id. Raises MalformedMessage."""
        if encoding not in self._encoded:
            try:
                self._encoded[encoding] = _convert_message(*self._encoded[self.header.encoding], encoding)
            except MalformedMessage:
                self.conversion_failed = True
                raise
        message, header = self._encoded[encoding]
        return with_seqid(message, header, seqid)


def _convert_message(message: bytes, header: MessageHeader, to: Encoding) -> tuple[bytes, MessageHeader]:
    converted = convert(message, header, to, header.seqid)
    return converted, read_header(converted, to)


class Connection(EndpointConnection):
    """Framed connection to an endpoint. It carries one call at a time.

    With several calls on a connection, an endpoint could answer them in any order or not at all, and cancelling one
    call by closing the connection would fail the others. Anything but the expected reply closes the connection.
    """

    def __init__(self, owner: ConnectionOwner, budget: ByteBudget, protocol: ThriftProtocol) -> None:
        super().__init__(owner)
        self.protocol: ThriftProtocol = protocol
        self.budget = budget
        self.reserved_bytes = 0
        self.seqid = 0
        self.call: CallPayload | None = None  # the call in progress
        self._frames = FrameReader(protocol.max_frame_bytes)

    def start_attempt(self, attempt: Attempt, data: CallPayload) -> None:
        seqid = self.seqid % MAX_SEQID + 1
        message = data.encode(self.protocol.encoding, seqid)
        self.attempt, self.call, self.seqid = attempt, data, seqid
        self.send(framed(message))
        self._schedule_oneway_end()

    def resume_writing(self) -> None:
        super().resume_writing()
        self._schedule_oneway_end()

    def _schedule_oneway_end(self) -> None:
        """End a oneway call once it is sent. Deferred, as no attempt may end while the decision module starts it."""
        if self.call is not None and self.call.is_oneway:
            asyncio.get_running_loop().call_soon(self._on_oneway_sent, self.call)

    def _on_oneway_sent(self, call: CallPayload) -> None:
        """End the attempt if the last byte of the oneway call has left; no reply follows. Frees the connection."""
        if self.call is not call or not self.flushed or self.closed:
            return
        attempt, self.attempt, self.call = self.attempt, None, None
        self.busy = False
        self.owner.on_response(self, attempt, NO_REPLY, True)

    def outcome(self, reply: Any) -> Outcome:
        if reply is NO_REPLY:
            return Outcome.OK
        return replies.classify(reply.message, reply.header, self.protocol.shed_exception_types)

    def data_received(self, data: bytes) -> None:
        if self.closed:
            return
        if self.call is None:  # unsolicited data
            self.fail()
            return
        try:
            frames = self._frames.feed(data)
        except MalformedMessage:
            self.fail()
            return
        if not frames:
            self.partial_read_us = now_us()
            if not self._reserve(self._frames.buffered_bytes):
                self.fail()
            return
        self._reserve(0)
        # With more than one reply it is unknown which one belongs to the call.
        if len(frames) > 1 or self._frames.is_partial:
            self.fail()
            return
        self._on_reply(frames[0])

    def _reserve(self, size: int) -> bool:
        """Set the bytes reserved from the shared budget for an incomplete reply. Returns False if none are left."""
        if size > self.reserved_bytes and not self.budget.reserve(size - self.reserved_bytes):
            return False
        if size < self.reserved_bytes:
            self.budget.release(self.reserved_bytes - size)
        self.reserved_bytes = size
        return True

    def _on_reply(self, message: bytes) -> None:
        assert self.call is not None
        try:
            header = read_header(message, self.protocol.encoding)
        except MalformedMessage:
            self.fail()
            return
        if not replies.is_reply_to(self.call.header, self.seqid, header):
            self.fail()
            return
        attempt, call = self.attempt, self.call
        self.attempt = self.call = None
        reusable = self.flushed
        self.busy = False
        self.partial_read_us = 0
        if not reusable:
            self.close()
        reply = Reply(message, header)
        call.is_method_unknown = call.is_method_unknown or self.outcome(reply) is Outcome.NOT_EXECUTED
        self.owner.on_response(self, attempt, reply, reusable)

    def release_resources(self) -> None:
        self.call = None
        self._reserve(0)
        self._frames = FrameReader(self.protocol.max_frame_bytes)
