"""The cost of admitting a request and finding its class, without routes and with 1,000, in one process.

    python -m benchmarks.admission

Prints the minimum of many short rounds, which alternate between both: on a busy machine the minimum is closest to what
the code itself needs. For comparison, `benchmarks.proxy` measures the sidecar's whole CPU time per request.
"""

from __future__ import annotations

import time
from typing import Any
from unittest.mock import Mock

from eiderhub.interface import Effect, RequestClass, Settings, Tenant
from eiderhub.protocols.http1.request_checks import IncomingRequest
from eiderhub.protocols.http1.server import Server
from eiderhub.routing.plan import Plan, default_plan
from eiderhub.routing.plan_compiler import compile_plan
from eiderhub.routing.table import Route, parse_pattern
from eiderhub.sidecar.callers import Callers
from eiderhub.sidecar.resource_limits import ByteBudget

ROUTES = 1000
ROUNDS = 300
SETTINGS = Settings(
    classes=[RequestClass("look", 1_000_000, 3_000_000, Effect.IDEMPOTENT)], tenants=[Tenant("acme", 1.0)]
)


def make_requests() -> list[IncomingRequest]:
    headers = [(b"Host", b"a"), (b"Req-Owner", b"acme"), (b"Req-Deadline-Ms", b"9000"), (b"Cookie", b"key=77")]
    return [
        IncomingRequest(b"GET", b"/look/part-%d/item?x=1" % i, [*headers, (b"Req-Id", b"%x" % i)], b"", True, 0)
        for i in range(ROUTES)
    ]


def measure(server: Server, host: Any, request_plan: Plan, incoming_requests: list[IncomingRequest]) -> float:
    """Return the microseconds per request."""
    host.plan = request_plan
    server.callers.open_request_ids.clear()
    caller = Mock()
    started_at = time.perf_counter()
    for incoming in incoming_requests:
        server.admit(caller, incoming)
    return (time.perf_counter() - started_at) / len(incoming_requests) * 1e6


def main() -> None:
    host = Mock(settings=SETTINGS)
    server = Server(host, Callers(100, 3.0, ByteBudget(1 << 20)))
    routes = [Route(f"r{i}", "look", parse_pattern(f"/look/part-{i}/{{item}}")) for i in range(ROUTES)]
    plans = {"no routes": default_plan(SETTINGS), f"{ROUTES} routes": compile_plan(SETTINGS, routes, {})}
    incoming_requests = make_requests()
    min_us = dict.fromkeys(plans, float("inf"))
    for _ in range(ROUNDS):
        for name, request_plan in plans.items():
            min_us[name] = min(min_us[name], measure(server, host, request_plan, incoming_requests))
    plain_us, routed_us = min_us.values()
    for name, us in min_us.items():
        print(f"{name:<12} {us:.2f} us per request")
    added_us = routed_us - plain_us
    print(f"routes add {added_us:.2f} us, x {routed_us / plain_us:.2f}")


if __name__ == "__main__":
    main()
