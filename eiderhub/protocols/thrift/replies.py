"""Classifies replies of endpoints, and defines the exceptions that callers get. Without I/O.

| received | outcome | has the call run? |
| --- | --- | --- |
| a reply | served; declared exceptions are the application's own result | yes |
| TApplicationException, unknown method (1) | not executed; says nothing about the endpoint | no: there is no handler |
| TApplicationException of a configured load-shedding type | rejected, as busy | no, by the operator's configuration |
| any other TApplicationException | error | possibly: libraries also raise them after the handler ran |
| nothing, for a oneway call whose last byte has left | sent; nothing more will be known | possibly |
| another sequence id, name or message type; a bad, truncated or endless frame; a second reply | reset | possibly |
"""

from __future__ import annotations

from typing import Final

from eiderhub.interface import Outcome
from eiderhub.protocols.thrift import messages
from eiderhub.protocols.thrift.definitions import ExceptionType, MalformedMessage, MessageHeader, MessageType

NO_SHED_TYPES: Final[frozenset[int]] = frozenset()


def split_service(name: bytes) -> tuple[bytes, bytes]:
    """Return the service, b"" if there is none, and the method of a name such as `Service:method`."""
    service, separator, method = name.rpartition(b":")
    return (service, method) if separator else (b"", name)


def is_reply_to(call: MessageHeader, seqid: int, header: MessageHeader) -> bool:
    """Return whether a message with this header is the reply to a call that was sent with this sequence id.

    The name may lack the prefix of the service, which some multiplexed servers omit. An exception may have no name or
    another one, as from a server that could not parse the call.
    """
    if (
        call.message_type is MessageType.ONEWAY
        or header.seqid != seqid
        or header.message_type not in (MessageType.REPLY, MessageType.EXCEPTION)
    ):
        return False
    if header.message_type is MessageType.EXCEPTION:
        return True
    return header.name == call.name or header.name == split_service(call.name)[1]


def classify(message: bytes, header: MessageHeader, shed_types: frozenset[int] = NO_SHED_TYPES) -> Outcome:
    """Return the outcome of a reply or an exception. An exception that can't be parsed counts as any other error."""
    if header.message_type is MessageType.REPLY:
        return Outcome.OK
    try:
        exception_type, _ = messages.read_exception(message, header)
    except MalformedMessage:
        return Outcome.ERROR
    if exception_type in shed_types:
        return Outcome.REJECTED
    return Outcome.NOT_EXECUTED if exception_type == ExceptionType.UNKNOWN_METHOD else Outcome.ERROR


# --- exceptions that the sidecar itself raises ---

# The types of fbthrift for shed and timed-out calls. Other libraries pass the numbers on.
LOAD_SHEDDING: Final = 11
TIMED_OUT: Final = 12


def refusal_exception(wait_us: int) -> tuple[int, str]:
    """Return the type and text of an exception that promises that the call has not run, so a retry is harmless."""
    if wait_us > 0:
        return LOAD_SHEDDING, f"refused: nothing has run; retry-after={wait_us / 1e6:.3f}"
    return LOAD_SHEDDING, "refused: nothing has run"


def failure_exception(in_time: bool, is_internal: bool) -> tuple[int, str]:
    """Return the type and text of an exception after which the call may have run."""
    if is_internal:
        return ExceptionType.INTERNAL_ERROR, "failed: the sidecar could not carry on; the call may have run"
    if not in_time:
        return TIMED_OUT, "failed: out of time; the call may have run"
    return ExceptionType.INTERNAL_ERROR, "failed: no endpoint gave an answer; the call may have run"
