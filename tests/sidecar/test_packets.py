"""Tests of flow ownership with real entries and sidecars in memory."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from siskinbank.choice.rendezvous import prepare_rendezvous
from siskinbank.config.site import Address
from siskinbank.kernel.reasons import Drop, GivenUp
from siskinbank.lab.pool import Pool, PoolSidecar
from siskinbank.lab.sites import (
    SERVICE,
    SERVICE_ADDRESS,
    PoolPlan,
    host_address,
)
from siskinbank.lab.standins.packets import (
    ACK,
    FIN,
    RST,
    SYN,
    Flow,
    make_packet,
    make_udp,
)
from siskinbank.util import digest64
from siskinbank.wire.envelopes import OWNER_NAMED, UNCACHED, Envelope
from siskinbank.wire.flow_messages import Moved, Owner
from siskinbank.wire.packets import flow_number, pack_address, parse_inner

HOSTS = 5
ENTRIES = 3
_PROTOCOL = 9
_TCP = 6
SENDER: Address = ('10.250.0.1', 1)


def _flow(port: int) -> Flow:
    return Flow('10.9.0.1', port, *SERVICE_ADDRESS)


def _first_packet(port: int, *, udp: bool) -> bytes:
    if udp:
        return make_udp(_flow(port), bytes(20))
    return make_packet(_flow(port), SYN)


def _only_tcp(packets: list[bytes]) -> list[bytes]:
    return [raw for raw in packets if raw[_PROTOCOL] == _TCP]


class PoolCase(unittest.TestCase):
    """A pool of five hosts behind three entries."""

    def setUp(self) -> None:
        """Start the pool."""
        self.pool = Pool(seed=5)
        self.plan = PoolPlan(dict.fromkeys(range(HOSTS), 'active'))
        for number in range(HOSTS + 2):
            self.add_sidecar(number)
        for number in range(ENTRIES):
            self.pool.add_entry(f'entry-{number}', number)
        self.site = self.plan.next_site()
        self.pool.publish(self.site)
        # Longer than ``SKEW_SECONDS``, after which the pool counts as stable.
        self.pool.run(70)

    def add_sidecar(self, number: int) -> None:
        """Start the sidecar of a host."""
        self.pool.add_sidecar(f'{SERVICE}-{number}', host_address(number))

    def send(self, raw: bytes, entry: int = 0, seconds: float = 0.5) -> None:
        """Send a packet to one entry and advance the time."""
        name = f'entry-{entry}'
        self.pool.entries[name].ingress.receive(raw, SENDER)
        self.pool.run(seconds)

    def owners(self, raw: bytes) -> list[str]:
        """Return the hosts that own the packet's flow."""
        packet = parse_inner(raw)
        assert packet is not None
        return [
            name
            for name, sidecar in self.pool.sidecars.items()
            if sidecar.alive and sidecar.handler.flows.get(packet.flow)
        ]

    def delivered(self, raw: bytes) -> dict[str, int]:
        """Return how many packets of a flow each upstream received."""
        packet = parse_inner(raw)
        assert packet is not None
        return {
            name: sidecar.upstream.packets[packet.key]
            for name, sidecar in self.pool.sidecars.items()
            if sidecar.upstream.packets[packet.key]
        }

    def drops(self, reason: Drop) -> int:
        """Return the number of drops for a reason in all processes."""
        nodes = [*self.pool.entries.values(), *self.pool.sidecars.values()]
        return sum(node.process.metrics.value(reason) for node in nodes)

    def restart(self, name: str) -> PoolSidecar:
        """Restart a sidecar while its upstream keeps running."""
        old = self.pool.sidecars[name]
        self.pool.kill(name)
        new = self.pool.add_sidecar(name, old.address, old.upstream)
        new.view.adopt(self.site)
        return new

    def forget_routes(self) -> None:
        """Replace all entries by new ones with the same names."""
        for number in range(ENTRIES):
            entry = self.pool.add_entry(f'entry-{number}', number)
            entry.view.adopt(self.site)


