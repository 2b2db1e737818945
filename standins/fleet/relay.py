"""A relay between member processes that injects faults.

The relay has one socket for each member, whose address is the one that the other members know. A datagram to a member
arrives at that member's socket here; the sender is identified by its own address, the faults of that direction are
applied, and the datagram is sent on from the sender's socket here. Each member thus sees the others at their addresses
in `peers`.
"""

from __future__ import annotations

import asyncio
import socket
from collections import Counter

from standins.fleet.faults import Faults

Address = tuple[str, int]
RECEIVE_BUFFER_BYTES = 1 << 20


class Relay:
    """Relay sockets for members 0 to count - 1."""

    def __init__(self, count: int, faults: Faults) -> None:
        self.faults = faults
        self.datagrams_sent: Counter[int] = Counter()  # by sender
        self.sockets = [_bound_socket() for _ in range(count)]
        self.addresses: list[Address] = [s.getsockname() for s in self.sockets]
        self.member_addresses: list[Address] = [_free_address() for _ in range(count)]  # where the processes listen
        self._number_at = {address: i for i, address in enumerate(self.member_addresses)}
        self._loop = asyncio.get_running_loop()
        for number, sock in enumerate(self.sockets):
            self._loop.add_reader(sock, self._readable, number)

    def close(self) -> None:
        for sock in self.sockets:
            self._loop.remove_reader(sock)
            sock.close()

    def _readable(self, receiver: int) -> None:
        for _ in range(64):
            try:
                data, source = self.sockets[receiver].recvfrom(2048)
            except (BlockingIOError, InterruptedError):
                return
            except OSError:  # an earlier datagram reached no socket, since its receiver has ended
                continue
            sender = self._number_at.get(source)
            if sender is None:
                continue
            self.datagrams_sent[sender] += 1
            for delay_s, arrived in self.faults.deliveries(sender, receiver, data):
                if delay_s > 0:
                    self._loop.call_later(delay_s, self._deliver, sender, receiver, arrived)
                else:
                    self._deliver(sender, receiver, arrived)

    def _deliver(self, sender: int, receiver: int, data: bytes) -> None:
        sock = self.sockets[sender]
        if sock.fileno() < 0:
            return
        try:
            sock.sendto(data, self.member_addresses[receiver])
        except OSError:  # the buffer is full or the receiver has ended: the datagram is lost
            return


def _bound_socket() -> socket.socket:
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.setblocking(False)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    sock.bind(("127.0.0.1", 0))
    return sock


def _free_address() -> Address:
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.bind(("127.0.0.1", 0))
        address: Address = sock.getsockname()
        return address
