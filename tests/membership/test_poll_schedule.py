"""When discovery is asked, against the platform's clock for silence: pure."""

from __future__ import annotations

import random
from itertools import pairwise

import pytest

from eiderhub.membership.poll_schedule import CHECKS, REFUSED_S, WAIT_MS, PollRequest, PollSchedule

TOLD_S = 2.0  # after the wait of a call that fell silent, what it missed counts as told
ROUND_TRIP_S = 0.25  # a connection and an answer of a discovery that is not held up


def pace(pushed: bool = False, grace_us: int = 1_000_000, place: float = 0.0) -> PollSchedule:
    return PollSchedule(pushed, grace_us, random.Random(1), place)


@pytest.mark.parametrize("grace_us", [1_000_000, 500_000])
def test_a_silent_watch_is_asked_anew_with_time_for_an_answer_and_for_another_silence(grace_us: int) -> None:
    """Seen: the watch was given up when what it missed counted as told already, and then backed off."""
    p = pace(grace_us=grace_us)
    watch = p.next_poll()
    left_s = watch.wait_ms / 1000 + TOLD_S + grace_us / 1e6 - watch.timeout_s
    assert watch == PollRequest(False, WAIT_MS[0], watch.timeout_s)
    assert p.failed(silent=True) == 0.0
    check = p.next_poll()
    assert check.wait_ms == 0  # or quiet and silent would look alike once more
    left_s -= check.timeout_s
    assert p.failed(silent=True) == 0.0
    assert left_s - ROUND_TRIP_S > 0


@pytest.mark.parametrize("every_us", [2_000_000, 10_000_000, 60_000_000])
def test_a_watch_that_fails_at_its_end_leaves_time_to_ask_by_the_settings(every_us: int) -> None:
    """From the call that failed its list is good for four times what the settings give, and no longer."""
    for place in (0.0, 0.5, 0.99):
        p = PollSchedule(False, 1_000_000, random.Random(1), place, every_us)
        assert p.next_poll().wait_ms * 1000 <= 3 * every_us
        assert p.next_poll().wait_ms <= 30_000  # of the platform's 60 s, however long a list may stand


def test_checks_are_few_and_then_the_module_is_asked() -> None:
    p = pace()
    for _ in range(CHECKS):
        assert p.failed(silent=True) == 0.0
    assert p.failed(silent=True) is None
    assert p.next_poll().wait_ms == WAIT_MS[0]


def test_a_check_that_is_refused_is_asked_again_soon() -> None:
    p = pace()
    p.failed(silent=True)
    pause_s = p.failed(silent=False)
    assert pause_s is not None and 0.0 < pause_s <= 1.5 * REFUSED_S
    assert p.next_poll().wait_ms == 0


@pytest.mark.parametrize("copies", [8, 200])
def test_watches_that_fall_silent_together_are_not_asked_for_anew_together(copies: int) -> None:
    """Seen on calm+brink, seed 1: seven watches ended in one moment; discovery took over a second for what followed.

    It takes one of each copy in 8 s at the worst, one after another: each must be answered before the next is asked.
    """
    ends = sorted(pace(place=(rank + 0.5) / copies).next_poll().timeout_s for rank in range(copies))
    assert min(later - sooner for sooner, later in pairwise(ends)) > 8.0 / copies


def test_an_answer_ends_the_checks() -> None:
    p = pace()
    p.failed(silent=True)
    p.succeeded()
    assert p.next_poll() == pace().next_poll()


def test_a_watch_that_is_refused_or_reset_is_left_to_the_module() -> None:
    assert pace().failed(silent=False) is None


def test_a_new_address_is_asked_for_the_whole_list_until_it_tells_it() -> None:
    """What it has counts 4 s after SIGHUP: a silence and a refusal fit in before.

    No more of them: patience that is shorter than its queue would lose each copy its turn there, again and again.
    """
    p = pace().for_new_address()
    spent_s = 0.0
    for silent in (True, False):
        question = p.next_poll()
        assert question.is_full
        pause_s = p.failed(silent)
        assert pause_s is not None
        spent_s += pause_s + (question.timeout_s if silent else 0.0)
    assert spent_s < 4.0
    for _ in range(50):
        pause_s = p.failed(silent=False)
        assert pause_s is not None and 0.0 < pause_s <= 1.5
    p.succeeded()
    assert not p.next_poll().is_full


@pytest.mark.parametrize("grace_us", [250_000, 500_000, 1_000_000])
def test_an_agent_is_never_unasked_for_longer_than_the_grace(grace_us: int) -> None:
    """What it gets counts as told at once, also when it comes back from a silence of any length."""
    p, grace_s = pace(True, grace_us), grace_us / 1e6
    assert p.next_poll().timeout_s < grace_s
    for _ in range(30):
        pause_s = p.failed(silent=True)
        assert pause_s is not None and pause_s > 0.0
        question = p.next_poll()
        assert question.wait_ms == 0
        assert pause_s + question.timeout_s < grace_s
    p.succeeded()
    assert 0 < p.next_poll().wait_ms < grace_us / 1000
