"""Request smuggling: requests that a server could read differently than the sidecar are rejected and not forwarded."""

from __future__ import annotations

from dataclasses import replace

import pytest

from eiderhub.routing.plan_compiler import PoolRule, compile_plan
from eiderhub.routing.table import Route, parse_pattern
from eiderhub.settings import parse_settings
from tests.sidecar_support import SETUP, Sidecar, run

HEADERS = "Host: a\r\nReq-Id: 1\r\nReq-Owner: acme\r\nReq-Deadline-Ms: 2000\r\n"
GET = "GET /look/a HTTP/1.1\r\n" + HEADERS
POST = "POST /pay/a HTTP/1.1\r\n" + HEADERS + "Content-Length: 1\r\n"
KEYED = POST.replace("/pay", "/hold") + "Idempotency-Key: k\r\n"


def get_request(target: str) -> str:
    return GET.replace("/look/a", target) + "\r\n"


CASES = [
    ("dot segments", get_request("/look/../pay/a")),
    ("escaped dot segments", get_request("/look/%2e%2E/pay/a")),
    ("dot segments with parameters", get_request("/look/..;x/pay/a")),
    ("escaped slash", get_request("/look/..%2fpay/a")),
    ("escape of an escape", get_request("/look/%252e%252e/pay/a")),
    ("backslash", get_request("/look\\..\\pay")),
    ("escaped backslash", get_request("/look/%5c..%5cpay")),
    ("double slash", get_request("/look//pay/a")),
    ("NUL", get_request("/look/a%00/pay")),
    ("broken escape", get_request("/look/%2/pay")),
    ("fragment", get_request("/look/a#/../pay")),
    ("absolute form", get_request("http://a/look/a")),
    ("two hosts", GET + "Host: b\r\n\r\n"),
    ("two cookies", GET + "Cookie: key=1\r\nCookie: key=2\r\n\r\n"),
    ("a body on a GET", GET + "Content-Length: 1\r\n\r\nx"),
    ("a key on an unsafe class", POST + "Idempotency-Key: k\r\n\r\nx"),
    ("a key on an idempotent class", GET + "Idempotency-Key: k\r\n\r\n"),
    ("two keys", KEYED + "idempotency-key: l\r\n\r\nx"),
    ("a key under another spelling", KEYED + "Idempotency_Key: l\r\n\r\nx"),
    ("an id under another spelling", GET + "Req_Id: 2\r\n\r\n"),
    ("a length under another spelling", POST + "Content_Length: 0\r\n\r\nx"),
    ("another method", GET + "X-HTTP-Method-Override: POST\r\n\r\n"),
    ("another path", GET + "X-Original-URL: /pay/a\r\n\r\n"),
    ("a key for this connection alone", KEYED + "Connection: keep-alive, idempotency-key\r\n\r\nx"),
    ("an id for this connection alone", GET + "Connection: Req-Id\r\n\r\n"),
]


@pytest.mark.parametrize("raw", [case[1] for case in CASES], ids=[case[0] for case in CASES])
def test_ambiguous_requests_are_rejected_and_reach_no_endpoint(raw: str) -> None:
    """Guards against `GET /look/../pay/a` being admitted as `look` and forwarded to a server that may run `pay`."""

    async def test() -> None:
        async with Sidecar() as sidecar:
            client = await sidecar.client()
            client.writer.write(raw.encode())
            assert (await client.answer()).status == 400
            assert await client.reader.read() == b""
            assert sidecar.host.statistics.accepted == 0
            assert sidecar.endpoints[0].connections == 0

    run(test())


@pytest.mark.parametrize("target", ["/look/a/", "/%6c%6Fok/a?x=../y", "/look/a.b/.c/50%25", "/look/a;v=1"])
def test_unambiguous_requests_are_forwarded_unchanged(target: str) -> None:
    async def test() -> None:
        async with Sidecar() as sidecar:
            client = await sidecar.client()
            client.writer.write(get_request(target).encode())
            received = await sidecar.endpoints[0].next()
            assert received.message.start_line == f"GET {target} HTTP/1.1"
            received.reply()
            assert (await client.answer()).status == 200

    run(test())


SETTINGS = parse_settings(SETUP)
PLAN = compile_plan(
    SETTINGS,
    [
        Route("stock", "look", parse_pattern("/stock/{id}"), pool="first", deadline_us=300_000),
        Route("slow", "look", parse_pattern("/stock/{id}"), headers=(("x-kind", "slow"),), attempts=1),
        Route("cart", "pay", parse_pattern("/cart/*"), methods=frozenset(("POST",))),
    ],
    {"first": PoolRule("first", zones=frozenset(("z",)))},
)


def test_routes_apply_to_requests_over_sockets() -> None:
    """The class, pool, deadline and attempts of a route apply to the requests that are sent to endpoints."""

    async def test() -> None:
        async with Sidecar(endpoints=2, plan=PLAN) as sidecar:
            client = await sidecar.client()
            client.writer.write(get_request("/Stock/%37/").encode())  # no endpoint is in zone z, so nothing may be sent
            answer = await client.answer()
            assert (answer.status, sidecar.host.requests) == (503, {})
            client.writer.write((get_request("/stock/7")[:-2] + "X-Kind: slow\r\n\r\n").encode())
            received = await sidecar.next()
            assert received.message.headers["x-kind"] == "slow"
            received.reply(500)
            assert (await client.answer()).status == 503  # one attempt; a refusal, because the class is idempotent
            other_client = await sidecar.client()
            other_client.writer.write((get_request("/stock/7")[:-2] + "X-Kind: slow\r\nx-kind: fast\r\n\r\n").encode())
            assert (await other_client.answer()).status == 400
            for path, status in (("/cart/a", 404), ("/stock", 404)):
                other_client = await sidecar.client()
                other_client.writer.write(get_request(path).encode())
                assert (await other_client.answer()).status == status
            last = await sidecar.client()
            last.writer.write((POST.replace("/pay/a", "/cart/a") + "\r\nx").encode())
            received = await sidecar.next()
            received.reset()  # it may have run, so it fails and is not retried
            assert (await last.answer()).status == 502
            assert all(fake.received.empty() for fake in sidecar.endpoints)

    run(test())


def test_the_deadline_of_a_route_reaches_the_endpoint() -> None:
    tighter_plan = compile_plan(SETTINGS, [Route("stock", "look", parse_pattern("/stock/*"), deadline_us=300_000)], {})

    async def test() -> None:
        async with Sidecar(plan=tighter_plan) as sidecar:
            client = await sidecar.client()
            client.writer.write(get_request("/stock/7").encode())
            received = await sidecar.next()
            assert int(received.message.headers["req-deadline-ms"]) < 300
            assert (await client.answer()).status in (503, 504)

    run(test())


def test_new_routes_apply_to_new_requests_and_pending_ones_keep_the_old() -> None:
    async def test() -> None:
        async with Sidecar(plan=PLAN) as sidecar:
            old, new = await sidecar.client(), await sidecar.client()
            old.writer.write((POST.replace("/pay/a", "/cart/a") + "\r\nx").encode())
            received = await sidecar.next()
            changed = compile_plan(SETTINGS, [Route("cart", "look", parse_pattern("/cart/*"), attempts=2)], {})
            sidecar.host.reload(replace(sidecar.config, plan=changed))
            new.writer.write(get_request("/cart/b").replace("Req-Id: 1", "Req-Id: 2").encode())
            other_request = await sidecar.next()
            assert other_request.message.start_line.startswith("GET /cart/b")
            received.reset()
            assert (await old.answer()).status == 502
            other_request.reply()
            assert (await new.answer()).status == 200

    run(test())