class TestOpening(PoolCase):
    """Each flow is admitted by exactly one host."""

    def test_copies_through_entries_of_two_generations(self) -> None:
        """A copy from an entry with another generation is sent to the owner."""
        for udp in (False, True):
            for port in range(2000, 2080):
                with self.subTest(udp=udp, port=port):
                    raw = _first_packet(port, udp=udp)
                    self.send(raw, 0, 0.01)
                    self._grow_at(port, 2040)
                    self.send(raw, 1, 0.01)
                    self.assertEqual(len(self.owners(raw)), 1)
                    self.assertEqual(len(self.delivered(raw)), 1)

    def test_two_offers_at_once(self) -> None:
        """Two entries offer one flow to two hosts at the same time."""
        self._grow_for_some()
        for port in range(3000, 3060):
            raw = make_udp(_flow(port), bytes(20))
            self.send(raw, 0, 0)
            self.send(raw, 1, 0.05)
            with self.subTest(port):
                self.assertEqual(len(self.owners(raw)), 1)

    def test_silent_host_only_delays(self) -> None:
        """If the host to probe does not answer, the third copy is admitted."""
        self.pool.kill(f'{SERVICE}-0')
        self.plan.states[0] = 'draining'
        self.site = self.plan.next_site()
        self.pool.publish(self.site)
        for port in range(2000, 2020):
            raw = make_packet(_flow(port), SYN)
            for _ in range(3):
                self.send(raw, 0, 1)
            with self.subTest(port):
                self.assertEqual(len(self.owners(raw)), 1)

    def test_agrees_with_stateless_hashing(self) -> None:
        """In a stable pool rendezvous hashing alone gives the owner."""
        rank = prepare_rendezvous(self.site.services[SERVICE].hosts, 1)

        @settings(max_examples=60, deadline=None)
        @given(st.integers(1024, 65535), st.booleans(), st.integers(0, 2))
        def check(port: int, udp: bool, entry: int) -> None:
            raw = _first_packet(port, udp=udp)
            packet = parse_inner(raw)
            assert packet is not None
            self.send(raw, entry, 0.02)
            expected = rank(packet.key)[0].name
            self.assertEqual(self.owners(raw), [expected])

        check()

    def _grow_at(self, port: int, wanted: int) -> None:
        if port == wanted:
            self._grow_for_some()

    def _grow_for_some(self) -> None:
        """Add two hosts; entry 0 and some sidecars keep the old generation."""
        self.plan.states.update(
            {number: 'active' for number in range(HOSTS + 2)},
        )
        self.site = self.plan.next_site()
        self.pool.entries['entry-1'].view.adopt(self.site)
        for number in (1, 3, HOSTS, HOSTS + 1):
            self.pool.sidecars[f'{SERVICE}-{number}'].view.adopt(self.site)


