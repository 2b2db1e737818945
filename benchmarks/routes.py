"""Measures the duration of a route look-up for tables of several shapes with 10, 100, 1,000 and 10,000 routes.

python -m benchmarks.routes
"""

from __future__ import annotations

import random
import statistics
import time
import tracemalloc

from eiderhub.interface import Effect, RequestClass, Settings
from eiderhub.routing.plan import default_plan
from eiderhub.routing.plan_compiler import compile_plan
from eiderhub.routing.request_target import RequestAttributes, segments_of
from eiderhub.routing.table import Route, parse_pattern

SIZES = (10, 100, 1000, 10_000)
LOOKUPS = 20_000
ROUNDS = 7
SETTINGS = Settings(classes=[RequestClass("look", 1_000_000, 3_000_000, Effect.IDEMPOTENT)])


def routes(count: int, shape: str) -> list[Route]:
    """Return that many routes of one shape."""
    result = []
    for i in range(count):
        path, tenant = {
            "exact": (f"/look/part-{i}", None),
            "template": (f"/look/part-{i}/{{id}}", None),
            "prefix": (f"/look/part-{i}/*", None),
            "tenant": ("/look/part", f"t{i}"),
            "mixed": ((f"/look/part-{i}", f"/look/part-{i}/{{id}}", f"/p{i}/*")[i % 3], f"t{i}" if i % 2 else None),
        }[shape]
        result.append(Route(f"r{i}", "look", parse_pattern(path), tenant=tenant))
    return result


def paths(count: int, shape: str, rng: random.Random) -> list[tuple[bytes, str]]:
    """Return paths and tenants of requests that match randomly chosen routes of that shape."""
    requests = []
    for _ in range(LOOKUPS):
        i = rng.randrange(count)
        path = {
            "exact": f"/look/part-{i}",
            "template": f"/look/part-{i}/7",
            "prefix": f"/look/part-{i}/7/8",
            "tenant": "/look/part",
            "mixed": (f"/look/part-{i}", f"/look/part-{i}/7", f"/p{i}/7/8")[i % 3],
        }[shape]
        requests.append((path.encode(), f"t{i}"))
    return requests


def main() -> None:
    without_routes = default_plan(SETTINGS)
    print(f"{'shape':<10} {'routes':>7} {'look-up':>10} {'x 10 routes':>12} {'x first part':>13} {'memory':>10}")
    for shape in ("exact", "template", "prefix", "tenant", "mixed"):
        plans, requests_by_size = {}, {}
        for size in SIZES:
            tracemalloc.start()
            plans[size] = compile_plan(SETTINGS, routes(size, shape), {})
            memory = tracemalloc.get_traced_memory()[0]
            tracemalloc.stop()
            requests_by_size[size] = (paths(size, shape, random.Random(size)), memory)
        times: dict[int, list[float]] = {size: [] for size in SIZES}
        baseline = []
        for _ in range(ROUNDS):
            for size in SIZES:
                times[size].append(time_lookups(plans[size].class_of, requests_by_size[size][0]))
            baseline.append(time_lookups(without_routes.class_of, requests_by_size[10][0]))
        for size in SIZES:
            growth = statistics.median(a / b for a, b in zip(times[size], times[10], strict=True))
            relative = statistics.median(a / b for a, b in zip(times[size], baseline, strict=True))
            print(
                f"{shape:<10} {size:>7} {statistics.median(times[size]):>7.2f} us {growth:>12.2f} {relative:>13.2f} "
                f"{requests_by_size[size][1] / 1024:>7.0f} KiB"
            )


def time_lookups(class_of: object, requests: list[tuple[bytes, str]]) -> float:
    """Return the microseconds per look-up, including the parsing of the path."""
    started = time.perf_counter()
    for path, tenant in requests:
        class_of(RequestAttributes("http", "GET", segments_of(path), tenant=tenant))  # type: ignore[operator]
    return (time.perf_counter() - started) / len(requests) * 1e6


if __name__ == "__main__":
    main()
