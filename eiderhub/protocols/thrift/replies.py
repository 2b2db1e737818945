"""What comes back from a Thrift server, and what it proves: pure, a table of cases.

| what came | outcome | has it run? |
| --- | --- | --- |
| a reply | served: declared exceptions are the application's own answer | yes |
| TApplicationException, unknown method (1) | turned away; nothing is learned of the server | never: it has no handler |
| one of a type that the operator names as load shedding | turned away, as busy | never: the operator says so |
| any other TApplicationException | error | it may have: libraries raise them after the handler ran, too |
| a oneway call whose last byte has left | sent: nothing more will ever be known | it may have |
| another sequence id, name or message type; a bad, cut or endless frame; a second reply | reset | it may have |
"""

from __future__ import annotations

from typing import Final

from eiderhub.interface import Outcome
from eiderhub.protocols.thrift import messages
from eiderhub.protocols.thrift.definitions import ExceptionType, MalformedMessage, MessageHeader, MessageType

NO_SHEDDING: Final[frozenset[int]] = frozenset()


def strip_service(name: bytes) -> tuple[bytes, bytes]:
    """The service and the method of a name as sent: `Service:method`, or a method alone."""
    service, between, method = name.rpartition(b":")
    return (service, method) if between else (b"", name)


def answers(asked: MessageHeader, seqid: int, header: MessageHeader) -> bool:
    """Whether a message answers this call. A service's prefix may be left out: some multiplexed servers do so.

    An exception may bear no name, or another: a server that could not read the call does not know it.
    """
    if (
        asked.message_type is MessageType.ONEWAY
        or header.seqid != seqid
        or header.message_type not in (MessageType.REPLY, MessageType.EXCEPTION)
    ):
        return False
    if header.message_type is MessageType.EXCEPTION:
        return True
    return header.name == asked.name or header.name == strip_service(asked.name)[1]


def judge(message: bytes, header: MessageHeader, shedding: frozenset[int] = NO_SHEDDING) -> Outcome:
    """The outcome of a message that answers the call. An exception that can't be read is an error like another."""
    if header.message_type is MessageType.REPLY:
        return Outcome.OK
    try:
        kind, _ = messages.read_exception(message, header)
    except MalformedMessage:
        return Outcome.ERROR
    if kind in shedding:
        return Outcome.REJECTED
    return Outcome.NOT_EXECUTED if kind == ExceptionType.UNKNOWN_METHOD else Outcome.ERROR


# --- how our own answers are worded ---

# The types that fbthrift gives to what was shed and what timed out; other libraries raise them as numbers.
LOAD_SHEDDING: Final = 11
TIMED_OUT: Final = 12


def refusal(wait_us: int) -> tuple[int, str]:
    """Type and text: nothing has run, and trying again does no harm."""
    if wait_us > 0:
        return LOAD_SHEDDING, f"refused: nothing has run; retry-after={wait_us / 1e6:.3f}"
    return LOAD_SHEDDING, "refused: nothing has run"


def failed(in_time: bool, broken: bool) -> tuple[int, str]:
    """Type and text: the call may have run."""
    if broken:
        return ExceptionType.INTERNAL_ERROR, "failed: the sidecar could not carry on; the call may have run"
    if not in_time:
        return TIMED_OUT, "failed: out of time; the call may have run"
    return ExceptionType.INTERNAL_ERROR, "failed: no endpoint gave an answer; the call may have run"
