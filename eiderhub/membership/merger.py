"""Merges the endpoint lists of several sources into one view, without clock or I/O.

An endpoint is identified by its address: entries of two sources with the same address are one endpoint, whatever ids
they use. What a source reported about an address holds until that source reports something else. Where sources
disagree, the most restrictive state wins; a draining or removed state of a source that has been silent for longer than
its policy allows no longer overrides a ready state of another source. Silence alone never removes an endpoint.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from typing import NamedTuple

from eiderhub.interface import Endpoint, Readiness
from eiderhub.membership.endpoint_list import ListedEndpoint

MAX_REMOVED_ADDRESSES = 10_000  # removed addresses that are remembered for each source; the oldest are dropped first
STATE_RANK = {Readiness.READY: 0, Readiness.DRAINING: 1, Readiness.REMOVED: 2}  # higher is more restrictive
MULTI_VALUED_LABELS = ("service", "tag")  # labels of which an endpoint may have several
Address = tuple[str, int]


class SourcePolicy(NamedTuple):
    """A source's name, and how long its restrictive states hold.

    Policies are given in order of precedence: an endpoint's zone and weight come from the first source that lists it.
    """

    name: str
    # How long a silent source's draining or removed state overrides another source's ready state; 0: without end.
    override_us: int = 60_000_000


class MergeResult(NamedTuple):
    """What an update changed: entries for the host and the decision module, and new disagreements for the log."""

    changes: list[ListedEndpoint]  # removals first, so that an id that moves to another address is free again
    conflicts: list[str]


class _Source:
    """The last state that one source reported, by address and by the source's own ids."""

    def __init__(self, policy: SourcePolicy) -> None:
        self.policy = policy
        self.last_update_us = 0
        self.entries_at: dict[Address, dict[str, ListedEndpoint]] = {}  # ids may share an address if one is stale
        self.address_of: dict[str, Address] = {}
        self.removed_at_us: dict[Address, int] = {}

    def set_entry(self, entry: ListedEndpoint, now_us: int) -> Iterator[Address]:
        """Store one entry; yield the addresses that this source now reports differently."""
        endpoint_id, address = entry.endpoint.id, (entry.host, entry.port)
        entries = self.entries_at.get(address)
        if entries is not None and entries.get(endpoint_id) == entry:
            return  # unchanged, like most entries of a long list
        if entry.endpoint.readiness is Readiness.REMOVED:
            yield from self.remove_id(endpoint_id, now_us)
            return
        if self.address_of.get(endpoint_id, address) != address:
            yield from self.remove_id(endpoint_id, now_us)
        self.address_of[endpoint_id] = address
        self.entries_at.setdefault(address, {})[endpoint_id] = entry
        self.removed_at_us.pop(address, None)
        yield address

    def remove_id(self, endpoint_id: str, now_us: int) -> Iterator[Address]:
        """Remove an id; its address is removed only with the last id there."""
        address = self.address_of.pop(endpoint_id, None)
        if address is None:
            return
        entries = self.entries_at[address]
        del entries[endpoint_id]
        if not entries:
            del self.entries_at[address]
            self.removed_at_us.pop(address, None)
            self.removed_at_us[address] = now_us
            if len(self.removed_at_us) > MAX_REMOVED_ADDRESSES:
                del self.removed_at_us[next(iter(self.removed_at_us))]
        yield address

    def state_of(self, address: Address) -> Readiness | None:
        """Return the most restrictive state of the ids at an address, or None if the source does not know it."""
        entries = self.entries_at.get(address)
        if entries:
            return max((entry.endpoint.readiness for entry in entries.values()), key=STATE_RANK.__getitem__)
        return Readiness.REMOVED if address in self.removed_at_us else None

    def override_ends_us(self) -> int | None:
        """Return when this source's restrictive states stop overriding others if it stays silent; None: never."""
        return self.last_update_us + self.policy.override_us if self.policy.override_us else None


