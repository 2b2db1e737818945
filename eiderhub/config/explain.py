"""Explains what a configuration does with one request, and lists the differences between two configurations."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any, NamedTuple

from eiderhub.balancer import MAX_ATTEMPTS, MAX_ATTEMPTS_INNER, may_refuse, may_resend
from eiderhub.interface import DedupScope, Effect, RequestClass, Settings
from eiderhub.routing.plan import METHOD, Plan
from eiderhub.routing.request_target import InvalidTargetError, RequestAttributes, segments_of
from eiderhub.schema.units import format_duration, format_size
from eiderhub.sidecar.config import Address, Config, needs_restart

# Zone and cell of the first attempt's endpoint and of another endpoint, as examples for the rules.
FIRST_CELL, OTHER_CELL = ("z", 0), ("y", 1)


class Explanation(NamedTuple):
    """How a request is routed."""

    route: str  # the route's name, or the default rule that matched
    request_class: RequestClass | None
    refusal: str  # why the request is refused; "" if it is accepted


def explain(plan: Plan, request: RequestAttributes, path: bytes) -> Explanation:
    """Find the route and class of a request with the look-up that the running sidecar uses."""
    try:
        request.segments = segments_of(path) if request.protocol == "http" else (path[1:],)
        request_class = plan.class_of(request)
        route = plan.table.find(request) if plan.table else None
    except InvalidTargetError as refused:
        return Explanation("", None, f"400: the target has {refused}")
    if request_class is None and request.protocol != "http":
        return Explanation("", None, "exception 1: no route matches, and the method names no class")
    if request_class is None:
        return Explanation("", None, "404: no route matches, and the first path segment names no class")
    if request.protocol == "http" and request.method != METHOD[request_class.effect]:
        return Explanation(
            route.name if route else "", request_class, f"405: its class accepts {METHOD[request_class.effect]} only"
        )
    default = "the first path segment is its class" if request.protocol == "http" else "the method's name is its class"
    return Explanation(route.name if route else f"the default: {default}", request_class, "")


def permitted_actions(request_class: RequestClass, settings: Settings) -> dict[str, str]:
    """Return what the sidecar may do after an attempt has ended, by the decision module's own rules."""
    attempt_limit = min(MAX_ATTEMPTS if settings.layer == 0 else MAX_ATTEMPTS_INNER, settings.limits.max_attempts)
    attempt_limit = min(attempt_limit, request_class.max_attempts or attempt_limit)
    after_execution = _action_after_attempt(request_class, True, attempt_limit)
    return {
        "after a reset or a time-out (it may have run)": after_execution,
        "after an error (it may have run)": after_execution,
        "after being turned away or not connecting (it never ran)": _action_after_attempt(
            request_class, False, attempt_limit
        ),
    }


def _action_after_attempt(request_class: RequestClass, may_have_run: bool, attempt_limit: int) -> str:
    first = (0, *FIRST_CELL) if may_have_run else None
    window = request_class.dedup_window_us
    same_endpoint = may_resend(request_class.effect, request_class.dedup_scope, window, first, 0, FIRST_CELL)
    other_cell = may_resend(request_class.effect, request_class.dedup_scope, window, first, 0, OTHER_CELL)
    after_window = may_resend(request_class.effect, request_class.dedup_scope, window, first, window + 1, FIRST_CELL)
    answer = (
        "refuse (503)"
        if may_refuse(request_class.effect, request_class.dedup_scope, may_have_run)
        else "fail (502 or 504), as it may have run"
    )
    if not same_endpoint or attempt_limit == 1:
        return f"never send it again; {answer}"
    where = "to any endpoint" if other_cell else f"within its {request_class.dedup_scope.value} only"
    until = "" if after_window else f" for {format_duration(window)} after the first attempt"
    return f"send it again {where}{until}, {attempt_limit} attempts in all; then {answer}"


def describe_pool(request_class: RequestClass) -> str:
    """Return which endpoints may serve the class, as a text."""
    parts = []
    for title, names in (
        ("zones", request_class.allowed_zones),
        ("kinds", request_class.allowed_machine_kinds),
        ("labels", request_class.labels or None),
    ):
        if names is not None:
            parts.append(f"{title} {', '.join(sorted(names)) or 'none'}")
    return "; ".join(parts) or "every endpoint"


class Fact(NamedTuple):
    """One aspect of a configuration's behaviour."""

    subject: str
    what: str
    value: str
    restart: bool  # whether a change needs a restart


def _address(address: Address | None) -> str:
    return f"{address.host}:{address.port}" if address else ""


def list_facts(config: Config) -> list[Fact]:
    """Return all aspects of a configuration's behaviour that `find_differences` compares."""
    plan = config.plan
    assert plan is not None  # `examine` always sets it
    settings = config.settings
    found = [
        Fact("the sidecar", "is named", config.name, True),
        Fact("the sidecar", "listens on", _address(config.listen), True),
        Fact("the sidecar", "polls for endpoints at", _address(config.discovery) or "no address", False),
        Fact("the sidecar", "buffers at most", format_size(config.bounds.buffered_bytes), True),
        Fact("the sidecar", "accepts at most this many connections", str(config.bounds.caller_connections), True),
        Fact(
            "the sidecar",
            "opens at most this many connections to endpoints",
            str(config.bounds.endpoint_connections),
            True,
        ),
        Fact("a request that no route matches", "is handled by the default", plan.default, False),
    ]
    if config.thrift is not None:
        found += _thrift_facts(config.thrift)
    for request_class in settings.classes:
        found += _class_facts(request_class, settings)
    for tenant in settings.tenants:
        found.append(Fact(f"tenant {tenant.name}", "has the share", f"{tenant.share:g}", True))
        found.append(
            Fact(f"tenant {tenant.name}", "has the quota (requests per second)", f"{tenant.quota_per_s:g}", True)
        )
    for name, default in plan.classes_by_first_segment.items():
        spelt = name.decode("utf-8")
        found.append(Fact(f"/{spelt}/...", "has the class", default.variant_of or default.name, False))
        found += _narrowed_facts(f"/{spelt}/...", default, settings)
    for route in plan.table.routes if plan.table else ():
        request_class = plan.classes_by_route[route.name]
        subject = f"route {route.name}"
        conditions = ", ".join(f"{' '.join(c)} = {v}" for c, v in sorted(route.conditions().items()))
        methods = "/".join(sorted(route.methods))
        found.append(Fact(subject, "matches", f"{methods or 'any method'} {route.pattern} {conditions}".strip(), False))
        found.append(Fact(subject, "assigns the class", route.class_name, False))
        found += _narrowed_facts(subject, request_class, settings)
    return found


