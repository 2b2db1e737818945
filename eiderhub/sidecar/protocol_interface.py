"""What a protocol brings to the host, in the host's terms: who asked, what is asked, and connections to endpoints.

The host, the pools, the bounds and the drains are shared and know no protocol by name. A protocol's server side makes
`Request`s and words the one answer; its client side makes `Link`s, on which attempts go out and end with one outcome.
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
    """Why a request that was taken has no answer of an endpoint, where no promise is made of what has run."""

    ENDPOINT_ERROR = "error"  # an endpoint failed, or what became of it can't be known
    TIMED_OUT = "time"  # its time is up
    INTERNAL_ERROR = "broken"  # the sidecar itself failed


class Reply(Protocol):
    """A whole answer of an endpoint, as its protocol keeps it."""

    def load(self) -> LoadReport | None:
        """What the endpoint says of its load."""


class Caller(Protocol):
    """Who asked: takes the one final answer, by one of these, and words it in its protocol."""

    def send_reply(self, reply: Any) -> None: ...

    def send_refusal(self, wait_us: int) -> None:
        """Trying again does no harm, after so long; 0 where nothing is known of when."""

    def send_failure(self, why: FailureReason) -> None: ...


class Payload(Protocol):
    """What is asked, as it goes out: made by the server side, written by the client side of one protocol."""

    @property
    def protocol(self) -> ClientProtocol:
        """How it is spoken: the attempt goes out on a link of this wire."""

    def data(self, left_ms: int) -> Any:
        """What one attempt, which may take so long, sends: bytes, or what the links of this wire make bytes of."""


class ClientProtocol(Protocol):
    """The client side of a protocol. One object for each way to speak to an endpoint, so that pools tell them apart."""

    def for_labels(self, labels: frozenset[str]) -> ClientProtocol:
        """How to speak to an endpoint that states these facts of itself."""

    def new_connection(self, owner: ConnectionOwner, budget: ByteBudget) -> EndpointConnection: ...


class ConnectionOwner(Protocol):
    """Who opened a link, and is told what comes of it."""

    def on_response(self, link: Any, attempt: Attempt | None, reply: Any, reusable: bool) -> None: ...

    def on_lost(self, link: Any) -> None: ...


class EndpointConnection(asyncio.Protocol):
    """One connection that we opened. What a socket is to all protocols stands here; what comes on it in theirs.

    A link carries as many attempts at a time as `room` says; the pools put no more on it.
    """

    protocol: ClientProtocol  # the one that made it
    reuse_delay_us = 0  # how long it rests after an answer, where the next one can't be told from a late second copy

    def __init__(self, owner: ConnectionOwner) -> None:
        self.owner = owner
        self.attempt: Attempt | None = None
        self.busy = False
        self.flushed = False  # whether the last byte of what was sent has left for the kernel
        self.closed = False
        self.idle_since_us = 0
        self.last_reply_us = 0  # when the last whole answer came on it
        self.target: object = None  # the address and the process that it was opened to
        self.partial_read_us = 0  # when the last bytes of an answer that is not whole came; 0: none has begun

    # --- what the pools ask ---

    @property
    def free_slots(self) -> int:
        """How many more attempts it may carry."""
        return 0 if self.busy or self.closed else 1

    def start_attempt(self, attempt: Attempt, data: Any) -> None:
        """Send what an attempt's payload has made for it.

        Raises ValueError where that can't be said on this link; nothing is written then.
        """
        self.attempt = attempt
        self.send(data)

    def outcome(self, reply: Any) -> Outcome:
        """What a whole answer means to the attempt that it ends."""
        raise NotImplementedError

    def abandon(self, attempt: Attempt) -> None:
        """Nobody waits for this attempt any more: closing keeps its late answer from any other request."""
        self.attempt = None
        self.owner.on_lost(self)
        self.close()

    def detach_attempts(self) -> list[tuple[Attempt, Outcome]]:
        """The attempts that end with the connection, and how. Not wholly written: the endpoint begins with the last
        byte, so it never ran."""
        attempt, self.attempt = self.attempt, None
        if attempt is None:
            return []
        return [(attempt, Outcome.RESET if self.flushed else Outcome.CONNECT_FAILED)]

    # --- the socket ---

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # Not `isinstance`: uvloop's transports only have the shape of asyncio's.
        self.transport = cast(asyncio.Transport, transport)
        # With no buffer allowed, `pause_writing` tells that the kernel has not taken all of a request yet.
        self.transport.set_write_buffer_limits(high=0)
        self._poll = select.poll()
        self._poll.register(transport.get_extra_info("socket").fileno(), select.POLLIN)

    def is_stale(self) -> bool:
        """Whether an idle connection has anything to read: its end, or what nobody asked for.

        Guards against writing an unsafe request to a connection whose end the loop has not come to yet.
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
        """Give up what is out: whatever still comes on this connection reaches nobody."""
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
        """The connection has ended: give back what is held, and undo what would be a cycle."""

    def fail(self) -> None:
        """End what is out, and the connection, for what came or did not come on it."""
        if not self.closed:
            self.close()
            self.owner.on_lost(self)


class NoReply:
    """In place of a reply: a call that has none has left, its last byte included. Nothing can be learned of it."""

    def load(self) -> LoadReport | None:
        return None


NO_REPLY = NoReply()
