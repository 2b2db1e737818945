"""When discovery is polled, against the platform's rule for watches that stop answering. No I/O."""

from __future__ import annotations

import random
from itertools import pairwise

import pytest

from eiderhub.membership.poll_schedule import (
    MAX_RECHECKS,
    REFUSED_PAUSE_S,
    WATCH_WAIT_MS,
    PollRequest,
    PollSchedule,
)

NOTIFIED_S = 2.0  # after the wait of a watch that fell silent, what it missed counts as notified
ROUND_TRIP_S = 0.25  # a connection and a response of a discovery that is not overloaded


def schedule(uses_local_agent: bool = False, grace_us: int = 1_000_000, offset: float = 0.0) -> PollSchedule:
    return PollSchedule(uses_local_agent, grace_us, random.Random(1), offset)


@pytest.mark.parametrize("grace_us", [1_000_000, 500_000])
def test_a_silent_watch_leaves_time_for_a_second_silence_and_a_response(grace_us: int) -> None:
    """A watch that times out too late has missed changes that count as notified already, and then backs off as well."""
    polls = schedule(grace_us=grace_us)
    watch = polls.next_poll()
    left_s = watch.wait_ms / 1000 + NOTIFIED_S + grace_us / 1e6 - watch.timeout_s
    assert watch == PollRequest(False, WATCH_WAIT_MS[0], watch.timeout_s)
    assert polls.failed(timed_out=True) == 0.0
    recheck = polls.next_poll()
    assert recheck.wait_ms == 0  # with a wait, silence could not be told from the absence of changes
    left_s -= recheck.timeout_s
    assert polls.failed(timed_out=True) == 0.0
    assert left_s - ROUND_TRIP_S > 0


@pytest.mark.parametrize("poll_interval_us", [2_000_000, 10_000_000, 60_000_000])
def test_a_watch_that_fails_at_its_end_leaves_time_for_another_request(poll_interval_us: int) -> None:
    """A list may be used for four poll intervals after the request that failed."""
    for offset in (0.0, 0.5, 0.99):
        polls = PollSchedule(False, 1_000_000, random.Random(1), offset, poll_interval_us)
        assert polls.next_poll().wait_ms * 1000 <= 3 * poll_interval_us
        assert polls.next_poll().wait_ms <= 30_000  # the platform allows 60 s, however long a list may be used


def test_rechecks_are_few_and_then_the_module_decides() -> None:
    polls = schedule()
    for _ in range(MAX_RECHECKS):
        assert polls.failed(timed_out=True) == 0.0
    assert polls.failed(timed_out=True) is None
    assert polls.next_poll().wait_ms == WATCH_WAIT_MS[0]


def test_a_recheck_that_is_refused_is_repeated_soon() -> None:
    polls = schedule()
    polls.failed(timed_out=True)
    pause_s = polls.failed(timed_out=False)
    assert pause_s is not None and 0.0 < pause_s <= 1.5 * REFUSED_PAUSE_S
    assert polls.next_poll().wait_ms == 0


@pytest.mark.parametrize("instances", [8, 200])
def test_watches_that_fall_silent_together_do_not_time_out_together(instances: int) -> None:
    """In a simulation, seven watches ended at the same moment, and discovery took over a second for their rechecks.

    In the worst case discovery serves one request of each instance within 8 s, one after another: each must be answered
    before the next is sent.
    """
    ends = sorted(schedule(offset=(rank + 0.5) / instances).next_poll().timeout_s for rank in range(instances))
    assert min(later - sooner for sooner, later in pairwise(ends)) > 8.0 / instances


def test_a_response_ends_the_rechecks() -> None:
    polls = schedule()
    polls.failed(timed_out=True)
    polls.succeeded()
    assert polls.next_poll() == schedule().next_poll()


def test_a_watch_that_is_refused_or_reset_is_left_to_the_module() -> None:
    assert schedule().failed(timed_out=False) is None


def test_the_full_list_is_requested_from_a_new_address_until_it_has_come() -> None:
    """The list of the new address counts as notified 4 s after SIGHUP, which leaves time for a timeout and a refusal.

    There is no time for more of them, since with a timeout shorter than discovery's queue each instance would lose its
    position there again and again.
    """
    polls = schedule().for_new_address()
    spent_s = 0.0
    for timed_out in (True, False):
        request = polls.next_poll()
        assert request.is_full
        pause_s = polls.failed(timed_out)
        assert pause_s is not None
        spent_s += pause_s + (request.timeout_s if timed_out else 0.0)
    assert spent_s < 4.0
    for _ in range(50):
        pause_s = polls.failed(timed_out=False)
        assert pause_s is not None and 0.0 < pause_s <= 1.5
    polls.succeeded()
    assert not polls.next_poll().is_full


@pytest.mark.parametrize("grace_us", [250_000, 500_000, 1_000_000])
def test_a_local_agent_is_polled_at_least_once_within_the_grace(grace_us: int) -> None:
    """What the agent receives counts as notified at once, also after a silence of any length."""
    polls, grace_s = schedule(True, grace_us), grace_us / 1e6
    assert polls.next_poll().timeout_s < grace_s
    for _ in range(30):
        pause_s = polls.failed(timed_out=True)
        assert pause_s is not None and pause_s > 0.0
        request = polls.next_poll()
        assert request.wait_ms == 0
        assert pause_s + request.timeout_s < grace_s
    polls.succeeded()
    assert 0 < polls.next_poll().wait_ms < grace_us / 1000
