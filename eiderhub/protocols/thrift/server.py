"""The server side of Thrift: a port of its own, frames in, one answer for each call."""

from __future__ import annotations

import asyncio
import logging
from collections import deque

from eiderhub.protocols.thrift import messages, replies
from eiderhub.protocols.thrift.admission import Admitted, ListenerOptions, NotTaken, Reader
from eiderhub.protocols.thrift.client import Call, Reply, wires
from eiderhub.protocols.thrift.convert import convert
from eiderhub.protocols.thrift.definitions import Encoding, ExceptionType, MalformedMessage, MessageHeader, MessageType
from eiderhub.protocols.thrift.framing import FrameReader, framed
from eiderhub.sidecar import protocol_interface
from eiderhub.sidecar.callers import BaseCallerConnection, Callers
from eiderhub.sidecar.clock import now_us
from eiderhub.sidecar.host import Host, Request

LISTEN_BACKLOG = 1024
LENGTH = 4  # bytes before each frame
log = logging.getLogger(__name__)


class Out:
    """One call that was taken: the caller whom the host answers, once."""

    __slots__ = ("answer", "connection", "header", "payload", "request", "request_id", "size")

    def __init__(self, connection: CallerConnection, header: MessageHeader, size: int) -> None:
        self.size = size  # bytes that are given back when it ends
        self.connection: CallerConnection | None = connection
        self.header = header
        self.payload: Call | None = None
        self.request: Request | None = None
        self.request_id = b""
        self.answer: bytes | None = None  # worded, and not sent yet: earlier calls' answers go first

    def send_reply(self, reply: Reply | protocol_interface.NoReply) -> None:
        if isinstance(reply, protocol_interface.NoReply):
            self._end(b"")
            return
        try:
            told = convert(reply.message, reply.header, self.header.encoding, self.header.seqid)
        except MalformedMessage as error:
            log.error("an answer can't be converted: %s", error)
            self._exception(*replies.failed(in_time=True, broken=False))
            return
        self._end(told)

    def send_refusal(self, wait_us: int) -> None:
        if self.payload is not None and self.payload.unknown:
            # Danger: a refusal asks to come back, and a method that no endpoint has would be asked for without end.
            self._exception(ExceptionType.UNKNOWN_METHOD, "failed: no endpoint that was asked has this method")
            return
        if self.payload is not None and self.payload.unsayable:
            self._exception(
                ExceptionType.PROTOCOL_ERROR, "failed: the call can't be read, or not said to its endpoints"
            )
            return
        self._exception(*replies.refusal(wait_us))

    def send_failure(self, why: protocol_interface.FailureReason) -> None:
        self._exception(
            *replies.failed(
                why is not protocol_interface.FailureReason.TIMED_OUT,
                why is protocol_interface.FailureReason.INTERNAL_ERROR,
            )
        )

    def _exception(self, failure: int, text: str) -> None:
        self._end(self.exception(failure, text))

    def exception(self, failure: int, text: str) -> bytes:
        """What the caller's library raises; nothing where the call wants no answer."""
        if self.header.message_type is MessageType.ONEWAY:
            return b""
        return messages.exception(self.header.encoding, self.header.name, self.header.seqid, failure, text)

    def _end(self, told: bytes) -> None:
        connection, self.connection, self.request = self.connection, None, None
        self.payload = None
        if connection is not None:
            connection.ended_call(self, told)


