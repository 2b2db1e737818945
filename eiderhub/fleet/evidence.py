"""Observations of failing endpoints that members exchange, and the limits of their influence.

Members exchange counts of calls and failures, not verdicts. An observation decays, is replaced by a later one of the
same reporter, and is bound to the endpoint's start, so that a restarted endpoint is not blamed for its predecessor.
`compute_kept_shares` holds the bounds on what a member that reports falsely can do. No I/O and no clock: times in
microseconds are passed in.
"""

from __future__ import annotations

import math
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import NamedTuple

from eiderhub.fleet.messages import Observation, digest
from eiderhub.interface import Outcome

HALF_LIFE_US = 8_000_000  # of this member's and others' counts of calls and failures
MAX_AGE_US = 40_000_000  # older observations of others are ignored
MIN_REPORTED_FAILURES = 0.7  # decayed failures that are reported: low, since a member with little load has few calls
MIN_REPORTED_FAILURE_SHARE = 0.4  # share of failed calls that is reported
WITHDRAWAL_FAILURE_SHARE = 0.15  # below it a report is withdrawn
MAX_REBUTTAL_AGE_US = 2_000_000  # age of the last call up to which it is reported in reply to an accusation
EARLIER_CALLS_WEIGHT = 0.5  # factor on the earlier counts with each further call
REPORT_INTERVAL_US = 1_000_000  # shortest time between two reports on one endpoint
MAX_OBSERVATIONS = 256  # kept observations of all reporters together
MAX_OWN_ENDPOINTS = 512  # endpoints with counts of this member's calls
RETRANSMIT_MULTIPLIER = 2.0  # times log2 of the fleet's size: how often each observation is sent
PEER_CALL_WEIGHT = 0.5  # of a call that another member reported, relative to one of this member's calls
PRIOR_CALLS = 0.2  # successful calls that are added to each endpoint's count
MIN_KEPT_SHARE_ONE_ACCUSER = 0.5  # lower bound while a single other member reports failures
MIN_KEPT_SHARE = 0.05  # lower bound in all cases: some calls still go there, so that its recovery is noticed
MIN_EXCESS = 0.05  # share of failures above the pool's mean that lowers an endpoint
MAX_LOWERED_SHARE = 0.3  # of a pool's endpoints that may be lowered at one time
FAILURE_OUTCOMES = frozenset((Outcome.ERROR, Outcome.TIMEOUT, Outcome.RESET, Outcome.CONNECT_FAILED))


class EndpointStart(NamedTuple):
    """One start of an endpoint."""

    id: str
    started_ms: int  # Unix time in milliseconds; 0: long ago


@dataclass(slots=True)
class OwnCalls:
    """This member's calls to one endpoint, with exponential decay."""

    endpoint_digest: bytes  # the endpoint's id on the wire
    endpoint_started_ms: int
    calls: float
    failures: float
    as_of_us: int  # time up to which the counts have decayed
    last_call_us: int
    last_failure: int  # value of `Outcome`
    reported_us: int  # time of the last report; 0: no report is in force

    def decay(self, now: int) -> None:
        """Decay the counts up to now."""
        factor = 0.5 ** ((now - self.as_of_us) / HALF_LIFE_US)
        self.calls *= factor
        self.failures *= factor
        self.as_of_us = now


@dataclass(slots=True)
class HeldObservation:
    """The latest observation of one endpoint by one reporter."""

    observation: Observation
    received_us: int
    times_sent: int = 0


