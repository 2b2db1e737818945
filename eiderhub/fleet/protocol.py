"""What a member of the fleet sends and concludes: SWIM with Lifeguard's doubts of oneself, and views mended by digests.

Sources: "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership Protocol" (Das, Gupta, Motivala,
2002); "Lifeguard: Local Health Awareness for More Accurate Failure Detection" (Dadgar, Phillips, Currey, 2018).

A pure state machine: time in microseconds and datagrams go in, datagrams and events come out. It never reads a clock.
Every queue has a bound. What a member sends in a period does not depend on the fleet's size.
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

from eiderhub.fleet.evidence import Board
from eiderhub.fleet.member_table import Address, Agreement, Member, Table
from eiderhub.fleet.messages import (
    Ack,
    Ask,
    Change,
    Codec,
    Entries,
    Message,
    Nack,
    Passed,
    Ping,
    Saw,
    State,
    Sums,
    Unreadable,
    digest,
    pack_address,
    unpack_address,
)

ASKED = 3  # members that are asked to ping for us
MOST_SLOW = 8  # how far a member's doubt of itself stretches its patience
ANSWER_PART = 0.4  # of a period, how long a direct answer is waited for before others are asked
SUSPECT_PERIODS = 4.0  # times log10 of the fleet: the least time that a suspect has to refute
SUSPECT_SPREAD = 4.0  # and the most, as a multiple of the least: where nobody else doubts it
TELL = 3.0  # times log2 of the fleet: how often each change is told on
KEEP_US = 600_000_000  # how long the gone are remembered, so that old words of them are known as old
FORGET_PERIODS = 32  # how often that is looked after
KNOCK_PART = 0.25  # of the periods, how many end with a knock at one that is gone: so cut-off halves find each other
SYNC_PERIODS = 4  # views are compared with one other member so often
SUMS_PER_PERIOD = 3  # answers to comparisons that differ, each of a few datagrams: a storm ends here
MOST_MEMBERS = 4096  # entries of the table: past it unknown names are dropped
MOST_NEWS = 512  # changes that wait to be told on
STALL_PERIODS = 2.0  # a timer so late says that we stood still ourselves
DEAF_PERIODS = 4.0  # after datagrams were left unread, how long nobody is given up
QUARREL = 4  # foreign lives of our own name within QUARREL_US: another process bears it
QUARREL_US = 20_000_000
MOST_PASSING = 64  # questions asked for others at a time
MOST_CHANGES = 15  # in one datagram: a longer list takes two bytes more for its length
LAST_LIFE = (1 << 48) - 1  # incarnations are seconds of Unix time, and a few more
EVENTS = 256  # events that wait to be fetched


class Event(NamedTuple):
    """Something that those on call may want to read."""

    at_us: int
    what: str
    member: str
    word: str  # by whose word, or why


class Datagram(NamedTuple):
    to: Address
    data: bytes


@dataclass(frozen=True, slots=True)
class Terms:
    """How this fleet runs."""

    period_us: int = 500_000
    contacts: tuple[Address, ...] = ()  # whom a start asks; whose datagrams are read, where `introduced` is off
    introduced: bool = False  # whether members told of by others may speak to us, at addresses that nobody listed
    roster: int = 0  # members that there ought to be; 0: as many as contacts
    knows: bool = True  # whether evidence of endpoints is told and heard


class Probe:
    """The one question that is out."""

    __slots__ = ("asked", "nacks", "name", "serial")

    def __init__(self, name: str, serial: int) -> None:
        self.name, self.serial = name, serial
        self.asked = 0  # members that were asked to ping for us
        self.nacks = 0


class Fleet:
    """One member."""

    def __init__(
        self, name: str, address: Address, build: bytes, codec: Codec, terms: Terms, seed: int, wall_s: int, now: int
    ) -> None:
        self.random = random.Random(seed)
        self.codec = codec
        self.terms = terms
        self.address = address
        me = Change(name, pack_address(*address), max(0, wall_s), State.ALIVE, self.random.getrandbits(32), build)
        self.table = Table(me, now)
        self.board = Board(name, now)
        self._sign = digest(name.encode())[:4]
        self.slow = 0  # 0: sound
        self.counts: Counter[str] = Counter()  # what was dropped, sent and concluded, by cause
        self.yielded = False  # another process has our name, and keeps it
        self._contacts = [pack_address(*a) for a in terms.contacts if a != address]
        self._unmet = list(self._contacts)  # at which nobody is known: those that are leave it as they are drawn
        self._allowed = frozenset(terms.contacts)
        self._serial = 0
        self._probe: Probe | None = None
        self._order: list[str] = []  # who is asked next
        self._news: dict[str, int] = {}  # how often each change has been told
        self._passing: dict[int, tuple[int, Address, str, int]] = {}  # pings for others: serial, whom, when
        self._next_period = now + int(self.random.random() * terms.period_us)
        self._answer_due = -1
        self._periods = 0
        self._deaf_until = 0
        self._sync_in = 1
        self._differs = ""  # who told another view
        self._sums_left = SUMS_PER_PERIOD
        self._quarrels: deque[int] = deque(maxlen=QUARREL)
        self._out: list[Datagram] = []
        self.events: deque[Event] = deque(maxlen=EVENTS)

    # --- what the edge asks ---

    @property
    def roster(self) -> int:
        """How many members there ought to be: a majority is more than half of these."""
        return self.terms.roster or max(len(self._allowed), self.table.here)

    def agreement(self, since_us: int) -> Agreement:
        return self.table.agreement(since_us, self.roster)

    def admits(self, source: Address) -> bool:
        """Whether what comes from there is read at all."""
        return source in self._allowed or self.terms.introduced

    def due_us(self) -> int:
        """When `tick` wants to be called."""
        if self._answer_due >= 0:
            return min(self._next_period, self._answer_due)
        return self._next_period

    def sent(self) -> list[Datagram]:
        """What is to be sent since the last call."""
        out, self._out = self._out, []
        return out

    def told(self) -> list[Event]:
        out = list(self.events)
        self.events.clear()
        return out

    # --- time ---

    def tick(self, now: int) -> None:
        if self.yielded:
            self._next_period = now + self.terms.period_us
            return
        late = now - self.due_us()
        if late > STALL_PERIODS * self.terms.period_us:
            self._stalled(now, late)
        if 0 <= self._answer_due <= now:
            self._ask_others(now)
        self._give_up(now)
        if now >= self._next_period:
            self._period(now)

    def _stalled(self, now: int, late: int) -> None:
        """We stood still: silence proves nothing of others, and what we were about to say may be old.

        Guards against a process that was stopped and then accuses all those whose answers it slept through.
        """
        self._event(now, "stalled", self.table.me, f"{late / 1e6:.1f} s")
        self.slow = min(MOST_SLOW, self.slow + 2)
        self._probe, self._answer_due = None, -1
        self._news.clear()
        self._passing.clear()
        for member in self.table.others_here():
            member.view_us = -1
        for member in self.table.suspects.values():
            member.gone_at_us += late
        self._next_period = now
        self._sync_in = 0

    def _period(self, now: int) -> None:
        period = self.terms.period_us
        if self._probe is not None:
            self._unanswered(now, self._probe)
        self._next_period = now + int(period * (1 + 0.5 * self.slow) * self.random.uniform(0.9, 1.1))
        self._sums_left = SUMS_PER_PERIOD
        self._forget(now)
        self._passing = {serial: row for serial, row in self._passing.items() if now - row[3] < 4 * period}
        target = self._next_target()
        if target is not None:
            self._serial += 1
            self._probe = Probe(target.told.name, self._serial)
            self._answer_due = now + int(ANSWER_PART * period * (1 + 0.5 * self.slow))
            self._ping(target.told, self._serial)
        self._sync_in -= 1
        if target is None or self._sync_in <= 0:
            self._sync_in = SYNC_PERIODS
            self._compare()
        if self.random.random() < KNOCK_PART or target is None:
            self._knock()

    def _next_target(self) -> Member | None:
        """Everyone once, in an order drawn anew, before anyone twice: so each is asked within a bounded time."""
        for _ in range(2):
            while self._order:
                member = self.table.get(self._order.pop())
                if member is not None and member.here:
                    return member
            self._order = [member.told.name for member in self.table.others_here()]
            self.random.shuffle(self._order)
        return None

    def _knock(self) -> None:
        """Ask one that is gone or that has never answered: it may be there again, or behind a cut that has healed."""
        own = pack_address(*self.address)
        gone = [member.told.address for member in self.table.gone.values() if member.told.address != own]
        unmet = self._unmet if self.table.here < len(self._contacts) + 1 else []
        while gone or unmet:
            at = self.random.randrange(len(gone) + len(unmet))
            door = gone[at] if at < len(gone) else unmet[at - len(gone)]
            if at >= len(gone) and self.table.addresses[door]:
                unmet[at - len(gone)] = unmet[-1]
                unmet.pop()
                continue
            self._send(unpack_address(door), self._sums(False))
            return

    def _forget(self, now: int) -> None:
        self._periods += 1
        if self._periods % FORGET_PERIODS:
            return
        old = [
            name
            for name, m in self.table.members.items()
            if not m.here and now - m.since_us > KEEP_US and name != self.table.me
        ]
        for name in old:
            self.table.forget(name)
            self.counts["forgotten"] += 1
        self._unmet = [address for address in self._contacts if not self.table.addresses[address]]

    # --- probing ---

    def _ping(self, who: Change, serial: int) -> None:
        told = self.table.get(who.name)
        # What is believed of the one who is asked goes first: only it can refute it.
        first = [told.told] if told is not None and told.told.state is not State.ALIVE else []
        self._send(unpack_address(who.address), Ping(serial, who.name, self.table.own, self.table.view), first)

    def _ask_others(self, now: int) -> None:
        """No direct answer: the path between us may be what fails."""
        self._answer_due = -1
        probe = self._probe
        if probe is None:
            return
        others = [m for m in self.table.others_here() if m.told.name != probe.name and m.told.state is State.ALIVE]
        for member in self.random.sample(others, min(ASKED, len(others))):
            probe.asked += 1
            self._send(unpack_address(member.told.address), Ask(probe.serial, probe.name, self.table.own))

    def _unanswered(self, now: int, probe: Probe) -> None:
        self._probe, self._answer_due = None, -1
        # Those that were asked and said nothing at all, not even that they got no answer, tell of our own state.
        missed = probe.asked - probe.nacks
        self.slow = min(MOST_SLOW, self.slow + (missed if probe.asked else 1))
        member = self.table.get(probe.name)
        if member is None or not member.here:
            return
        suspected = msgspec.structs.replace(member.told, state=State.SUSPECT, by=self._sign)
        if member.told.state is State.ALIVE:
            self._believe(now, suspected, self.table.me)
        else:
            self._doubt(now, member, suspected)

    def _answered(self, now: int, serial: int) -> None:
        if self._probe is not None and self._probe.serial == serial:
            self._probe, self._answer_due = None, -1
            self.slow = max(0, self.slow - 1)

    # --- suspicion ---

    def _patience(self, doubters: int) -> float:
        """How long a suspect has, in microseconds: the less, the more members doubt it on their own."""
        n = max(2, self.table.here)
        least = SUSPECT_PERIODS * max(1.0, math.log10(n)) * self.terms.period_us
        most = SUSPECT_SPREAD * least
        wanted = min(ASKED, max(1, n - 2))
        part = math.log(doubters + 1) / math.log(wanted + 1)
        return max(least, most - (most - least) * part)

    def _doubt(self, now: int, member: Member, change: Change) -> None:
        """One more has come to suspect it. The first ones are told on: they shorten the time for all."""
        if change.by in member.doubters:
            return
        if not member.doubters:
            member.since_us = now
        member.doubters.add(change.by)
        member.gone_at_us = member.since_us + int(self._patience(len(member.doubters) - 1))
        if len(member.doubters) <= ASKED + 1:
            member.told = change
            self._spread(change.name)

    def _give_up(self, now: int) -> None:
        for member in list(self.table.suspects.values()):
            if now >= max(member.gone_at_us, self._deaf_until):
                self._believe(now, replace_state(member.told, State.GONE), self.table.me)

    def _believe(self, now: int, change: Change, word: str) -> None:
        """Take news of another, tell it on, and note it."""
        before = self.table.get(change.name)
        was = before.told.state if before is not None else None
        if before is None and len(self.table.members) >= MOST_MEMBERS:
            self.counts["too many members"] += 1
            return
        member = self.table.put(change, now, word)
        self._spread(change.name)
        if change.state is State.SUSPECT:
            self._doubt(now, member, change)
        if was is not change.state:
            self._event(now, change.state.name.lower(), change.name, word)

    def _hear(self, now: int, change: Change, word: str) -> None:
        """One change that somebody told."""
        if change.name == self.table.me:
            self._hear_of_ourselves(now, change)
            return
        known = self.table.get(change.name)
        if known is None:
            # One that was gone before we knew of it is news too: else it would be told to us for ever.
            if change.state is not State.SUSPECT:
                self._believe(now, change, word)
            else:
                self._believe(now, replace_state(change, State.ALIVE), word)
                self._believe(now, change, word)
        elif change.beats(known.told):
            self._believe(now, change, word)
        elif change.state is State.SUSPECT and (known.told.state, known.told.incarnation) == (
            State.SUSPECT,
            change.incarnation,
        ):
            self._doubt(now, known, change)

    def _hear_of_ourselves(self, now: int, change: Change) -> None:
        """Whoever says more than we know of ourselves speaks of an earlier life, is wrong, or bears our name."""
        own = self.table.own
        if change.boot != own.boot and change.state is State.ALIVE and change.incarnation >= own.incarnation:
            self._quarrels.append(now)
            if len(self._quarrels) == QUARREL and now - self._quarrels[0] < QUARREL_US and change.boot > own.boot:
                self.yielded = True
                self._event(now, "yielded", own.name, "another process bears this name")
                return
        if change.incarnation > own.incarnation or (
            change.incarnation == own.incarnation and (change.state is not State.ALIVE or change.beats(own))
        ):
            self._renew(now, change.incarnation + 1)
            self.counts["refuted"] += change.boot == own.boot
            if change.state is State.SUSPECT:
                self.slow = min(MOST_SLOW, self.slow + 1)

    def _renew(self, now: int, incarnation: int) -> None:
        own = self.table.own
        if incarnation > LAST_LIFE:  # only a member that lies leads there
            self._event(now, "out of lives", own.name, str(incarnation))
            return
        change = replace_state(own, State.ALIVE)
        self.table.put(msgspec.structs.replace(change, incarnation=incarnation), now, own.name)
        self._spread(own.name)

    # --- our own ---

    def adopt(self, now: int, build: bytes) -> None:
        """Another configuration is in force here."""
        own = self.table.own
        if own.build != build:
            self.table.put(msgspec.structs.replace(own, build=build, incarnation=own.incarnation + 1), now, own.name)
            self._spread(own.name)

    def doubt_ourselves(self, now: int) -> None:
        """Datagrams were left unread here: silence proves nothing of others, and nobody is given up for it."""
        self.slow = MOST_SLOW
        self._deaf_until = now + int(DEAF_PERIODS * self.terms.period_us)

    def leave(self, now: int) -> None:
        """We end in good order: said to a few, who tell it on."""
        if self.yielded:
            return
        self.table.put(replace_state(self.table.own, State.LEFT), now, self.table.me)
        others = list(self.table.others_here())
        for member in self.random.sample(others, min(ASKED, len(others))):
            self._send(unpack_address(member.told.address), Ack(0, self.table.own, self.table.view))

    # --- what comes ---

    def receive(self, now: int, source: Address, data: bytes) -> None:
        if not self.admits(source):
            self.counts["dropped: address"] += 1
            return
        try:
            message = self.codec.decode(data)
        except Unreadable as error:
            self.counts[f"dropped: {error}"] += 1
            return
        if self.yielded:
            return
        self.counts["received"] += 1
        self._take(now, source, message)

    def _take(self, now: int, source: Address, message: Message) -> None:
        if isinstance(message, Nack):
            if self._probe is not None and self._probe.serial == message.serial:
                self._probe.nacks += 1
            return
        if isinstance(message, Passed):
            self._hear(now, message.of, message.of.name)
            self._answered(now, message.serial)
            return
        sender = self._met(now, message)
        if isinstance(message, Ping | Ack):
            if sender is not None:
                sender.view, sender.view_us = message.view, now
                if message.view != self.table.view:
                    self._differs = message.me.name
            for change in message.changes:
                self._hear(now, change, message.me.name)
            if self.terms.knows:
                for saw in message.saw:
                    self.board.hear(now, saw)
        if isinstance(message, Ping):
            if message.to == self.table.me:
                self._send(source, Ack(message.serial, self.table.own, self.table.view), self._amends(message.me))
        elif isinstance(message, Ack):
            self._acked(now, message)
        elif isinstance(message, Ask):
            self._pass_on(now, source, message)
        elif isinstance(message, Sums):
            self._compared(now, source, message)
        elif isinstance(message, Entries):
            self._listed(now, source, message)

    def _met(self, now: int, message: Ping | Ack | Ask | Sums | Entries) -> Member | None:
        """Someone speaks for itself: nobody else's word on whether it is there counts more than that."""
        me = message.me
        if me.name == self.table.me:
            self._hear_of_ourselves(now, me)
            return None
        self._hear(now, me, me.name)
        member = self.table.get(me.name)
        if member is not None:
            member.heard_us = now
        return member

    def _amends(self, sender: Change) -> list[Change]:
        """What we believe of the sender, where it is more than it knows of itself: it will refute it."""
        known = self.table.get(sender.name)
        return [known.told] if known is not None and known.told.beats(sender) else []

    def _acked(self, now: int, message: Ack) -> None:
        row = self._passing.pop(message.serial, None)
        if row is not None and row[2] == message.me.name:
            self._send(row[1], Passed(row[0], message.me))
        elif self._probe is not None and self._probe.name == message.me.name:
            self._answered(now, message.serial)

    def _pass_on(self, now: int, source: Address, message: Ask) -> None:
        self._send(source, Nack(message.serial))
        member = self.table.get(message.to)
        if member is not None and len(self._passing) < MOST_PASSING:
            self._serial += 1
            self._passing[self._serial] = (message.serial, source, message.to, now)
            self._ping(member.told, self._serial)

    # --- views that differ ---

    def _sums(self, answers: bool) -> Sums:
        return Sums(self.table.own, self.table.view, self.table.parts, answers)

    def _compare(self) -> None:
        """With one that lately told another view, if there is any: else with whoever comes."""
        other = self.table.get(self._differs)
        if other is None or not other.here or other.view == self.table.view:
            others = list(self.table.others_here())
            other = self.random.choice(others) if others else None
        self._differs = ""
        if other is not None:
            self._send(unpack_address(other.told.address), self._sums(False))

    def _compared(self, now: int, source: Address, message: Sums) -> None:
        sender = self.table.get(message.me.name)
        if sender is not None:
            sender.view, sender.view_us = message.view, now
        amends = self._amends(message.me)
        if message.view == self.table.view or amends:
            if not message.answers or amends:
                self._send(source, Ack(0, self.table.own, self.table.view), amends)
            return
        self._sync_in = 0  # once more with the next period, until nobody is met who differs
        if self._sums_left <= 0:
            self.counts["comparisons put off"] += 1
            return
        self._sums_left -= 1
        if not message.answers:
            self._send(source, self._sums(True))
        differing = self.table.differing(message.parts)
        for part in self.random.sample(differing, min(2, len(differing))):
            self._send_part(source, part, want=True)

    def _listed(self, now: int, source: Address, message: Entries) -> None:
        for change in message.changes:
            self._hear(now, change, message.me.name)
        if message.want and self._sums_left > 0:
            self._sums_left -= 1
            self._send_part(source, message.part, want=False)

    def _send_part(self, to: Address, part: int, want: bool) -> None:
        """What we believe of some members of this part, drawn anew each time where one datagram can't hold all."""
        message = Entries(self.table.own, part, want, [])
        room = self.codec.room(message)
        members = self.table.in_part(part)
        self.random.shuffle(members)
        members.sort(key=lambda m: not m.here)
        for member in members:
            room -= self.codec.size(member.told)
            if room < 0:
                break
            message.changes.append(member.told)
        self._send(to, message)

    # --- telling on ---

    def _spread(self, name: str) -> None:
        self._news.pop(name, None)
        self._news[name] = 0
        while len(self._news) > MOST_NEWS:
            del self._news[next(iter(self._news))]

    def _send(self, to: Address, message: Message, first: Iterable[Change] = ()) -> None:
        if isinstance(message, Ping | Ack):
            self._fill(message, list(first))
        self._out.append(Datagram(to, self.codec.encode(message)))
        self.counts["sent"] += 1

    def _fill(self, message: Ping | Ack, first: list[Change]) -> None:
        """Put what is new into the room that is left: what was told least goes first."""
        room = self.codec.room(message)
        for change in first:
            size = self.codec.size(change)
            if size <= room:
                room -= size
                message.changes.append(change)
        most = int(TELL * math.ceil(math.log2(self.table.here + 1))) or 1
        said = {change.name for change in message.changes}
        for name in heapq.nsmallest(2 * MOST_CHANGES, self._news, key=self._news.__getitem__):
            member = self.table.get(name)
            if member is None or name in said:
                continue
            size = self.codec.size(member.told)
            if size > room or len(message.changes) >= MOST_CHANGES:
                break
            room -= size
            message.changes.append(member.told)
            self._news[name] += 1
        self._news = {name: told for name, told in self._news.items() if told < most}
        if self.terms.knows:
            self._fill_saw(message.saw, room)

    def _fill_saw(self, saw: list[Saw], room: int) -> None:
        for item in self.board.to_tell(max(1, self.table.here)):
            room -= self.codec.size(item)
            if room < 0 or len(saw) >= MOST_CHANGES:
                return
            saw.append(item)
            self.board.was_told(item)

    def _event(self, now: int, what: str, member: str, word: str) -> None:
        self.events.append(Event(now, what, member, word))
        self.counts[what] += 1


def replace_state(change: Change, state: State) -> Change:
    return msgspec.structs.replace(change, state=state)


def described(member: Member, now: int) -> dict[str, Any]:
    """One member as people read it."""
    host, port = unpack_address(member.told.address)
    return {
        "member": member.told.name,
        "address": f"{host}:{port}",
        "incarnation": member.told.incarnation,
        "state": member.told.state.name.lower(),
        "build": member.told.build.hex(),
        "since_s": round((now - member.since_us) / 1e6, 3),
        "word": member.word,
        "heard_s": round((now - member.heard_us) / 1e6, 3) if member.heard_us >= 0 else None,
    }
