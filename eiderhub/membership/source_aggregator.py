"""Feeds the lists of the platform and of other sources to a merger, and passes its changes on to the host."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Iterable
from typing import Any

from eiderhub.interface import ListForm, Readiness
from eiderhub.membership.endpoint_list import ListedEndpoint
from eiderhub.membership.merger import Merger, MergeResult, SourcePolicy
from eiderhub.sidecar.clock import Timer, now_us

PLATFORM = "platform"
BATCH_SIZE = 200  # entries that are applied before the event loop runs other tasks: about 3 ms
Deliver = Callable[[ListForm, list[ListedEndpoint]], None]
log = logging.getLogger(__name__)


class SourceAggregator:
    """Merges the lists of the platform and of other sources, and delivers each change of the merged view at once."""

    def __init__(self, others: Iterable[SourcePolicy], deliver: Deliver) -> None:
        self.merger = Merger([SourcePolicy(PLATFORM, 0), *others])  # the platform's states override without end
        self.deliver = deliver
        self._expiry_timer: Timer | None = None

    def on_platform_list(self, form: ListForm, entries: list[ListedEndpoint]) -> None:
        """Apply and deliver an answer of the platform, even if nothing changed: it resets the module's poll backoff."""
        if form is ListForm.FAILED:
            self.deliver(form, entries)
            return
        is_full = form is not ListForm.DELTA
        result = self.merger.update(PLATFORM, now_us(), is_full, entries)
        self._deliver(form, result, list(self.merger.endpoints.values()) if is_full else result.changes)
        self._schedule_expiry()

    async def on_source_list(self, source: str, entries: list[ListedEndpoint]) -> None:
        """Apply a full list of another source, in batches: thousands of new entries would delay every request.

        Removed endpoints go first, then draining ones, then ready ones, so that nothing new is sent to a draining or
        removed endpoint once the notification's grace has passed.
        """
        self._deliver_changes(self.merger.remove_unlisted(source, now_us(), {entry.endpoint.id for entry in entries}))
        ordered = sorted(entries, key=lambda entry: entry.endpoint.readiness is Readiness.READY)
        for begin in range(0, len(ordered), BATCH_SIZE):
            self._deliver_changes(self.merger.update(source, now_us(), False, ordered[begin : begin + BATCH_SIZE]))
            await asyncio.sleep(0)
        self._schedule_expiry()

    def _deliver_changes(self, result: MergeResult) -> None:
        if result.changes or result.conflicts:
            self._deliver(ListForm.DELTA, result, result.changes)

    def _deliver(self, form: ListForm, result: MergeResult, entries: list[ListedEndpoint]) -> None:
        for conflict in result.conflicts:
            log.warning("sources disagree: %s", conflict)
        self.deliver(form, entries)

    def _schedule_expiry(self) -> None:
        """Set a timer for the next expiry of an override that may change the merged view."""
        if self._expiry_timer is not None:
            self._expiry_timer.cancel()
        due_us = self.merger.next_expiry_us(now_us())
        self._expiry_timer = None if due_us is None else Timer(due_us, self._expire)

    def _expire(self) -> None:
        result = self.merger.expire(now_us())
        self._deliver_changes(result)
        self._schedule_expiry()


def add_consul_source(options: Any, host: Any) -> Any:
    """Merge Consul's lists with those of the platform, for a host that has not started yet.

    Returns the Consul source, which is to be started after the host.
    """
    from eiderhub.membership.consul.client import ConsulSource

    aggregator = SourceAggregator(
        [SourcePolicy(f"consul:{service}", options.override_us) for service in options.services], host.on_list
    )
    host.list_receiver = aggregator.on_platform_list
    return ConsulSource(options, lambda service, entries: aggregator.on_source_list(f"consul:{service}", entries))
