"""The client side of Thrift: framed connections to servers, one call at a time on each, and how calls end."""

from __future__ import annotations

import asyncio
from typing import Any

from eiderhub.interface import LoadReport, Outcome
from eiderhub.protocols.thrift import replies
from eiderhub.protocols.thrift.admission import ListenerOptions
from eiderhub.protocols.thrift.convert import convert, with_seqid
from eiderhub.protocols.thrift.definitions import MAX_FRAME, Encoding, MalformedMessage, MessageHeader, MessageType
from eiderhub.protocols.thrift.framing import FrameReader, framed
from eiderhub.protocols.thrift.messages import read_header
from eiderhub.sidecar.clock import now_us
from eiderhub.sidecar.protocol_interface import NO_REPLY, ConnectionOwner, EndpointConnection
from eiderhub.sidecar.resource_limits import ByteBudget
from eiderhub.sidecar.upstream import Attempt

MAX_SEQID = 0x7FFFFFFF


class Reply:
    """A whole answer of a server, in its encoding."""

    __slots__ = ("header", "message")

    def __init__(self, message: bytes, header: MessageHeader) -> None:
        self.message = message
        self.header = header

    def load(self) -> LoadReport | None:
        """Thrift has no place for a report."""
        return None


class Thrift:
    """The way to speak Thrift to the endpoints of a listener: their encoding, and what they mean by shedding load."""

    def __init__(
        self, encoding: Encoding, shedding: frozenset[int] = replies.NO_SHEDDING, most: int = MAX_FRAME
    ) -> None:
        self.encoding = encoding
        self.shedding = shedding
        self.most = most  # bytes of a reply
        self.stated: dict[str, Thrift] = {}  # by an endpoint's label that stands above: how to speak to that one

    def for_labels(self, labels: frozenset[str]) -> Thrift:
        if self.stated:
            for label, wire in self.stated.items():
                if label in labels:
                    return wire
        return self

    def new_connection(self, owner: ConnectionOwner, budget: ByteBudget) -> Connection:
        return Connection(owner, budget, self)


def wires(options: ListenerOptions) -> dict[Encoding, Thrift]:
    """By the caller's encoding: how its calls go on."""
    found = {e: Thrift(e, options.shed_exception_types, options.max_frame_bytes) for e in Encoding}
    if options.encoding_from_labels:
        labels = {f"thrift={e.name.lower()}": wire for e, wire in found.items()}
        for wire in found.values():
            wire.stated = labels
    return {e: found[options.endpoint_encoding if options.endpoint_encoding is not None else e] for e in Encoding}


class Call:
    """A call as it goes out. Each encoding of it is made once: servers see the client's message, but for its id."""

    __slots__ = ("_made", "header", "protocol", "unknown", "unsayable")

    def __init__(self, message: bytes, header: MessageHeader, wire: Thrift) -> None:
        """Raises Malformed where it has to be converted and can't be: the caller's fault, and no endpoint's."""
        self.header = header
        self.protocol = wire
        self.unknown = False  # whether an endpoint said that it has no such method
        self.unsayable = False  # whether it could not be converted for an endpoint that states another encoding
        self._made = {header.encoding: (message, header)}
        if wire.encoding is not header.encoding and not wire.stated:
            self._made[wire.encoding] = _converted(message, header, wire.encoding)

    @property
    def oneway(self) -> bool:
        return self.header.message_type is MessageType.ONEWAY

    def data(self, left_ms: int) -> Call:
        """Thrift's header has no place for the time that is left."""
        return self

    def stamped(self, encoding: Encoding, seqid: int) -> bytes:
        """The message in the server's encoding, with the sequence id of a link. Raises Malformed."""
        if encoding not in self._made:
            try:
                self._made[encoding] = _converted(*self._made[self.header.encoding], encoding)
            except MalformedMessage:
                self.unsayable = True
                raise
        message, header = self._made[encoding]
        return with_seqid(message, header, seqid)


def _converted(message: bytes, header: MessageHeader, to: Encoding) -> tuple[bytes, MessageHeader]:
    made = convert(message, header, to, header.seqid)
    return made, read_header(made, to)


class Connection(EndpointConnection):
    """One framed connection to a server.

    One call at a time: a server may answer several in any order, or none of them, and one that is given up can then
    be cut off without a loss to another. Whatever is not the one answer that is waited for ends the connection.
    """

    def __init__(self, owner: ConnectionOwner, budget: ByteBudget, wire: Thrift) -> None:
        super().__init__(owner)
        self.protocol: Thrift = wire
        self.budget = budget
        self.held = 0
        self.seqid = 0
        self.call: Call | None = None  # what is out
        self._frames = FrameReader(wire.most)

    def start_attempt(self, attempt: Attempt, data: Call) -> None:
        seqid = self.seqid % MAX_SEQID + 1
        message = data.stamped(self.protocol.encoding, seqid)
        self.attempt, self.call, self.seqid = attempt, data, seqid
        self.send(framed(message))
        self._watch_oneway()

    def resume_writing(self) -> None:
        super().resume_writing()
        self._watch_oneway()

    def _watch_oneway(self) -> None:
        """Later, for no attempt ends while the module is still at work above it."""
        if self.call is not None and self.call.oneway:
            asyncio.get_running_loop().call_soon(self._sent, self.call)

    def _sent(self, call: Call) -> None:
        """The last byte of a oneway call has left: nothing more will come of it. The connection is free again."""
        if self.call is not call or not self.flushed or self.closed:
            return
        attempt, self.attempt, self.call = self.attempt, None, None
        self.busy = False
        self.owner.on_response(self, attempt, NO_REPLY, True)

    def outcome(self, reply: Any) -> Outcome:
        if reply is NO_REPLY:
            return Outcome.OK
        return replies.judge(reply.message, reply.header, self.protocol.shedding)

    def data_received(self, data: bytes) -> None:
        if self.closed:
            return
        if self.call is None:  # nobody asked
            self.fail()
            return
        try:
            frames = self._frames.feed(data)
        except MalformedMessage:
            self.fail()
            return
        if not frames:
            self.partial_read_us = now_us()
            if not self._hold(self._frames.held):
                self.fail()
            return
        self._hold(0)
        # More than one reply: nobody can tell which is the call's own.
        if len(frames) > 1 or self._frames.partial:
            self.fail()
            return
        self._answered(frames[0])

    def _hold(self, size: int) -> bool:
        """Count what is kept of an answer that is not whole against the budget that all share."""
        if size > self.held and not self.budget.reserve(size - self.held):
            return False
        if size < self.held:
            self.budget.release(self.held - size)
        self.held = size
        return True

    def _answered(self, message: bytes) -> None:
        assert self.call is not None
        try:
            header = read_header(message, self.protocol.encoding)
        except MalformedMessage:
            self.fail()
            return
        if not replies.answers(self.call.header, self.seqid, header):
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
        call.unknown = call.unknown or self.outcome(reply) is Outcome.NOT_EXECUTED
        self.owner.on_response(self, attempt, reply, reusable)

    def release_resources(self) -> None:
        self.call = None
        self._hold(0)
        self._frames = FrameReader(self.protocol.most)
