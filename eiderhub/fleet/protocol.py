"""The membership protocol of one fleet member: SWIM with Lifeguard, and anti-entropy over digests of the view.

In each protocol period a member pings one other member. Without an ack it asks a few others to ping the target for it
(SWIM's ping-req); without any answer it suspects the target, which is declared failed unless it refutes the suspicion
in time. Membership updates are piggybacked on pings and acks. Lifeguard adds a local health score that lengthens the
timeouts of a member that is itself slow, and suspicion timeouts that shorten with each independent suspicion.

Sources: "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership Protocol" (Das, Gupta, Motivala,
2002); "Lifeguard: Local Health Awareness for More Accurate Failure Detection" (Dadgar, Phillips, Currey, 2018).

`SwimProtocol` is a pure state machine: time in microseconds and datagrams go in, datagrams and events come out. It
never reads a clock. Every queue has a bound. What a member sends in a period does not depend on the fleet's size.
"""

from __future__ import annotations

import heapq
import math
import random
from collections import Counter, deque
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any, NamedTuple

import msgspec

from eiderhub.fleet.evidence import EvidenceStore
from eiderhub.fleet.member_table import Address, Agreement, Member, MemberTable
from eiderhub.fleet.messages import (
    Ack,
    Codec,
    ForwardedAck,
    InvalidDatagram,
    MemberUpdate,
    Message,
    Nack,
    Observation,
    Ping,
    PingRequest,
    State,
    ViewDigests,
    ViewPart,
    digest,
    pack_address,
    unpack_address,
)

INDIRECT_PROBES = 3  # members that receive a ping request when a direct ping gets no ack: SWIM's k
MAX_LOCAL_HEALTH_SCORE = 8  # Lifeguard's S: bounds how far a slow member lengthens its own timeouts
ACK_TIMEOUT_SHARE = 0.4  # of a period: the wait for an ack before indirect probes are sent
MIN_SUSPICION_PERIODS = 4.0  # times log10 of the fleet's size: the shortest time that a suspect has to refute
MAX_SUSPICION_MULTIPLE = 4.0  # of the shortest time: the time that a suspect has while only one member suspects it
RETRANSMIT_MULTIPLIER = 3.0  # times log2 of the fleet's size: how often each update is sent
DEPARTED_RETENTION_US = 600_000_000  # how long failed and left members are kept, to recognize stale updates
CLEANUP_PERIODS = 32  # periods between removals of departed members whose retention has ended
# Share of the periods that end with a probe of a failed or unmatched address, so that the two sides of a partition
# find each other again.
UNREACHABLE_PROBE_SHARE = 0.25
SYNC_PERIODS = 4  # periods between comparisons of the view with one other member
MAX_COMPARISONS_PER_PERIOD = 3  # answers to differing digests, each of a few datagrams: bounds a storm of comparisons
MAX_MEMBERS = 4096  # entries of the table; updates on further names are dropped
MAX_BROADCASTS = 512  # queued updates
STALL_PERIODS = 2.0  # a tick that is later than this means that this process itself was suspended
OVERLOAD_GRACE_PERIODS = 4.0  # how long no member is declared failed after datagrams were left unread
NAME_CONFLICT_COUNT = 4  # updates from a process with the same name, in NAME_CONFLICT_WINDOW_US, that settle a conflict
NAME_CONFLICT_WINDOW_US = 20_000_000
MAX_FORWARDED_PINGS = 64  # pings on behalf of others that are under way
MAX_UPDATES = 15  # in one datagram: MessagePack takes two more bytes for the length of a longer list
MAX_INCARNATION = (1 << 48) - 1  # incarnations start at the Unix time in seconds and rise by one with each refutation
MAX_EVENTS = 256  # events that wait for `take_events`


class Event(NamedTuple):
    """A change of a member's state or of this member's condition, for operators."""

    at_us: int
    kind: str
    member: str
    detail: str  # the member that reported the change, or the reason


class Datagram(NamedTuple):
    """An encoded message and the address that it goes to."""

    destination: Address
    data: bytes


