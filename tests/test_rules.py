"""Guarantees of the decision module: final answers, effects, drains, cold endpoints and constraints on endpoints."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from eiderhub.balancer import NEVER_RAN, may_refuse, may_resend
from eiderhub.interface import (
    DedupScope,
    Effect,
    Endpoint,
    Limits,
    ListForm,
    Outcome,
    Readiness,
    RequestClass,
)
from tests.support import DEDUPLICATED, IDEMPOTENT, MS, RecordingHost, S, make_endpoints, make_settings

# --- exactly one final answer for each accepted request, before its deadline ---


def fill_until_queued(host: RecordingHost, class_name: str = "look") -> list[str]:
    """Deliver requests until one is queued; return the calls, the queued one last."""
    calls: list[str] = []
    while not calls or host.hand_offs(calls[-1]):
        calls.append(host.order(class_name))
        assert len(calls) < 500
    return calls


def test_queued_call_is_refused_before_its_deadline() -> None:
    host = RecordingHost(entries=make_endpoints(4))
    queued = fill_until_queued(host)[-1]
    host.advance(3 * S - 20 * MS)
    assert host.final_answers(queued) == ["shed"]
    host.advance(5 * S)
    assert host.final_answers(queued) == ["shed"]


def test_queued_call_with_little_time_left_is_refused_early() -> None:
    host = RecordingHost(entries=make_endpoints(4))
    fill_until_queued(host)
    short = host.order(expires_in_us=200 * MS)
    host.advance(180 * MS)
    assert host.final_answers(short) == ["shed"]


def test_queued_call_is_sent_once_there_is_capacity() -> None:
    host = RecordingHost(entries=make_endpoints(4))
    calls = fill_until_queued(host)
    host.reply(calls[0], Outcome.OK)
    assert host.hand_offs(calls[-1])
    assert host.final_answers(calls[-1]) == []


def test_timeout_at_the_deadline_fails_the_request_immediately() -> None:
    host = RecordingHost(entries=make_endpoints(4))
    call = host.order("pay", expires_in_us=2 * S)
    host.advance(2 * S)
    host.reply(call, Outcome.TIMEOUT, spent=2 * S)
    assert host.final_answers(call) == ["surrender"]


@pytest.mark.parametrize("state", ["none", "draining"])
def test_requests_without_a_ready_endpoint_are_refused_before_their_deadline(state: str) -> None:
    host = RecordingHost(entries=make_endpoints(3) if state == "draining" else [])
    drained = [e._replace(readiness=Readiness.DRAINING) for e in make_endpoints(3)]
    if state == "draining":
        host.balancer.discovery(host.now, ListForm.DELTA, drained)
    calls = [host.order(class_name) for class_name in ("look", "hold", "pay")]
    host.advance(3 * S)
    assert [host.final_answers(c) for c in calls] == [["shed"]] * 3
    assert host.hand_offs() == []


def test_expired_call_is_dropped_and_later_events_for_it_are_ignored() -> None:
    host = RecordingHost(entries=make_endpoints(4))
    calls = fill_until_queued(host)
    for call in (calls[0], calls[-1]):
        host.balancer.expired(host.now, call)
        host.balancer.expired(host.now, call)
    host.advance(5 * S)
    host.reply(calls[0], Outcome.TIMEOUT, closed=True)
    host.reply(calls[0], Outcome.TIMEOUT, closed=True)
    assert host.final_answers(calls[0]) == host.final_answers(calls[-1]) == []
    assert host.balancer.candidate_sets[0].local.limit.in_flight == len(calls) - 2


def test_request_with_an_id_in_use_is_an_error() -> None:
    host = RecordingHost(entries=make_endpoints(4))
    call = host.order()
    with pytest.raises(RuntimeError):
        host.balancer.order(host.now, call, "look", "small", S, None)


@given(st.lists(st.tuples(st.sampled_from(["look", "hold", "pay"]), st.sampled_from(list(Outcome))), max_size=60))
def test_every_call_gets_exactly_one_final_answer_for_any_sequence_of_outcomes(
    steps: list[tuple[str, Outcome]],
) -> None:
    host = RecordingHost(entries=make_endpoints(6))
    served: set[str] = set()
    calls = []
    for class_name, outcome in steps:
        call = host.order(class_name)
        calls.append(call)
        while host.hand_offs(call) and call not in served and not host.final_answers(call):
            host.advance(10 * MS)
            host.reply(call, outcome)
            if outcome is Outcome.OK:
                served.add(call)
    host.advance(6 * S)
    for call in calls:
        assert len(host.final_answers(call)) + (call in served) == 1
    assert host.balancer.calls == {}


# --- no effect runs twice ---


@given(st.sampled_from(Effect), st.sampled_from(DedupScope), st.booleans())
def test_refusal_is_permitted_only_where_a_retry_is_harmless(
    effect: Effect, dedup_scope: DedupScope, may_have_run: bool
) -> None:
    harmless = not may_have_run or effect is Effect.IDEMPOTENT
    harmless = harmless or (effect is Effect.DEDUPLICATED and dedup_scope is DedupScope.ALL)
    assert may_refuse(effect, dedup_scope, may_have_run) is harmless


@pytest.mark.parametrize(
    ("effect", "dedup_scope", "elapsed_us", "target", "permitted"),
    [
        (Effect.IDEMPOTENT, DedupScope.ALL, 99 * S, ("west", 9), True),
        (Effect.AT_MOST_ONCE, DedupScope.ALL, 0, ("east", 1), False),
        (Effect.DEDUPLICATED, DedupScope.ALL, 2 * S, ("west", 9), True),
        (Effect.DEDUPLICATED, DedupScope.ALL, 2 * S + 1, ("east", 1), False),
        (Effect.DEDUPLICATED, DedupScope.ZONE, S, ("east", 9), True),
        (Effect.DEDUPLICATED, DedupScope.ZONE, S, ("west", 1), False),
        (Effect.DEDUPLICATED, DedupScope.CELL, 2 * S, ("east", 1), True),
        (Effect.DEDUPLICATED, DedupScope.CELL, S, ("east", 2), False),
        (Effect.DEDUPLICATED, DedupScope.CELL, 2 * S + 1, ("east", 1), False),
    ],
)
def test_retry_stays_within_the_dedup_scope_and_window(
    effect: Effect, dedup_scope: DedupScope, elapsed_us: int, target: tuple[str, int], permitted: bool
) -> None:
    assert may_resend(effect, dedup_scope, 2 * S, (0, "east", 1), elapsed_us, target) is permitted
    assert may_resend(effect, dedup_scope, 2 * S, None, elapsed_us, target) is True


@pytest.mark.parametrize(("elapsed_us", "attempts"), [(1_700 * MS, 2), (1_800 * MS, 1)])
def test_retry_leaves_time_in_the_dedup_window_to_connect(elapsed_us: int, attempts: int) -> None:
    """A connection may take 250 ms: a retry decided at 1.8 s could be sent at 2.05 s, past the window of 2 s."""
    host = RecordingHost(make_settings(classes=(replace(DEDUPLICATED, late_worth_share=0.5),)), make_endpoints(8))
    call = host.order("hold")
    host.advance(elapsed_us)
    host.reply(call, Outcome.ERROR, spent=elapsed_us)
    assert len(host.sent_to[call]) == attempts


@pytest.mark.parametrize("class_name", ["look", "hold", "pay"])
@pytest.mark.parametrize("outcome", [o for o in Outcome if o not in (Outcome.OK, Outcome.NOT_EXECUTED)])
def test_next_step_after_each_outcome_is_permitted(class_name: str, outcome: Outcome) -> None:
    host = RecordingHost(entries=make_endpoints(8))
    call = host.order(class_name)
    for _ in range(4):
        if host.final_answers(call):
            break
        host.advance(10 * MS)
        host.reply(call, outcome)
    attempted = host.sent_to[call]
    may_have_run = outcome not in NEVER_RAN
    if class_name == "pay" and may_have_run:
        assert len(attempted) == 1
        assert host.final_answers(call) == ["surrender"]
    elif class_name == "hold" and may_have_run:
        cells = {host.balancer.endpoints[e].cell for e in attempted}
        assert len(cells) == 1
        assert host.final_answers(call) == ["surrender"]
    else:
        assert host.final_answers(call) == ["shed"]
        assert len(attempted) > 1


def test_deduplicated_call_is_not_retried_after_its_window() -> None:
    host = RecordingHost(entries=make_endpoints(4))
    call = host.order("hold")
    host.advance(2 * S + 1)
    host.reply(call, Outcome.ERROR)
    assert len(host.sent_to[call]) == 1
    assert host.final_answers(call) == ["surrender"]


def test_attempts_stay_within_the_configured_limit() -> None:
    host = RecordingHost(make_settings(limits=Limits(max_attempts=2)), make_endpoints(8))
    call = host.order()
    while not host.final_answers(call):
        host.reply(call, Outcome.CONNECT_FAILED)
    assert len(host.sent_to[call]) == 2


# --- nothing new is sent to a draining or removed endpoint ---


@pytest.mark.parametrize("update", ["draining", "gone", "absent"])
def test_nothing_is_sent_to_a_draining_or_removed_endpoint(update: str) -> None:
    host = RecordingHost(entries=make_endpoints(4))
    removed, remaining = make_endpoints(4)[:3], make_endpoints(4)[3:]
    if update == "absent":
        host.balancer.discovery(host.now, ListForm.FULL, remaining)
    else:
        state = Readiness(update)
        host.balancer.discovery(host.now, ListForm.DELTA, [e._replace(readiness=state) for e in removed])
    for _ in range(200):
        call = host.order()
        if host.hand_offs(call):
            host.reply(call, Outcome.OK)
    assert {d[2] for d in host.hand_offs()} == {remaining[0].id}


# --- a cold endpoint is not overloaded ---


def attempts_per_endpoint(host: RecordingHost, cold: set[str], calls: int) -> tuple[float, float]:
    """Attempts per cold and per warm endpoint; each call gets its reply before the next request arrives."""
    for _ in range(calls):
        call = host.order()
        if host.hand_offs(call):
            host.advance(MS)
            host.reply(call, Outcome.OK)
    hits = Counter(d[2] for d in host.hand_offs())
    warm = [e.id for e in make_endpoints(20) if e.id not in cold]
    return sum(hits[e] for e in cold) / len(cold), sum(hits[e] for e in warm) / max(1, len(warm))


@pytest.mark.parametrize("cold_count", [2, 15])
def test_attempts_of_all_instances_together_do_not_overload_a_cold_endpoint(cold_count: int) -> None:
    """Sixty instances with a few calls each: the bound applies to their sum, with few and with most endpoints cold."""
    now = 1_000_000_000
    listed = make_endpoints(20)
    fresh = [e._replace(started_us=now) if i < cold_count else e for i, e in enumerate(listed)]
    cold = {e.id for e in fresh[:cold_count]}
    to_cold = to_warm = 0.0
    for rank in range(60):
        host = RecordingHost(make_settings(rank=rank, balancers=60), fresh, seed=rank, now=now)
        cold_attempts, warm_attempts = attempts_per_endpoint(host, cold, 30)
        to_cold, to_warm = to_cold + cold_attempts, to_warm + warm_attempts
    # cold_capacity_share is 0.2: twice that leaves a margin for randomness, well below overload_factor 2.5 times 0.2.
    assert to_cold < 0.4 * to_warm


def test_endpoints_that_all_restart_get_a_reduced_load_from_all_instances() -> None:
    """Without a warm endpoint, repeated selection and queued calls would send the whole load to cold endpoints."""
    warm = cold = 0
    for rank in range(40):
        host = RecordingHost(make_settings(rank=rank, balancers=40), make_endpoints(10), seed=rank)
        for second in range(23):
            if second == 20:
                warm = warm + len(host.hand_offs())
                host.balancer.discovery(host.now, ListForm.DELTA, make_endpoints(10, started_us=host.now))
            for _ in range(4):
                host.advance(250 * MS)
                call = host.order()
                host.complete_all()
                assert host.hand_offs(call) or second >= 20
        cold += len(host.hand_offs())
    # In the three seconds after the restart: half of 2.5 times 0.2 to 0.44 of the usual load, plus a margin.
    assert cold - warm < 0.6 * warm * 3 / 20


def test_endpoint_that_restarts_under_its_id_is_cold_again() -> None:
    host = RecordingHost(entries=make_endpoints(20))
    again = make_endpoints(1, started_us=host.now)
    host.balancer.discovery(host.now, ListForm.DELTA, again)
    to_cold, to_warm = attempts_per_endpoint(host, {again[0].id}, 2000)
    assert to_cold < 0.4 * to_warm


# --- a constraint on endpoints is applied before the subset is drawn ---

ZONES, MACHINE_KINDS, READINESS = ("east", "west", "north"), ("std", "fast"), ("ready", "draining", "gone")
ZONE_BOUND = RequestClass("bound", 1 * S, 3 * S, Effect.IDEMPOTENT, allowed_zones=frozenset(("west", "north")))
KIND_BOUND = RequestClass(
    "fast", 1 * S, 3 * S, Effect.DEDUPLICATED, DedupScope.ALL, 2 * S, allowed_machine_kinds=frozenset(("fast",))
)
UNSERVED = RequestClass("nowhere", 1 * S, 3 * S, Effect.AT_MOST_ONCE, allowed_machine_kinds=frozenset())
ROWS = st.lists(
    st.tuples(st.integers(0, 30), st.sampled_from(ZONES), st.sampled_from(MACHINE_KINDS), st.sampled_from(READINESS)),
    max_size=30,
)
STEPS = st.one_of(
    st.tuples(st.just("order"), st.sampled_from(["look", "bound", "fast", "nowhere"])),
    st.tuples(st.just("reply"), st.sampled_from(list(Outcome))),
    st.tuples(st.just("wait"), st.integers(1, 900)),
    st.tuples(st.just("list"), ROWS),
)


@given(ROWS, st.lists(STEPS, max_size=60))
def test_every_attempt_goes_to_an_endpoint_that_its_class_allows(
    rows: list[tuple[int, str, str, str]], steps: list[tuple[str, Any]]
) -> None:
    """First attempts, retries and hedges, with changing lists, restarts and every outcome."""
    classes = {c.name: c for c in (IDEMPOTENT, ZONE_BOUND, KIND_BOUND, UNSERVED)}
    host = RecordingHost(make_settings(classes=tuple(classes.values()), balancers=1))
    class_names: dict[str, str] = {}
    served: set[str] = set()
    locations: dict[str, tuple[str, str]] = {}

    def deliver_list(form: ListForm, lines: list[tuple[int, str, str, str]]) -> None:
        entries = []
        for number, zone, machine_kind, readiness in lines:
            name = f"10.0.{number}.1:80"
            zone, machine_kind = locations.setdefault(name, (zone, machine_kind))  # these never change for an endpoint
            entries.append(Endpoint(name, zone, machine_kind, number % 4, Readiness(readiness), 1.0, host.now))
        host.balancer.discovery(host.now, form, entries)

    def end_all_attempts(outcome: Outcome) -> None:
        for call in sorted(host.balancer.calls):
            for attempt in sorted(host.balancer.calls[call].outstanding):
                closed = call in served or bool(host.final_answers(call)) or outcome is Outcome.OK
                served.update([call] if outcome is Outcome.OK and not host.final_answers(call) else [])
                if call in host.balancer.calls:
                    host.reply(call, outcome, attempt=attempt, closed=closed)

    deliver_list(ListForm.FULL, rows)
    for step, value in steps:
        if step == "order":
            class_names[host.order(value)] = value
        elif step == "reply":
            end_all_attempts(value)
        elif step == "wait":
            host.advance(value * MS)
        else:
            deliver_list(ListForm.DELTA, value)
    host.advance(4 * S)
    while host.balancer.calls:
        end_all_attempts(Outcome.TIMEOUT)
        host.advance(4 * S)
    for _, call, endpoint, _ in host.hand_offs():
        request_class = classes[class_names[call]]
        zone, machine_kind = locations[endpoint]
        assert request_class.allowed_zones is None or zone in request_class.allowed_zones
        assert request_class.allowed_machine_kinds is None or machine_kind in request_class.allowed_machine_kinds
    for call in class_names:
        assert len(host.final_answers(call)) + (call in served) == 1


def test_class_with_few_allowed_endpoints_reaches_all_of_them_from_all_instances() -> None:
    """A subset drawn from all endpoints and filtered afterwards would leave each instance the same few or none."""
    listed = [e._replace(machine_kind="fast" if i % 8 == 0 else "std") for i, e in enumerate(make_endpoints(160))]
    hits: Counter[str] = Counter()
    for rank in range(40):
        host = RecordingHost(
            make_settings(classes=(IDEMPOTENT, KIND_BOUND), balancers=40, rank=rank), listed, seed=rank
        )
        for _ in range(20):
            call = host.order("fast")
            hits[host.sent_to[call][0]] += 1
            host.reply(call, Outcome.OK)
    assert len(hits) == 20
    assert max(hits.values()) < 2 * 40


def test_request_of_a_class_without_endpoints_is_queued_and_refused_before_its_deadline() -> None:
    host = RecordingHost(make_settings(classes=(IDEMPOTENT, ZONE_BOUND)), make_endpoints(4))
    call = host.order("bound")
    host.advance(3 * S)
    assert host.final_answers(call) == ["shed"]
    assert host.hand_offs(host.order("look"))
