"""The protocol in virtual time: fleets settle after every kind of fault, and no failure is false for long."""

from __future__ import annotations

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from eiderhub.fleet import protocol
from eiderhub.fleet.member_table import Address, MemberTable
from eiderhub.fleet.messages import Codec, MemberUpdate, State, pack_address, unpack_address
from eiderhub.fleet.protocol import CLEANUP_PERIODS, MAX_BROADCASTS, ProtocolConfig
from standins.fleet.faults import Link
from standins.fleet.script import KINDS, draw, parse
from standins.fleet.virtual import World, address_of

UPDATES = st.lists(
    st.builds(
        MemberUpdate, st.sampled_from(["a", "b", "c"]), st.just(b"\x7f\0\0\1\0\1"), st.integers(0, 3),
        st.sampled_from(State), st.integers(0, 1), st.sampled_from([b"b", b"c"]),
    ),
    max_size=12,
)  # fmt: skip


def fleet(count: int, seed: int = 1, **config: object) -> World:
    world = World(count, seed, ProtocolConfig(**config))  # type: ignore[arg-type]
    world.start_all(count)
    assert world.until(world.settled, 60) is not None
    return world


@pytest.mark.parametrize("kind", list(KINDS))
@pytest.mark.parametrize("seed", [1, 2])
def test_the_fleet_settles_after_every_kind_of_script(kind: str, seed: int) -> None:
    world = fleet(12, seed)
    world.play(draw(kind, seed, 12))
    assert world.until(world.settled, 60) is not None


@given(UPDATES, st.randoms(use_true_random=False))
@settings(max_examples=200)
def test_the_order_of_updates_does_not_matter(updates: list[MemberUpdate], rng: random.Random) -> None:
    """Two tables with the same updates hold one view, since `supersedes` is a total order."""
    views = set()
    for _ in range(3):
        rng.shuffle(updates)
        table = MemberTable(MemberUpdate("me", b"\x7f\0\0\1\0\1", 1, State.ALIVE, 1, b"b"), 0)
        for update in updates:
            known = table.get(update.name)
            if known is None or update.supersedes(known.update):
                table.put(update, 0, "x")
        assert table.present_count == sum(m.is_present for m in table.members.values())
        views.add((table.view, table.part_digests))
    assert len(views) == 1


def test_false_failures_under_heavy_loss_are_refuted_soon() -> None:
    """A third of all datagrams is lost for a minute; false failures are refuted within twenty periods."""
    world = fleet(24)
    world.link(set(range(24)), Link(loss=0.3))
    failed_since: dict[tuple[int, str], int] = {}
    longest = 0
    for _ in range(240):
        world.run(0.25)
        failed = {(i, name) for i, m in world.members.items() for name in m.table.failed}
        failed_since = {pair: failed_since.get(pair, world.now) for pair in failed}
        longest = max([longest, *(world.now - since for since in failed_since.values())])
    assert longest <= 20 * world.config.period_us


def test_a_member_that_was_suspended_declares_nobody_failed() -> None:
    world = fleet(12)
    world.stop(4)
    world.run(20)
    world.declared_failures.clear()
    world.resume(4)
    assert world.until(world.settled, 20) is not None
    assert not [failure for failure in world.declared_failures if failure[1] == 4]
    assert world.members[4].counts["stalled"] == 1


def test_a_restart_gets_a_new_incarnation_although_the_clock_went_back() -> None:
    world = fleet(6)
    before = world.members[2].table.own_update.incarnation
    world.kill(2)
    world.run(1)
    world.start(2, wall_s=3)
    assert world.until(world.settled, 20) is not None
    assert world.members[2].table.own_update.incarnation > before


