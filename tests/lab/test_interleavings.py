"""A model that searches interleavings for a reverted generation or lost flow.

The rules drive the real entries and sidecars of the pool in memory; hypothesis
picks their order and shrinks what fails.
"""

import unittest

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from siskinbank.config.site import Site
from siskinbank.lab.pool import Pool
from siskinbank.lab.sites import SERVICE_ADDRESS, PoolPlan, host_address
from siskinbank.lab.standins.packets import ACK, SYN, Flow, make_packet
from siskinbank.wire.packets import parse_inner

ENTRIES = 3
#: More than a packet has candidates, so that owners must be known of.
HOSTS_PREFIX = 8
CENTRES = {number: 'a' if number < 5 else 'b' for number in range(HOSTS_PREFIX)}
LAST_PACKETS = 3
#: Longer than a generation takes everywhere, and than any repair may take.
SETTLE_SECONDS = 5
HOST = st.integers(0, HOSTS_PREFIX - 1)


def name_of(number: int) -> str:
    """Return a host's name."""
    return f'matcher-{number}'


class PoolModel(RuleBasedStateMachine):
    """What callers and operators may do, and what must hold after each."""

    def __init__(self) -> None:
        """Start without a pool."""
        super().__init__()
        self.pool = Pool(seed=1)
        self.plan = PoolPlan(
            dict.fromkeys(range(HOSTS_PREFIX), 'active'),
            centres=CENTRES,
        )
        self.flows: dict[int, Flow] = {}
        self.excused: set[int] = set()
        self.generations: dict[int, int] = {}
        self.past: list[Site] = []

    @initialize()
    def start(self) -> None:
        """Start all processes with the first generation."""
        for number in range(ENTRIES):
            self.pool.add_entry(f'entry-{number}', number)
        for number in range(HOSTS_PREFIX):
            self.pool.add_sidecar(name_of(number), host_address(number))
        self.publish(0)
        self.pool.run(SETTLE_SECONDS)
        self.open_flows(20)

    @rule(count=st.sampled_from((20, 5)))
    def open_flows(self, count: int) -> None:
        """Callers open flows."""
        for _ in range(count):
            flow = Flow('10.9.0.1', 2000 + len(self.flows), *SERVICE_ADDRESS)
            packet = make_packet(flow, SYN)
            inner = parse_inner(packet)
            assert inner is not None
            self.flows[inner.key] = flow
            self.pool.spray(packet)
        self.pool.run(0.1)
        for key in self.flows:
            if self.owner(key) is None:
                # Refused, or lost on its way: never established.
                self.excused.add(key)

    @rule()
    def send_all(self) -> None:
        """Each flow sends one packet through some entry."""
        for key, flow in self.flows.items():
            if key not in self.excused:
                self.pool.spray(make_packet(flow, ACK, b'x'))
        self.pool.run(0.05)

    @rule(seconds=st.sampled_from((0.01, 0.3, 2, 20)))
    def wait(self, seconds: float) -> None:
        """Time passes."""
        self.pool.run(seconds)

    @rule(
        numbers=st.sets(HOST, min_size=1),
        spread=st.sampled_from((0, 0.5, 3)),
    )
    def drain_or_activate(self, numbers: set[int], spread: float) -> None:
        """Some hosts drain, or take work again."""
        states = self.plan.states
        for number in numbers:
            drains = states[number] == 'active'
            states[number] = 'draining' if drains else 'active'
        if 'active' not in states.values():
            states[0] = 'active'
        self.publish(spread)

    @rule(spread=st.sampled_from((0, 0.5, 3)))
    def take_out_or_back(self, spread: float) -> None:
        """A data centre is taken out, or comes back."""
        if self.plan.out:
            self.plan.out.clear()
        else:
            self.plan.out.add('b')
            self.excuse(number for number in CENTRES if CENTRES[number] == 'b')
        self.publish(spread)
        self.pool.run(spread)

    @rule(choice=st.integers(0, 1 << 16))
    def offer_old(self, choice: int) -> None:
        """Someone offers a generation of the past."""
        self.pool.publish(self.past[choice % len(self.past)])

    @rule(number=st.integers(0, ENTRIES - 1))
    def replace_entry(self, number: int) -> None:
        """An entry dies; a new one knows nothing but the configuration."""
        name = f'entry-{number}'
        self.pool.kill(name)
        entry = self.pool.add_entry(name, number)
        entry.view.adopt(self.newest())
        self.generations.pop(id(entry.view), None)

    @rule(number=HOST)
    def replace_host(self, number: int) -> None:
        """A host dies with its upstream; its flows are lost with it."""
        self.excuse([number])
        self.pool.kill(name_of(number))
        sidecar = self.pool.add_sidecar(name_of(number), host_address(number))
        sidecar.view.adopt(self.newest())

    @invariant()
    def generations_never_fall(self) -> None:
        """No process goes back to an older generation."""
        for view in self.pool._views():  # noqa: SLF001
            before = self.generations.get(id(view), 0)
            assert view.generation >= before
            self.generations[id(view)] = view.generation

    @invariant()
    def no_flow_reaches_a_stranger(self) -> None:
        """No upstream gets a packet of a flow that it does not know."""
        for name, sidecar in self.pool.sidecars.items():
            wrong = sidecar.upstream.broken - self.excused
            assert not wrong, f'{name} got packets of foreign flows'

    @invariant()
    def one_owner(self) -> None:
        """No flow is opened at two upstreams."""
        for key in self.flows.keys() - self.excused:
            owners = [
                name
                for name, sidecar in self.pool.sidecars.items()
                if key in sidecar.upstream.flows
            ]
            assert len(owners) == 1, f'owners: {owners}'

    def teardown(self) -> None:
        """In the end, each flow that was not given up still gets through."""
        self.pool.run(SETTLE_SECONDS)
        for key in self.flows.keys() - self.excused:
            upstream = self.pool.sidecars[self.owner(key) or ''].upstream
            before = upstream.packets[key]
            for _ in range(LAST_PACKETS):
                packet = make_packet(self.flows[key], ACK, b'x')
                self.pool.spray(packet)
                self.pool.run(0.1)
            assert upstream.packets[key] == before + LAST_PACKETS, 'lost flow'

    def owner(self, key: int) -> str | None:
        """Return the host whose upstream has a flow."""
        for name, sidecar in self.pool.sidecars.items():
            if key in sidecar.upstream.flows:
                return name
        return None

    def excuse(self, numbers: object) -> None:
        """Give up the flows that some hosts have now."""
        names = {name_of(number) for number in numbers}  # type: ignore[attr-defined]
        for key in self.flows:
            if self.owner(key) in names:
                self.excused.add(key)

    def publish(self, spread: float) -> None:
        """Publish the plan as the next generation."""
        site = self.plan.next_site()
        self.past.append(site)
        self.pool.publish(site, spread)

    def newest(self) -> Site:
        """Return the newest generation."""
        return self.past[-1]


PoolModel.TestCase.settings = settings(
    max_examples=25,
    stateful_step_count=20,
    derandomize=True,
    deadline=None,
)


class TestInterleavings(PoolModel.TestCase, unittest.TestCase):  # type: ignore[misc]
    """Any order of the rules."""
