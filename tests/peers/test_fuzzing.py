"""Fuzz tests of the input from peers and callers.

Input of any form must not crash a process, must cause a bounded number of
datagrams, and must be counted when it is dropped.
"""

import dataclasses
import functools
import unittest
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from siskinbank.lab.pool import Pool
from siskinbank.lab.sites import SERVICE_ADDRESS, PoolPlan, host_address
from siskinbank.lab.standins.packets import ACK, SYN, Flow, make_packet
from siskinbank.wire import messages
from siskinbank.wire.envelopes import Envelope
from siskinbank.wire.keys import KEY_BYTES, Key, KeyRing
from siskinbank.wire.packets import pack_address
from siskinbank.wire.replay import ReplayGuard

HOSTS = 3
SENDER = ('10.0.0.9', 1)
RING = KeyRing([Key(1, bytes(KEY_BYTES))])
LOWEST = -(1 << 63)
HIGHEST = (1 << 64) - 1
NUMBERS = st.integers(LOWEST, HIGHEST) | st.sampled_from((0, -1))
#: Values of each field type, including edge cases.
FIELDS: dict[Any, st.SearchStrategy[Any]] = {
    int: NUMBERS,
    str: st.text(max_size=20),
    bytes: st.binary(max_size=40) | st.just(bytes(6)),
    bool: st.booleans(),
    float: st.floats() | st.integers(-5, 5),
    list: st.lists(st.integers(-9, 9) | st.text(max_size=3), max_size=4),
    dict: st.dictionaries(st.text(max_size=3), st.integers(-9, 9), max_size=3),
}
MESSAGE_CLASSES = tuple(messages._KINDS.values())  # noqa: SLF001


@st.composite
def any_message(draw: st.DrawFn) -> bytes:
    """Return a message of any class with arbitrary fields, in msgpack."""
    message_class = draw(st.sampled_from(MESSAGE_CLASSES))
    fields = dataclasses.fields(message_class)  # type: ignore[arg-type]
    given_fields = [draw(FIELDS[field.type]) for field in fields]
    return messages.msgpack.packb([message_class.kind, *given_fields])


@st.composite
def any_envelope(draw: st.DrawFn) -> bytes:
    """Return an envelope with arbitrary fields."""
    number = st.integers(0, (1 << 64) - 1)
    flow = Flow('10.9.0.1', draw(st.integers(1, 9)), *SERVICE_ADDRESS)
    inner = make_packet(flow, draw(st.sampled_from((SYN, ACK))))
    host = st.integers(0, HOSTS).map(_packed)
    return Envelope(
        draw(st.integers(0, 255)),
        draw(st.integers(0, 15)),
        draw(st.integers(0, 15)),
        draw(st.sampled_from((service_ident(), 0)) | number),
        draw(st.integers(0, 3) | number),
        draw(st.just(0) | number),
        draw(st.binary(min_size=6, max_size=6)),
        tuple(draw(st.lists(host, max_size=8))),
        draw(st.just(inner) | st.binary(max_size=60)),
    ).pack()


def _packed(number: int) -> bytes:
    return pack_address(host_address(number))


@functools.cache
def make_pool() -> Pool:
    """Return a pool that all examples share, so that faults accumulate."""
    pool = Pool(seed=1)
    pool.add_entry('entry-1', 1)
    for number in range(HOSTS):
        pool.add_sidecar(f'matcher-{number}', host_address(number))
    plan = PoolPlan(dict.fromkeys(range(HOSTS), 'active'))
    pool.publish(plan.next_site())
    pool.run(1)
    return pool


@functools.cache
def service_ident() -> int:
    """Return the number of the pool's service."""
    site = make_pool().entries['entry-1'].view.site
    assert site is not None
    return next(iter(site.by_ident))


def receive(body: bytes) -> None:
    """Deliver a sealed body to the entry and to each sidecar."""
    pool = make_pool()
    sealed = RING.seal(body)
    addresses = [host_address(number) for number in range(HOSTS)]
    for address in (*addresses, ('10.200.0.1', 7100)):
        pool.network.deliver(sealed, address, SENDER)
    pool.run(0.2)


class TestArbitraryInput(unittest.TestCase):
    """Arbitrary bytes from peers and callers."""

    @given(any_message())
    @settings(max_examples=120, deadline=None)
    def test_any_message(self, raw: bytes) -> None:
        """A control message with arbitrary fields raises nothing."""
        receive(b'\0' + ReplayGuard().stamp() + raw)

    @given(st.binary(min_size=1, max_size=120))
    @settings(max_examples=100, deadline=None)
    def test_any_body(self, body: bytes) -> None:
        """Arbitrary sealed bytes raise nothing."""
        receive(body)

    @given(any_envelope())
    @settings(max_examples=120, deadline=None)
    def test_any_envelope(self, body: bytes) -> None:
        """An arbitrary envelope raises nothing and does not loop."""
        pool = make_pool()
        before = pool.network.datagrams
        receive(body)
        self.assertLess(pool.network.datagrams - before, 300)

    @given(st.binary(max_size=100), st.data())
    @settings(max_examples=100, deadline=None)
    def test_any_packet(self, noise: bytes, draw: st.DataObject) -> None:
        """A caller's packet is forwarded or counted as dropped."""
        flow = Flow('10.9.0.1', 2000, *SERVICE_ADDRESS)
        packet = bytearray(make_packet(flow, SYN, b'x'))
        position = draw.draw(st.integers(0, len(packet) - 1))
        packet[position] = draw.draw(st.integers(0, 255))
        pool = make_pool()
        entry = pool.entries['entry-1']
        for datagram in (noise, bytes(packet)):
            drops = entry.process.metrics.total('drop')
            sent = pool.network.datagrams
            entry.ingress.receive(datagram, SENDER)
            forwarded = pool.network.datagrams - sent
            dropped = entry.process.metrics.total('drop') - drops
            self.assertGreater(forwarded + dropped, 0, datagram)
        pool.run(0.2)