@dataclass(frozen=True, slots=True)
class ProtocolConfig:
    """The protocol's settings, from the operator's table `[fleet]`."""

    period_us: int = 500_000
    contacts: tuple[Address, ...] = ()  # joined at the start; the only sources accepted without `accepts_introduced`
    accepts_introduced: bool = False  # accept datagrams from any address, so that members can join without being listed
    expected_members: int = 0  # size of the whole fleet; 0: as many as contacts
    shares_evidence: bool = True  # send and receive observations of endpoints


class Probe:
    """The probe of the current period, while it has no answer."""

    __slots__ = ("nacks", "requests", "sequence", "target")

    def __init__(self, target: str, sequence: int) -> None:
        self.target, self.sequence = target, sequence
        self.requests = 0  # ping requests sent to other members
        self.nacks = 0


class SwimProtocol:
    """The protocol state of one member.

    `wall_s` is the Unix time in seconds, the first incarnation; `now` is the current time in microseconds on the clock
    that all other methods use too.
    """

    def __init__(
        self,
        name: str,
        address: Address,
        build: bytes,
        codec: Codec,
        config: ProtocolConfig,
        seed: int,
        wall_s: int,
        now: int,
    ) -> None:
        self.random = random.Random(seed)
        self.codec = codec
        self.config = config
        self.address = address
        own = MemberUpdate(
            name, pack_address(*address), max(0, wall_s), State.ALIVE, self.random.getrandbits(32), build
        )
        self.table = MemberTable(own, now)
        self.evidence = EvidenceStore(name, now)
        self._own_suspector = digest(name.encode())[:4]
        self.local_health_score = 0  # Lifeguard's local health multiplier; 0: healthy
        self.counts: Counter[str] = Counter()  # datagrams and events by kind or cause
        self.has_lost_name = False  # another process has this member's name and keeps it
        self._contacts = [pack_address(*a) for a in config.contacts if a != address]
        # Contacts without a known member at their address. One that has a member by now is removed when it is drawn.
        self._unmatched_contacts = list(self._contacts)
        self._allowed_sources = frozenset(config.contacts)
        self._sequence = 0
        self._probe: Probe | None = None
        self._probe_order: list[str] = []  # names that are still to be probed in this round; the last one is next
        self._broadcasts: dict[str, int] = {}  # by member name: how often its latest update has been sent
        # Pings on behalf of others, by sequence number: the requester's sequence number and address, the target, when.
        self._forwarded_pings: dict[int, tuple[int, Address, str, int]] = {}
        self._next_period_us = now + int(self.random.random() * config.period_us)
        self._ack_deadline_us = -1
        self._period_count = 0
        self._no_failures_until_us = 0
        self._periods_to_sync = 1
        self._differing_member = ""  # the last member whose ping or ack named another view
        self._comparisons_left = MAX_COMPARISONS_PER_PERIOD
        self._name_conflicts: deque[int] = deque(maxlen=NAME_CONFLICT_COUNT)
        self._outbox: list[Datagram] = []
        self.events: deque[Event] = deque(maxlen=MAX_EVENTS)

    # --- queries and output ---

    @property
    def expected_members(self) -> int:
        """The size of the whole fleet; a majority is more than half of it."""
        return self.config.expected_members or max(len(self._allowed_sources), self.table.present_count)

    def agreement(self, since_us: int) -> Agreement:
        """Return which members hold this member's view, by the views received since `since_us`."""
        return self.table.agreement(since_us, self.expected_members)

    def accepts_from(self, source: Address) -> bool:
        """Whether datagrams from this address are read at all."""
        return source in self._allowed_sources or self.config.accepts_introduced

    def due_us(self) -> int:
        """Return the time at which `tick` is to be called next."""
        if self._ack_deadline_us >= 0:
            return min(self._next_period_us, self._ack_deadline_us)
        return self._next_period_us

    def take_datagrams(self) -> list[Datagram]:
        """Return the datagrams queued since the last call, for sending."""
        datagrams, self._outbox = self._outbox, []
        return datagrams

    def take_events(self) -> list[Event]:
        """Return the events since the last call; only the latest MAX_EVENTS are kept."""
        events = list(self.events)
        self.events.clear()
        return events

    # --- timers ---

    def tick(self, now: int) -> None:
        """Do everything that is due by now."""
        if self.has_lost_name:
            self._next_period_us = now + self.config.period_us
            return
        late = now - self.due_us()
        if late > STALL_PERIODS * self.config.period_us:
            self._handle_stall(now, late)
        if 0 <= self._ack_deadline_us <= now:
            self._probe_indirectly(now)
        self._expire_suspicions(now)
        if now >= self._next_period_us:
            self._begin_period(now)

    def _handle_stall(self, now: int, late: int) -> None:
        """Discard the pending probe, the queued updates and the views received, and extend all suspicions.

        This process was suspended: the answers of other members may have arrived unread, and its own queued updates may
        be stale. Without this it would suspect every member whose answers it missed.
        """
        self._record_event(now, "stalled", self.table.own_name, f"{late / 1e6:.1f} s")
        self.local_health_score = min(MAX_LOCAL_HEALTH_SCORE, self.local_health_score + 2)
        self._probe, self._ack_deadline_us = None, -1
        self._broadcasts.clear()
        self._forwarded_pings.clear()
        for member in self.table.others_present():
            member.view_received_us = -1
        for member in self.table.suspects.values():
            member.suspicion_deadline_us += late
        self._next_period_us = now
        self._periods_to_sync = 0

    def _begin_period(self, now: int) -> None:
        period = self.config.period_us
        if self._probe is not None:
            self._probe_failed(now, self._probe)
        self._next_period_us = now + int(period * (1 + 0.5 * self.local_health_score) * self.random.uniform(0.9, 1.1))
        self._comparisons_left = MAX_COMPARISONS_PER_PERIOD
        self._remove_expired(now)
        self._forwarded_pings = {
            sequence: row for sequence, row in self._forwarded_pings.items() if now - row[3] < 4 * period
        }
        target = self._next_probe_target()
        if target is not None:
            self._sequence += 1
            self._probe = Probe(target.update.name, self._sequence)
            self._ack_deadline_us = now + int(ACK_TIMEOUT_SHARE * period * (1 + 0.5 * self.local_health_score))
            self._send_ping(target.update, self._sequence)
        self._periods_to_sync -= 1
        if target is None or self._periods_to_sync <= 0:
            self._periods_to_sync = SYNC_PERIODS
            self._sync_view()
        if self.random.random() < UNREACHABLE_PROBE_SHARE or target is None:
            self._probe_unreachable()

    def _next_probe_target(self) -> Member | None:
        """Return the next member of a shuffled round over all members: each is probed within a bounded time."""
        for _ in range(2):
            while self._probe_order:
                member = self.table.get(self._probe_order.pop())
                if member is not None and member.is_present:
                    return member
            self._probe_order = [member.update.name for member in self.table.others_present()]
            self.random.shuffle(self._probe_order)
        return None

    def _probe_unreachable(self) -> None:
        """Send digests to one failed member or unmatched contact: it may be back, or a partition may have healed."""
        own = pack_address(*self.address)
        failed = [member.update.address for member in self.table.failed.values() if member.update.address != own]
        unmatched = self._unmatched_contacts if self.table.present_count < len(self._contacts) + 1 else []
        while failed or unmatched:
            index = self.random.randrange(len(failed) + len(unmatched))
            address = failed[index] if index < len(failed) else unmatched[index - len(failed)]
            if index >= len(failed) and self.table.address_counts[address]:
                unmatched[index - len(failed)] = unmatched[-1]
                unmatched.pop()
                continue
            self._send(unpack_address(address), self._view_digests(False))
            return

    def _remove_expired(self, now: int) -> None:
        self._period_count += 1
        if self._period_count % CLEANUP_PERIODS:
            return
        expired = [
            name
            for name, m in self.table.members.items()
            if not m.is_present and now - m.state_since_us > DEPARTED_RETENTION_US and name != self.table.own_name
        ]
        for name in expired:
            self.table.remove(name)
            self.counts["forgotten"] += 1
        self._unmatched_contacts = [address for address in self._contacts if not self.table.address_counts[address]]

    # --- probes ---

    def _send_ping(self, target: MemberUpdate, sequence: int) -> None:
        known = self.table.get(target.name)
        # The target learns first that it is suspected or declared failed: only it can refute that.
        first = [known.update] if known is not None and known.update.state is not State.ALIVE else []
        self._send(
            unpack_address(target.address), Ping(sequence, target.name, self.table.own_update, self.table.view), first
        )

    def _probe_indirectly(self, now: int) -> None:
        """Send ping requests: there was no ack, and the path between this member and the target may be what fails."""
        self._ack_deadline_us = -1
        probe = self._probe
        if probe is None:
            return
        others = [
            m for m in self.table.others_present() if m.update.name != probe.target and m.update.state is State.ALIVE
        ]
        for member in self.random.sample(others, min(INDIRECT_PROBES, len(others))):
            probe.requests += 1
            self._send(
                unpack_address(member.update.address), PingRequest(probe.sequence, probe.target, self.table.own_update)
            )

    def _probe_failed(self, now: int, probe: Probe) -> None:
        self._probe, self._ack_deadline_us = None, -1
        # Lifeguard: members that sent not even a nack suggest that this member's own receiving is slow.
        missed = probe.requests - probe.nacks
        self.local_health_score = min(
            MAX_LOCAL_HEALTH_SCORE, self.local_health_score + (missed if probe.requests else 1)
        )
        member = self.table.get(probe.target)
        if member is None or not member.is_present:
            return
        suspicion = msgspec.structs.replace(member.update, state=State.SUSPECT, suspector=self._own_suspector)
        if member.update.state is State.ALIVE:
            self._apply(now, suspicion, self.table.own_name)
        else:
            self._add_suspicion(now, member, suspicion)

    def _probe_answered(self, now: int, sequence: int) -> None:
        if self._probe is not None and self._probe.sequence == sequence:
            self._probe, self._ack_deadline_us = None, -1
            self.local_health_score = max(0, self.local_health_score - 1)

    # --- suspicion ---

    def _suspicion_timeout_us(self, suspector_count: int) -> float:
        """Return how long a suspect has to refute, in microseconds: shorter with each independent suspicion.

        `suspector_count` excludes the first one. This is Lifeguard's dynamic suspicion timeout.
        """
        size = max(2, self.table.present_count)
        min_us = MIN_SUSPICION_PERIODS * max(1.0, math.log10(size)) * self.config.period_us
        max_us = MAX_SUSPICION_MULTIPLE * min_us
        needed = min(INDIRECT_PROBES, max(1, size - 2))
        share = math.log(suspector_count + 1) / math.log(needed + 1)
        return max(min_us, max_us - (max_us - min_us) * share)

    def _add_suspicion(self, now: int, member: Member, update: MemberUpdate) -> None:
        """Count an independent suspicion. The first few are passed on, since they shorten the timeout everywhere."""
        if update.suspector in member.suspectors:
            return
        if not member.suspectors:
            member.state_since_us = now
        member.suspectors.add(update.suspector)
        member.suspicion_deadline_us = member.state_since_us + int(
            self._suspicion_timeout_us(len(member.suspectors) - 1)
        )
        if len(member.suspectors) <= INDIRECT_PROBES + 1:
            member.update = update
            self._queue_broadcast(update.name)

    def _expire_suspicions(self, now: int) -> None:
        for member in list(self.table.suspects.values()):
            if now >= max(member.suspicion_deadline_us, self._no_failures_until_us):
                self._apply(now, with_state(member.update, State.GONE), self.table.own_name)

    def _apply(self, now: int, update: MemberUpdate, reporter: str) -> None:
        """Store another member's update, queue it for broadcast, and record an event if the state changed."""
        known = self.table.get(update.name)
        old_state = known.update.state if known is not None else None
        if known is None and len(self.table.members) >= MAX_MEMBERS:
            self.counts["too many members"] += 1
            return
        member = self.table.put(update, now, reporter)
        self._queue_broadcast(update.name)
        if update.state is State.SUSPECT:
            self._add_suspicion(now, member, update)
        if old_state is not update.state:
            self._record_event(now, update.state.name.lower(), update.name, reporter)

    def _receive_update(self, now: int, update: MemberUpdate, reporter: str) -> None:
        """Apply an update if it supersedes the known one, or count its suspicion."""
        if update.name == self.table.own_name:
            self._receive_own_update(now, update)
            return
        known = self.table.get(update.name)
        if known is None:
            # An unknown member is stored even as failed or left: otherwise its update would be sent here forever.
            if update.state is not State.SUSPECT:
                self._apply(now, update, reporter)
            else:
                self._apply(now, with_state(update, State.ALIVE), reporter)
                self._apply(now, update, reporter)
        elif update.supersedes(known.update):
            self._apply(now, update, reporter)
        elif update.state is State.SUSPECT and (known.update.state, known.update.incarnation) == (
            State.SUSPECT,
            update.incarnation,
        ):
            self._add_suspicion(now, known, update)

    def _receive_own_update(self, now: int, update: MemberUpdate) -> None:
        """Refute an update on this member that supersedes its own, or detect a name conflict.

        Such an update is about an earlier process with this name, is wrong, or comes from another live process with
        this name. In a lasting conflict the process with the larger boot id keeps the name.
        """
        own = self.table.own_update
        if update.boot_id != own.boot_id and update.state is State.ALIVE and update.incarnation >= own.incarnation:
            self._name_conflicts.append(now)
            if (
                len(self._name_conflicts) == NAME_CONFLICT_COUNT
                and now - self._name_conflicts[0] < NAME_CONFLICT_WINDOW_US
                and update.boot_id > own.boot_id
            ):
                self.has_lost_name = True
                self._record_event(now, "yielded", own.name, "another process bears this name")
                return
        if update.incarnation > own.incarnation or (
            update.incarnation == own.incarnation and (update.state is not State.ALIVE or update.supersedes(own))
        ):
            self._raise_incarnation(now, update.incarnation + 1)
            self.counts["refuted"] += update.boot_id == own.boot_id
            if update.state is State.SUSPECT:
                self.local_health_score = min(MAX_LOCAL_HEALTH_SCORE, self.local_health_score + 1)

    def _raise_incarnation(self, now: int, incarnation: int) -> None:
        own = self.table.own_update
        if incarnation > MAX_INCARNATION:  # reachable only through forged incarnations
            self._record_event(now, "out of lives", own.name, str(incarnation))
            return
        update = with_state(own, State.ALIVE)
        self.table.put(msgspec.structs.replace(update, incarnation=incarnation), now, own.name)
        self._queue_broadcast(own.name)

    # --- this member's own state ---

    def set_build(self, now: int, build: bytes) -> None:
        """Announce another configuration, with a new incarnation."""
        own = self.table.own_update
        if own.build != build:
            self.table.put(msgspec.structs.replace(own, build=build, incarnation=own.incarnation + 1), now, own.name)
            self._queue_broadcast(own.name)

    def record_overload(self, now: int) -> None:
        """Suspend declarations of failure: datagrams were left unread here, so missing answers prove nothing."""
        self.local_health_score = MAX_LOCAL_HEALTH_SCORE
        self._no_failures_until_us = now + int(OVERLOAD_GRACE_PERIODS * self.config.period_us)

    def leave(self, now: int) -> None:
        """Announce the orderly end of this member to a few others, who broadcast it."""
        if self.has_lost_name:
            return
        self.table.put(with_state(self.table.own_update, State.LEFT), now, self.table.own_name)
        others = list(self.table.others_present())
        for member in self.random.sample(others, min(INDIRECT_PROBES, len(others))):
            self._send(unpack_address(member.update.address), Ack(0, self.table.own_update, self.table.view))

    # --- received messages ---

    def receive(self, now: int, source: Address, data: bytes) -> None:
        """Handle one datagram; those that are dropped are counted by cause."""
        if not self.accepts_from(source):
            self.counts["dropped: address"] += 1
            return
        try:
            message = self.codec.decode(data)
        except InvalidDatagram as error:
            self.counts[f"dropped: {error}"] += 1
            return
        if self.has_lost_name:
            return
        self.counts["received"] += 1
        self._handle(now, source, message)

    def _handle(self, now: int, source: Address, message: Message) -> None:
        if isinstance(message, Nack):
            if self._probe is not None and self._probe.sequence == message.sequence:
                self._probe.nacks += 1
            return
        if isinstance(message, ForwardedAck):
            self._receive_update(now, message.responder, message.responder.name)
            self._probe_answered(now, message.sequence)
            return
        sender = self._receive_sender(now, message)
        if isinstance(message, Ping | Ack):
            if sender is not None:
                sender.view, sender.view_received_us = message.view, now
                if message.view != self.table.view:
                    self._differing_member = message.sender.name
            for update in message.updates:
                self._receive_update(now, update, message.sender.name)
            if self.config.shares_evidence:
                for observation in message.observations:
                    self.evidence.receive(now, observation)
        if isinstance(message, Ping):
            if message.target == self.table.own_name:
                self._send(
                    source,
                    Ack(message.sequence, self.table.own_update, self.table.view),
                    self._corrections(message.sender),
                )
        elif isinstance(message, Ack):
            self._handle_ack(now, message)
        elif isinstance(message, PingRequest):
            self._handle_ping_request(now, source, message)
        elif isinstance(message, ViewDigests):
            self._handle_view_digests(now, source, message)
        elif isinstance(message, ViewPart):
            self._handle_view_part(now, source, message)

    def _receive_sender(self, now: int, message: Ping | Ack | PingRequest | ViewDigests | ViewPart) -> Member | None:
        """Apply the sender's update on itself, and return its entry of the table, if it has one."""
        sender = message.sender
        if sender.name == self.table.own_name:
            self._receive_own_update(now, sender)
            return None
        self._receive_update(now, sender, sender.name)
        member = self.table.get(sender.name)
        if member is not None:
            member.last_received_us = now
        return member

    def _corrections(self, sender: MemberUpdate) -> list[MemberUpdate]:
        """Return the known update on the sender if it supersedes the sender's own: the sender will refute it."""
        known = self.table.get(sender.name)
        return [known.update] if known is not None and known.update.supersedes(sender) else []

    def _handle_ack(self, now: int, message: Ack) -> None:
        row = self._forwarded_pings.pop(message.sequence, None)
        if row is not None and row[2] == message.sender.name:
            self._send(row[1], ForwardedAck(row[0], message.sender))
        elif self._probe is not None and self._probe.target == message.sender.name:
            self._probe_answered(now, message.sequence)

    def _handle_ping_request(self, now: int, source: Address, message: PingRequest) -> None:
        self._send(source, Nack(message.sequence))
        member = self.table.get(message.target)
        if member is not None and len(self._forwarded_pings) < MAX_FORWARDED_PINGS:
            self._sequence += 1
            self._forwarded_pings[self._sequence] = (message.sequence, source, message.target, now)
            self._send_ping(member.update, self._sequence)

    # --- anti-entropy ---

    def _view_digests(self, is_reply: bool) -> ViewDigests:
        return ViewDigests(self.table.own_update, self.table.view, self.table.part_digests, is_reply)

    def _sync_view(self) -> None:
        """Send digests to a member that lately reported another view, otherwise to a random member."""
        other = self.table.get(self._differing_member)
        if other is None or not other.is_present or other.view == self.table.view:
            others = list(self.table.others_present())
            other = self.random.choice(others) if others else None
        self._differing_member = ""
        if other is not None:
            self._send(unpack_address(other.update.address), self._view_digests(False))

    def _handle_view_digests(self, now: int, source: Address, message: ViewDigests) -> None:
        sender = self.table.get(message.sender.name)
        if sender is not None:
            sender.view, sender.view_received_us = message.view, now
        corrections = self._corrections(message.sender)
        if message.view == self.table.view or corrections:
            if not message.is_reply or corrections:
                self._send(source, Ack(0, self.table.own_update, self.table.view), corrections)
            return
        self._periods_to_sync = 0  # compare again in the next period, until no difference is found
        if self._comparisons_left <= 0:
            self.counts["comparisons put off"] += 1
            return
        self._comparisons_left -= 1
        if not message.is_reply:
            self._send(source, self._view_digests(True))
        differing = self.table.differing_parts(message.part_digests)
        for part in self.random.sample(differing, min(2, len(differing))):
            self._send_view_part(source, part, wants_reply=True)

    def _handle_view_part(self, now: int, source: Address, message: ViewPart) -> None:
        for update in message.updates:
            self._receive_update(now, update, message.sender.name)
        if message.wants_reply and self._comparisons_left > 0:
            self._comparisons_left -= 1
            self._send_view_part(source, message.part, wants_reply=False)

    def _send_view_part(self, destination: Address, part: int, wants_reply: bool) -> None:
        """Send the updates on members of a part of the view: a random selection if one datagram can't hold all."""
        message = ViewPart(self.table.own_update, part, wants_reply, [])
        bytes_left = self.codec.bytes_left(message)
        members = self.table.members_in_part(part)
        self.random.shuffle(members)
        members.sort(key=lambda m: not m.is_present)
        for member in members:
            bytes_left -= self.codec.encoded_size(member.update)
            if bytes_left < 0:
                break
            message.updates.append(member.update)
        self._send(destination, message)

    # --- dissemination ---

    def _queue_broadcast(self, name: str) -> None:
        self._broadcasts.pop(name, None)
        self._broadcasts[name] = 0
        while len(self._broadcasts) > MAX_BROADCASTS:
            del self._broadcasts[next(iter(self._broadcasts))]

    def _send(self, destination: Address, message: Message, first: Iterable[MemberUpdate] = ()) -> None:
        if isinstance(message, Ping | Ack):
            self._add_broadcasts(message, list(first))
        self._outbox.append(Datagram(destination, self.codec.encode(message)))
        self.counts["sent"] += 1

    def _add_broadcasts(self, message: Ping | Ack, first: list[MemberUpdate]) -> None:
        """Fill the message with `first`, then with queued updates, the least sent first, then with observations."""
        bytes_left = self.codec.bytes_left(message)
        for update in first:
            size = self.codec.encoded_size(update)
            if size <= bytes_left:
                bytes_left -= size
                message.updates.append(update)
        max_sent = int(RETRANSMIT_MULTIPLIER * math.ceil(math.log2(self.table.present_count + 1))) or 1
        included = {update.name for update in message.updates}
        for name in heapq.nsmallest(2 * MAX_UPDATES, self._broadcasts, key=self._broadcasts.__getitem__):
            member = self.table.get(name)
            if member is None or name in included:
                continue
            size = self.codec.encoded_size(member.update)
            if size > bytes_left or len(message.updates) >= MAX_UPDATES:
                break
            bytes_left -= size
            message.updates.append(member.update)
            self._broadcasts[name] += 1
        self._broadcasts = {name: sent for name, sent in self._broadcasts.items() if sent < max_sent}
        if self.config.shares_evidence:
            self._add_observations(message.observations, bytes_left)

    def _add_observations(self, observations: list[Observation], bytes_left: int) -> None:
        for observation in self.evidence.pending(max(1, self.table.present_count)):
            bytes_left -= self.codec.encoded_size(observation)
            if bytes_left < 0 or len(observations) >= MAX_UPDATES:
                return
            observations.append(observation)
            self.evidence.mark_sent(observation)

    def _record_event(self, now: int, kind: str, member: str, detail: str) -> None:
        self.events.append(Event(now, kind, member, detail))
        self.counts[kind] += 1


def with_state(update: MemberUpdate, state: State) -> MemberUpdate:
    """Return a copy of the update with another state."""
    return msgspec.structs.replace(update, state=state)


def describe_member(member: Member, now: int) -> dict[str, Any]:
    """Return a member's row of `members.json`; times are ages in seconds."""
    host, port = unpack_address(member.update.address)
    return {
        "member": member.update.name,
        "address": f"{host}:{port}",
        "incarnation": member.update.incarnation,
        "state": member.update.state.name.lower(),
        "build": member.update.build.hex(),
        "since_s": round((now - member.state_since_us) / 1e6, 3),
        "word": member.reporter,
        "heard_s": round((now - member.last_received_us) / 1e6, 3) if member.last_received_us >= 0 else None,
    }
