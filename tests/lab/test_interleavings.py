"""Model-based search for interleavings that revert a generation or lose a flow.

The rules drive the real entries and sidecars of the in-memory pool. Hypothesis
chooses their order and shrinks failing examples.
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
#: More hosts than candidates in a packet, so that an owner may have to be
#: found by other means.
HOSTS = 8
CENTRES = {number: 'a' if number < 5 else 'b' for number in range(HOSTS)}
LAST_PACKETS = 3
#: Longer than publishing a generation and any repair of state may take.
SETTLE_SECONDS = 5
HOST = st.integers(0, HOSTS - 1)


def host_name(number: int) -> str:
    """Return the name of a host."""
    return f'matcher-{number}'


class PoolModel(RuleBasedStateMachine):
    """Actions of callers and operators, and invariants after each."""

    def __init__(self) -> None:
        """Initialize an empty pool."""
        super().__init__()
        self.pool = Pool(seed=1)
        self.plan = PoolPlan(
            dict.fromkeys(range(HOSTS), 'active'),
            centres=CENTRES,
        )
        self.flows: dict[int, Flow] = {}
        self.exempt_flows: set[int] = set()
        self.generations: dict[int, int] = {}
        self.published_sites: list[Site] = []

    @initialize()
    def start(self) -> None:
        """Start all processes with the first generation."""
        for number in range(ENTRIES):
            self.pool.add_entry(f'entry-{number}', number)
        for number in range(HOSTS):
            self.pool.add_sidecar(host_name(number), host_address(number))
        self.publish(0)
        self.pool.run(SETTLE_SECONDS)
        self.open_flows(20)

    @rule(count=st.sampled_from((20, 5)))
    def open_flows(self, count: int) -> None:
        """Open flows."""
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
                # The first packet was refused or lost.
                self.exempt_flows.add(key)

    @rule()
    def send_all(self) -> None:
        """Send one packet of each flow through a random entry."""
        for key, flow in self.flows.items():
            if key not in self.exempt_flows:
                self.pool.spray(make_packet(flow, ACK, b'x'))
        self.pool.run(0.05)

    @rule(seconds=st.sampled_from((0.01, 0.3, 2, 20)))
    def wait(self, seconds: float) -> None:
        """Advance the virtual clock."""
        self.pool.run(seconds)

    @rule(
        numbers=st.sets(HOST, min_size=1),
        spread=st.sampled_from((0, 0.5, 3)),
    )
    def drain_or_activate(self, numbers: set[int], spread: float) -> None:
        """Drain some hosts or activate them again."""
        states = self.plan.states
        for number in numbers:
            is_active = states[number] == 'active'
            states[number] = 'draining' if is_active else 'active'
        if 'active' not in states.values():
            states[0] = 'active'
        self.publish(spread)

    @rule(spread=st.sampled_from((0, 0.5, 3)))
    def toggle_data_centre(self, spread: float) -> None:
        """Take a data centre out of service or put it back."""
        if self.plan.out:
            self.plan.out.clear()
        else:
            self.plan.out.add('b')
            self.exempt(number for number in CENTRES if CENTRES[number] == 'b')
        self.publish(spread)
        self.pool.run(spread)

    @rule(choice=st.integers(0, 1 << 16))
    def publish_old(self, choice: int) -> None:
        """Publish an old generation again."""
        self.pool.publish(
            self.published_sites[choice % len(self.published_sites)]
        )

    @rule(number=st.integers(0, ENTRIES - 1))
    def replace_entry(self, number: int) -> None:
        """Replace an entry by a new one that has only the configuration."""
        name = f'entry-{number}'
        self.pool.kill(name)
        entry = self.pool.add_entry(name, number)
        entry.view.adopt(self.newest_site())
        self.generations.pop(id(entry.view), None)

    @rule(number=HOST)
    def replace_host(self, number: int) -> None:
        """Replace a host and its upstream; its flows are lost."""
        self.exempt([number])
        self.pool.kill(host_name(number))
        sidecar = self.pool.add_sidecar(host_name(number), host_address(number))
        sidecar.view.adopt(self.newest_site())

    @invariant()
    def generations_never_decrease(self) -> None:
        """No process returns to an older generation."""
        for view in self.pool._views():  # noqa: SLF001
            before = self.generations.get(id(view), 0)
            assert view.generation >= before
            self.generations[id(view)] = view.generation

    @invariant()
    def no_flow_reaches_another_host(self) -> None:
        """No upstream receives a packet of a flow that it does not have."""
        for name, sidecar in self.pool.sidecars.items():
            wrong = sidecar.upstream.unknown_flows - self.exempt_flows
            assert not wrong, f'{name} got packets of flows of other hosts'

    @invariant()
    def one_owner(self) -> None:
        """Each flow is open at exactly one upstream."""
        for key in self.flows.keys() - self.exempt_flows:
            owners = [
                name
                for name, sidecar in self.pool.sidecars.items()
                if key in sidecar.upstream.flows
            ]
            assert len(owners) == 1, f'owners: {owners}'

    def teardown(self) -> None:
        """Check that packets of all flows that must survive are delivered."""
        self.pool.run(SETTLE_SECONDS)
        for key in self.flows.keys() - self.exempt_flows:
            upstream = self.pool.sidecars[self.owner(key) or ''].upstream
            before = upstream.packets[key]
            for _ in range(LAST_PACKETS):
                packet = make_packet(self.flows[key], ACK, b'x')
                self.pool.spray(packet)
                self.pool.run(0.1)
            assert upstream.packets[key] == before + LAST_PACKETS, 'lost flow'

    def owner(self, key: int) -> str | None:
        """Return the name of the host whose upstream has a flow."""
        for name, sidecar in self.pool.sidecars.items():
            if key in sidecar.upstream.flows:
                return name
        return None

    def exempt(self, numbers: object) -> None:
        """Exempt the current flows of some hosts from the invariants."""
        names = {host_name(number) for number in numbers}  # type: ignore[attr-defined]
        for key in self.flows:
            if self.owner(key) in names:
                self.exempt_flows.add(key)

    def publish(self, spread: float) -> None:
        """Publish the current plan as the next generation."""
        site = self.plan.next_site()
        self.published_sites.append(site)
        self.pool.publish(site, spread)

    def newest_site(self) -> Site:
        """Return the newest published site."""
        return self.published_sites[-1]


PoolModel.TestCase.settings = settings(
    max_examples=25,
    stateful_step_count=20,
    derandomize=True,
    deadline=None,
)


class TestInterleavings(PoolModel.TestCase, unittest.TestCase):  # type: ignore[misc]
    """Runs the rules in orders that Hypothesis generates."""
