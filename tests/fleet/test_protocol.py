"""The protocol in virtual time: every kind of fault settles, and nobody is given up for good without a cause."""

from __future__ import annotations

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from eiderhub.fleet import protocol
from eiderhub.fleet.member_table import Address, Table
from eiderhub.fleet.messages import Change, Codec, State, pack_address, unpack_address
from eiderhub.fleet.protocol import FORGET_PERIODS, MOST_NEWS, Terms
from standins.fleet.faults import Link
from standins.fleet.script import KINDS, draw, parse
from standins.fleet.virtual import World, address_of

CHANGES = st.lists(
    st.builds(
        Change, st.sampled_from(["a", "b", "c"]), st.just(b"\x7f\0\0\1\0\1"), st.integers(0, 3), st.sampled_from(State),
        st.integers(0, 1), st.sampled_from([b"b", b"c"]),
    ),
    max_size=12,
)  # fmt: skip


def fleet(count: int, seed: int = 1, **terms: object) -> World:
    world = World(count, seed, Terms(**terms))  # type: ignore[arg-type]
    world.start_all(count)
    assert world.until(world.settled, 60) is not None
    return world


@pytest.mark.parametrize("kind", list(KINDS))
@pytest.mark.parametrize("seed", [1, 2])
def test_every_kind_of_script_settles(kind: str, seed: int) -> None:
    world = fleet(12, seed)
    world.play(draw(kind, seed, 12))
    assert world.until(world.settled, 60) is not None


@given(CHANGES, st.randoms(use_true_random=False))
@settings(max_examples=200)
def test_the_order_in_which_news_comes_does_not_matter(changes: list[Change], chance: random.Random) -> None:
    """Two tables that have heard the same hold one view: the rule of what beats what is an order."""
    views = set()
    for _ in range(3):
        chance.shuffle(changes)
        table = Table(Change("me", b"\x7f\0\0\1\0\1", 1, State.ALIVE, 1, b"b"), 0)
        for change in changes:
            known = table.get(change.name)
            if known is None or change.beats(known.told):
                table.put(change, 0, "x")
        assert table.here == sum(m.here for m in table.members.values())
        views.add((table.view, table.parts))
    assert len(views) == 1


def test_heavy_loss_kills_nobody_for_long() -> None:
    """A third of all datagrams is lost for a minute; who is given up is taken back within twenty periods."""
    world = fleet(24)
    world.link(set(range(24)), Link(loss=0.3))
    wrong: dict[tuple[int, str], int] = {}
    worst = 0
    for _ in range(240):
        world.run(0.25)
        gone = {(i, name) for i, m in world.members.items() for name in m.table.gone}
        wrong = {pair: wrong.get(pair, world.now) for pair in gone}
        worst = max([worst, *(world.now - since for since in wrong.values())])
    assert worst <= 20 * world.terms.period_us


def test_a_member_that_stood_still_accuses_nobody() -> None:
    world = fleet(12)
    world.stop(4)
    world.run(20)
    world.deaths.clear()
    world.go_on(4)
    assert world.until(world.settled, 20) is not None
    assert not [death for death in world.deaths if death[1] == 4]
    assert world.members[4].counts["stalled"] == 1


def test_a_restart_without_a_disk_is_a_new_life_though_the_clock_went_back() -> None:
    world = fleet(6)
    before = world.members[2].table.own.incarnation
    world.kill(2)
    world.run(1)
    world.start(2, wall_s=3)
    assert world.until(world.settled, 20) is not None
    assert world.members[2].table.own.incarnation > before


