"""The merger against random histories and a plain reading of its rules, and what each rule is there for."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from eiderhub.interface import Endpoint, Readiness
from eiderhub.membership.endpoint_list import ListedEndpoint
from eiderhub.membership.merger import CAUTION, Merger, Terms

READY, DRAINING, GONE = Readiness.READY, Readiness.DRAINING, Readiness.REMOVED
S = 1_000_000
TERMS = [Terms("platform", 30 * S), Terms("consul", 10 * S), Terms("static", 0)]


def entry(name: str, port: int, word: Readiness = READY, started_us: int = 0, zone: str = "a") -> ListedEndpoint:
    return ListedEndpoint(Endpoint(name, zone, "m", -1, word, 1.0, started_us), "10.0.0.1", port)


def state(merger: Merger, port: int) -> Readiness | None:
    found = merger.picture.get(("10.0.0.1", port))
    return found.endpoint.readiness if found else None


words = st.sampled_from(list(Readiness))
tellings = st.tuples(
    st.sampled_from([terms.name for terms in TERMS]),
    st.integers(0, 20 * S),  # since the one before
    st.booleans(),
    st.dictionaries(st.integers(1, 4), words, max_size=4),
)


@given(st.lists(tellings, max_size=25))
def test_no_live_caution_is_passed_over_and_nothing_is_lost_unsaid(
    history: list[tuple[str, int, bool, dict[int, Readiness]]],
) -> None:
    merger = Merger(TERMS)
    said: dict[str, dict[int, Readiness]] = {terms.name: {} for terms in TERMS}
    heard = dict.fromkeys(said, 0)
    held: dict[str, ListedEndpoint] = {}  # what a host that hears the changes alone believes
    now = 0
    for source, after, whole, told in history:
        now += after
        for step in (
            merger.tick(now),
            merger.tell(source, now, whole, [entry(f"{source}-{port}", port, word) for port, word in told.items()]),
        ):
            for change in step.changes:
                if change.endpoint.readiness is GONE:
                    del held[change.endpoint.id]
                else:
                    held[change.endpoint.id] = change
        heard[source] = now
        if whole:
            said[source].update({port: GONE for port in said[source] if port not in told})
        said[source].update({port: word for port, word in told.items() if word is not GONE or port in said[source]})
        assert sorted(held.values()) == sorted(merger.picture.values())
        for port in range(1, 5):
            standing, known = [], []
            for terms in TERMS:
                if (word := said[terms.name].get(port)) is not None:
                    known.append(word)
                    if word is READY or not terms.caution_us or now < heard[terms.name] + terms.caution_us:
                        standing.append(word)
            expected = max(standing or known, key=CAUTION.__getitem__, default=GONE)
            assert state(merger, port) == (None if expected is GONE else expected)


def test_one_address_is_one_endpoint_whose_id_stays() -> None:
    merger = Merger(TERMS)
    merger.tell("consul", 0, True, [entry("node/web", 80, zone="c", started_us=7)])
    step = merger.tell("platform", 1, True, [entry("s-1", 80, zone="p", started_us=5)])
    (change,) = step.changes
    assert (change.endpoint.id, change.endpoint.zone, change.endpoint.started_us) == ("node/web", "p", 7)
    assert merger.tell("consul", 2, True, [entry("node/web", 80, zone="c", started_us=7)]).changes == []


def test_an_id_that_moves_ends_at_its_old_address_first() -> None:
    merger = Merger(TERMS)
    merger.tell("platform", 0, True, [entry("s-1", 80)])
    changes = merger.tell("platform", 1, False, [entry("s-1", 81)]).changes
    assert [(c.endpoint.id, c.port, c.endpoint.readiness) for c in changes] == [("s-1", 80, GONE), ("s-1", 81, READY)]


def test_two_addresses_with_one_id_are_two_endpoints() -> None:
    merger = Merger(TERMS)
    merger.tell("platform", 0, True, [entry("s-1", 80)])
    merger.tell("consul", 0, True, [entry("s-1", 81)])
    assert len({found.endpoint.id for found in merger.picture.values()}) == 2


def test_a_disagreement_is_told_once_and_its_end_is_due() -> None:
    merger = Merger(TERMS)
    merger.tell("platform", 0, True, [entry("s-1", 80)])
    step = merger.tell("consul", S, True, [entry("n/w", 80, DRAINING)])
    assert step.notes == ["10.0.0.1:80: platform says ready, consul says draining"]
    assert merger.tell("platform", 2 * S, True, [entry("s-1", 80)]).notes == []
    assert (state(merger, 80), merger.due_us(2 * S)) == (DRAINING, 11 * S)
    assert [c.endpoint.readiness for c in merger.tick(11 * S).changes] == [READY]
    assert merger.due_us(11 * S) is None
    assert [c.endpoint.readiness for c in merger.heard("consul", 12 * S).changes] == [DRAINING]


def test_an_address_that_a_new_process_has_taken_is_not_buried_with_the_old_one() -> None:
    merger = Merger(TERMS)
    merger.tell("platform", 0, True, [entry("s-1", 80, started_us=1)])
    merger.tell("consul", 0, True, [entry("n/w", 80, started_us=1)])
    merger.tell("consul", S, True, [])
    assert state(merger, 80) is None
    merger.tell("platform", 2 * S, False, [entry("s-1", 80, started_us=1)])
    assert state(merger, 80) is None
    merger.tell("platform", 3 * S, False, [entry("s-2", 80, started_us=2 * S)])
    assert state(merger, 80) is READY


def test_one_of_two_ids_at_an_address_goes_and_the_other_stays() -> None:
    merger = Merger(TERMS)
    merger.tell("consul", 0, True, [entry("n/old", 80, DRAINING), entry("n/new", 80)])
    assert state(merger, 80) is DRAINING
    merger.tell("consul", 1, True, [entry("n/new", 80)])
    assert state(merger, 80) is READY


def test_an_endpoint_keeps_all_its_tags_and_services_and_facts_are_the_first_ones() -> None:
    def labelled(name: str, *labels: str) -> ListedEndpoint:
        found = entry(name, 80)
        return found._replace(endpoint=found.endpoint._replace(labels=frozenset(labels)))

    merger = Merger(TERMS)
    merger.tell("consul", 0, True, [labelled("n/w", "service=web", "tag=v1", "tag=v2", "az=c")])
    merger.tell("static", 0, True, [labelled("s", "service=admin", "az=s", "rack=4")])
    (found,) = merger.picture.values()
    assert found.endpoint.labels == {"service=web", "service=admin", "tag=v1", "tag=v2", "az=c", "rack=4"}
