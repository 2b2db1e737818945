"""The network between clients and the sidecar is cut; clients give up and close: does their work still run later?"""

import asyncio
import socket
from pathlib import Path

from rig2 import (
    TROUBLE,
    Client,
    Discovery,
    Endpoint,
    Record,
    Sidecar,
    now,
    play,
    read_message,
    request,
    running,
    small_deployment,
)

CLIENTS = 8
BURST, BURST_INTERVAL_S = 12, 0.5
CUT_S = 4.4  # "for 6 s a zone is partitioned"
SENT_AFTER_S = 0.2  # in the cut
GIVEN_UP_AFTER_S = 3.1  # "A try is given up after 50 to 60% of the class's give-up time": 3 to 3.6 s of 6 s
AFTER_CLOSE_S = 0.1 + 0.05  # "more than 0.1 s after the close is a break"; "each time limit is 50 ms longer"


class Network:
    """Stands between clients and the sidecar: in a cut it says nothing, and delivers afterwards, as TCP does."""

    def __init__(self, sidecar: Sidecar) -> None:
        self.sidecar = sidecar
        self.healed = asyncio.Event()
        self.healed.set()

    async def listen(self) -> None:
        self.server = await asyncio.start_server(self._connected, "127.0.0.1", 0)
        self.port = int(self.server.sockets[0].getsockname()[1])

    async def _connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        loop = asyncio.get_running_loop()
        far = socket.socket()
        far.setblocking(False)
        await loop.sock_connect(far, (self.sidecar.host, self.sidecar.port))
        back = asyncio.create_task(self._deliver_answers(far, writer))
        try:
            while data := await reader.read(65536):
                if not self.healed.is_set():
                    await self.healed.wait()
                    if reader.at_eof():  # what waits at the client's end, its close included, is sent as one segment
                        far.send(data, socket.MSG_MORE)
                        break
                await loop.sock_sendall(far, data)
        except OSError:
            pass
        finally:
            back.cancel()
            await asyncio.gather(back, return_exceptions=True)
            far.close()
            writer.close()

    async def _deliver_answers(self, far: socket.socket, writer: asyncio.StreamWriter) -> None:
        loop = asyncio.get_running_loop()
        while data := await loop.sock_recv(far, 65536):
            await self.healed.wait()
            writer.write(data)
        writer.close()


class LeavingClient:
    """Uses a kept connection; gives its second request up after the time of a try, and closes."""

    def __init__(self, network: Network, record: Record, number: int) -> None:
        self.network, self.record, self.number = network, record, number
        self.request_id = f"c{number:015x}"
        self.closed_at = 0.0
        self.status = 0

    async def connect(self) -> None:
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.network.port)
        self.writer.write(request("reserva", f"b{self.number:015x}", 2500))
        await read_message(self.reader)

    async def send_and_leave(self) -> None:
        self.writer.write(request("despacho", self.request_id, 6000))
        self.record.add(f"client sends {self.request_id}")
        try:
            self.status = (await asyncio.wait_for(read_message(self.reader), GIVEN_UP_AFTER_S)).status
            self.record.add(f"client gets {self.request_id}: {self.status}")
        except TimeoutError:
            self.record.add(f"client gives {self.request_id} up and closes its connection")
        self.closed_at = now()
        self.writer.close()


async def in_bursts(client: Client, until_s: float) -> None:
    """Send some requests at a time, as the site's "bursty" load does, so that connections to endpoints are open."""
    number = 0
    while now() < until_s:
        requests = (client.send("despacho", f"a{number + i:015x}", 6000) for i in range(BURST))
        number += BURST
        await asyncio.gather(asyncio.sleep(BURST_INTERVAL_S), *requests)


async def case(record: Record, folder: Path) -> bool:
    discovery = Discovery(record)
    await discovery.listen()
    endpoints = [Endpoint(f"s-{i}", record, 0.15) for i in range(4)]
    for endpoint in endpoints:
        await endpoint.listen()
        discovery.set(endpoint.name, endpoint.address)
    sidecar = Sidecar(folder, discovery, small_deployment())
    async with running(sidecar):
        network = Network(sidecar)
        await network.listen()
        other = Client(sidecar, record)  # on this side of the cut
        load = asyncio.create_task(in_bursts(other, now() + CUT_S + 4.0))
        clients = [LeavingClient(network, record, i) for i in range(CLIENTS)]
        await asyncio.gather(*(client.connect() for client in clients))
        if TROUBLE:
            network.healed.clear()
            record.add("the network between these clients and the sidecar is cut")
        await asyncio.sleep(SENT_AFTER_S)
        sends = asyncio.gather(*(client.send_and_leave() for client in clients))
        await asyncio.sleep(CUT_S - SENT_AFTER_S)
        network.healed.set()
        record.add("the network is whole")
        await asyncio.gather(sends, load)
    closed_at = {client.request_id: client.closed_at for client in clients}
    late = []
    for endpoint in endpoints:
        for at, message in endpoint.attempts:
            if at > closed_at.get(message.request_id, at) + AFTER_CLOSE_S:
                late.append(message.request_id)
                after = at - closed_at[message.request_id]
                record.add(f"{endpoint.name} began {message.request_id} {after:.2f} s after its client's close", at)
    record.add(f"{CLIENTS} unsafe requests; {len(late)} began after their client had gone")
    return not late


play(__file__, case)
