"""Who is believed to be there: one table, its digests, and which views can be called agreed. No I/O, no clock."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field

from eiderhub.fleet.messages import Change, State, digest

PARTS = 16  # of the view, each with a digest of its own: 64 bytes in a datagram
PART_BYTES = 4
HERE = (State.ALIVE, State.SUSPECT)  # a suspect may still refute: it counts until it is gone
Address = tuple[str, int]


@dataclass(slots=True)
class Member:
    """One entry of the table."""

    told: Change
    since_us: int  # when its state was last changed
    word: str  # who said so
    part: int = 0  # of the view that it belongs to
    sum: int = 0  # what it adds to the view while it is here; 0 otherwise
    doubters: set[bytes] = field(default_factory=set)  # who came to suspect it, while it is suspect
    gone_at_us: int = 0  # when a suspect is given up
    view: bytes = b""  # the view that it last told
    view_us: int = -1  # and when
    heard_us: int = -1  # when it last spoke itself

    @property
    def here(self) -> bool:
        return self.told.state in HERE


@dataclass(frozen=True, slots=True)
class Agreement:
    """Which of the roster hold one view with us, as far as they have told lately."""

    view: bytes
    same: tuple[str, ...]  # our own name among them
    other: tuple[str, ...]  # those that hold another
    unheard: tuple[str, ...]  # believed to be there, and silent since then
    roster: int

    @property
    def all_reached(self) -> bool:
        """Whether everyone that we can reach holds this view."""
        return not self.other

    @property
    def majority(self) -> bool:
        """Whether more than half of the roster holds it: no two views can both have that."""
        return 2 * len(self.same) > self.roster


class Table:
    """All members that are known, ourselves among them, with a digest that follows each change.

    The digest is over those that are here: name, incarnation and build. Whether a member is under suspicion differs for
    moments from place to place, and how long the gone are remembered does for good: neither is part of the view.
    """

    def __init__(self, me: Change, now: int) -> None:
        self.me = me.name
        self.members: dict[str, Member] = {}
        self.suspects: dict[str, Member] = {}
        self.gone: dict[str, Member] = {}
        self.addresses: Counter[bytes] = Counter()  # of all that are known, gone or not: how many have each
        self.here = 0
        self._view = 0
        self._parts = [0] * PARTS
        self.put(me, now, me.name)

    @property
    def own(self) -> Change:
        return self.members[self.me].told

    def get(self, name: str) -> Member | None:
        return self.members.get(name)

    def put(self, told: Change, now: int, word: str) -> Member:
        """Believe this of a member from now on, whatever was believed before."""
        member = self.members.get(told.name)
        if member is None:
            member = self.members[told.name] = Member(told, now, word, part_of(told.name))
        else:
            self._leave_address(member)
            self._discount(member)
            if member.told.state is not told.state:
                member.since_us = now
            member.told, member.word = told, word
        self.addresses[told.address] += 1
        if told.state is State.SUSPECT:
            self.suspects[told.name] = member
        else:
            member.doubters.clear()
        if told.state is State.GONE:
            self.gone[told.name] = member
        if member.here:
            member.sum = sum_of(told)
            self.here += 1
            self._mix(member)
        return member

    def forget(self, name: str) -> None:
        member = self.members.pop(name)
        self._leave_address(member)
        self._discount(member)

    def _leave_address(self, member: Member) -> None:
        address = member.told.address
        self.addresses[address] -= 1
        if not self.addresses[address]:
            del self.addresses[address]

    def _discount(self, member: Member) -> None:
        name = member.told.name
        self.suspects.pop(name, None)
        self.gone.pop(name, None)
        if member.sum:
            self._mix(member)
            self.here -= 1
            member.sum = 0

    def _mix(self, member: Member) -> None:
        """Put its sum into the view, or take it out again: the same, for it is an exclusive or."""
        self._view ^= member.sum
        self._parts[member.part] ^= member.sum >> 32

    @property
    def view(self) -> bytes:
        """Eight bytes that name the view: equal where the same members are here, in the same lives and builds."""
        return self._view.to_bytes(8, "big")

    @property
    def parts(self) -> bytes:
        return b"".join(part.to_bytes(PART_BYTES, "big") for part in self._parts)

    def differing(self, parts: bytes) -> list[int]:
        """Which parts of the view differ from another's."""
        own = self.parts
        if len(parts) != len(own):
            return list(range(PARTS))
        return [i for i in range(PARTS) if own[4 * i : 4 * i + 4] != parts[4 * i : 4 * i + 4]]

    def in_part(self, part: int) -> list[Member]:
        return [member for member in self.members.values() if member.part == part]

    def others_here(self) -> Iterator[Member]:
        return (member for name, member in self.members.items() if member.here and name != self.me)

    def agreement(self, since_us: int, roster: int) -> Agreement:
        """What those that have told their view since then hold; `roster` is how many there ought to be at the most."""
        same, other, unheard = [self.me], [], []
        for member in self.others_here():
            if member.view_us < since_us:
                unheard.append(member.told.name)
            elif member.view == self.view:
                same.append(member.told.name)
            else:
                other.append(member.told.name)
        return Agreement(self.view, tuple(sorted(same)), tuple(sorted(other)), tuple(sorted(unheard)), roster)


def part_of(name: str) -> int:
    return digest(name.encode())[0] % PARTS


def sum_of(told: Change) -> int:
    """What a member that is here adds to the view; never 0."""
    return int.from_bytes(digest(told.name.encode(), told.incarnation.to_bytes(8, "big"), told.build), "big") or 1
