"""Starts the real program with a configuration and sends one example request through each route and each class path."""

from __future__ import annotations

import asyncio
import json
import random
import tempfile
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any, NamedTuple
from urllib.parse import quote, urlencode

from eiderhub.config.load import SourceFile, examine
from eiderhub.interface import Effect, RequestClass
from eiderhub.routing.conflicts import example_path
from eiderhub.routing.plan import METHOD, Plan
from eiderhub.routing.request_target import RequestAttributes, segments_of
from eiderhub.routing.table import Route
from eiderhub.sidecar.config import Config
from standins.discovery import Discovery, row
from standins.endpoint import Behaviour, Endpoint, ExecutionLog
from standins.http import format_request, read_message
from standins.program import running_sidecar

MAX_EXAMPLES = 6  # per configuration
MARGIN_S = 0.06  # a failure may be answered up to this long before the latency objective
MAX_LATE_ANSWERS = 4  # per example: on a busy machine an answer may miss its deadline


class ExampleRequest(NamedTuple):
    """A request that a configuration serves, and its expected class."""

    target: str
    headers: dict[str, str]
    request_class: RequestClass


def example_requests(plan: Plan) -> Iterator[ExampleRequest]:
    """Yield one request for each HTTP route and, by default routing, one for each class."""
    for route in plan.table.routes if plan.table else ():
        if route.protocol in (None, "http") and not route.service and not route.call:
            headers = dict(route.headers)
            if route.tenant:
                headers["Req-Owner"] = route.tenant
            target = example_path(route.pattern) + ("?" + urlencode(route.query) if route.query else "")
            yield ExampleRequest(target, headers, _matching_class(plan, route, target, headers))
    if plan.default == "first-part":
        for name, request_class in plan.classes_by_first_segment.items():
            path = f"/{quote(name, safe='')}/a"
            try:
                segments = segments_of(path.encode())
            except ValueError:
                continue  # no path can contain the name; the checker warns of that
            if segments[0] == name:
                yield ExampleRequest(
                    path,
                    {},
                    plan.class_of(RequestAttributes("http", METHOD[request_class.effect], segments)) or request_class,
                )


def _matching_class(plan: Plan, route: Route, target: str, headers: dict[str, str]) -> RequestClass:
    """Return the class of a route's example request. Another, narrower route may match it."""
    path, _, query = target.partition("?")
    header_values = {name.lower().encode(): value.encode() for name, value in headers.items()}
    method = METHOD[plan.classes_by_route[route.name].effect]
    attributes = RequestAttributes(
        "http", method, segments_of(path.encode()), header_values, query.encode(), headers.get("Req-Owner")
    )
    return plan.class_of(attributes) or plan.classes_by_route[route.name]


def rows_for(config: Config, address: str) -> list[dict[str, Any]]:
    """Return entries for one endpoint, one for each class, with the zone, kind and labels that the class requires."""
    rows = [row("s-0", address, zone=config.settings.zone)]
    for i, request_class in enumerate(config.plan.settings.classes if config.plan else ()):
        zone = sorted(request_class.allowed_zones)[0] if request_class.allowed_zones else config.settings.zone
        kind = sorted(request_class.allowed_machine_kinds)[0] if request_class.allowed_machine_kinds else "m"
        labels = dict(label.split("=", 1) for label in request_class.labels)
        rows.append(row(f"s-{i + 1}", address, zone=zone, machineType=kind, metadata=labels))
    return rows


async def serve_through(document: dict[str, Any], operator: str | None) -> int:
    """Start the program, send every example request, and return how many were served. Asserts on each answer."""
    texts = (json.dumps(document).encode(), (operator or "").encode())
    examined = examine(SourceFile("sidecar.json", texts[0]), SourceFile("operator.toml", texts[1]))
    assert examined.config is not None, examined.errors
    assert examined.config.plan is not None
    plan = examined.config.plan
    execution_log = ExecutionLog()
    endpoint = await Endpoint(execution_log, Behaviour(), random.Random(1)).start()
    discovery = await Discovery().start()
    for entry in rows_for(examined.config, endpoint.address):
        discovery.update(entry)
    document_with_discovery = {**document, "discovery": discovery.address}
    served: set[str] = set()
    late: set[str] = set()
    with tempfile.TemporaryDirectory() as folder:
        async with running_sidecar(Path(folder), document_with_discovery, operator) as (_, host, port):
            async with asyncio.timeout(5):
                while not discovery.request_count:  # the known list may be outdated until the first poll
                    await asyncio.sleep(0.005)
            for example in list(example_requests(plan))[:MAX_EXAMPLES]:
                for _ in range(MAX_LATE_ANSWERS + 1):
                    name = f"r{len(served) + len(late)}"
                    if await _send(host, port, example, name, examined.config):
                        served.add(name)
                        break
                    late.add(name)
    endpoint.stop()
    discovery.stop()
    assert {name for _, name in execution_log.runs} - late == served  # hedges of harmless requests may have run too
    return len(served)


async def _send(host: str, port: int, example: ExampleRequest, name: str, config: Config) -> bool:
    """Return whether the request was served. Any other answer must be a 502, 503 or 504 after the latency objective."""
    tenant = config.settings.tenants[0].name if config.settings.tenants else "nobody"
    headers = {"Host": "a", "Req-Id": name, "Req-Owner": tenant, "Req-Deadline-Ms": "5000", **example.headers}
    if example.request_class.effect is Effect.DEDUPLICATED:
        headers["Idempotency-Key"] = f"k{name}"
    reader, writer = await asyncio.open_connection(host, port)
    writer.write(format_request(METHOD[example.request_class.effect], example.target, headers))
    sent_at = time.monotonic()
    answer = await read_message(reader)
    writer.close()
    if (
        answer.status in (502, 503, 504)
        and time.monotonic() - sent_at > example.request_class.objective_us / 1e6 - MARGIN_S
    ):
        return False
    assert (answer.status, answer.body) == (200, example.target.encode()), (example, answer.start_line, answer.body)
    return True
