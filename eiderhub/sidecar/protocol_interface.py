"""The interface between the host and the protocols: callers, payloads, replies and connections to endpoints.

The host, the connection pools, the resource limits and the drain are shared by all protocols and independent of them.
The server side of a protocol creates `Request`s and encodes the final answers. The client side creates
`EndpointConnection`s, on which attempts are sent and end with one outcome each.
"""

from __future__ import annotations

import asyncio
import select
from enum import Enum
from typing import TYPE_CHECKING, Any, Protocol, cast

from eiderhub.interface import LoadReport, Outcome

if TYPE_CHECKING:
    from eiderhub.sidecar.resource_limits import ByteBudget
    from eiderhub.sidecar.upstream import Attempt


class FailureReason(Enum):
    """Why an accepted request has no answer from an endpoint. The request may have run."""

    ENDPOINT_ERROR = "endpoint_error"  # an endpoint failed, or the outcome is unknown
    TIMED_OUT = "timed_out"
    INTERNAL_ERROR = "internal_error"  # the sidecar itself failed


class Reply(Protocol):
    """A complete answer of an endpoint, in the representation of its protocol."""

    def load(self) -> LoadReport | None:
        """Return the endpoint's load report, if the answer contains one."""


class Caller(Protocol):
    """The sender of a request: encodes the one final answer, by one of these methods, in its protocol."""

    def send_reply(self, reply: Any) -> None: ...

    def send_refusal(self, wait_us: int) -> None:
        """Send an answer that promises no effect: a retry is harmless after `wait_us`, 0 if no time is known."""

    def send_failure(self, reason: FailureReason) -> None: ...

    def has_left(self) -> bool:
        """Return whether the caller has closed its connection, even if the event loop has not noticed it yet."""


class Payload(Protocol):
    """The content of a request: created by the server side, and sent by the client side, of one protocol."""

    @property
    def protocol(self) -> ClientProtocol:
        """The protocol whose connections can carry this payload."""

    def data(self, remaining_ms: int) -> Any:
        """Return what one attempt sends if it may take `remaining_ms`.

        The result is bytes, or an object that the connections of this protocol encode.
        """


class ClientProtocol(Protocol):
    """The client side of a protocol.

    There is one object for each variant (such as an encoding); pools compare these objects by identity.
    """

    def for_labels(self, labels: frozenset[str]) -> ClientProtocol:
        """Return the variant for an endpoint with these labels."""

    def new_connection(self, owner: ConnectionOwner, budget: ByteBudget) -> EndpointConnection: ...


class ConnectionOwner(Protocol):
    """The creator of a connection, which receives its events."""

    def on_response(self, connection: Any, attempt: Attempt | None, reply: Any, reusable: bool) -> None: ...

    def on_lost(self, connection: Any) -> None: ...


class EndpointConnection(asyncio.Protocol):
    """One connection to an endpoint. This class handles the socket; its subclasses parse what is received.

    The pools send no more attempts on a connection than `free_slots` allows.
    """

    protocol: ClientProtocol  # the variant that created this connection
    # How long a connection is not reused after an answer: for protocols in which a late duplicate of that answer
    # can't be distinguished from the next answer.
    reuse_delay_us = 0

    def __init__(self, owner: ConnectionOwner) -> None:
        self.owner = owner
        self.attempt: Attempt | None = None
        self.busy = False
        self.flushed = False  # whether the kernel has taken the last byte that was sent
        self.closed = False
        self.idle_since_us = 0
        self.last_reply_us = 0  # when the last complete answer was received
        self.target: object = None  # the address and start time of the endpoint that it was opened to
        self.partial_read_us = 0  # when bytes of an incomplete answer were last received; 0: no answer has begun

    # --- called by the pools ---

    @property
    def free_slots(self) -> int:
        """How many more attempts may be sent now."""
        return 0 if self.busy or self.closed else 1

    def start_attempt(self, attempt: Attempt, data: Any) -> None:
        """Send the data of an attempt.

        Raises ValueError, and writes nothing, if this connection cannot carry the data.
        """
        self.attempt = attempt
        self.send(data)

    def outcome(self, reply: Any) -> Outcome:
        """Return the outcome that a complete answer means for its attempt."""
        raise NotImplementedError

    def abandon(self, attempt: Attempt) -> None:
        """Give up an attempt and close the connection, so that a late answer reaches no other request."""
        self.attempt = None
        self.owner.on_lost(self)
        self.close()

    def detach_attempts(self) -> list[tuple[Attempt, Outcome]]:
        """Remove and return the attempts that end with the connection, with their outcomes.

        An endpoint starts a request once it has the last byte: a request that was not written completely never ran.
        """
        attempt, self.attempt = self.attempt, None
        if attempt is None:
            return []
        return [(attempt, Outcome.RESET if self.flushed else Outcome.CONNECT_FAILED)]

    # --- the socket ---

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # Not `isinstance`: uvloop's transports only have the shape of asyncio's.
        self.transport = cast(asyncio.Transport, transport)
        # With a limit of 0, `pause_writing` is called whenever the kernel has not taken all of a request yet.
        self.transport.set_write_buffer_limits(high=0)
        self._poll = select.poll()
        self._poll.register(transport.get_extra_info("socket").fileno(), select.POLLIN)

    def is_stale(self) -> bool:
        """Return whether an idle connection has input: its end, or unsolicited data.

        Prevents writing an unsafe request to a connection whose end the event loop has not processed yet.
        """
        return self.closed or bool(self._poll.poll(0))

    def send(self, data: bytes) -> None:
        self.busy = self.flushed = True
        self.transport.write(data)

    def pause_writing(self) -> None:
        self.flushed = False

    def resume_writing(self) -> None:
        self.flushed = True

    def close(self) -> None:
        """Abort the connection; anything received later is discarded."""
        if not self.closed:
            self.closed = True
            self.transport.abort()

    def eof_received(self) -> bool:
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self.release_resources()
        if not self.closed:
            self.closed = True
            self.owner.on_lost(self)

    def release_resources(self) -> None:
        """Release buffered bytes and break reference cycles after the connection has ended."""

    def fail(self) -> None:
        """Close the connection and end its attempts after invalid, unexpected or missing input."""
        if not self.closed:
            self.close()
            self.owner.on_lost(self)


class NoReply:
    """The result of a oneway call that was sent completely. It has no answer and no known outcome."""

    def load(self) -> LoadReport | None:
        return None


NO_REPLY = NoReply()
