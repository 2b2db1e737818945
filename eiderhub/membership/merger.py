"""Joins what several sources tell of endpoints into one picture: pure, for any sources, without clock or I/O.

An endpoint is its address: two sources that tell of one address tell of one endpoint, whatever ids they give it.
What each says of it stands until it says otherwise; the most cautious word wins; and a word of caution from a source
that has fallen silent expires by that source's terms. Silence alone takes nothing away.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from typing import NamedTuple

from eiderhub.interface import Endpoint, Readiness
from eiderhub.membership.endpoint_list import ListedEndpoint

MAX_GONE = 10_000  # addresses of which a source's "gone" is remembered; past that the oldest are forgotten
CAUTION = {Readiness.READY: 0, Readiness.DRAINING: 1, Readiness.REMOVED: 2}
MANY = ("service", "tag")  # labels of which an endpoint may have several
Address = tuple[str, int]


class Terms(NamedTuple):
    """How far a source's word goes. Of several that know an endpoint the first tells its zone and weight."""

    name: str
    # How long a silent source's "draining" or "gone" stands above another's "ready"; 0: for good.
    caution_us: int = 60_000_000


class Step(NamedTuple):
    """What one word changed: entries for host and module, and what is worth a line in the log, once."""

    changes: list[ListedEndpoint]  # what ends before what begins, so that an id which moves is free in time
    notes: list[str]


class _Source:
    """What one source has said last, by address and by its own ids."""

    def __init__(self, terms: Terms) -> None:
        self.terms = terms
        self.heard_us = 0
        self.at: dict[Address, dict[str, ListedEndpoint]] = {}  # several ids may share an address; one may be stale
        self.where: dict[str, Address] = {}
        self.gone: dict[Address, int] = {}  # when it said so

    def put(self, entry: ListedEndpoint, now_us: int) -> Iterator[Address]:
        """Take one entry in; the addresses of which this source now says something else."""
        name, address = entry.endpoint.id, (entry.host, entry.port)
        here = self.at.get(address)
        if here is not None and here.get(name) == entry:
            return  # as before: what most entries of a long list are
        if entry.endpoint.readiness is Readiness.REMOVED:
            yield from self.drop(name, now_us)
            return
        if self.where.get(name, address) != address:
            yield from self.drop(name, now_us)
        self.where[name] = address
        self.at.setdefault(address, {})[name] = entry
        self.gone.pop(address, None)
        yield address

    def drop(self, name: str, now_us: int) -> Iterator[Address]:
        """This id is gone; its address only with the last id there."""
        address = self.where.pop(name, None)
        if address is None:
            return
        here = self.at[address]
        del here[name]
        if not here:
            del self.at[address]
            self.gone.pop(address, None)
            self.gone[address] = now_us
            if len(self.gone) > MAX_GONE:
                del self.gone[next(iter(self.gone))]
        yield address

    def says(self, address: Address) -> Readiness | None:
        """Its word on an address, None where it has none. Of several ids there, the most cautious."""
        here = self.at.get(address)
        if here:
            return max((entry.endpoint.readiness for entry in here.values()), key=CAUTION.__getitem__)
        return Readiness.REMOVED if address in self.gone else None

    def caution_ends_us(self) -> int | None:
        """Until when its caution stands above another's word, if it stays silent; None: for good."""
        return self.heard_us + self.terms.caution_us if self.terms.caution_us else None


