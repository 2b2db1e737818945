"""When and with what request Consul is polled next, and which responses are accepted."""

from __future__ import annotations

from urllib.parse import parse_qs, urlsplit

import pytest

from eiderhub.membership.consul.query import (
    BACKOFF_US,
    EXTRA_TIMEOUT_US,
    MAX_INTERVAL_US,
    MIN_INTERVAL_US,
    Options,
    Query,
)

S = 1_000_000


def make_query(**changes: object) -> Query:
    return Query(Options((("10.0.0.1", 8500), ("10.0.0.2", 8500)), ("web",), **changes), "web")  # type: ignore[arg-type]


def respond(query: Query, now_us: int, index: object, **headers: str) -> int:
    return query.on_response(now_us, 200, {"x-consul-index": str(index), **headers})


def test_a_request_waits_for_changes_since_the_last_response() -> None:
    query = make_query(mode="stale", scope=(("dc", "sur"), ("filter", 'Service.Meta.a == "b c"')), tags=("v1", "v2"))
    first = query.next_request(0)
    assert first.target.startswith("/v1/health/service/web?") and "index" not in first.target
    respond(query, S, 42)
    request = query.next_request(2 * S)
    parameters = parse_qs(urlsplit(request.target).query, keep_blank_values=True)
    assert parameters == {
        "dc": ["sur"], "filter": ['Service.Meta.a == "b c"'], "tag": ["v1", "v2"], "index": ["42"], "wait": ["30000ms"],
        "stale": [""],
    }  # fmt: skip
    assert request.timeout_us > 30 * S * 17 // 16 > first.timeout_us


@pytest.mark.parametrize("index", [0, -5, "", "none", 41, 1 << 63, "9" * 30])
def test_after_an_invalid_or_lower_index_the_next_request_has_none(index: object) -> None:
    query = make_query()
    respond(query, S, 42)
    query.next_request(2 * S)
    respond(query, 3 * S, index)
    assert "index=" not in query.next_request(4 * S).target


def test_immediate_responses_without_a_change_are_polled_ever_more_slowly() -> None:
    query, now, pauses = make_query(), 0, []
    for _ in range(8):
        query.next_request(now)
        pauses.append(respond(query, now, 7))
        now += pauses[-1]
    assert pauses[0] == MIN_INTERVAL_US and pauses == sorted(pauses) and pauses[-1] == MAX_INTERVAL_US
    query.next_request(now)
    assert respond(query, now, 8) == MIN_INTERVAL_US  # a change resets the interval
    query.next_request(now)
    assert respond(query, now + 9 * S, 8) == 0  # the agent has waited


def test_a_flood_of_changes_after_a_slow_response_is_polled_at_most_ten_times_a_second() -> None:
    query = make_query()
    query.next_request(0)
    now = 20 * S
    assert respond(query, now, 5) == 0
    for index in range(6, 56):
        query.next_request(now)
        now += respond(query, now + 1_000, index) + 1_000
    assert now == 20 * S + 50 * MIN_INTERVAL_US


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
def test_after_a_rejected_response_the_other_agent_is_polled_with_a_growing_pause(
    status: int, headers: dict[str, str]
) -> None:
    query, pauses, hosts = make_query(), [], []
    for _ in range(8):
        hosts.append(query.next_request(0).host)
        with pytest.raises(ValueError, match=r"unexpected status|response may be|leader"):
            query.on_response(1, status, {"x-consul-index": "5", **headers})
        pauses.append(query.on_failure(0.5))
    assert hosts == ["10.0.0.1", "10.0.0.2"] * 4
    assert pauses[0] == BACKOFF_US[0] and pauses == sorted(pauses) and pauses[-1] == BACKOFF_US[1]
    assert make_query().on_failure(0.0) < make_query().on_failure(1.0)


def test_however_long_consul_was_down_the_next_request_comes_within_six_seconds() -> None:
    """Guards against a pause that outlasts the time within which a draining endpoint has to be known."""
    query = make_query()
    for _ in range(20):
        assert query.next_request(0).timeout_us == EXTRA_TIMEOUT_US  # a request after a failure does not wait
        pause_us = query.on_failure(1.0)
    assert EXTRA_TIMEOUT_US + pause_us < 6_000_000
