"""Clients and servers of independent libraries work through the sidecar unchanged, in every mix of encodings."""

from __future__ import annotations

import asyncio
import queue
import socket
import threading
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

import pytest
import thriftpy2
from thrift.protocol.TBinaryProtocol import TBinaryProtocol
from thrift.protocol.TCompactProtocol import TCompactProtocol
from thrift.Thrift import TApplicationException, TMessageType
from thrift.transport.TSocket import TSocket
from thrift.transport.TTransport import TFramedTransport
from thriftpy2.protocol import TBinaryProtocolFactory, TCompactProtocolFactory
from thriftpy2.rpc import make_client
from thriftpy2.server import TThreadedServer
from thriftpy2.thrift import TApplicationException as OtherException
from thriftpy2.thrift import TProcessor
from thriftpy2.transport import TFramedTransportFactory, TServerSocket

from eiderhub.protocols.thrift.admission import ListenerOptions
from eiderhub.protocols.thrift.definitions import Encoding, TType
from eiderhub.protocols.thrift.replies import LOAD_SHEDDING
from eiderhub.routing.plan_compiler import compile_plan
from eiderhub.routing.table import Route
from eiderhub.settings import parse_settings
from tests.sidecar_support import SETUP, FakeServer, Sidecar, run
from tests.thrift.peers import ThriftFake
from tests.thrift.values import write

shop: Any = thriftpy2.load(str(Path(__file__).with_name("shop.thrift")), module_name="shop_thrift")
FACTORIES = {Encoding.BINARY: TBinaryProtocolFactory, Encoding.COMPACT: TCompactProtocolFactory}
APACHE = {Encoding.BINARY: TBinaryProtocol, Encoding.COMPACT: TCompactProtocol}
MIXES = [(a, b) for a in Encoding for b in Encoding]


def order(**changes: Any) -> Any:
    lines = [shop.Line(7, 12.5, True, "now"), shop.Line(-1, float("inf"), False)]
    values = {
        "key": "k-é", "deadline_ms": 2000, "lines": lines, "counts": {"a": 1 << 62, "b": -1}, "bays": {1, -300},
        "token": b"\x00\xff" * 9, "kind": shop.Kind.RUSH, "flags": {1: [True, False, True], -5: []}, "small": -128,
        "empty": {},
    }  # fmt: skip
    return shop.Order(**{**values, **changes})


class Handler:
    """What thriftpy2's server runs."""

    def __init__(self) -> None:
        self.noted: queue.Queue[str] = queue.Queue()
        self.encoding = Encoding.BINARY
        self.port = 0

    def look(self, order: Any) -> Any:
        return order

    def pay(self, order: Any) -> int:
        if order.key == "sold":
            raise shop.Sold("yesterday")
        if order.key == "broken":
            raise ValueError("broken")
        return len(order.lines) << 40

    def note(self, text: str) -> None:
        self.noted.put(text)


def thriftpy2_client(port: int, encoding: Encoding) -> Any:
    return make_client(
        shop.Shop,
        "127.0.0.1",
        port,
        proto_factory=FACTORIES[encoding](),
        trans_factory=TFramedTransportFactory(),
        timeout=5000,
    )


@contextmanager
def serving(encoding: Encoding) -> Iterator[tuple[Handler, str]]:
    """thriftpy2's own server, in a thread, on a free port."""
    handler = Handler()
    listening = socket.create_server(("127.0.0.1", 0))
    handler.encoding, handler.port = encoding, listening.getsockname()[1]
    place: Any = TServerSocket(host="127.0.0.1", port=handler.port)  # type: ignore[no-untyped-call]
    place.sock = listening
    place.listen = lambda: None
    server = TThreadedServer(
        TProcessor(shop.Shop, handler),
        place,
        iprot_factory=FACTORIES[encoding](),
        itrans_factory=TFramedTransportFactory(),
        daemon=True,
    )
    threading.Thread(target=server.serve, daemon=True).start()
    try:
        yield handler, f"127.0.0.1:{handler.port}"
    finally:
        server.close()
        listening.close()


