"""When Consul is asked again, for what, and which of its answers are believed."""

from __future__ import annotations

from urllib.parse import parse_qs, urlsplit

import pytest

from eiderhub.membership.consul.query import BACKOFF_US, PACE_US, SLOWEST_PACE_US, Options, Query

S = 1_000_000


def query(**changes: object) -> Query:
    return Query(Options((("10.0.0.1", 8500), ("10.0.0.2", 8500)), ("web",), **changes), "web")  # type: ignore[arg-type]


def answered(found: Query, now_us: int, index: object, **headers: str) -> int:
    return found.answered(now_us, 200, {"x-consul-index": str(index), **headers})


def test_a_question_waits_for_what_is_newer_than_the_last_answer() -> None:
    found = query(mode="stale", scope=(("dc", "sur"), ("filter", 'Service.Meta.a == "b c"')), tags=("v1", "v2"))
    first = found.ask(0)
    assert first.target.startswith("/v1/health/service/web?") and "index" not in first.target
    answered(found, S, 42)
    ask = found.ask(2 * S)
    asked = parse_qs(urlsplit(ask.target).query, keep_blank_values=True)
    assert asked == {
        "dc": ["sur"], "filter": ['Service.Meta.a == "b c"'], "tag": ["v1", "v2"], "index": ["42"], "wait": ["30000ms"],
        "stale": [""],
    }  # fmt: skip
    assert ask.patience_us > 30 * S * 17 // 16 > first.patience_us


@pytest.mark.parametrize("index", [0, -5, "", "none", 41, 1 << 63, "9" * 30])
def test_an_index_that_is_none_or_goes_back_starts_anew(index: object) -> None:
    found = query()
    answered(found, S, 42)
    found.ask(2 * S)
    answered(found, 3 * S, index)
    assert "index=" not in found.ask(4 * S).target


def test_answers_that_bring_nothing_at_once_are_asked_for_ever_more_slowly() -> None:
    found, now, pauses = query(), 0, []
    for _ in range(8):
        found.ask(now)
        pauses.append(answered(found, now, 7))
        now += pauses[-1]
    assert pauses[0] == PACE_US and pauses == sorted(pauses) and pauses[-1] == SLOWEST_PACE_US
    found.ask(now)
    assert answered(found, now, 8) == PACE_US  # news: asked again soon
    found.ask(now)
    assert answered(found, now + 9 * S, 8) == 0  # one that was held


def test_a_slow_answer_and_then_a_flood_of_news_is_asked_for_ten_times_a_second_at_the_most() -> None:
    found = query()
    found.ask(0)
    now = 20 * S
    assert answered(found, now, 5) == 0
    for index in range(6, 56):
        found.ask(now)
        now += answered(found, now + 1_000, index) + 1_000
    assert now == 20 * S + 50 * PACE_US


@pytest.mark.parametrize(
    ("status", "headers"),
    [
        (500, {}),
        (429, {}),
        (403, {}),
        (404, {}),
        (200, {"x-consul-knownleader": "false"}),
        (200, {"x-consul-lastcontact": "30001"}),
        (200, {"age": "31"}),
    ],
)
def test_what_may_not_be_believed_goes_to_another_agent_after_a_growing_pause(
    status: int, headers: dict[str, str]
) -> None:
    found, pauses, hosts = query(), [], []
    for _ in range(8):
        hosts.append(found.ask(0).host)
        with pytest.raises(ValueError, match=r"answer|leader"):
            found.answered(1, status, {"x-consul-index": "5", **headers})
        pauses.append(found.failed(0.5))
    assert hosts == ["10.0.0.1", "10.0.0.2"] * 4
    assert pauses[0] == BACKOFF_US[0] and pauses == sorted(pauses) and pauses[-1] == BACKOFF_US[1]
    assert query().failed(0.0) < query().failed(1.0)
