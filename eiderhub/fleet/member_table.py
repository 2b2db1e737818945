"""The table of fleet members, the digests of its view, and agreement between views. No I/O, no clock."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field

from eiderhub.fleet.messages import MemberUpdate, State, digest

VIEW_PARTS = 16  # parts of the view, each with its own digest: 64 bytes in a datagram
PART_DIGEST_BYTES = 4
PRESENT_STATES = (State.ALIVE, State.SUSPECT)  # a suspect may still refute: it counts until it is declared failed
Address = tuple[str, int]


@dataclass(slots=True)
class Member:
    """One entry of the table; a time of -1 means never."""

    update: MemberUpdate  # the latest accepted update
    state_since_us: int  # time of the last change of state
    reporter: str  # name of the member that sent the update
    view_part: int = 0  # index of its part of the view
    view_digest: int = 0  # its contribution to the view's digest while it is present, otherwise 0
    suspectors: set[bytes] = field(default_factory=set)  # ids of the members that suspect it independently
    suspicion_deadline_us: int = 0  # when a suspect is declared failed
    view: bytes = b""  # the view that it last reported
    view_received_us: int = -1  # when it reported that view
    last_received_us: int = -1  # when the last message from the member itself was received

    @property
    def is_present(self) -> bool:
        """Whether the member counts as part of the fleet; a suspect does."""
        return self.update.state in PRESENT_STATES


@dataclass(frozen=True, slots=True)
class Agreement:
    """Which members hold this member's view, by the views that they reported lately."""

    view: bytes
    agreeing: tuple[str, ...]  # members with this view, this member included
    differing: tuple[str, ...]  # members with another view
    not_heard: tuple[str, ...]  # members that are present and have reported no view lately
    expected_members: int

    @property
    def is_unanimous(self) -> bool:
        """Whether every member that reported a view lately holds this one."""
        return not self.differing

    @property
    def has_majority(self) -> bool:
        """Whether more than half of the expected members hold this view; at most one view can have a majority."""
        return 2 * len(self.agreeing) > self.expected_members


class MemberTable:
    """All known members, this one included, with a digest that is updated with each change.

    The digest covers the name, incarnation and build of each present member. Suspicions are left out since they differ
    between members for short times; departed members are left out since each member removes them at its own time.
    """

    def __init__(self, own: MemberUpdate, now: int) -> None:
        self.own_name = own.name
        self.members: dict[str, Member] = {}
        self.suspects: dict[str, Member] = {}
        self.failed: dict[str, Member] = {}
        self.address_counts: Counter[bytes] = Counter()  # known members in any state by address
        self.present_count = 0
        self._view_digest = 0
        self._part_digests = [0] * VIEW_PARTS
        self.put(own, now, own.name)

    @property
    def own_update(self) -> MemberUpdate:
        return self.members[self.own_name].update

    def get(self, name: str) -> Member | None:
        return self.members.get(name)

    def put(self, update: MemberUpdate, now: int, reporter: str) -> Member:
        """Store a member's update in place of any earlier one, whether or not it supersedes that."""
        member = self.members.get(update.name)
        if member is None:
            member = self.members[update.name] = Member(update, now, reporter, view_part_of(update.name))
        else:
            self._release_address(member)
            self._remove_from_view(member)
            if member.update.state is not update.state:
                member.state_since_us = now
            member.update, member.reporter = update, reporter
        self.address_counts[update.address] += 1
        if update.state is State.SUSPECT:
            self.suspects[update.name] = member
        else:
            member.suspectors.clear()
        if update.state is State.GONE:
            self.failed[update.name] = member
        if member.is_present:
            member.view_digest = view_digest_of(update)
            self.present_count += 1
            self._toggle_in_view(member)
        return member

    def remove(self, name: str) -> None:
        """Drop a member from the table, as if it had never been known."""
        member = self.members.pop(name)
        self._release_address(member)
        self._remove_from_view(member)

    def _release_address(self, member: Member) -> None:
        address = member.update.address
        self.address_counts[address] -= 1
        if not self.address_counts[address]:
            del self.address_counts[address]

    def _remove_from_view(self, member: Member) -> None:
        name = member.update.name
        self.suspects.pop(name, None)
        self.failed.pop(name, None)
        if member.view_digest:
            self._toggle_in_view(member)
            self.present_count -= 1
            member.view_digest = 0

    def _toggle_in_view(self, member: Member) -> None:
        """Add a member's digest to the view's, or remove it: both are the same exclusive or."""
        self._view_digest ^= member.view_digest
        self._part_digests[member.view_part] ^= member.view_digest >> 32

    @property
    def view(self) -> bytes:
        """Eight bytes that identify the view: equal for the same present members, incarnations and builds."""
        return self._view_digest.to_bytes(8, "big")

    @property
    def part_digests(self) -> bytes:
        """The digests of all parts of the view, in order."""
        return b"".join(part.to_bytes(PART_DIGEST_BYTES, "big") for part in self._part_digests)

    def differing_parts(self, part_digests: bytes) -> list[int]:
        """Return the indexes of the parts whose digests differ from another member's."""
        own = self.part_digests
        if len(part_digests) != len(own):
            return list(range(VIEW_PARTS))
        return [i for i in range(VIEW_PARTS) if own[4 * i : 4 * i + 4] != part_digests[4 * i : 4 * i + 4]]

    def members_in_part(self, part: int) -> list[Member]:
        return [member for member in self.members.values() if member.view_part == part]

    def others_present(self) -> Iterator[Member]:
        """Iterate over the present members other than this one."""
        return (member for name, member in self.members.items() if member.is_present and name != self.own_name)

    def agreement(self, since_us: int, expected_members: int) -> Agreement:
        """Sort the present members by the views that they have reported since `since_us`."""
        agreeing, differing, not_heard = [self.own_name], [], []
        for member in self.others_present():
            if member.view_received_us < since_us:
                not_heard.append(member.update.name)
            elif member.view == self.view:
                agreeing.append(member.update.name)
            else:
                differing.append(member.update.name)
        return Agreement(
            self.view, tuple(sorted(agreeing)), tuple(sorted(differing)), tuple(sorted(not_heard)), expected_members
        )


def view_part_of(name: str) -> int:
    """Return the index of the part of the view that a member belongs to."""
    return digest(name.encode())[0] % VIEW_PARTS


def view_digest_of(update: MemberUpdate) -> int:
    """Return a present member's contribution to the view's digest; never 0."""
    return int.from_bytes(digest(update.name.encode(), update.incarnation.to_bytes(8, "big"), update.build), "big") or 1
