"""Faults of the links between members, for virtual time and for processes; all randomness is passed in."""

from __future__ import annotations

import random
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class Link:
    """Faults in one direction between two members; shares are of its datagrams."""

    loss: float = 0.0  # share that is dropped
    delay_ms: float = 0.0
    jitter_ms: float = 0.0  # upper bound of a uniform further delay, which may reorder datagrams
    duplicated: float = 0.0  # share that is delivered twice
    corrupted: float = 0.0  # share with one flipped bit


PERFECT_LINK = Link()


@dataclass
class Faults:
    """The state of all links. Cuts are stored separately, so that a lossy link can also be cut."""

    rng: random.Random
    default_link: Link = PERFECT_LINK
    links: dict[tuple[int, int], Link] = field(default_factory=dict)
    cuts: set[tuple[int, int]] = field(default_factory=set)  # (sender, receiver)

    def cut(self, senders: set[int], receivers: set[int], both_ways: bool = True) -> None:
        """Drop all datagrams from the senders to the receivers, and in the other direction if `both_ways`."""
        for a in senders:
            for b in receivers - {a}:
                self.cuts.add((a, b))
                if both_ways:
                    self.cuts.add((b, a))

    def heal(self) -> None:
        """Remove all faults."""
        self.cuts.clear()
        self.links.clear()
        self.default_link = PERFECT_LINK

    def deliveries(self, sender: int, receiver: int, data: bytes) -> list[tuple[float, bytes]]:
        """Return the deliveries of a datagram, up to two: the delay in seconds and the data, perhaps corrupted."""
        if (sender, receiver) in self.cuts:
            return []
        link = self.links.get((sender, receiver), self.default_link)
        arrivals = []
        for _ in range(1 + (self.rng.random() < link.duplicated)):
            if self.rng.random() < link.loss:
                continue
            delay_s = (link.delay_ms + link.jitter_ms * self.rng.random()) / 1000
            if data and self.rng.random() < link.corrupted:
                index = self.rng.randrange(len(data))
                data = data[:index] + bytes((data[index] ^ 1 << self.rng.randrange(8),)) + data[index + 1 :]
            arrivals.append((delay_s, data))
        return arrivals