class EvidenceStore:
    """All evidence that one member holds: counts of its own calls, and the observations of all reporters."""

    def __init__(self, own_name: str, now: int) -> None:
        self.own_name = own_name
        self._own_calls: dict[str, OwnCalls] = {}
        self._observations: dict[tuple[str, bytes], HeldObservation] = {}  # by reporter and endpoint; the oldest first
        self._sequence = now // 1_000_000 & 0xFFFF_FFFF  # above that of an earlier process, unless the clock went back

    # --- this member's calls ---

    def record(self, now: int, endpoint: EndpointStart, outcome: Outcome) -> None:
        """Count an attempt that has ended. Outcomes that say nothing about the endpoint are ignored."""
        failed = outcome in FAILURE_OUTCOMES
        if not failed and outcome is not Outcome.OK:
            return
        own = self._own_calls.get(endpoint.id)
        if own is None or own.endpoint_started_ms != endpoint.started_ms:
            if len(self._own_calls) >= MAX_OWN_ENDPOINTS:
                del self._own_calls[next(iter(self._own_calls))]
            own = OwnCalls(digest(endpoint.id.encode()), endpoint.started_ms, 0.0, 0.0, now, now, 0, 0)
            self._own_calls[endpoint.id] = own
        # Recent calls weigh most: otherwise successes from before the failures began would hide the failures.
        own.decay(now)
        own.last_call_us = now
        own.calls = EARLIER_CALLS_WEIGHT * own.calls + 1
        own.failures = EARLIER_CALLS_WEIGHT * own.failures + failed
        if failed:
            own.last_failure = int(outcome)
        self._report_if_due(now, endpoint, own)

    def _report_if_due(self, now: int, endpoint: EndpointStart, own: OwnCalls) -> None:
        share = own.failures / own.calls
        is_failing = own.failures >= MIN_REPORTED_FAILURES and share >= MIN_REPORTED_FAILURE_SHARE
        if is_failing and now - own.reported_us >= REPORT_INTERVAL_US:
            self._report(now, endpoint, own)
        elif own.reported_us and share < WITHDRAWAL_FAILURE_SHARE:
            self._report(now, endpoint, own)
            own.reported_us = 0

    def _report(self, now: int, endpoint: EndpointStart, own: OwnCalls) -> None:
        self._sequence += 1
        own.reported_us = now
        calls = max(1, round(own.calls))
        failures = round(calls * own.failures / own.calls)
        self._store(
            now,
            Observation(
                self.own_name,
                own.endpoint_digest,
                endpoint.started_ms,
                self._sequence,
                calls,
                failures,
                own.last_failure,
            ),
        )

    # --- observations of others ---

    def receive(self, now: int, observation: Observation) -> None:
        """Store an observation, unless a later one of the same reporter and endpoint is known."""
        if observation.reporter == self.own_name or observation.failures > observation.calls:
            return
        known = self._observations.get((observation.reporter, observation.endpoint))
        if known is None or observation.sequence > known.observation.sequence:
            self._store(now, observation)
            if observation.failures:
                self._rebut(now, observation)

    def _rebut(self, now: int, observation: Observation) -> None:
        """Report this member's own recent calls to an accused endpoint.

        Without rebuttals only the members whose few calls failed would report, and random failures of a few calls would
        look like a failing endpoint.
        """
        for endpoint_id, own in self._own_calls.items():
            if (
                own.endpoint_digest == observation.endpoint
                and own.endpoint_started_ms == observation.endpoint_started_ms
                and now - own.reported_us >= REPORT_INTERVAL_US
            ):
                if now - own.last_call_us < MAX_REBUTTAL_AGE_US:
                    self._report(now, EndpointStart(endpoint_id, own.endpoint_started_ms), own)

    def _store(self, now: int, observation: Observation) -> None:
        self._observations.pop((observation.reporter, observation.endpoint), None)
        self._observations[observation.reporter, observation.endpoint] = HeldObservation(observation, now)
        while len(self._observations) > MAX_OBSERVATIONS:
            del self._observations[next(iter(self._observations))]

    def pending(self, members: int) -> Iterator[Observation]:
        """Yield the observations that are still to be sent in a fleet of this size, the least sent first."""
        max_sent = RETRANSMIT_MULTIPLIER * math.ceil(math.log2(members + 1))
        for held in sorted(self._observations.values(), key=lambda h: h.times_sent):
            if held.times_sent < max_sent:
                yield held.observation

    def mark_sent(self, observation: Observation) -> None:
        """Count a transmission of the observation, unless a later one has replaced it."""
        held = self._observations.get((observation.reporter, observation.endpoint))
        if held is not None and held.observation is observation:
            held.times_sent += 1

    # --- evaluation ---

    def peer_calls(self, now: int, endpoint: EndpointStart) -> dict[str, tuple[float, float]]:
        """Return the decayed calls and failures that each other member reported for this start of the endpoint."""
        endpoint_digest, by_reporter = digest(endpoint.id.encode()), {}
        for (reporter, observed), held in self._observations.items():
            age = now - held.received_us
            if (
                observed == endpoint_digest
                and reporter != self.own_name
                and held.observation.endpoint_started_ms == endpoint.started_ms
                and age < MAX_AGE_US
            ):
                factor = 0.5 ** (age / HALF_LIFE_US)
                by_reporter[reporter] = (held.observation.calls * factor, held.observation.failures * factor)
        return by_reporter

    def own_calls(self, now: int, endpoint: EndpointStart) -> tuple[float, float]:
        """Return this member's decayed calls and failures for this start of the endpoint."""
        own = self._own_calls.get(endpoint.id)
        if own is None or own.endpoint_started_ms != endpoint.started_ms:
            return 0.0, 0.0
        own.decay(now)
        return own.calls, own.failures

    def kept_shares(self, now: int, pool: list[EndpointStart]) -> dict[str, float]:
        """Return, by id, the share of its calls that each lowered endpoint of the pool keeps."""
        by_digest = {digest(endpoint.id.encode()): endpoint for endpoint in pool}
        accused = {by_digest[observed] for (_, observed) in self._observations if observed in by_digest}
        if not accused:
            return {}
        reported = {endpoint: self.peer_calls(now, endpoint) for endpoint in accused}
        return compute_kept_shares({e.id: (self.own_calls(now, e), reported[e]) for e in accused}, len(pool))

    def retain_only(self, pool: list[EndpointStart]) -> None:
        """Drop the counts of removed endpoints, whose ids don't come back."""
        listed = {endpoint.id for endpoint in pool}
        for removed in self._own_calls.keys() - listed:
            del self._own_calls[removed]