class CallerConnection(BaseCallerConnection):
    """One caller's connection. Several calls may be out on it; in order or not, each gets its one answer."""

    def __init__(self, server: Server) -> None:
        super().__init__(server.callers)
        self.server = server
        self.encoding: Encoding | None = None  # told by the first frame, and kept to
        self.out: deque[Out] = deque()  # in the order in which they came
        self.waiting: deque[bytes] = deque()  # whole frames that wait for a place among those
        self._frames = FrameReader(server.options.max_frame_bytes)

    # --- the socket ---

    def data_received(self, data: bytes) -> None:
        if self.input_closed:
            return
        was_partial = self._frames.partial
        try:
            frames = self._frames.feed(data)
        except MalformedMessage as error:
            self.stop(str(error))
            return
        self.receiving = self._frames.partial
        if not self.callers.budget.reserve(len(data)):
            self.stop("no memory is left")
            return
        self.reserved_bytes += len(data)
        if self.receiving and (frames or not was_partial):
            self.begin_request()
        self.waiting.extend(frames)
        self._serve()

    @property
    def idle_timeout_s(self) -> float:
        return self.server.options.idle_timeout_us / 1e6

    @property
    def answering(self) -> bool:
        return bool(self.out) or bool(self.waiting)

    def on_read_timeout(self) -> None:
        self.stop("the frame did not come whole")

    def on_disconnect(self) -> None:
        self.waiting.clear()
        for call in list(self.out):
            request, call.connection = call.request, None
            call.request = None
            self._forget(call)
            if request is not None:
                self.server.host.cancel_request(request)
        self.out.clear()

    def resume(self) -> None:
        self._flush()
        self._serve()
        if not self.input_closed and not self.waiting and not self.write_blocked:
            self.set_reading(True)

    # --- calls ---

    def _serve(self) -> None:
        """Take what waits while there is a place; past that the caller is read no further."""
        while (
            self.waiting
            and not self.write_blocked
            and not self.input_closed
            and len(self.out) < self.server.options.max_pending_calls
        ):
            message = self.waiting.popleft()
            try:
                self._take(message)
            except MalformedMessage as error:
                self.stop(str(error))
        if self.input_closed:
            return
        if self.waiting:
            self.set_reading(False)
        elif not self.answering and not self.receiving:
            self.release_budget()
            self.mark_idle()

    def _take(self, message: bytes) -> None:
        """One call. Raises Malformed where its bytes, or its sequence id, leave the connection in doubt."""
        if self.encoding is None:
            self.encoding = messages.detect_encoding(message)
        header = messages.read_header(message, self.encoding)
        if not self.server.options.in_order and any(header.seqid == o.header.seqid for o in self.out):
            raise MalformedMessage("a sequence id that is out already: two answers could not be told apart")
        call = Out(self, header, len(message) + LENGTH)
        self.out.append(call)
        try:
            admitted = self.server.reader.admit(self.server.host.plan, message, header)
            self._claim(call, admitted)
        except NotTaken as error:
            call._exception(error.failure, str(error))
            return
        self.mark_established()
        payload = call.payload = Call(message, header, self.server.wires[self.encoding])
        request = Request(call, admitted.grade, admitted.tenant, admitted.hint_us, now_us() + admitted.wait_us, payload)
        call.request = request
        self.server.host.accept(request)

    def _claim(self, call: Out, admitted: Admitted) -> None:
        open_ids = self.callers.open_request_ids
        if admitted.request_id:
            if admitted.request_id in open_ids:
                raise NotTaken(ExceptionType.PROTOCOL_ERROR, "request_id: this request is open")
            open_ids.add(admitted.request_id)
            call.request_id = admitted.request_id

    def _forget(self, call: Out) -> None:
        if call.request_id:
            self.callers.open_request_ids.discard(call.request_id)
            call.request_id = b""

    def ended_call(self, call: Out, told: bytes) -> None:
        """The one answer of a call: it leaves now, or when those of the calls before it have."""
        self._forget(call)
        self.reserved_bytes -= call.size
        self.callers.budget.release(call.size)
        call.answer = told
        if self.server.options.in_order:
            self._flush()
        else:
            self.out.remove(call)
            self._write(told)
        if self.callers.closing and not self.answering and not self.receiving and not self.input_closed:
            self.finish(unread=False)
        elif not self.input_closed:
            # Later: the answer may have come from within a call that still works on the last one.
            asyncio.get_running_loop().call_soon(self.resume)

    def _flush(self) -> None:
        while self.out and self.out[0].answer is not None:
            told = self.out.popleft().answer
            assert told is not None
            self._write(told)

    def _write(self, told: bytes) -> None:
        if told and not self.transport.is_closing():
            self.transport.write(framed(told))

    def stop(self, reason: str) -> None:
        """What came can't be read: nobody can tell what follows, and what came before is doubtful too.

        Rule 1: each call that was taken has its one answer all the same, and then the connection closes.
        """
        self.input_closed = True
        self.waiting.clear()
        for call in list(self.out):
            request, call.request = call.request, None
            if call.answer is None:
                call.connection = None
                call.answer = call.exception(ExceptionType.PROTOCOL_ERROR, f"failed: {reason}; the call may have run")
                self._forget(call)
            if request is not None:
                self.server.host.cancel_request(request)
        if not self.out:
            self._write(self._complaint(reason))
        while self.out:
            self._write(self.out.popleft().answer or b"")
        self.release_budget()
        self.finish(unread=True)

    def _complaint(self, reason: str) -> bytes:
        """Why the connection ends, for a caller with no call out: as an exception where it speaks Thrift at all."""
        if self.encoding is None:
            return b""
        return messages.exception(self.encoding, b"", 0, ExceptionType.PROTOCOL_ERROR, reason)


class Server:
    """The Thrift port of a sidecar."""

    def __init__(self, host: Host, callers: Callers, options: ListenerOptions) -> None:
        self.host = host
        self.callers = callers
        self.options = options
        tenants = {t.name.encode("utf-8", "surrogatepass"): t.name for t in host.settings.tenants}
        self.reader = Reader(options, tenants)
        self.wires = wires(options)  # by the caller's encoding: how its calls go on

    async def bind(self) -> None:
        """Take the address; connections wait until the module has started."""
        loop = asyncio.get_running_loop()
        self.listener = await loop.create_server(
            lambda: CallerConnection(self),
            self.options.host,
            self.options.port,
            backlog=LISTEN_BACKLOG,
            start_serving=False,
        )