class TestMoved(PoolCase):
    """Flows whose owner is not their primary host."""

    def test_found_after_growth(self) -> None:
        """TCP and UDP packets reach the owner by pointers."""
        self._check_all(self._open_and_move())

    def test_found_though_pointers_were_lost(self) -> None:
        """Without any pointer the packets are forwarded by rank."""
        packets = self._open_and_move()
        for sidecar in self.pool.sidecars.values():
            for raw in packets:
                packet = parse_inner(raw)
                assert packet is not None
                sidecar.handler.pointers.forget(packet.key)
        self._check_all(_only_tcp(packets))

    def test_found_after_primary_restarted(self) -> None:
        """A sidecar that lost its pointers receives them again."""
        packets = self._open_and_move()
        for number in range(HOSTS, HOSTS + 2):
            self.restart(f'{SERVICE}-{number}')
        self.pool.run(0.1)
        self._check_all(packets)

    def test_adopted_after_restart(self) -> None:
        """A sidecar restart ends no flow, with or without cached routes."""
        packets = self._open_and_move()
        for forget in (False, True):
            for number in range(HOSTS):
                self.restart(f'{SERVICE}-{number}')
            self.pool.run(3)
            if forget:
                self.forget_routes()
            with self.subTest(forget=forget):
                self._check_all(_only_tcp(packets))

    def test_recent_host_probes_before_it_admits(self) -> None:
        """A host that joined two generations ago probes before it admits flows.

        The owners' views do not contain it yet, so it has no pointers and
        could admit flows that other hosts own. Found by
        ``lab flows --seed 3`` and ``--seed 5``.
        """
        flows = [make_udp(_flow(port), bytes(20)) for port in range(100, 400)]
        for raw in flows:
            self.send(raw, 0, 0.002)
        for added in ((HOSTS, HOSTS + 1, HOSTS + 2), (HOSTS + 3,)):
            for number in added:
                self.add_sidecar(number)
                self.plan.states[number] = 'active'
            self.site = self.plan.next_site()
            self.pool.entries['entry-1'].view.adopt(self.site)
            for number in range(HOSTS, added[-1] + 1):
                name = f'{SERVICE}-{number}'
                self.pool.sidecars[name].view.adopt(self.site)
            self.pool.run(1)
        self._check_all(flows)

    def test_udp_adopted_by_draining_host(self) -> None:
        """UDP flows of a draining host survive a restart of its sidecar.

        Found by ``lab flows --seed 9``.
        """
        packets = self._open_and_move()
        self.plan.states[0] = 'draining'
        self.site = self.plan.next_site()
        self.pool.publish(self.site)
        self.pool.run(1)
        udp = [raw for raw in packets if raw not in _only_tcp(packets)]
        self._check_all(udp)
        self.restart(f'{SERVICE}-0')
        self.pool.run(0.1)
        self._check_all(udp)

    def test_udp_of_draining_host_known_by_pointers_only(self) -> None:
        """UDP flows survive the restart even if entries have no cached routes.

        Found by ``lab flows --seed 104``.
        """
        packets = self._open_and_move()
        self.plan.states[0] = 'draining'
        self.site = self.plan.next_site()
        self.pool.publish(self.site)
        self.pool.run(1)
        udp = [raw for raw in packets if raw not in _only_tcp(packets)]
        self.restart(f'{SERVICE}-0')
        self.pool.run(0.1)
        self.forget_routes()
        known_by_pointers = [
            raw for raw in udp if self._has_pointer_to_host_0(raw)
        ]
        self.assertTrue(known_by_pointers)
        self._check_all(known_by_pointers)

    def _has_pointer_to_host_0(self, raw: bytes) -> bool:
        """Return whether a sidecar has a pointer from the flow to host 0."""
        packet = parse_inner(raw)
        assert packet is not None
        pointers = [
            sidecar.handler.pointers.get(packet.key, self.pool.clock.now)
            for sidecar in self.pool.sidecars.values()
            if sidecar.alive
        ]
        first = pack_address(host_address(0))
        return any(known and known.address == first for known in pointers)

    def _open_and_move(self, count: int = 60) -> list[bytes]:
        """Open TCP and UDP flows, add two hosts and replace the entries."""
        opened = []
        for port in range(2000, 2000 + count):
            first = make_packet(_flow(port), SYN)
            later = make_packet(_flow(port), ACK, b'x')
            if port % 2:
                first = make_udp(_flow(port), bytes(20))
                later = first
            self.send(first, 0, 0.01)
            opened.append(later)
        self.plan.states.update(
            {number: 'active' for number in range(HOSTS + 2)},
        )
        self.site = self.plan.next_site()
        self.pool.publish(self.site)
        self.pool.run(0.5)
        self.forget_routes()
        return opened

    def _check_all(self, packets: list[bytes]) -> None:
        for raw in packets:
            before = self.delivered(raw)
            self.send(raw, 1, 0.05)
            after = self.delivered(raw)
            self.assertEqual(after.keys(), before.keys())
            self.assertGreater(sum(after.values()), sum(before.values()))
            self.assertEqual(len(self.owners(raw)), 1)