def _thrift_facts(options: Any) -> list[Fact]:
    encoding = options.endpoint_encoding.name.lower() if options.endpoint_encoding is not None else "the caller's"
    time = format_duration(options.default_deadline_us) if options.default_deadline_us else "the class's"
    values = {
        "listens on": f"{options.host}:{options.port}",
        "encodes calls to endpoints as": f"what they state, else {encoding}"
        if options.encoding_from_labels
        else encoding,
        "accepts frames up to": format_size(options.max_frame_bytes),
        "sends replies": "in order" if options.in_order else "as ready",
        "has at most this many pending calls per connection": str(options.max_pending_calls),
        "closes idle connections after": format_duration(options.idle_timeout_us),
        "assigns calls without a tenant the tenant": options.default_tenant or "none: they are refused",
        "assigns calls without a deadline the deadline": time,
        "treats as refused without being run the exceptions": ", ".join(map(str, sorted(options.shed_exception_types)))
        or "none",
    }
    values.update(
        {f"reads {name} from field": ".".join(map(str, path)) for name, path in sorted(options.field_paths.items())}
    )
    return [Fact("the Thrift port", what, value, True) for what, value in values.items()]


def _class_facts(request_class: RequestClass, settings: Settings) -> list[Fact]:
    subject = f"class {request_class.name}"
    found = [
        Fact(subject, "has the latency objective", format_duration(request_class.objective_us), True),
        Fact(subject, "has the deadline", format_duration(request_class.deadline_us), True),
        Fact(subject, "is worth", f"{request_class.worth:g}, {request_class.late_worth_share:g} of it if late", True),
    ]
    return found + [
        Fact(subject, what, value, True) for what, value in permitted_actions(request_class, settings).items()
    ]


def _narrowed_facts(subject: str, request_class: RequestClass, settings: Settings) -> list[Fact]:
    """Return what a route or a class rule narrows, compared with the class itself."""
    found = [Fact(subject, "is served by", describe_pool(request_class), False)]
    if request_class.variant_of:
        found.append(Fact(subject, "has the deadline", format_duration(request_class.deadline_us), False))
        found.append(Fact(subject, "may be hedged", str(request_class.may_hedge).lower(), False))
        found += [
            Fact(subject, what, value, False) for what, value in permitted_actions(request_class, settings).items()
        ]
    return found


class Difference(NamedTuple):
    """One aspect in which two configurations differ."""

    subject: str
    what: str
    old: str  # "" if added
    new: str  # "" if removed
    restart: bool


def find_differences(old: Config, new: Config) -> list[Difference]:
    """Return what would behave differently, and which of the changes need a restart."""
    before = {(f.subject, f.what): f for f in list_facts(old)}
    after = {(f.subject, f.what): f for f in list_facts(new)}
    differences = []
    for key in dict.fromkeys([*before, *after]):
        old_fact, new_fact = before.get(key), after.get(key)
        if (old_fact.value if old_fact else "") != (new_fact.value if new_fact else ""):
            restart = (new_fact or old_fact).restart  # type: ignore[union-attr]
            differences.append(
                Difference(*key, old_fact.value if old_fact else "", new_fact.value if new_fact else "", restart)
            )
    if not any(d.restart for d in differences):
        restart_keys = needs_restart(old, new)
        differences += [Difference("the sidecar", f"has another {key}", "...", "...", True) for key in restart_keys]
    return differences


def parse_call(text: str) -> tuple[str | None, str]:
    """Return service and method of a call such as `Invoice:issue`, or `issue`. Raises ValueError."""
    service, _, method = text.rpartition(":")
    if not method or any(c.isspace() for c in text):
        raise ValueError('a Thrift call must look like "Invoice:issue"')
    return service or None, method


def parse_request_line(words: Sequence[str]) -> tuple[str, bytes, bytes]:
    """Return method, path and query of a request line such as `POST /despacho/a?b=1`. Raises ValueError."""
    if len(words) not in (2, 3) or (len(words) == 3 and not words[2].startswith("HTTP/")):
        raise ValueError('a request must look like "POST /despacho/a"')
    path, _, query = words[1].encode("utf-8").partition(b"?")
    return words[0], path, query


def describe_deduplication(request_class: RequestClass) -> str:
    """Return which endpoints drop a repeated key, and for how long; "" if the class is not keyed."""
    if request_class.effect is not Effect.DEDUPLICATED:
        return ""
    group = {
        DedupScope.ALL: "all endpoints",
        DedupScope.ZONE: "endpoints of the same zone",
        DedupScope.CELL: "endpoints of the same cell",
    }[request_class.dedup_scope]
    return f"{group} drop a repeat of its key for {format_duration(request_class.dedup_window_us)}"
