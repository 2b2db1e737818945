"""Determines the class, tenant, idempotency key and deadline of a Thrift call, without I/O.

Thrift has no headers. The values that HTTP carries in `Req-*` headers come from fields of the arguments, at paths that
the operator configures, or from defaults of the listener and of the class. They mean the same as in HTTP.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from eiderhub.interface import Effect, RequestClass
from eiderhub.protocols.thrift import field_paths
from eiderhub.protocols.thrift.definitions import MAX_FRAME_BYTES, Encoding, ExceptionType, MessageHeader, MessageType
from eiderhub.protocols.thrift.field_paths import PathTree, Value
from eiderhub.protocols.thrift.replies import NO_SHED_TYPES, split_service
from eiderhub.routing.plan import Plan
from eiderhub.routing.request_target import RequestAttributes

MAX_ID_BYTES = 128  # of a request id or an idempotency key, as for HTTP
MAX_DEADLINE_MS = 3_600_000
TENANT, KEY, REQUEST_ID, DEADLINE, COST = "tenant", "key", "request_id", "deadline_ms", "cost_us"


@dataclass(frozen=True, slots=True)
class ListenerOptions:
    """Options of the listener, from the table `[thrift]` of the operator's file."""

    host: str
    port: int
    endpoint_encoding: Encoding | None = None  # encoding of endpoints; None: the caller's encoding
    encoding_from_labels: bool = False  # an endpoint's label `thrift=binary` or `thrift=compact` takes precedence
    # Between calls of a connection. Long, because Thrift clients don't reconnect by themselves.
    idle_timeout_us: int = 300_000_000
    max_frame_bytes: int = MAX_FRAME_BYTES  # of calls and of replies
    in_order: bool = True  # responses leave in the order of the calls, for clients that don't match sequence ids
    max_pending_calls: int = 16  # per connection
    default_tenant: str | None = None  # of calls without a tenant field
    default_deadline_us: int = 0  # of calls without a deadline field; 0: the deadline of the class
    field_paths: Mapping[str, tuple[int, ...]] = field(default_factory=dict)  # by the name of the value, such as TENANT
    # Types of TApplicationException by which endpoints shed calls without running them.
    shed_exception_types: frozenset[int] = NO_SHED_TYPES


class CallRejected(Exception):
    """A well-formed call that is not admitted. The caller gets an exception of this type and text.

    The connection stays open.
    """

    def __init__(self, exception_type: int, reason: str) -> None:
        super().__init__(reason)
        self.exception_type = exception_type


@dataclass(frozen=True, slots=True)
class AdmittedCall:
    """The properties of a call that the host needs."""

    class_name: str
    tenant: str | None
    cost_hint_us: int | None
    timeout_us: int
    request_id: bytes  # b"" if the call has none


class CallReader:
    """Reads the properties of the calls that reach one listener."""

    def __init__(self, options: ListenerOptions, tenants: Mapping[bytes, str]) -> None:
        self.options = options
        self.tenants = tenants
        self.path_tree: PathTree | None = (
            field_paths.build_tree(options.field_paths.items()) if options.field_paths else None
        )

    def admit(self, plan: Plan, message: bytes, header: MessageHeader) -> AdmittedCall:
        """Return the properties of a call.

        Raises CallRejected for a well-formed call that can't be admitted, and MalformedMessage for one that can't be
        parsed.
        """
        if header.message_type not in (MessageType.CALL, MessageType.ONEWAY):
            raise CallRejected(
                ExceptionType.INVALID_MESSAGE_TYPE, f"a message of type {int(header.message_type)} is no call"
            )
        values = field_paths.read_values(message, header, self.path_tree) if self.path_tree is not None else {}
        tenant = self._tenant(values)
        request_class = self._request_class(plan, header.name, tenant)
        if request_class is None:
            raise CallRejected(ExceptionType.UNKNOWN_METHOD, "no route takes this call")
        if header.message_type is MessageType.ONEWAY and request_class.effect is Effect.DEDUPLICATED:
            raise CallRejected(
                ExceptionType.INVALID_MESSAGE_TYPE, "a oneway call of a keyed class: nobody would learn of it"
            )
        self._check_key(request_class, values)
        return AdmittedCall(
            request_class.name,
            tenant,
            _read_number(values, COST, 1 << 50),
            self._timeout_us(plan, request_class, values),
            _read_identifier(values, REQUEST_ID),
        )

    def _request_class(self, plan: Plan, name: bytes, tenant: str | None) -> RequestClass | None:
        """Return the class that the routes give; if no route matches, the class named as the method."""
        service, method = split_service(name)
        attributes = RequestAttributes(
            "thrift",
            "",
            (method,),
            {},
            b"",
            tenant,
            service.decode("utf-8", "replace") or None,
            method.decode("utf-8", "replace"),
        )
        return plan.class_of(attributes)

    def _tenant(self, values: Mapping[str, Value]) -> str | None:
        value = values.get(TENANT)
        if value is None:
            if self.options.default_tenant is None and self.tenants:
                raise CallRejected(ExceptionType.PROTOCOL_ERROR, "tenant: missing")
            return self.options.default_tenant
        tenant = self.tenants.get(value) if isinstance(value, bytes) else None
        if tenant is None and self.tenants:  # each unknown name would get its own budget, and take memory
            raise CallRejected(ExceptionType.PROTOCOL_ERROR, "tenant: unknown")
        return tenant

    def _check_key(self, request_class: RequestClass, values: Mapping[str, Value]) -> None:
        """Raise CallRejected if a call of a deduplicated class has no key although a path for it is configured.

        Endpoints drop repeated calls by their key.
        """
        if request_class.effect is not Effect.DEDUPLICATED:
            return
        if KEY in self.options.field_paths and not _read_identifier(values, KEY):
            raise CallRejected(ExceptionType.PROTOCOL_ERROR, "key: missing")

    def _timeout_us(self, plan: Plan, request_class: RequestClass, values: Mapping[str, Value]) -> int:
        timeout_ms = _read_number(values, DEADLINE, MAX_DEADLINE_MS)
        timeout_us = (
            timeout_ms * 1000
            if timeout_ms is not None
            else self.options.default_deadline_us or request_class.deadline_us
        )
        return min(timeout_us, plan.deadline_limits_us.get(request_class.name, timeout_us))


def _read_number(values: Mapping[str, Value], name: str, maximum: int) -> int | None:
    value = values.get(name)
    if value is None:
        return None
    if isinstance(value, bool) or not isinstance(value, int) or not 0 <= value <= maximum:
        raise CallRejected(ExceptionType.PROTOCOL_ERROR, f"{name}: no number within its range")
    return value


def _read_identifier(values: Mapping[str, Value], name: str) -> bytes:
    """Return a string or an integer as bytes; b"" if it is absent. Raises CallRejected for other types and lengths."""
    value = values.get(name)
    if value is None:
        return b""
    if isinstance(value, bool | float):
        raise CallRejected(ExceptionType.PROTOCOL_ERROR, f"{name}: neither text nor a whole number")
    identifier = b"%d" % value if isinstance(value, int) else value
    if not 0 < len(identifier) <= MAX_ID_BYTES:
        raise CallRejected(ExceptionType.PROTOCOL_ERROR, f"{name}: empty or too long")
    return identifier