def test_a_clock_that_is_ahead_does_no_harm() -> None:
    world = fleet(6)
    world.kill(3)
    world.start(3, wall_s=world.now // 1_000_000 + 3600)
    assert world.until(world.settled, 20) is not None
    world.kill(3)
    assert world.until(world.settled, 30) is not None
    world.start(3)  # with a correct clock again
    assert world.until(world.settled, 20) is not None


def test_of_two_processes_with_one_name_one_keeps_it() -> None:
    world = fleet(6, accepts_introduced=True)
    world.start(7, name="n2")
    world.run(30)
    assert sorted(world.members[i].has_lost_name for i in (2, 7)) == [False, True]
    keeper = 2 if world.members[7].has_lost_name else 7
    incarnation = world.members[keeper].table.own_update.incarnation
    world.run(10)
    assert world.members[keeper].table.own_update.incarnation == incarnation


def test_a_joiner_whose_only_contact_dies_joins_through_members_it_has_learned_of() -> None:
    world = fleet(8, accepts_introduced=True)
    config = ProtocolConfig(accepts_introduced=True, contacts=(address_of(1),))
    world.start(9, config=config)
    assert world.until(lambda: world.members[9].table.present_count > 1, 10) is not None
    world.kill(1)
    assert world.until(world.settled, 30) is not None


def test_a_single_member_has_no_majority_of_three() -> None:
    world = World(3, 1)
    alone = world.start(0)
    world.run(20)
    agreement = alone.agreement(0)
    assert (agreement.agreeing, agreement.expected_members, agreement.has_majority) == (("n0",), 3, False)


def test_two_separate_groups_merge_through_one_contact() -> None:
    world = World(10, 1)
    for group in (range(5), range(5, 10)):
        config = ProtocolConfig(accepts_introduced=True, contacts=tuple(address_of(i) for i in group))
        for number in group:
            world.start(number, config=config)
    world.run(10)
    assert not world.settled()
    world.kill(3)
    config = ProtocolConfig(accepts_introduced=True, contacts=(*(address_of(i) for i in range(5)), address_of(7)))
    world.start(3, config=config)
    assert world.until(world.settled, 40) is not None


def test_false_failures_sent_by_one_member_are_refuted() -> None:
    """A member that declares all others failed forces refutations, but removes nobody from the views."""
    world = fleet(8)
    sender = world.members[0]
    for _ in range(10):
        for number in range(1, 8):
            member = sender.table.members[f"n{number}"]
            sender._apply(world.now, with_state(member.update, State.GONE), "n0")
        world.run(1)
    world.stop(0)
    assert world.until(lambda: all(world.members[i].table.present_count >= 7 for i in range(1, 8)), 30) is not None


def with_state(update: MemberUpdate, state: State) -> MemberUpdate:
    return MemberUpdate(update.name, update.address, update.incarnation, state, update.boot_id, update.build)


def test_a_member_that_leaves_is_removed_at_once_without_suspicion() -> None:
    world = fleet(8)
    world.leave(5)
    assert world.until(world.settled, 3) is not None
    assert not world.declared_failures


def test_agreement_needs_recent_views_and_more_than_half_of_the_expected_members() -> None:
    world = fleet(6, expected_members=11)
    world.run(10)
    member = world.members[0]
    assert member.agreement(world.now - 10_000_000).agreeing == tuple(f"n{i}" for i in range(6))
    assert member.agreement(world.now - 10_000_000).has_majority
    later = member.agreement(world.now + 1)
    assert (later.agreeing, len(later.not_heard), later.has_majority) == (("n0",), 5, False)
    world.kill(5)
    world.run(20)
    assert not member.agreement(world.now - 10_000_000).has_majority  # five of eleven


def test_another_configuration_changes_the_view() -> None:
    world = fleet(4)
    before = world.members[0].table.view
    for number, member in world.members.items():
        member.set_build(world.now, b"build-2")
        assert number in world.live_members()
    assert world.until(world.settled, 20) is not None
    assert world.members[0].table.view != before


def test_foreign_forged_and_malformed_datagrams_are_counted_and_change_nothing() -> None:
    world = World(3, 1, key=b"k" * 16)
    world.start_all(3)
    world.run(5)
    member, view = world.members[0], world.members[0].table.view
    forged = Codec(b"another key of 16").encode(world.members[1]._view_digests(False))
    member.receive(world.now, ("127.9.9.9", 1), forged)
    member.receive(world.now, address_of(1), forged)
    member.receive(world.now, address_of(1), b"\x01junk")
    member.receive(world.now, address_of(1), b"x" * 300)
    assert {k: v for k, v in member.counts.items() if k.startswith("dropped")} == {
        "dropped: address": 1, "dropped: key": 1, "dropped: version": 1, "dropped: oversize": 1,
    }  # fmt: skip
    assert member.table.view == view


def test_the_traffic_of_a_member_does_not_grow_with_the_fleet() -> None:
    rates = []
    for count in (6, 60):
        world = fleet(count)
        sent, bytes_ = sum(world.sent.values()), sum(world.bytes.values())
        world.run(10)
        rates.append((sum(world.sent.values()) - sent) / count / 10)
        assert (sum(world.bytes.values()) - bytes_) / count / 10 < 8 * 256
        assert all(len(member._broadcasts) <= MAX_BROADCASTS for member in world.members.values())
    assert rates[1] < 1.5 * rates[0] < 10


def test_probes_of_unreachable_contacts_reach_each_unmatched_one_and_skip_the_others(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A probe that scanned all contacts would take most of the processor time in a fleet of 1,000 members."""
    count, missing = 200, {150, 151, 152}
    world = World(count, 1)
    member = world.start(0)
    for number in set(range(1, count)) - missing:
        update = MemberUpdate(f"n{number}", pack_address(*address_of(number)), 1, State.ALIVE, 1, b"b")
        member.table.put(update, world.now, update.name)
    unpacked: list[bytes] = []

    def counted(packed: bytes) -> Address:
        unpacked.append(packed)
        return unpack_address(packed)

    monkeypatch.setattr(protocol, "unpack_address", counted)
    member.take_datagrams()
    for _ in range(100):
        member._probe_unreachable()
    assert {datagram.destination for datagram in member.take_datagrams()} == {address_of(number) for number in missing}
    assert len(unpacked) == 100
    # The address of a removed member is probed again, at the latest after CLEANUP_PERIODS.
    member.table.remove("n7")
    for _ in range(CLEANUP_PERIODS):
        member._remove_expired(world.now)
    for _ in range(100):
        member._probe_unreachable()
    assert {datagram.destination for datagram in member.take_datagrams()} == {
        address_of(number) for number in missing | {7}
    }


@pytest.mark.parametrize("text", ["0 cut 1", "x kill 1", "0 explode 1", "0 kill 1 loss=1", "0 link 0-3 speed=9"])
def test_an_error_in_a_script_names_its_line(text: str) -> None:
    with pytest.raises(ValueError, match="line 2"):
        parse(f"0 heal\n{text}\n")


@given(st.sampled_from(list(KINDS)), st.integers(0, 1000), st.integers(3, 48))
def test_scripts_survive_a_round_trip(kind: str, seed: int, members: int) -> None:
    steps = draw(kind, seed, members)
    text = "\n".join(map(str, steps))
    assert [str(step) for step in parse(text)] == [str(step) for step in steps]
