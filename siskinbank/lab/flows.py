"""Keeps flows open during planned changes and a host failure."""

import random
from collections.abc import Callable
from dataclasses import dataclass

from siskinbank.config.site import Site
from siskinbank.lab.experiment import ExperimentReport, at_least, at_most
from siskinbank.lab.flow_traffic import FlowTraffic
from siskinbank.lab.pool import Pool
from siskinbank.lab.sites import SERVICE, PoolPlan, host_address
from siskinbank.sidecar.forwarder import MAX_HOPS

__all__ = ('FlowPlan', 'measure_flows')

_CHANGES = 10
_CHANGE_SECONDS = 8
_PUBLISH_SPREAD_SECONDS = 5.0
_CONTROL_LOSS_SHARE = 0.03
_SETTLE_SECONDS = 3
_AFTER_KILL_SECONDS = 8
_RESTART_SECONDS = 0.2
_MIN_ACTIVE_HOSTS = 3
_MAX_ADDED_HOSTS = 3
#: Packets with at most this many extra hops count as near.
_MAX_NEAR_HOPS = 1
_MIN_NEAR_SHARE = 0.95
_NEW_FLOW_SHARE = 0.05
_STEP_SECONDS = 1.0


@dataclass(frozen=True, slots=True)
class FlowPlan:
    """Parameters of one run.

    Attributes:
        entries: number of entries.
        hosts: number of hosts at the start.
        flows: number of flows that are opened at the start.
        changes: number of planned changes.
        loss: share of the control datagrams that are lost.
    """

    entries: int = 4
    hosts: int = 7
    flows: int = 300
    changes: int = _CHANGES
    loss: float = _CONTROL_LOSS_SHARE


def measure_flows(
    seed: int,
    entries: int = 4,
    hosts: int = 7,
    flows: int = 300,
) -> ExperimentReport:
    """Keep flows open during planned changes, then kill a host."""
    run = FlowRun(seed, FlowPlan(entries, hosts, flows))
    run.start()
    run.make_changes()
    broken_by_changes = [flow.failure for flow in run.traffic.broken_flows()]
    run.kill_host()
    traffic = run.traffic
    all_broken_flows = traffic.broken_flows()
    moved = traffic.moved_hops
    near_count = sum(moved[hops] for hops in range(_MAX_NEAR_HOPS + 1))
    return ExperimentReport(
        'flows',
        seed,
        {
            'changes': run.changes_made,
            'flows': len(traffic.flows),
            'broken_by_planned_changes': len(broken_by_changes),
            'broken_by_death_elsewhere': len(all_broken_flows)
            - len(broken_by_changes),
            'broken_how': sorted(
                {str(flow.failure) for flow in all_broken_flows}
            ),
            'on_dead_host': sum(
                flow.owner in traffic.dead_hosts for flow in traffic.flows
            ),
            'two_owners': len(traffic.two_owners),
            'packets': traffic.packets,
            'packets_lost': traffic.lost_packets,
            'packets_of_moved_flows': moved.total(),
            'mean_hops_of_moved': _mean(moved),
            'mean_hops': _mean(traffic.hops),
            'hops_of_moved': dict(sorted(moved.items())),
            'control_bytes_a_second_a_host': run.control_rate(),
        },
        {
            'modulo_broken': len(traffic.naive_broken['modulo']),
            'rendezvous_broken': len(traffic.naive_broken['rendezvous']),
        },
        [
            at_most(
                'flows broken by planned changes', 0, len(broken_by_changes)
            ),
            at_most(
                'flows of other hosts broken by a death',
                0,
                len(all_broken_flows) - len(broken_by_changes),
            ),
            at_most('flows with two owners', 0, len(traffic.two_owners)),
            at_least(
                'share of packets of moved flows with at most 1 extra hop',
                _MIN_NEAR_SHARE,
                near_count / max(moved.total(), 1),
            ),
            at_most(
                'hops of any packet',
                MAX_HOPS,
                max((*moved, *traffic.hops), default=0),
            ),
        ],
    )