class TestInvalidInput(PoolCase):
    """Invalid packets and messages are not delivered and break no flow."""

    def setUp(self) -> None:
        """Open one flow."""
        super().setUp()
        self.raw = make_packet(_flow(2000), ACK, b'x')
        self.send(make_packet(_flow(2000), SYN))
        self.owner = self.owners(self.raw)[0]
        self.sidecar = self.pool.sidecars[self.owner]

    def test_crafted_envelopes(self) -> None:
        """Forged envelopes are dropped and counted; the flow continues."""
        own = pack_address(self.sidecar.address)
        ident = digest64(SERVICE)
        other = make_packet(Flow('10.9.0.1', 2000, '10.77.0.2', 443), ACK)
        loop = (pack_address(host_address(1)), pack_address(host_address(2)))
        unknown = make_packet(_flow(9), ACK)
        cases = (
            ('service', OWNER_NAMED, 0, digest64('other'), self.raw, (own,)),
            ('address', OWNER_NAMED, 0, ident, other, (own,)),
            ('truncated', OWNER_NAMED, 0, ident, self.raw[:30], (own,)),
            ('hops', UNCACHED, 15, ident, unknown, loop),
        )
        expected = {
            'service': Drop.wrong_service,
            'address': Drop.wrong_service,
            'truncated': Drop.malformed,
            'hops': Drop.hop_limit,
        }
        for name, flags, hops, service, raw, candidates in cases:
            with self.subTest(name):
                before = self.drops(expected[name])
                upstreams = [
                    sidecar.upstream.packets.total()
                    for sidecar in self.pool.sidecars.values()
                ]
                self.sidecar.handler.receive(
                    Envelope(
                        flags, hops, 0, service, 1, 0, own, candidates, raw
                    ),
                    SENDER,
                )
                self.pool.run(0.5)
                self.assertEqual(self.drops(expected[name]), before + 1)
                self.assertEqual(
                    [
                        sidecar.upstream.packets.total()
                        for sidecar in self.pool.sidecars.values()
                    ],
                    upstreams,
                )
        self.send(self.raw)
        self.assertEqual(self.delivered(self.raw), {self.owner: 2})

    def test_datagrams_without_valid_key(self) -> None:
        """Datagrams without a valid key are counted, whatever they contain."""
        before = self.drops(Drop.unkeyed)
        for datagram in (b'', b'\x01', bytes(200), self.raw):
            self.pool.network.deliver(datagram, self.sidecar.address)
        self.assertEqual(self.drops(Drop.unkeyed), before + 4)

    def test_wrong_owner_message(self) -> None:
        """A wrong ``Owner`` message adds hops but breaks no flow."""
        wrong = next(name for name in self.pool.sidecars if name != self.owner)
        other_sidecar = self.pool.sidecars[wrong]
        packet = parse_inner(self.raw)
        assert packet is not None
        for incarnation in (0, 1, other_sidecar.handler.incarnation):
            owner_message = Owner(
                packet.flow,
                pack_address(other_sidecar.address),
                incarnation,
                1,
            )
            self.pool.entries['entry-0'].ingress.learn(owner_message, SENDER)
            self.send(self.raw)
        self.assertEqual(self.delivered(self.raw), {self.owner: 4})
        self.assertEqual(self.owners(self.raw), [self.owner])

    def test_false_pointers(self) -> None:
        """Malformed or circular pointers break no flow."""
        ident = digest64(SERVICE)
        packet = parse_inner(self.raw)
        assert packet is not None
        number = flow_number(packet.flow).to_bytes(8, 'big')
        names = [name for name in self.pool.sidecars if name != self.owner]
        for name in names:
            there = pack_address(self.pool.sidecars[names[0]].address)
            for flows in (number[:5], b'', number):
                moved = Moved(ident, there, 1, 1, 30, flows)
                self.pool.sidecars[name].handler.receive_message(moved, SENDER)
        self.forget_routes()
        self.send(self.raw, 0)
        self.send(self.raw, 1)
        self.assertEqual(self.delivered(self.raw), {self.owner: 3})

    def test_forged_end_ends_no_flow(self) -> None:
        """The flow continues after a FIN or RST that the upstream ignores."""
        for flags in (RST, FIN | ACK):
            self.send(make_packet(_flow(2000), flags))
            self.send(self.raw)
        self.assertEqual(self.delivered(self.raw), {self.owner: 5})

    def test_address_of_another_service(self) -> None:
        """A host that now serves another service delivers nothing."""
        self.pool.entries['entry-0'].ingress.receive(self.raw, SENDER)
        self.pool.run(1)
        before = self.delivered(self.raw)
        del self.plan.states[int(self.owner.rpartition('-')[2])]
        self.sidecar.view.adopt(self.plan.next_site())
        self.send(self.raw)
        self.assertEqual(self.delivered(self.raw), before)
        counts = self.sidecar.process.metrics
        self.assertEqual(counts.value(GivenUp.removed), 1)
        self.assertEqual(counts.value(Drop.wrong_service), 1)

    def test_owner_gone(self) -> None:
        """Flows of a lost host are dropped, or opened at another host."""
        self.send(self.raw)
        datagram = make_udp(_flow(7), bytes(20))
        while self.owners(datagram) != [self.owner]:
            datagram = make_udp(_flow(self.pool.rng.randrange(9999)), bytes(20))
            self.send(datagram)
        self.pool.kill(self.owner)
        for node in (*self.pool.entries.values(), *self.pool.sidecars.values()):
            node.view.update_membership(frozenset(), frozenset((self.owner,)))
        self.send(self.raw)
        self.send(datagram)
        self.assertEqual(self.drops(Drop.owner_gone), 1)
        self.assertEqual(len(self.owners(datagram)), 1)

    def test_centre_out(self) -> None:
        """Flows in a data centre that goes out of service are abandoned."""
        number = int(self.owner.rpartition('-')[2])
        self.send(self.raw)
        before = self.delivered(self.raw)
        self.plan.centres = {number: 'b'}
        self.plan.out.add('b')
        self.pool.publish(self.plan.next_site())
        self.send(self.raw)
        self.assertEqual(self.delivered(self.raw), before)
        counts = self.sidecar.process.metrics
        self.assertEqual(counts.value(GivenUp.centre_out), 1)
        self.assertEqual(self.drops(Drop.owner_gone), 1)


class TestSuspension(PoolCase):
    """Processes that resume after a suspension."""

    def test_resumed_processes_refresh_first(self) -> None:
        """Packets are dropped until the view is fresh, then delivered again."""
        raw = make_packet(_flow(2000), ACK, b'x')
        self.send(make_packet(_flow(2000), SYN))
        self.send(raw)
        owner = self.owners(raw)[0]
        self.pool.clock.advance(60)
        self.send(raw, 0, 0)
        sidecar = self.pool.sidecars[owner]
        own = pack_address(sidecar.address)
        envelope = Envelope(
            OWNER_NAMED, 0, 0, digest64(SERVICE), 1, 0, own, (own,), raw
        )
        self.assertFalse(sidecar.handler.receive_owned(envelope.pack()))
        sidecar.handler.receive(envelope, SENDER)
        self.assertEqual(self.delivered(raw), {owner: 2})
        self.assertEqual(self.drops(Drop.stale_view), 2)
        self.pool.run(4)
        self.send(raw)
        self.assertEqual(self.delivered(raw), {owner: 3})
