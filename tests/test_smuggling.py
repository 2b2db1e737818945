"""Requests that a server could read as another one than the sidecar did: refused, and sent to nobody."""

from __future__ import annotations

from dataclasses import replace

import pytest

from eiderhub.routing.compile import PoolRule, plan
from eiderhub.routing.table import Route, read_pattern
from eiderhub.settings import parse_settings
from tests.sidecar_support import SETUP, Sidecar, run

OWN = "Host: a\r\nReq-Id: 1\r\nReq-Owner: acme\r\nReq-Deadline-Ms: 2000\r\n"
GET = "GET /look/a HTTP/1.1\r\n" + OWN
POST = "POST /pay/a HTTP/1.1\r\n" + OWN + "Content-Length: 1\r\n"
KEYED = POST.replace("/pay", "/hold") + "Idempotency-Key: k\r\n"


def at(target: str) -> str:
    return GET.replace("/look/a", target) + "\r\n"


CASES = [
    ("dot segments", at("/look/../pay/a")),
    ("escaped dot segments", at("/look/%2e%2E/pay/a")),
    ("dot segments with parameters", at("/look/..;x/pay/a")),
    ("escaped slash", at("/look/..%2fpay/a")),
    ("escape of an escape", at("/look/%252e%252e/pay/a")),
    ("backslash", at("/look\\..\\pay")),
    ("escaped backslash", at("/look/%5c..%5cpay")),
    ("double slash", at("/look//pay/a")),
    ("NUL", at("/look/a%00/pay")),
    ("broken escape", at("/look/%2/pay")),
    ("fragment", at("/look/a#/../pay")),
    ("absolute form", at("http://a/look/a")),
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
def test_what_has_two_readings_is_refused_and_reaches_nobody(raw: str) -> None:
    """Seen: `GET /look/../pay/a` was served as `look`, and went on as it came to a server that may run `pay`."""

    async def test() -> None:
        async with Sidecar() as sidecar:
            client = await sidecar.client()
            client.writer.write(raw.encode())
            assert (await client.answer()).status == 400
            assert await client.reader.read() == b""
            assert sidecar.host.accepted_count == 0
            assert sidecar.endpoints[0].connections == 0

    run(test())


@pytest.mark.parametrize("target", ["/look/a/", "/%6c%6Fok/a?x=../y", "/look/a.b/.c/50%25", "/look/a;v=1"])
def test_what_has_one_reading_goes_on_as_it_came(target: str) -> None:
    async def test() -> None:
        async with Sidecar() as sidecar:
            client = await sidecar.client()
            client.writer.write(at(target).encode())
            asked = await sidecar.endpoints[0].next()
            assert asked.message.start_line == f"GET {target} HTTP/1.1"
            asked.reply()
            assert (await client.answer()).status == 200

    run(test())


SETTINGS = parse_settings(SETUP)
PLAN = plan(
    SETTINGS,
    [
        Route("stock", "look", read_pattern("/stock/{id}"), pool="first", deadline_us=300_000),
        Route("slow", "look", read_pattern("/stock/{id}"), headers=(("x-kind", "slow"),), attempts=1),
        Route("cart", "pay", read_pattern("/cart/*"), methods=frozenset(("POST",))),
    ],
    {"first": PoolRule("first", zones=frozenset(("z",)))},
)


def test_routes_over_sockets() -> None:
    """Class, pool, deadline and attempts of a route hold for what really goes out."""

    async def test() -> None:
        async with Sidecar(endpoints=2, plan=PLAN) as sidecar:
            client = await sidecar.client()
            client.writer.write(at("/Stock/%37/").encode())  # no endpoint lies in zone z, so nothing may leave
            answer = await client.answer()
            assert (answer.status, sidecar.host.requests) == (503, {})
            client.writer.write((at("/stock/7")[:-2] + "X-Kind: slow\r\n\r\n").encode())
            asked = await sidecar.next()
            assert asked.message.headers["x-kind"] == "slow"
            asked.reply(500)
            assert (await client.answer()).status == 503  # one attempt; a refusal, for the class is idempotent
            again = await sidecar.client()
            again.writer.write((at("/stock/7")[:-2] + "X-Kind: slow\r\nx-kind: fast\r\n\r\n").encode())
            assert (await again.answer()).status == 400
            for path, status in (("/cart/a", 404), ("/stock", 404)):
                again = await sidecar.client()
                again.writer.write(at(path).encode())
                assert (await again.answer()).status == status
            last = await sidecar.client()
            last.writer.write((POST.replace("/pay/a", "/cart/a") + "\r\nx").encode())
            asked = await sidecar.next()
            asked.reset()  # it may have run: nothing is promised, and nothing sent again
            assert (await last.answer()).status == 502
            assert all(fake.received.empty() for fake in sidecar.endpoints)

    run(test())


def test_the_deadline_of_a_route_reaches_the_endpoint() -> None:
    tight = plan(SETTINGS, [Route("stock", "look", read_pattern("/stock/*"), deadline_us=300_000)], {})

    async def test() -> None:
        async with Sidecar(plan=tight) as sidecar:
            client = await sidecar.client()
            client.writer.write(at("/stock/7").encode())
            asked = await sidecar.next()
            assert int(asked.message.headers["req-deadline-ms"]) < 300
            assert (await client.answer()).status in (503, 504)

    run(test())


def test_new_routes_hold_for_new_requests_and_what_is_out_ends_under_the_old() -> None:
    async def test() -> None:
        async with Sidecar(plan=PLAN) as sidecar:
            old, new = await sidecar.client(), await sidecar.client()
            old.writer.write((POST.replace("/pay/a", "/cart/a") + "\r\nx").encode())
            asked = await sidecar.next()
            changed = plan(SETTINGS, [Route("cart", "look", read_pattern("/cart/*"), attempts=2)], {})
            sidecar.host.reload(replace(sidecar.config, plan=changed))
            new.writer.write(at("/cart/b").replace("Req-Id: 1", "Req-Id: 2").encode())
            other = await sidecar.next()
            assert other.message.start_line.startswith("GET /cart/b")
            asked.reset()
            assert (await old.answer()).status == 502
            other.reply()
            assert (await new.answer()).status == 200

    run(test())
