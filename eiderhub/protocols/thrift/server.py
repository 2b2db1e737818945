"""Server side of Thrift: a listener for framed Thrift that gives each call exactly one response."""

from __future__ import annotations

import asyncio
import logging
from collections import deque

from eiderhub.protocols.thrift import messages, replies
from eiderhub.protocols.thrift.admission import AdmittedCall, CallReader, CallRejected, ListenerOptions
from eiderhub.protocols.thrift.client import CallPayload, Reply, client_protocols
from eiderhub.protocols.thrift.convert import convert
from eiderhub.protocols.thrift.definitions import Encoding, ExceptionType, MalformedMessage, MessageHeader, MessageType
from eiderhub.protocols.thrift.framing import FrameReader, framed
from eiderhub.sidecar import protocol_interface
from eiderhub.sidecar.callers import BaseCallerConnection, Callers
from eiderhub.sidecar.clock import now_us
from eiderhub.sidecar.host import Host, Request

LISTEN_BACKLOG = 1024
FRAME_HEADER_BYTES = 4  # the length before each frame
log = logging.getLogger(__name__)


class PendingCall:
    """A received call. It is the `Caller` that the host gives the final answer to, once."""

    __slots__ = ("connection", "header", "payload", "request", "request_id", "reserved_bytes", "response")

    def __init__(self, connection: CallerConnection, header: MessageHeader, reserved_bytes: int) -> None:
        self.reserved_bytes = reserved_bytes  # released when the call ends
        self.connection: CallerConnection | None = connection
        self.header = header
        self.payload: CallPayload | None = None
        self.request: Request | None = None
        self.request_id = b""
        self.response: bytes | None = None  # set while the responses of earlier calls are still to be sent

    def send_reply(self, reply: Reply | protocol_interface.NoReply) -> None:
        if isinstance(reply, protocol_interface.NoReply):
            self._end(b"")
            return
        try:
            message = convert(reply.message, reply.header, self.header.encoding, self.header.seqid)
        except MalformedMessage as error:
            log.error("a reply of an endpoint can't be converted to the caller's encoding: %s", error)
            self._end_with_exception(*replies.failure_exception(in_time=True, is_internal=False))
            return
        self._end(message)

    def send_refusal(self, wait_us: int) -> None:
        if self.payload is not None and self.payload.is_method_unknown:
            # A refusal invites a retry, so a method that no endpoint has would be retried forever.
            self._end_with_exception(ExceptionType.UNKNOWN_METHOD, "failed: no endpoint that was asked has this method")
            return
        if self.payload is not None and self.payload.conversion_failed:
            self._end_with_exception(
                ExceptionType.PROTOCOL_ERROR, "failed: the call can't be read, or not said to its endpoints"
            )
            return
        self._end_with_exception(*replies.refusal_exception(wait_us))

    def send_failure(self, why: protocol_interface.FailureReason) -> None:
        self._end_with_exception(
            *replies.failure_exception(
                why is not protocol_interface.FailureReason.TIMED_OUT,
                why is protocol_interface.FailureReason.INTERNAL_ERROR,
            )
        )

    def has_left(self) -> bool:
        return self.connection is None or self.connection.has_left()

    def _end_with_exception(self, exception_type: int, text: str) -> None:
        self._end(self.exception_message(exception_type, text))

    def exception_message(self, exception_type: int, text: str) -> bytes:
        """Return a TApplicationException as the response to this call; nothing for a oneway call."""
        if self.header.message_type is MessageType.ONEWAY:
            return b""
        return messages.write_exception(self.header.encoding, self.header.name, self.header.seqid, exception_type, text)

    def _end(self, message: bytes) -> None:
        connection, self.connection, self.request = self.connection, None, None
        self.payload = None
        if connection is not None:
            connection.on_call_ended(self, message)


