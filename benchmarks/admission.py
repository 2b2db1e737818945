"""What reading a request and finding its class costs, without routes and with 1,000, in one process.

    python -m benchmarks.admission

The least of many short rounds, taken by turns: on a busy machine the least is what the code needs, and the rest is the
machine. `benchmarks.proxy` has the sidecar's whole CPU for a request, to hold it against.
"""

from __future__ import annotations

import time
from typing import Any
from unittest.mock import Mock

from eiderhub.interface import Effect, RequestClass, Settings, Tenant
from eiderhub.protocols.http1.server import IncomingRequest, Server
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


def requests() -> list[IncomingRequest]:
    headers = [(b"Host", b"a"), (b"Req-Owner", b"acme"), (b"Req-Deadline-Ms", b"9000"), (b"Cookie", b"key=77")]
    return [
        IncomingRequest(b"GET", b"/look/part-%d/item?x=1" % i, [*headers, (b"Req-Id", b"%x" % i)], b"", True, 0)
        for i in range(ROUTES)
    ]


def spent(server: Server, host: Any, chosen: Plan, asked: list[IncomingRequest]) -> float:
    """Microseconds for one request."""
    host.plan = chosen
    server.callers.open_request_ids.clear()
    caller = Mock()
    begun = time.perf_counter()
    for incoming in asked:
        server.admit(caller, incoming)
    return (time.perf_counter() - begun) / len(asked) * 1e6


def main() -> None:
    host = Mock(settings=SETTINGS)
    server = Server(host, Callers(100, 3.0, ByteBudget(1 << 20)))
    routes = [Route(f"r{i}", "look", parse_pattern(f"/look/part-{i}/{{item}}")) for i in range(ROUTES)]
    plans = {"no routes": default_plan(SETTINGS), f"{ROUTES} routes": compile_plan(SETTINGS, routes, {})}
    asked = requests()
    least = dict.fromkeys(plans, float("inf"))
    for _ in range(ROUNDS):
        for name, chosen in plans.items():
            least[name] = min(least[name], spent(server, host, chosen, asked))
    without, with_routes = least.values()
    for name, us in least.items():
        print(f"{name:<12} {us:.2f} us a request")
    more = with_routes - without
    print(f"routes add {more:.2f} us, x {with_routes / without:.2f}")


if __name__ == "__main__":
    main()