class Merger:
    """The merged view of several sources. Times are microseconds of the clock that endpoints' starts refer to."""

    def __init__(self, policies: Iterable[SourcePolicy]) -> None:
        """Raises ValueError if two sources have the same name."""
        self._sources: dict[str, _Source] = {}
        for policy in policies:
            if policy.name in self._sources:
                raise ValueError(f"two sources are named {policy.name}")
            self._sources[policy.name] = _Source(policy)
        self.endpoints: dict[Address, ListedEndpoint] = {}  # the merged view
        self._address_of: dict[str, Address] = {}  # by merged id
        self._conflicts: dict[Address, tuple[tuple[str, Readiness], ...]] = {}  # disagreements already reported

    def update(self, source: str, now_us: int, is_full: bool, entries: Iterable[ListedEndpoint]) -> MergeResult:
        """Apply a source's update; a full list removes what it leaves out. Raises KeyError for an unknown source."""
        updated = self._sources[source]
        updated.last_update_us = now_us
        received = list(entries)
        touched: dict[Address, None] = {}
        if is_full:
            touched = self._remove_unlisted(updated, now_us, {entry.endpoint.id for entry in received})
        for entry in received:
            touched.update(dict.fromkeys(updated.set_entry(entry, now_us)))
        # The update renews the overrides of this source, also those that had expired.
        touched.update(dict.fromkeys(address for address in self._conflicts if updated.state_of(address) is not None))
        return self._recompute(touched, now_us)

    def remove_unlisted(self, source: str, now_us: int, listed_ids: set[str]) -> MergeResult:
        """Remove what a full list with these ids leaves out, before the list itself is applied in parts."""
        updated = self._sources[source]
        updated.last_update_us = now_us
        return self._recompute(self._remove_unlisted(updated, now_us, listed_ids), now_us)

    @staticmethod
    def _remove_unlisted(source: _Source, now_us: int, listed_ids: set[str]) -> dict[Address, None]:
        touched: dict[Address, None] = {}
        for endpoint_id in source.address_of.keys() - listed_ids:
            touched.update(dict.fromkeys(source.remove_id(endpoint_id, now_us)))
        return touched

    def confirm(self, source: str, now_us: int) -> MergeResult:
        """Record that a source answered without changes, so its states hold. Raises KeyError for an unknown source."""
        return self.update(source, now_us, False, ())

    def expire(self, now_us: int) -> MergeResult:
        """Apply the overrides that have expired."""
        return self._recompute(dict.fromkeys(self._conflicts), now_us)

    def next_expiry_us(self, now_us: int) -> int | None:
        """Return when `expire` may change something, None: never. Only where sources disagree does an expiry matter."""
        ends = [
            source.override_ends_us()
            for address in self._conflicts
            for source in self._sources.values()
            if source.state_of(address) not in (None, Readiness.READY)
        ]
        return min((end for end in ends if end is not None and end > now_us), default=None)

    def reported_states(self, address: Address) -> dict[str, Readiness]:
        """Return the state that each source reports for an address it knows, in order of precedence."""
        found = ((name, source.state_of(address)) for name, source in self._sources.items())
        return {name: state for name, state in found if state is not None}

    # --- one address ---

    def _recompute(self, touched: dict[Address, None], now_us: int) -> MergeResult:
        removals, updates, conflicts = [], [], []
        for address in touched:
            entry = self._merge_entries(address, now_us)
            if conflict := self._new_conflict(address):
                conflicts.append(conflict)
            old = self.endpoints.get(address)
            if entry is None:
                if old is not None:
                    del self.endpoints[address]
                    del self._address_of[old.endpoint.id]
                    removals.append(old._replace(endpoint=old.endpoint._replace(readiness=Readiness.REMOVED)))
            elif entry != old:
                updates.append(entry)
        return MergeResult(removals + [self._store(entry) for entry in updates], conflicts)

    def _store(self, entry: ListedEndpoint) -> ListedEndpoint:
        """Put an entry into the merged view under its address's id, or under one that no other address has."""
        address = (entry.host, entry.port)
        endpoint_id = entry.endpoint.id
        if self._address_of.get(endpoint_id, address) != address:
            endpoint_id = f"{endpoint_id}@{address[0]}:{address[1]}"
        stored = entry._replace(endpoint=entry.endpoint._replace(id=endpoint_id))
        self.endpoints[address] = stored
        self._address_of[endpoint_id] = address
        return stored

    def _merge_entries(self, address: Address, now_us: int) -> ListedEndpoint | None:
        """Return the merged entry of an address, or None if it is removed or was never listed."""
        known = [source.entries_at[address] for source in self._sources.values() if address in source.entries_at]
        state = self._merge_states(address, now_us)
        if not known or state is Readiness.REMOVED:
            return None
        entries = [entry for by_id in known for entry in by_id.values()]
        first = entries[0]  # of the source with the highest precedence
        old = self.endpoints.get(address)
        endpoint: Endpoint = first.endpoint._replace(
            id=old.endpoint.id if old is not None else first.endpoint.id,
            readiness=state,
            # The latest reported start, so that an endpoint that may be cold gets a slow start and is not overloaded.
            started_us=self._latest_start_us(address),
            labels=_merge_labels(entries),
        )
        return first._replace(endpoint=endpoint)

    def _merge_states(self, address: Address, now_us: int) -> Readiness:
        """Return the most restrictive state that is in force; expired ones count only where there is no other."""
        in_force: list[Readiness] = []
        expired: list[Readiness] = []
        for source in self._sources.values():
            state = source.state_of(address)
            if state is None:
                continue
            ends_us = source.override_ends_us()
            is_expired = state is not Readiness.READY and ends_us is not None and ends_us <= now_us
            # A new process has taken the address since: the removal was that of the previous one.
            is_expired = is_expired or (
                state is Readiness.REMOVED and self._latest_start_us(address) > source.removed_at_us[address]
            )
            (expired if is_expired else in_force).append(state)
        return max(in_force or expired, key=STATE_RANK.__getitem__, default=Readiness.REMOVED)

    def _latest_start_us(self, address: Address) -> int:
        """Return the latest start that any source reports for the process at an address."""
        known = (source.entries_at.get(address, {}) for source in self._sources.values())
        return max((entry.endpoint.started_us for by_id in known for entry in by_id.values()), default=0)

    def _new_conflict(self, address: Address) -> str | None:
        """Return a log line if sources now disagree on an address in a way that has not been reported yet."""
        states = tuple(self.reported_states(address).items())
        if len({state for _, state in states}) < 2:
            self._conflicts.pop(address, None)
            return None
        if self._conflicts.get(address) == states:
            return None
        self._conflicts[address] = states
        listed = ", ".join(f"{name} reports {state.value}" for name, state in states)
        return f"{address[0]}:{address[1]}: {listed}"


def _merge_labels(entries: Iterable[ListedEndpoint]) -> frozenset[str]:
    """Return all tags and services; any other label is taken from the first entry that has one of that name."""
    merged: set[str] = set()
    known_names: set[str] = set()
    for entry in entries:
        names = {label: label.partition("=")[0] for label in entry.endpoint.labels}
        merged |= {label for label, name in names.items() if name in MULTI_VALUED_LABELS or name not in known_names}
        known_names |= set(names.values())
    return frozenset(merged)
