"""The wire format: messages fit and survive a round trip, and datagrams that can't be read are counted by cause."""

from __future__ import annotations

import hashlib

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from eiderhub.fleet.messages import (
    MAX_DATAGRAM_BYTES,
    Ack,
    Codec,
    InvalidDatagram,
    MemberUpdate,
    Message,
    Nack,
    Ping,
    State,
    ViewDigests,
    ViewPart,
    pack_address,
    unpack_address,
)

KEY = b"k" * 32
UPDATES = st.builds(
    MemberUpdate,
    name=st.text(min_size=1, max_size=12),
    address=st.binary(min_size=6, max_size=6),
    incarnation=st.integers(0, (1 << 48) - 1),
    state=st.sampled_from(State),
    boot_id=st.integers(0, (1 << 32) - 1),
    build=st.binary(max_size=8),
    suspector=st.binary(max_size=4),
)
LONGEST = MemberUpdate("n" * 24, b"\xff" * 6, (1 << 48) - 1, State.GONE, (1 << 32) - 1, b"b" * 8, b"b" * 4)


@given(sender=UPDATES, updates=st.lists(UPDATES, max_size=2), sequence=st.integers(0, (1 << 32) - 1))
def test_messages_survive_a_round_trip(sender: MemberUpdate, updates: list[MemberUpdate], sequence: int) -> None:
    codec = Codec(KEY)
    ping = Ping(sequence, sender.name, sender, b"v" * 8, updates)
    messages: list[Message] = [ping, Nack(sequence), ViewPart(sender, 3, True, updates)]
    for message in messages:
        if codec.bytes_left(message) >= 0:
            assert codec.decode(codec.encode(message)) == message


@pytest.mark.parametrize("key", [None, KEY])
def test_the_longest_message_of_each_kind_fits(key: bytes | None) -> None:
    codec = Codec(key)
    messages: list[Message] = [
        Ping((1 << 32) - 1, LONGEST.name, LONGEST, b"v" * 8), Ack((1 << 32) - 1, LONGEST, b"v" * 8),
        ViewDigests(LONGEST, b"v" * 8, b"p" * 64, True), ViewPart(LONGEST, 15, True, [LONGEST]),
    ]  # fmt: skip
    for message in messages:
        assert len(codec.encode(message)) <= MAX_DATAGRAM_BYTES
    assert codec.bytes_left(Ping((1 << 32) - 1, LONGEST.name, LONGEST, b"v" * 8)) >= codec.encoded_size(LONGEST)


@pytest.mark.parametrize(
    ("corrupt", "cause"),
    [
        (lambda data: b"\x70" + data[1:], "version"),
        (lambda data: data[:1], "version"),
        (lambda data: data + b"x" * MAX_DATAGRAM_BYTES, "oversize"),
        (lambda data: data[:-1] + bytes((data[-1] ^ 1,)), "key"),
        (lambda data: Codec(b"other key, as long").encode(Nack(1)), "key"),
    ],
)
def test_datagrams_that_can_not_be_read_have_a_cause(corrupt, cause: str) -> None:  # type: ignore[no-untyped-def]
    codec = Codec(KEY)
    with pytest.raises(InvalidDatagram, match=cause):
        codec.decode(corrupt(codec.encode(Nack(7))))


@given(st.binary(max_size=MAX_DATAGRAM_BYTES))
def test_random_bytes_are_malformed_or_a_message(noise: bytes) -> None:
    codec = Codec(None)
    body = noise[: MAX_DATAGRAM_BYTES - codec.header_bytes]
    datagram = b"\x71" + hashlib.blake2b(body, digest_size=codec.header_bytes - 1).digest() + body
    try:
        message = codec.decode(datagram)
    except InvalidDatagram as error:
        assert str(error) in ("malformed", "version")
        return
    assert isinstance(msgspec.to_builtins(message), list)


@given(sender=UPDATES, bit=st.integers(8, 8 * MAX_DATAGRAM_BYTES - 1))
def test_no_flipped_bit_is_accepted_without_a_key(sender: MemberUpdate, bit: int) -> None:
    """A name with one flipped bit would be a further member, which no process refutes or ends."""
    codec = Codec(None)
    data = bytearray(codec.encode(ViewDigests(sender, b"v" * 8, b"p" * 64, False)))
    data[bit // 8 % len(data) or 1] ^= 1 << bit % 8
    with pytest.raises(InvalidDatagram, match="spoilt"):
        codec.decode(bytes(data))


@given(UPDATES, UPDATES)
def test_of_two_updates_on_one_member_one_supersedes_the_other_unless_they_are_equal(
    a: MemberUpdate, b: MemberUpdate
) -> None:
    equal = msgspec.structs.replace(a, name=b.name, suspector=b.suspector) == b
    assert a.supersedes(b) + b.supersedes(a) == (not equal)


@given(st.ip_addresses(v=4), st.integers(0, 65535))
def test_addresses_survive_a_round_trip(host, port: int) -> None:  # type: ignore[no-untyped-def]
    assert unpack_address(pack_address(str(host), port)) == (str(host), port)
