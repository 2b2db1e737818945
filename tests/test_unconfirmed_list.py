"""While discovery fails, endpoints that have served lately come first: the others may be draining."""

from __future__ import annotations

from eiderhub.balancer import SERVED_LATELY_US, UNCONFIRMED_LIST_US
from eiderhub.interface import Discovery, ListForm, Outcome
from tests.support import MS, RecordingHost, S, make_endpoints, make_settings

CALLS = 200


def make_host(discovery: Discovery = Discovery.POLL) -> RecordingHost:
    """Return an instance with a confirmed list of ten endpoints, whose subset contains all of them."""
    host = RecordingHost(make_settings(discovery=discovery, balancers=1), make_endpoints(10))
    host.balancer.discovery(host.now, ListForm.FULL, make_endpoints(10))
    return host


def send(host: RecordingHost, outcomes: dict[str, Outcome], calls: int = CALLS) -> list[str]:
    """Send calls one after another; each attempt ends as `outcomes` says of its endpoint, OK by default.

    Returns the endpoints of the first attempts.
    """
    first_attempts = []
    for _ in range(calls):
        call = host.order("look", "big")
        first_attempts.append(host.sent_to[call][0])
        while call in host.balancer.calls:
            host.reply(call, outcomes.get(host.sent_to[call][-1], Outcome.OK), spent=10 * MS)
        host.advance(20 * MS)
    return first_attempts


def test_while_discovery_fails_an_endpoint_that_rejects_calls_is_avoided() -> None:
    """Guards against calls to endpoints that began to drain while the list could not be updated."""
    host = make_host()
    draining = make_endpoints(10)[3].id
    assert draining in send(host, {})
    host.balancer.discovery(host.now, ListForm.FAILED, [])
    send(host, {}, calls=UNCONFIRMED_LIST_US // (20 * MS))
    send(host, {draining: Outcome.REJECTED})
    later = send(host, {draining: Outcome.REJECTED})
    assert draining not in later
    assert len(set(later)) == 9  # all others keep their share


def test_an_endpoint_that_was_not_used_lately_is_avoided_too() -> None:
    host = make_host()
    unused = make_endpoints(10)[3].id
    send(host, {})
    host.balancer.discovery(host.now, ListForm.FAILED, [])
    host.advance(UNCONFIRMED_LIST_US - S)
    for endpoint in host.balancer.endpoints.values():  # as if all others had served during that time
        endpoint.last_served_at = host.now - (SERVED_LATELY_US if endpoint.id == unused else 0)
    host.advance(S)
    assert unused not in send(host, {})


def test_of_endpoints_that_have_not_served_lately_the_latest_comes_first() -> None:
    """With few calls, the draws may find no other."""
    host = make_host()
    send(host, {})
    host.balancer.discovery(host.now, ListForm.FAILED, [])
    host.advance(UNCONFIRMED_LIST_US)
    served_at = {endpoint.id: endpoint.last_served_at for endpoint in host.balancer.endpoints.values()}
    chosen = send(host, {}, calls=1)[0]
    served_before = [endpoint for endpoint, at in served_at.items() if at < served_at[chosen]]
    assert len(served_before) >= 5  # of the other nine; eight random draws need not meet the very latest one


def test_a_list_ends_the_preference() -> None:
    host = make_host()
    draining = make_endpoints(10)[3].id
    send(host, {})
    host.balancer.discovery(host.now, ListForm.FAILED, [])
    host.advance(2 * UNCONFIRMED_LIST_US)
    send(host, {draining: Outcome.REJECTED})
    host.balancer.discovery(host.now, ListForm.DELTA, [])
    host.advance(30 * S)  # past any ejection
    assert draining in send(host, {})


def test_an_instance_that_has_served_nothing_lately_still_sends() -> None:
    """An outage of discovery must not become one of the service."""
    host = make_host()
    host.balancer.discovery(host.now, ListForm.FAILED, [])
    host.advance(10 * UNCONFIRMED_LIST_US)
    sent = send(host, {})
    assert len(sent) == CALLS


def test_a_new_process_is_careful_as_soon_as_its_first_call_to_discovery_fails() -> None:
    host = RecordingHost(make_settings(discovery=Discovery.POLL, balancers=1), make_endpoints(10))
    draining = make_endpoints(10)[3].id
    send(host, {draining: Outcome.REJECTED}, calls=50)
    host.balancer.discovery(host.now, ListForm.FAILED, [])
    assert draining not in send(host, {draining: Outcome.REJECTED})


def test_the_log_says_once_that_the_list_is_unconfirmed() -> None:
    host = make_host()
    for _ in range(3):
        host.advance(UNCONFIRMED_LIST_US // 2)
        host.balancer.discovery(host.now, ListForm.FAILED, [])
    assert sum(action[0] == "write_log" for action in host.actions) == 1


def test_pushed_lists_are_not_in_doubt() -> None:
    """What a local agent has not received does not count as notified, however long it is silent."""
    host = make_host(Discovery.PUSH)
    host.balancer.discovery(host.now, ListForm.FAILED, [])
    assert not host.balancer.discovery_fails