class FlowRun:
    """One run: a pool, its configuration and its traffic."""

    def __init__(self, seed: int, plan: FlowPlan) -> None:
        """Initialize the pool and the traffic without starting a process."""
        self._plan = plan
        self._rng = random.Random(seed)
        self.pool = Pool(seed)
        self.traffic = FlowTraffic(self.pool, random.Random(seed + 2))
        self._states = dict.fromkeys(range(plan.hosts), 'active')
        self._pool_plan = PoolPlan(self._states)
        self._next_host = plan.hosts
        self._next_entry = 0
        self._site: Site = self._pool_plan.next_site()
        self.changes_made: list[str] = []

    def start(self) -> None:
        """Start all processes and open the first flows."""
        for number in range(self._plan.hosts):
            self._add_sidecar(number)
        for _ in range(self._plan.entries):
            self._add_entry()
        self.pool.publish(self._site)
        self._run(_SETTLE_SECONDS)
        self.pool.network.loss = self._plan.loss
        self._open(self._plan.flows)
        self._run(_SETTLE_SECONDS)

    def make_changes(self) -> None:
        """Make planned changes, some of them in groups of two or three."""
        changes: list[Callable[[], str]] = [
            self._add_hosts,
            self._drain_host,
            self._reactivate_host,
            self._replace_entries_in_turn,
            self._replace_entries_at_once,
            self._restart_sidecar,
            self._make_two_changes,
            self._publish_several_generations,
        ]
        self._rng.shuffle(changes)
        while len(changes) < self._plan.changes:
            changes.append(self._rng.choice(changes))
        for change in changes[: self._plan.changes]:
            self.changes_made.append(change())
            self._open(int(self._plan.flows * _NEW_FLOW_SHARE))
            self._run(_CHANGE_SECONDS)
        self.traffic.finish(self._site)

    def kill_host(self) -> None:
        """Kill a host without notice and remove it from the site later."""
        number = self._rng.choice(sorted(self._states))
        name = f'{SERVICE}-{number}'
        self.pool.kill(name)
        self.traffic.dead_hosts.add(name)
        self._run(_AFTER_KILL_SECONDS)
        del self._states[number]
        self._publish()
        self._run(_AFTER_KILL_SECONDS)
        self.traffic.finish(self._site)

    def control_rate(self) -> float:
        """Return the control bytes per second sent by each sidecar."""
        sent = sum(
            sidecar.process.metrics.total('control_bytes')
            for sidecar in self.pool.sidecars.values()
        )
        return sent / self.pool.clock.now / len(self.pool.sidecars)

    def _open(self, count: int) -> None:
        self.traffic.open(count)
        self.pool.run(_STEP_SECONDS)

    def _run(self, seconds: float) -> None:
        """Advance the clock while each flow sends one packet per second."""
        for _ in range(int(seconds / _STEP_SECONDS)):
            self.traffic.step(self._site)
            self.pool.run(_STEP_SECONDS)

    def _publish(self) -> None:
        self._site = self._pool_plan.next_site()
        self.pool.publish(self._site, _PUBLISH_SPREAD_SECONDS)

    def _add_hosts(self) -> str:
        count = self._rng.randint(1, _MAX_ADDED_HOSTS)
        for _ in range(count):
            self._add_sidecar(self._next_host)
            self._states[self._next_host] = 'active'
            self._next_host += 1
        self._publish()
        return f'add {count}'

    def _drain_host(self) -> str:
        active = [
            number
            for number, state in self._states.items()
            if state == 'active'
        ]
        if len(active) <= _MIN_ACTIVE_HOSTS:
            return self._add_hosts()
        number = self._rng.choice(active)
        self._states[number] = 'draining'
        self._publish()
        return f'drain {number}'

    def _reactivate_host(self) -> str:
        draining = [
            number
            for number, state in self._states.items()
            if state == 'draining'
        ]
        if not draining:
            return self._drain_host()
        number = self._rng.choice(draining)
        self._states[number] = 'active'
        self._publish()
        return f'return {number}'

    def _replace_entries_in_turn(self) -> str:
        for name in list(self.pool.entries):
            if self.pool.entries[name].alive:
                self._replace_entry(name)
                self._run(_STEP_SECONDS)
        return 'replace entries in turn'

    def _replace_entries_at_once(self) -> str:
        alive = [
            name for name, entry in self.pool.entries.items() if entry.alive
        ]
        for name in alive:
            self._replace_entry(name)
        return 'replace entries at once'

    def _restart_sidecar(self) -> str:
        """Restart a sidecar while its upstream keeps running."""
        number = self._rng.choice(sorted(self._states))
        name = f'{SERVICE}-{number}'
        upstream = self.pool.sidecars[name].upstream
        self.pool.kill(name)
        self.pool.run(_RESTART_SECONDS)
        sidecar = self.pool.add_sidecar(name, host_address(number), upstream)
        sidecar.view.adopt(self._site)
        return f'restart sidecar {number}'

    def _make_two_changes(self) -> str:
        first = self._add_hosts()
        second = self._drain_host()
        return f'{first} and {second}'

    def _publish_several_generations(self) -> str:
        parts = []
        for change in (
            self._drain_host,
            self._add_hosts,
            self._reactivate_host,
        ):
            parts.append(change())
            self._run(_STEP_SECONDS)
        return ', '.join(parts)

    def _add_sidecar(self, number: int) -> None:
        self.pool.add_sidecar(f'{SERVICE}-{number}', host_address(number))

    def _add_entry(self) -> None:
        number = self._next_entry
        self.pool.add_entry(f'entry-{number}', number)
        self._next_entry += 1

    def _replace_entry(self, name: str) -> None:
        number = self._next_entry
        self._add_entry()
        self.pool.entries[f'entry-{number}'].view.adopt(self._site)
        self.pool.kill(name)


def _mean(hops: dict[int, int]) -> float:
    total = sum(hops.values())
    return sum(hop_count * count for hop_count, count in hops.items()) / max(
        total, 1
    )