class Merger:
    """One picture of many sources. Times are microseconds of the clock on which endpoints' starts are told."""

    def __init__(self, sources: Iterable[Terms]) -> None:
        """Raises ValueError where two sources share a name."""
        self._sources: dict[str, _Source] = {}
        for terms in sources:
            if terms.name in self._sources:
                raise ValueError(f"two sources are named {terms.name}")
            self._sources[terms.name] = _Source(terms)
        self.picture: dict[Address, ListedEndpoint] = {}  # what is in force
        self._ids: dict[str, Address] = {}
        self._parted: dict[Address, tuple[tuple[str, Readiness], ...]] = {}  # disagreements that were told

    def tell(self, source: str, now_us: int, whole: bool, entries: Iterable[ListedEndpoint]) -> Step:
        """A source has spoken. A whole list says gone of all that it leaves out. Raises KeyError for no source."""
        teller = self._sources[source]
        teller.heard_us = now_us
        told = list(entries)
        touched: dict[Address, None] = {}
        if whole:
            touched = self._missing(teller, now_us, {entry.endpoint.id for entry in told})
        for entry in told:
            touched.update(dict.fromkeys(teller.put(entry, now_us)))
        # Having spoken, it stands by its caution again.
        touched.update(dict.fromkeys(address for address in self._parted if teller.says(address) is not None))
        return self._settle(touched, now_us)

    def left_out(self, source: str, now_us: int, names: set[str]) -> Step:
        """A whole list has come that holds these ids, to be told in parts: what it leaves out is gone already now."""
        teller = self._sources[source]
        teller.heard_us = now_us
        return self._settle(self._missing(teller, now_us, names), now_us)

    @staticmethod
    def _missing(teller: _Source, now_us: int, names: set[str]) -> dict[Address, None]:
        touched: dict[Address, None] = {}
        for name in teller.where.keys() - names:
            touched.update(dict.fromkeys(teller.drop(name, now_us)))
        return touched

    def heard(self, source: str, now_us: int) -> Step:
        """A source has answered that nothing is new: its words stand. Raises KeyError for no source."""
        return self.tell(source, now_us, False, ())

    def tick(self, now_us: int) -> Step:
        """Let words of caution expire."""
        return self._settle(dict.fromkeys(self._parted), now_us)

    def due_us(self, now_us: int) -> int | None:
        """When `tick` may change something, None: never. Only where sources disagree can a word's end matter."""
        ends = [
            source.caution_ends_us()
            for address in self._parted
            for source in self._sources.values()
            if source.says(address) not in (None, Readiness.READY)
        ]
        return min((end for end in ends if end is not None and end > now_us), default=None)

    def words(self, address: Address) -> dict[str, Readiness]:
        """What each source that knows an address says of it, in order of precedence."""
        found = ((name, source.says(address)) for name, source in self._sources.items())
        return {name: word for name, word in found if word is not None}

    # --- one address ---

    def _settle(self, touched: dict[Address, None], now_us: int) -> Step:
        ends, begins, notes = [], [], []
        for address in touched:
            entry = self._entry(address, now_us)
            if note := self._note(address):
                notes.append(note)
            old = self.picture.get(address)
            if entry is None:
                if old is not None:
                    del self.picture[address]
                    del self._ids[old.endpoint.id]
                    ends.append(old._replace(endpoint=old.endpoint._replace(readiness=Readiness.REMOVED)))
            elif entry != old:
                begins.append(entry)
        return Step(ends + [self._placed(entry) for entry in begins], notes)

    def _placed(self, entry: ListedEndpoint) -> ListedEndpoint:
        """Into the picture, under the id that its address has, or one that no other address has."""
        address = (entry.host, entry.port)
        name = entry.endpoint.id
        if self._ids.get(name, address) != address:
            name = f"{name}@{address[0]}:{address[1]}"
        placed = entry._replace(endpoint=entry.endpoint._replace(id=name))
        self.picture[address] = placed
        self._ids[name] = address
        return placed

    def _entry(self, address: Address, now_us: int) -> ListedEndpoint | None:
        """What holds of an address now; None: it is gone, or nobody ever told of it."""
        known = [source.at[address] for source in self._sources.values() if address in source.at]
        word = self._word(address, now_us)
        if not known or word is Readiness.REMOVED:
            return None
        entries = [entry for here in known for entry in here.values()]
        first = entries[0]  # of the source that comes first
        old = self.picture.get(address)
        endpoint: Endpoint = first.endpoint._replace(
            id=old.endpoint.id if old is not None else first.endpoint.id,
            readiness=word,
            # The latest start that anyone tells: rule 4 asks for the most caution with what may be cold.
            started_us=self._started_us(address),
            labels=_labels(entries),
        )
        return first._replace(endpoint=endpoint)

    def _word(self, address: Address, now_us: int) -> Readiness:
        """The most cautious word that stands. What has expired is heard where nothing else is."""
        standing: list[Readiness] = []
        expired: list[Readiness] = []
        for source in self._sources.values():
            word = source.says(address)
            if word is None:
                continue
            ends_us = source.caution_ends_us()
            over = word is not Readiness.READY and ends_us is not None and ends_us <= now_us
            # An address that a new process has taken: the word was about the one before.
            over = over or (word is Readiness.REMOVED and self._started_us(address) > source.gone[address])
            (expired if over else standing).append(word)
        return max(standing or expired, key=CAUTION.__getitem__, default=Readiness.REMOVED)

    def _started_us(self, address: Address) -> int:
        """The latest start that any source tells of what listens there."""
        known = (source.at.get(address, {}) for source in self._sources.values())
        return max((entry.endpoint.started_us for here in known for entry in here.values()), default=0)

    def _note(self, address: Address) -> str | None:
        """A line where sources have begun to disagree on an address, or do so in another way; none twice."""
        words = tuple(self.words(address).items())
        if len({word for _, word in words}) < 2:
            self._parted.pop(address, None)
            return None
        if self._parted.get(address) == words:
            return None
        self._parted[address] = words
        told = ", ".join(f"{name} says {word.value}" for name, word in words)
        return f"{address[0]}:{address[1]}: {told}"


def _labels(entries: Iterable[ListedEndpoint]) -> frozenset[str]:
    """All labels, but that a fact is told by the first that knows it. An endpoint may have many tags and services."""
    found: set[str] = set()
    names: set[str] = set()
    for entry in entries:
        told = {label: label.partition("=")[0] for label in entry.endpoint.labels}
        found |= {label for label, name in told.items() if name in MANY or name not in names}
        names |= set(told.values())
    return frozenset(found)
