"""The merger against a simple model on random histories, and one test for each rule."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from eiderhub.interface import Endpoint, Readiness
from eiderhub.membership.endpoint_list import ListedEndpoint
from eiderhub.membership.merger import STATE_RANK, Merger, SourcePolicy

READY, DRAINING, REMOVED = Readiness.READY, Readiness.DRAINING, Readiness.REMOVED
S = 1_000_000
POLICIES = [SourcePolicy("platform", 30 * S), SourcePolicy("consul", 10 * S), SourcePolicy("static", 0)]


def entry(name: str, port: int, readiness: Readiness = READY, started_us: int = 0, zone: str = "a") -> ListedEndpoint:
    return ListedEndpoint(Endpoint(name, zone, "m", -1, readiness, 1.0, started_us), "10.0.0.1", port)


def state(merger: Merger, port: int) -> Readiness | None:
    found = merger.endpoints.get(("10.0.0.1", port))
    return found.endpoint.readiness if found else None


states = st.sampled_from(list(Readiness))
updates = st.tuples(
    st.sampled_from([policy.name for policy in POLICIES]),
    st.integers(0, 20 * S),  # time since the previous update
    st.booleans(),
    st.dictionaries(st.integers(1, 4), states, max_size=4),
)


@given(st.lists(updates, max_size=25))
def test_restrictive_states_in_force_always_win_and_every_change_is_reported(
    history: list[tuple[str, int, bool, dict[int, Readiness]]],
) -> None:
    merger = Merger(POLICIES)
    reported: dict[str, dict[int, Readiness]] = {policy.name: {} for policy in POLICIES}
    last_update = dict.fromkeys(reported, 0)
    applied: dict[str, ListedEndpoint] = {}  # the view of a host that applies only the reported changes
    now = 0
    for source, after, is_full, received in history:
        now += after
        for result in (
            merger.expire(now),
            merger.update(
                source,
                now,
                is_full,
                [entry(f"{source}-{port}", port, readiness) for port, readiness in received.items()],
            ),
        ):
            for change in result.changes:
                if change.endpoint.readiness is REMOVED:
                    del applied[change.endpoint.id]
                else:
                    applied[change.endpoint.id] = change
        last_update[source] = now
        if is_full:
            reported[source].update({port: REMOVED for port in reported[source] if port not in received})
        reported[source].update(
            {
                port: readiness
                for port, readiness in received.items()
                if readiness is not REMOVED or port in reported[source]
            }
        )
        assert sorted(applied.values()) == sorted(merger.endpoints.values())
        for port in range(1, 5):
            in_force, known = [], []
            for policy in POLICIES:
                if (readiness := reported[policy.name].get(port)) is not None:
                    known.append(readiness)
                    if (
                        readiness is READY
                        or not policy.override_us
                        or now < last_update[policy.name] + policy.override_us
                    ):
                        in_force.append(readiness)
            expected = max(in_force or known, key=STATE_RANK.__getitem__, default=REMOVED)
            assert state(merger, port) == (None if expected is REMOVED else expected)


def test_entries_with_one_address_are_one_endpoint_with_a_stable_id() -> None:
    merger = Merger(POLICIES)
    merger.update("consul", 0, True, [entry("node/web", 80, zone="c", started_us=7)])
    result = merger.update("platform", 1, True, [entry("s-1", 80, zone="p", started_us=5)])
    (change,) = result.changes
    assert (change.endpoint.id, change.endpoint.zone, change.endpoint.started_us) == ("node/web", "p", 7)
    assert merger.update("consul", 2, True, [entry("node/web", 80, zone="c", started_us=7)]).changes == []


def test_an_id_that_moves_is_removed_at_its_old_address_first() -> None:
    merger = Merger(POLICIES)
    merger.update("platform", 0, True, [entry("s-1", 80)])
    changes = merger.update("platform", 1, False, [entry("s-1", 81)]).changes
    assert [(c.endpoint.id, c.port, c.endpoint.readiness) for c in changes] == [
        ("s-1", 80, REMOVED),
        ("s-1", 81, READY),
    ]


def test_one_id_at_two_addresses_is_two_endpoints() -> None:
    merger = Merger(POLICIES)
    merger.update("platform", 0, True, [entry("s-1", 80)])
    merger.update("consul", 0, True, [entry("s-1", 81)])
    assert len({found.endpoint.id for found in merger.endpoints.values()}) == 2


def test_a_disagreement_is_reported_once_and_its_override_expires() -> None:
    merger = Merger(POLICIES)
    merger.update("platform", 0, True, [entry("s-1", 80)])
    result = merger.update("consul", S, True, [entry("n/w", 80, DRAINING)])
    assert result.conflicts == ["10.0.0.1:80: platform reports ready, consul reports draining"]
    assert merger.update("platform", 2 * S, True, [entry("s-1", 80)]).conflicts == []
    assert (state(merger, 80), merger.next_expiry_us(2 * S)) == (DRAINING, 11 * S)
    assert [c.endpoint.readiness for c in merger.expire(11 * S).changes] == [READY]
    assert merger.next_expiry_us(11 * S) is None
    assert [c.endpoint.readiness for c in merger.confirm("consul", 12 * S).changes] == [DRAINING]


def test_a_removal_does_not_apply_to_a_process_that_started_later_at_that_address() -> None:
    merger = Merger(POLICIES)
    merger.update("platform", 0, True, [entry("s-1", 80, started_us=1)])
    merger.update("consul", 0, True, [entry("n/w", 80, started_us=1)])
    merger.update("consul", S, True, [])
    assert state(merger, 80) is None
    merger.update("platform", 2 * S, False, [entry("s-1", 80, started_us=1)])
    assert state(merger, 80) is None
    merger.update("platform", 3 * S, False, [entry("s-2", 80, started_us=2 * S)])
    assert state(merger, 80) is READY


def test_removing_one_of_two_ids_at_an_address_keeps_the_other() -> None:
    merger = Merger(POLICIES)
    merger.update("consul", 0, True, [entry("n/old", 80, DRAINING), entry("n/new", 80)])
    assert state(merger, 80) is DRAINING
    merger.update("consul", 1, True, [entry("n/new", 80)])
    assert state(merger, 80) is READY


def test_tags_and_services_are_merged_and_other_labels_come_from_the_first_source() -> None:
    def labelled(name: str, *labels: str) -> ListedEndpoint:
        found = entry(name, 80)
        return found._replace(endpoint=found.endpoint._replace(labels=frozenset(labels)))

    merger = Merger(POLICIES)
    merger.update("consul", 0, True, [labelled("n/w", "service=web", "tag=v1", "tag=v2", "az=c")])
    merger.update("static", 0, True, [labelled("s", "service=admin", "az=s", "rack=4")])
    (found,) = merger.endpoints.values()
    assert found.endpoint.labels == {"service=web", "service=admin", "tag=v1", "tag=v2", "az=c", "rack=4"}