def test_a_member_whose_clock_is_ahead_is_one_like_others() -> None:
    world = fleet(6)
    world.kill(3)
    world.start(3, wall_s=world.now // 1_000_000 + 3600)
    assert world.until(world.settled, 20) is not None
    world.kill(3)
    assert world.until(world.settled, 30) is not None
    world.start(3)  # the clock is right again
    assert world.until(world.settled, 20) is not None


def test_a_name_taken_twice_is_kept_by_one_process() -> None:
    world = fleet(6, introduced=True)
    world.start(7, name="n2")
    world.run(30)
    assert sorted(world.members[i].yielded for i in (2, 7)) == [False, True]
    kept = 2 if world.members[7].yielded else 7
    incarnation = world.members[kept].table.own.incarnation
    world.run(10)
    assert world.members[kept].table.own.incarnation == incarnation


def test_a_joiner_whose_only_contact_dies_gets_in_through_those_it_was_told_of() -> None:
    world = fleet(8, introduced=True)
    terms = Terms(introduced=True, contacts=(address_of(1),))
    world.start(9, terms=terms)
    assert world.until(lambda: world.members[9].table.here > 1, 10) is not None
    world.kill(1)
    assert world.until(world.settled, 30) is not None


def test_a_group_of_one_holds_its_own_view_and_no_majority_of_three() -> None:
    world = World(3, 1)
    alone = world.start(0)
    world.run(20)
    found = alone.agreement(0)
    assert (found.same, found.roster, found.majority) == (("n0",), 3, False)


def test_two_groups_that_never_met_become_one_through_one_contact() -> None:
    world = World(10, 1)
    for group in (range(5), range(5, 10)):
        terms = Terms(introduced=True, contacts=tuple(address_of(i) for i in group))
        for number in group:
            world.start(number, terms=terms)
    world.run(10)
    assert not world.settled()
    world.kill(3)
    terms = Terms(introduced=True, contacts=(*(address_of(i) for i in range(5)), address_of(7)))
    world.start(3, terms=terms)
    assert world.until(world.settled, 40) is not None


def test_a_liar_that_says_all_are_dead_is_refuted() -> None:
    """It can make them prove themselves, again and again; it can't end them."""
    world = fleet(8)
    liar = world.members[0]
    for _ in range(10):
        for number in range(1, 8):
            member = liar.table.members[f"n{number}"]
            liar._believe(world.now, change_state(member.told, State.GONE), "n0")
        world.run(1)
    world.stop(0)
    assert world.until(lambda: all(world.members[i].table.here >= 7 for i in range(1, 8)), 30) is not None


def change_state(change: Change, state: State) -> Change:
    return Change(change.name, change.address, change.incarnation, state, change.boot, change.build)


def test_what_leaves_is_gone_for_all_at_once_and_not_suspected() -> None:
    world = fleet(8)
    world.leave(5)
    assert world.until(world.settled, 3) is not None
    assert not world.deaths


def test_agreement_needs_words_since_then_and_more_than_half_of_the_roster() -> None:
    world = fleet(6, roster=11)
    world.run(10)
    member = world.members[0]
    assert member.agreement(world.now - 10_000_000).same == tuple(f"n{i}" for i in range(6))
    assert member.agreement(world.now - 10_000_000).majority
    later = member.agreement(world.now + 1)
    assert (later.same, len(later.unheard), later.majority) == (("n0",), 5, False)
    world.kill(5)
    world.run(20)
    assert not member.agreement(world.now - 10_000_000).majority  # five of eleven


def test_another_configuration_makes_another_view() -> None:
    world = fleet(4)
    before = world.members[0].table.view
    for number, member in world.members.items():
        member.adopt(world.now, b"build-2")
        assert number in world.live()
    assert world.until(world.settled, 20) is not None
    assert world.members[0].table.view != before


def test_strangers_forgers_and_old_forms_are_counted_and_change_nothing() -> None:
    world = World(3, 1, key=b"k" * 16)
    world.start_all(3)
    world.run(5)
    member, view = world.members[0], world.members[0].table.view
    good = Codec(b"another key of 16").encode(world.members[1]._sums(False))
    member.receive(world.now, ("127.9.9.9", 1), good)
    member.receive(world.now, address_of(1), good)
    member.receive(world.now, address_of(1), b"\x01junk")
    member.receive(world.now, address_of(1), b"x" * 300)
    assert {k: v for k, v in member.counts.items() if k.startswith("dropped")} == {
        "dropped: address": 1, "dropped: key": 1, "dropped: version": 1, "dropped: oversize": 1,
    }  # fmt: skip
    assert member.table.view == view


def test_what_a_member_sends_does_not_grow_with_the_fleet() -> None:
    rates = []
    for count in (6, 60):
        world = fleet(count)
        sent, bytes_ = sum(world.sent.values()), sum(world.bytes.values())
        world.run(10)
        rates.append((sum(world.sent.values()) - sent) / count / 10)
        assert (sum(world.bytes.values()) - bytes_) / count / 10 < 8 * 256
        assert all(len(member._news) <= MOST_NEWS for member in world.members.values())
    assert rates[1] < 1.5 * rates[0] < 10


def test_a_knock_reaches_each_contact_at_which_nobody_is_known_and_does_not_walk_the_others(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Found in virtual time at 1,000 members: a knock that walked all contacts took most of the machine's time."""
    count, missing = 200, {150, 151, 152}
    world = World(count, 1)
    member = world.start(0)
    for number in set(range(1, count)) - missing:
        told = Change(f"n{number}", pack_address(*address_of(number)), 1, State.ALIVE, 1, b"b")
        member.table.put(told, world.now, told.name)
    read: list[bytes] = []

    def counted(packed: bytes) -> Address:
        read.append(packed)
        return unpack_address(packed)

    monkeypatch.setattr(protocol, "unpack_address", counted)
    member.sent()
    for _ in range(100):
        member._knock()
    assert {datagram.to for datagram in member.sent()} == {address_of(number) for number in missing}
    assert len(read) == 100
    # One that is forgotten is a door again, within the periods after which that is looked for.
    member.table.forget("n7")
    for _ in range(FORGET_PERIODS):
        member._forget(world.now)
    for _ in range(100):
        member._knock()
    assert {datagram.to for datagram in member.sent()} == {address_of(number) for number in missing | {7}}


@pytest.mark.parametrize("text", ["0 cut 1", "x kill 1", "0 explode 1", "0 kill 1 loss=1", "0 link 0-3 speed=9"])
def test_a_script_that_can_not_be_read_names_its_line(text: str) -> None:
    with pytest.raises(ValueError, match="line 2"):
        parse(f"0 heal\n{text}\n")


@given(st.sampled_from(list(KINDS)), st.integers(0, 1000), st.integers(3, 48))
def test_scripts_are_texts_that_come_back(kind: str, seed: int, members: int) -> None:
    steps = draw(kind, seed, members)
    text = "\n".join(map(str, steps))
    assert [str(step) for step in parse(text)] == [str(step) for step in steps]