class CallerConnection(BaseCallerConnection):
    """Connection of one caller. It may have several pending calls; each gets one response, in order or as ready."""

    def __init__(self, server: Server) -> None:
        super().__init__(server.callers)
        self.server = server
        self.encoding: Encoding | None = None  # of all messages on it, detected from the first one
        self.pending_calls: deque[PendingCall] = deque()  # in the order of arrival
        self.waiting_messages: deque[bytes] = deque()  # received while the maximum of calls is pending
        self._frames = FrameReader(server.options.max_frame_bytes)

    # --- the socket ---

    def data_received(self, data: bytes) -> None:
        if self.input_closed:
            return
        was_partial = self._frames.is_partial
        try:
            frames = self._frames.feed(data)
        except MalformedMessage as error:
            self.stop(str(error))
            return
        self.receiving = self._frames.is_partial
        if not self.callers.budget.reserve(len(data)):
            self.stop("no memory is left")
            return
        self.reserved_bytes += len(data)
        if self.receiving and (frames or not was_partial):
            self.begin_request()
        self.waiting_messages.extend(frames)
        self._serve()

    @property
    def idle_timeout_s(self) -> float:
        return self.server.options.idle_timeout_us / 1e6

    @property
    def answering(self) -> bool:
        return bool(self.pending_calls) or bool(self.waiting_messages)

    def on_read_timeout(self) -> None:
        self.stop("the frame did not come whole")

    def on_disconnect(self) -> None:
        self.waiting_messages.clear()
        for call in list(self.pending_calls):
            request, call.connection = call.request, None
            call.request = None
            self._release_request_id(call)
            if request is not None:
                self.server.host.cancel_request(request)
        self.pending_calls.clear()

    def resume(self) -> None:
        self._flush()
        self._serve()
        if not self.input_closed and not self.waiting_messages and not self.write_blocked:
            self.set_reading(True)

    # --- calls ---

    def _serve(self) -> None:
        """Admit waiting messages up to the maximum of pending calls. Past that, stop reading from the caller."""
        while (
            self.waiting_messages
            and not self.write_blocked
            and not self.input_closed
            and len(self.pending_calls) < self.server.options.max_pending_calls
        ):
            message = self.waiting_messages.popleft()
            try:
                self._admit(message)
            except MalformedMessage as error:
                self.stop(str(error))
        if self.input_closed:
            return
        if self.waiting_messages:
            self.set_reading(False)
        elif not self.answering and not self.receiving:
            self.release_budget()
            self.mark_idle()

    def _admit(self, message: bytes) -> None:
        """Admit one call.

        Raises MalformedMessage if the connection can't go on: the message can't be parsed, or its sequence id is in
        use while responses leave as they become ready.
        """
        if self.encoding is None:
            self.encoding = messages.detect_encoding(message)
        header = messages.read_header(message, self.encoding)
        if not self.server.options.in_order and any(header.seqid == other.header.seqid for other in self.pending_calls):
            raise MalformedMessage("a sequence id that is out already: two answers could not be told apart")
        call = PendingCall(self, header, len(message) + FRAME_HEADER_BYTES)
        self.pending_calls.append(call)
        try:
            admitted = self.server.reader.admit(self.server.host.plan, message, header)
            self._register_request_id(call, admitted)
        except CallRejected as error:
            call._end_with_exception(error.exception_type, str(error))
            return
        self.mark_established()
        payload = call.payload = CallPayload(message, header, self.server.client_protocols[self.encoding])
        request = Request(
            call, admitted.class_name, admitted.tenant, admitted.cost_hint_us, now_us() + admitted.timeout_us, payload
        )
        call.request = request
        self.server.host.accept(request)

    def _register_request_id(self, call: PendingCall, admitted: AdmittedCall) -> None:
        open_ids = self.callers.open_request_ids
        if admitted.request_id:
            if admitted.request_id in open_ids:
                raise CallRejected(ExceptionType.PROTOCOL_ERROR, "request_id: this request is open")
            open_ids.add(admitted.request_id)
            call.request_id = admitted.request_id

    def _release_request_id(self, call: PendingCall) -> None:
        if call.request_id:
            self.callers.open_request_ids.discard(call.request_id)
            call.request_id = b""

    def on_call_ended(self, call: PendingCall, message: bytes) -> None:
        """Send the response of a call now, or after the responses of earlier calls where order is kept."""
        self._release_request_id(call)
        self.reserved_bytes -= call.reserved_bytes
        self.callers.budget.release(call.reserved_bytes)
        call.response = message
        if self.server.options.in_order:
            self._flush()
        else:
            self.pending_calls.remove(call)
            self._write(message)
        if self.callers.closing and not self.answering and not self.receiving and not self.input_closed:
            self.finish(unread=False)
        elif not self.input_closed:
            # Deferred: the response may have been sent by a call that is still working on the last one.
            asyncio.get_running_loop().call_soon(self.resume)

    def _flush(self) -> None:
        while self.pending_calls and self.pending_calls[0].response is not None:
            message = self.pending_calls.popleft().response
            assert message is not None
            self._write(message)

    def _write(self, message: bytes) -> None:
        if message and not self.transport.is_closing():
            self.transport.write(framed(message))

    def stop(self, reason: str) -> None:
        """Fail all pending calls and close the connection, as its input can't be parsed any further.

        Malformed input makes the calls before it doubtful too. Each of them still gets exactly one response.
        """
        self.input_closed = True
        self.waiting_messages.clear()
        for call in list(self.pending_calls):
            request, call.request = call.request, None
            if call.response is None:
                call.connection = None
                call.response = call.exception_message(
                    ExceptionType.PROTOCOL_ERROR, f"failed: {reason}; the call may have run"
                )
                self._release_request_id(call)
            if request is not None:
                self.server.host.cancel_request(request)
        if not self.pending_calls:
            self._write(self._error_message(reason))
        while self.pending_calls:
            self._write(self.pending_calls.popleft().response or b"")
        self.release_budget()
        self.finish(unread=True)

    def _error_message(self, reason: str) -> bytes:
        """Return an exception that tells a caller without pending calls why its connection closes.

        Returns nothing if the caller has not sent a Thrift message yet.
        """
        if self.encoding is None:
            return b""
        return messages.write_exception(self.encoding, b"", 0, ExceptionType.PROTOCOL_ERROR, reason)


class Server:
    """Listener for framed Thrift."""

    def __init__(self, host: Host, callers: Callers, options: ListenerOptions) -> None:
        self.host = host
        self.callers = callers
        self.options = options
        tenants = {t.name.encode("utf-8", "surrogatepass"): t.name for t in host.settings.tenants}
        self.reader = CallReader(options, tenants)
        self.client_protocols = client_protocols(options)  # to forward calls with, by the caller's encoding

    async def bind(self) -> None:
        """Bind the address; connections are accepted once the decision module has started."""
        loop = asyncio.get_running_loop()
        self.listener = await loop.create_server(
            lambda: CallerConnection(self),
            self.options.host,
            self.options.port,
            backlog=LISTEN_BACKLOG,
            start_serving=False,
        )