def through(caller: Encoding, endpoint: Encoding, talk: Any) -> None:
    """Let a blocking client talk, in a thread, through a sidecar to thriftpy2's server."""
    fields = {"key": (1, 1), "deadline_ms": (1, 2)}

    async def test(handler: Handler, address: str) -> None:
        class Elsewhere(FakeServer):
            async def start(self) -> FakeServer:
                await super().start()
                self.address = address
                return self

        options = ListenerOptions("127.0.0.1", 0, endpoint_encoding=endpoint, default_tenant="acme", field_paths=fields)
        routes = compile_plan(parse_settings(SETUP), [Route("notes", "pay", protocol="thrift", call="note")], {})
        async with Sidecar(thrift=options, fake=Elsewhere, plan=routes) as sidecar:
            await asyncio.to_thread(talk, sidecar.thrift_port, caller, handler)

    with serving(endpoint) as (handler, address):
        run(test(handler, address))


@pytest.mark.parametrize(("caller", "endpoint"), MIXES)
def test_thriftpy2_talks_to_itself_as_if_nobody_were_between(caller: Encoding, endpoint: Encoding) -> None:
    def talk(port: int, encoding: Encoding, handler: Handler) -> None:
        client = thriftpy2_client(port, encoding)
        direct = thriftpy2_client(handler.port, handler.encoding)
        as_it_comes = direct.look(order())
        direct.close()
        for _ in range(3):
            assert client.look(order()) == as_it_comes
        assert client.pay(order()) == 2 << 40
        with pytest.raises(shop.Sold) as sold:  # declared: the application's own answer
            client.pay(order(key="sold"))
        assert sold.value.why == "yesterday"
        assert client.look(order(key="again")).key == "again"
        with pytest.raises(OtherException):  # the server closes on what its handler did not expect
            client.pay(order(key="broken"))
        client.note("gone and heard of")
        assert handler.noted.get(timeout=5) == "gone and heard of"
        assert client.pay(order()) == 2 << 40
        with pytest.raises(OtherException) as missing:
            client.look(order(deadline_ms=-1))
        assert missing.value.type == 7
        client.close()

    through(caller, endpoint, talk)


@pytest.mark.parametrize(("caller", "endpoint"), MIXES)
def test_apaches_client_reads_what_thriftpy2_serves(caller: Encoding, endpoint: Encoding) -> None:
    def talk(port: int, encoding: Encoding, handler: Handler) -> None:
        plug = TSocket("127.0.0.1", port)
        plug.setTimeout(5000)
        framing = TFramedTransport(plug)
        framing.open()
        protocol = APACHE[encoding](framing)

        def call(name: str, kind: int, key: bytes) -> None:
            asked = [
                (1, (TType.STRING, key)),
                (2, (TType.I32, 2000)),
                (3, (TType.LIST, (TType.STRUCT, [[(1, (TType.I32, 5))]]))),
            ]
            protocol.writeMessageBegin(name, kind, 12)
            write(protocol, TType.STRUCT, [(1, (TType.STRUCT, asked))])
            protocol.writeMessageEnd()
            framing.flush()

        call("pay", TMessageType.CALL, b"k")
        assert protocol.readMessageBegin() == ("pay", TMessageType.REPLY, 12)
        protocol.readStructBegin()
        assert protocol.readFieldBegin()[1:] == (TType.I64, 0)
        assert protocol.readI64() == 1 << 40
        protocol.readFieldEnd()
        assert protocol.readFieldBegin()[1] == TType.STOP
        protocol.readStructEnd()
        protocol.readMessageEnd()
        call("nothing", TMessageType.CALL, b"k")
        assert protocol.readMessageBegin() == ("nothing", TMessageType.EXCEPTION, 12)
        error = TApplicationException()
        error.read(protocol)
        protocol.readMessageEnd()
        assert error.type == TApplicationException.UNKNOWN_METHOD
        framing.close()

    through(caller, endpoint, talk)


@pytest.mark.parametrize("encoding", list(Encoding))
def test_refusals_reach_clients_as_exceptions_of_a_type_of_their_own(encoding: Encoding) -> None:
    async def test() -> None:
        options = ListenerOptions("127.0.0.1", 0, default_tenant="acme")
        async with Sidecar(0, thrift=options, fake=ThriftFake) as sidecar:

            def talk() -> OtherException:
                client = thriftpy2_client(sidecar.thrift_port, encoding)
                with pytest.raises(OtherException) as told:
                    client.pay(order())
                client.close()
                return told.value

            error = await asyncio.to_thread(talk)
            assert error.type == LOAD_SHEDDING
            assert str(error.message).startswith("refused: nothing has run")

    run(test())
