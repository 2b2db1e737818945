"""A look-up against the number of routes: the same table shapes with 10, 100, 1,000 and 10,000 routes, in one run.

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
    made = []
    for i in range(count):
        path, tenant = {
            "exact": (f"/look/part-{i}", None),
            "template": (f"/look/part-{i}/{{id}}", None),
            "prefix": (f"/look/part-{i}/*", None),
            "tenant": ("/look/part", f"t{i}"),
            "mixed": ((f"/look/part-{i}", f"/look/part-{i}/{{id}}", f"/p{i}/*")[i % 3], f"t{i}" if i % 2 else None),
        }[shape]
        made.append(Route(f"r{i}", "look", parse_pattern(path), tenant=tenant))
    return made


def paths(count: int, shape: str, chance: random.Random) -> list[tuple[bytes, str]]:
    found = []
    for _ in range(LOOKUPS):
        i = chance.randrange(count)
        path = {
            "exact": f"/look/part-{i}",
            "template": f"/look/part-{i}/7",
            "prefix": f"/look/part-{i}/7/8",
            "tenant": "/look/part",
            "mixed": (f"/look/part-{i}", f"/look/part-{i}/7", f"/p{i}/7/8")[i % 3],
        }[shape]
        found.append((path.encode(), f"t{i}"))
    return found


def main() -> None:
    first_part = default_plan(SETTINGS)
    print(f"{'shape':<10} {'routes':>7} {'look-up':>10} {'x 10 routes':>12} {'x first part':>13} {'memory':>10}")
    for shape in ("exact", "template", "prefix", "tenant", "mixed"):
        plans, asked = {}, {}
        for size in SIZES:
            tracemalloc.start()
            plans[size] = compile_plan(SETTINGS, routes(size, shape), {})
            memory = tracemalloc.get_traced_memory()[0]
            tracemalloc.stop()
            asked[size] = (paths(size, shape, random.Random(size)), memory)
        times: dict[int, list[float]] = {size: [] for size in SIZES}
        base = []
        for _ in range(ROUNDS):
            for size in SIZES:
                times[size].append(spent(plans[size].class_of, asked[size][0]))
            base.append(spent(first_part.class_of, asked[10][0]))
        for size in SIZES:
            ratio = statistics.median(a / b for a, b in zip(times[size], times[10], strict=True))
            against = statistics.median(a / b for a, b in zip(times[size], base, strict=True))
            print(
                f"{shape:<10} {size:>7} {statistics.median(times[size]):>7.2f} us {ratio:>12.2f} {against:>13.2f} "
                f"{asked[size][1] / 1024:>7.0f} KiB"
            )


def spent(grade: object, requests: list[tuple[bytes, str]]) -> float:
    """Microseconds for one look-up, its path read anew."""
    begun = time.perf_counter()
    for path, tenant in requests:
        grade(RequestAttributes("http", "GET", segments_of(path), tenant=tenant))  # type: ignore[operator]
    return (time.perf_counter() - begun) / len(requests) * 1e6


if __name__ == "__main__":
    main()