def compute_kept_shares(
    seen: Mapping[str, tuple[tuple[float, float], Mapping[str, tuple[float, float]]]], pool: int
) -> dict[str, float]:
    """Return the share of its calls that each lowered endpoint keeps.

    `seen` gives for each accused endpoint this member's (calls, failures) and those of each reporter; `pool` is the
    number of the pool's endpoints. Bounds that hold for any reports: no share is below MIN_KEPT_SHARE, none below
    MIN_KEPT_SHARE_ONE_ACCUSER with a single accuser, at most MAX_LOWERED_SHARE of the pool is lowered, and a reporter
    that accuses more endpoints than that weighs proportionally less. Endpoints are compared with the pool's mean, so
    that failures on all endpoints lower none.
    """
    max_lowered = int(MAX_LOWERED_SHARE * pool)
    accusations: dict[str, int] = {}
    for _, peer_calls in seen.values():
        for reporter, (_, failures) in peer_calls.items():
            accusations[reporter] = accusations.get(reporter, 0) + (failures > 0)
    shares = {}
    for endpoint, (own, peer_calls) in seen.items():
        calls, failures = own[0] + PRIOR_CALLS, own[1]
        accusers = 0
        for reporter, (reported_calls, reported_failures) in peer_calls.items():
            weight = PEER_CALL_WEIGHT * min(1.0, max_lowered / max(1, accusations[reporter]))
            calls += weight * reported_calls
            failures += weight * reported_failures
            accusers += reported_failures > 0
        shares[endpoint] = (failures / calls, accusers)
    mean = sum(share for share, _ in shares.values()) / max(pool, 1)
    kept = {}
    for endpoint, (share, accusers) in sorted(shares.items(), key=lambda row: -row[1][0])[:max_lowered]:
        excess = max(0.0, share - mean) / max(1.0 - mean, 1e-9)
        floor = MIN_KEPT_SHARE if accusers > 1 else MIN_KEPT_SHARE_ONE_ACCUSER
        if accusers and excess > MIN_EXCESS:
            kept[endpoint] = max(floor, 1.0 - excess)
    return kept
