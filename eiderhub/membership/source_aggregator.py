"""Joins the platform's list with other sources before the host hears of either: the thin edge of the merger."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Iterable
from typing import Any

from eiderhub.interface import ListForm, Readiness
from eiderhub.membership.endpoint_list import ListedEndpoint
from eiderhub.membership.merger import Merger, Step, Terms
from eiderhub.sidecar.clock import Timer, now_us

PLATFORM = "platform"
SLICE = 200  # entries that are taken in without a look at what else there is to do: some 3 ms
Deliver = Callable[[ListForm, list[ListedEndpoint]], None]
log = logging.getLogger(__name__)


class SourceAggregator:
    """What sources tell goes in; what has changed in the one picture of them goes on, at once."""

    def __init__(self, others: Iterable[Terms], deliver: Deliver) -> None:
        self.merger = Merger([Terms(PLATFORM, 0), *others])  # the platform's caution never expires
        self.deliver = deliver
        self._alarm: Timer | None = None

    def platform(self, form: ListForm, entries: list[ListedEndpoint]) -> None:
        """A list or a change of the platform's. The module learns of each answer, also of one without a change."""
        if form is ListForm.FAILED:
            self.deliver(form, entries)
            return
        whole = form is not ListForm.DELTA
        step = self.merger.tell(PLATFORM, now_us(), whole, entries)
        self._told(form, step, list(self.merger.picture.values()) if whole else step.changes)
        self._watch()

    async def told(self, source: str, entries: list[ListedEndpoint]) -> None:
        """All that another source lists now.

        In slices, for thousands of new entries would hold up every request. Rule 3: what is gone goes with the first
        step, what drains with the next ones, and only then what is ready.
        """
        self._changed(self.merger.left_out(source, now_us(), {entry.endpoint.id for entry in entries}))
        ordered = sorted(entries, key=lambda entry: entry.endpoint.readiness is Readiness.READY)
        for begin in range(0, len(ordered), SLICE):
            self._changed(self.merger.tell(source, now_us(), False, ordered[begin : begin + SLICE]))
            await asyncio.sleep(0)
        self._watch()

    def _changed(self, step: Step) -> None:
        if step.changes or step.notes:
            self._told(ListForm.DELTA, step, step.changes)

    def _told(self, form: ListForm, step: Step, entries: list[ListedEndpoint]) -> None:
        for note in step.notes:
            log.warning("sources disagree: %s", note)
        self.deliver(form, entries)

    def _watch(self) -> None:
        """Ring when a word of caution ends, if that may change anything."""
        if self._alarm is not None:
            self._alarm.cancel()
        due_us = self.merger.due_us(now_us())
        self._alarm = None if due_us is None else Timer(due_us, self._expire)

    def _expire(self) -> None:
        step = self.merger.tick(now_us())
        self._changed(step)
        self._watch()


def add_consul_source(options: Any, host: Any) -> Any:
    """Put Consul beside the platform's list, before a host that has not started yet; what is to be started then."""
    from eiderhub.membership.consul.client import Consul

    joined = SourceAggregator(
        [Terms(f"consul:{service}", options.caution_us) for service in options.services], host.on_list
    )
    host.list_receiver = joined.platform
    return Consul(options, lambda service, entries: joined.told(f"consul:{service}", entries))
