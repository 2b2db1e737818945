"""Which class, tenant, key and time a Thrift call has: choices without I/O.

Thrift has no headers. What HTTP tells in `Req-*` headers comes from fields of the arguments, whose paths the operator
names, or from the listener and the class. The meanings are HTTP's.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from eiderhub.interface import Effect, RequestClass
from eiderhub.protocols.thrift import field_paths
from eiderhub.protocols.thrift.definitions import MAX_FRAME, Encoding, ExceptionType, MessageHeader, MessageType
from eiderhub.protocols.thrift.field_paths import Tree, Value
from eiderhub.protocols.thrift.replies import NO_SHEDDING, strip_service
from eiderhub.routing.plan import Plan
from eiderhub.routing.request_target import RequestAttributes

MAX_ID = 128  # bytes of a request id or a key, as for HTTP
MAX_DEADLINE_MS = 3_600_000
TENANT, KEY, REQUEST_ID, DEADLINE, COST = "tenant", "key", "request_id", "deadline_ms", "cost_us"


@dataclass(frozen=True, slots=True)
class ListenerOptions:
    """A listener, as the operator's file has it."""

    host: str
    port: int
    endpoint_encoding: Encoding | None = None  # that endpoints speak; None: the caller's own
    encoding_from_labels: bool = False  # an endpoint's label `thrift=binary` or `thrift=compact` stands above that
    # How long a caller may ask for nothing: Thrift's clients do not connect anew unasked.
    idle_timeout_us: int = 300_000_000
    max_frame_bytes: int = MAX_FRAME  # bytes of a frame, either way
    in_order: bool = True  # answers leave in the order of the calls, for clients that match no sequence ids
    max_pending_calls: int = 16  # that one connection may have out at a time
    default_tenant: str | None = None  # of all calls on it, where no field tells
    default_deadline_us: int = 0  # a caller's time, where no field tells; 0: the class's own
    field_paths: Mapping[str, tuple[int, ...]] = field(default_factory=dict)  # by what they tell: their path
    shed_exception_types: frozenset[int] = NO_SHEDDING  # types of exceptions by which endpoints turn calls away, unrun


class NotTaken(Exception):
    """A call that the module never hears of; the text and type are the answer, and the connection goes on."""

    def __init__(self, failure: int, reason: str) -> None:
        super().__init__(reason)
        self.failure = failure


@dataclass(frozen=True, slots=True)
class Admitted:
    """What the host has to know of a call."""

    grade: str
    tenant: str | None
    hint_us: int | None
    wait_us: int
    request_id: bytes  # b"": none told


class Reader:
    """Reads calls of one listener."""

    def __init__(self, options: ListenerOptions, tenants: Mapping[bytes, str]) -> None:
        self.options = options
        self.tenants = tenants
        self.tree: Tree | None = field_paths.tree(options.field_paths.items()) if options.field_paths else None

    def admit(self, plan: Plan, message: bytes, header: MessageHeader) -> Admitted:
        """Raises NotTaken for what is well-formed and can't be taken, and Malformed for what can't be read."""
        if header.message_type not in (MessageType.CALL, MessageType.ONEWAY):
            raise NotTaken(
                ExceptionType.INVALID_MESSAGE_TYPE, f"a message of type {int(header.message_type)} is no call"
            )
        found = field_paths.read(message, header, self.tree) if self.tree is not None else {}
        tenant = self._tenant(found)
        grade = self._grade(plan, header.name, tenant)
        if grade is None:
            raise NotTaken(ExceptionType.UNKNOWN_METHOD, "no route takes this call")
        if header.message_type is MessageType.ONEWAY and grade.effect is Effect.DEDUPLICATED:
            raise NotTaken(
                ExceptionType.INVALID_MESSAGE_TYPE, "a oneway call of a keyed class: nobody would learn of it"
            )
        self._check_key(grade, found)
        return Admitted(
            grade.name,
            tenant,
            _number(found, COST, 1 << 50),
            self._wait_us(plan, grade, found),
            _identifier(found, REQUEST_ID),
        )

    def _grade(self, plan: Plan, name: bytes, tenant: str | None) -> RequestClass | None:
        """The class by the routes; where none takes the call, the method's name is its class."""
        service, method = strip_service(name)
        asked = RequestAttributes(
            "thrift",
            "",
            (method,),
            {},
            b"",
            tenant,
            service.decode("utf-8", "replace") or None,
            method.decode("utf-8", "replace"),
        )
        return plan.class_of(asked)

    def _tenant(self, found: Mapping[str, Value]) -> str | None:
        told = found.get(TENANT)
        if told is None:
            if self.options.default_tenant is None and self.tenants:
                raise NotTaken(ExceptionType.PROTOCOL_ERROR, "tenant: missing")
            return self.options.default_tenant
        tenant = self.tenants.get(told) if isinstance(told, bytes) else None
        if tenant is None and self.tenants:  # each unknown name would get a budget, and memory, of its own
            raise NotTaken(ExceptionType.PROTOCOL_ERROR, "tenant: unknown")
        return tenant

    def _check_key(self, grade: RequestClass, found: Mapping[str, Value]) -> None:
        """A keyed class needs a key where the operator has named its place: without one repeats are not dropped."""
        if grade.effect is not Effect.DEDUPLICATED:
            return
        if KEY in self.options.field_paths and not _identifier(found, KEY):
            raise NotTaken(ExceptionType.PROTOCOL_ERROR, "key: missing")

    def _wait_us(self, plan: Plan, grade: RequestClass, found: Mapping[str, Value]) -> int:
        told = _number(found, DEADLINE, MAX_DEADLINE_MS)
        wait_us = told * 1000 if told is not None else self.options.default_deadline_us or grade.deadline_us
        return min(wait_us, plan.deadline_limits_us.get(grade.name, wait_us))


def _number(found: Mapping[str, Value], name: str, most: int) -> int | None:
    value = found.get(name)
    if value is None:
        return None
    if isinstance(value, bool) or not isinstance(value, int) or not 0 <= value <= most:
        raise NotTaken(ExceptionType.PROTOCOL_ERROR, f"{name}: no number within its range")
    return value


def _identifier(found: Mapping[str, Value], name: str) -> bytes:
    """Text, or a number, as bytes; nothing where there is none."""
    value = found.get(name)
    if value is None:
        return b""
    if isinstance(value, bool | float):
        raise NotTaken(ExceptionType.PROTOCOL_ERROR, f"{name}: neither text nor a whole number")
    told = b"%d" % value if isinstance(value, int) else value
    if not 0 < len(told) <= MAX_ID:
        raise NotTaken(ExceptionType.PROTOCOL_ERROR, f"{name}: empty or too long")
    return told
