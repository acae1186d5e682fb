"""Tests of the hosts that a first packet is offered to."""

import random
from types import SimpleNamespace
from typing import Any, cast
from unittest import TestCase

from siskinbank.admission.balance import PoolLoads
from siskinbank.kernel.clock import FakeClock
from siskinbank.lab.traffic import SiteShape
from siskinbank.sidecar.deflection import choose_candidates, try_admit
from siskinbank.sidecar.forwarder import MAX_HOPS
from siskinbank.wire.envelopes import MAX_CANDIDATES, WHOLE_POOL, Envelope
from siskinbank.wire.packets import pack_address

LIMIT = 60
#: Loads as reported half a second ago, with which all hosts have room.
REPORTED_LOAD = 40
MAX_STEPS = 20


class _Pool:
    """Hosts that are known to have room, of which few still have any."""

    def __init__(self, rooms: tuple[int, ...]) -> None:
        site = SiteShape(len(rooms)).site(1)
        service = next(iter(site.services.values()))
        hosts = tuple(service.hosts)
        self.addresses = [pack_address(host.address) for host in hosts]
        self.rooms = dict(zip(self.addresses, rooms, strict=True))
        self.loads = {}
        for own in hosts:
            loads = PoolLoads(FakeClock())
            others = [host for host in hosts if host is not own]
            loads.update_hosts(others)
            for host in others:
                loads.note(host.seed, REPORTED_LOAD, LIMIT - REPORTED_LOAD, 0)
            loads.refresh()
            self.loads[pack_address(own.address)] = loads
        self.visits: list[bytes] = []

    def offer(self, envelope: Envelope) -> bytes | None:
        """Pass a first packet on until a host admits it or none is left."""
        for _ in range(MAX_STEPS):
            own = envelope.candidates[envelope.position]
            self.visits.append(own)
            if try_admit(envelope, self._admission(own), self.loads[own], 1):
                return own
            room = self.rooms[own]
            choose_candidates(
                envelope,
                own if room else None,
                self.loads[own],
                random.Random(1),
            )
            if envelope.hops == MAX_HOPS:
                return None
            positions = range(envelope.position + 1, len(envelope.candidates))
            left = [
                number
                for number in positions
                if envelope.candidates[number] != own
            ]
            if not left:
                return None
            envelope.position = left[0]
            envelope.hops += 1
        return None

    def _admission(self, address: bytes) -> Any:
        room = self.rooms[address]
        connections = SimpleNamespace(full=LIMIT, take=lambda: room > 0)
        return cast(
            Any,
            SimpleNamespace(
                load=LIMIT - room,
                limits=SimpleNamespace(connections=connections),
            ),
        )


def make_envelope(candidates: tuple[bytes, ...], hops: int) -> Envelope:
    """Return a first packet at the first of the hosts of the whole pool."""
    return Envelope(WHOLE_POOL, hops, 0, 1, 1, 0, bytes(6), candidates, b'')


class TestNearlyFullPool(TestCase):
    """Load pattern: demand near the limits, reports half a second old."""

    def test_host_with_room_is_asked_again(self) -> None:
        """A packet is refused while a host that saw it has room.

        The first or second host has room but is above its fair load; the
        others were reported to have room and are full.
        """
        for with_room in (0, 1):
            for hops in (2, 7):
                with self.subTest(with_room=with_room, hops=hops):
                    rooms = [0, 0, 0, 0]
                    rooms[with_room] = 8
                    pool = _Pool(tuple(rooms))
                    envelope = make_envelope(tuple(pool.addresses), hops)
                    admitted_by = pool.offer(envelope)
                    self.assertEqual(admitted_by, pool.addresses[with_room])

    def test_others_are_asked_first(self) -> None:
        """The host above its fair load admits before one below it is asked."""
        pool = _Pool((8, 0, 0, 30))
        envelope = make_envelope(tuple(pool.addresses), 2)
        self.assertEqual(pool.offer(envelope), pool.addresses[3])

    def test_later_hosts_admit_at_any_load(self) -> None:
        """A host that returns at the end makes later ones refuse."""
        pool = _Pool((8, 8, 8, 0))
        envelope = make_envelope(tuple(pool.addresses), 2)
        self.assertEqual(pool.offer(envelope), pool.addresses[2])
        self.assertEqual(pool.visits, pool.addresses[:3])

    def test_host_not_drawn_is_asked_last(self) -> None:
        """A packet is refused while a host that was not drawn has room."""
        for with_room in (4, 5):
            with self.subTest(with_room):
                pool = _Pool((0, 0, 0, 0, 0, 0))
                pool.rooms[pool.addresses[with_room]] = 8
                envelope = make_envelope(tuple(pool.addresses[:4]), 7)
                admitted_by = pool.offer(envelope)
                self.assertEqual(admitted_by, pool.addresses[with_room])
                self.assertLessEqual(envelope.hops, MAX_HOPS)

    def test_full_pool_ends(self) -> None:
        """A packet circulates in a full pool, or outgrows the message."""
        pool = _Pool((0, 0, 0, 0))
        envelope = make_envelope(tuple(pool.addresses), 7)
        self.assertIsNone(pool.offer(envelope))
        self.assertEqual(pool.visits, pool.addresses)
        self.assertLessEqual(len(envelope.candidates), MAX_CANDIDATES)
