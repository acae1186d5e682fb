"""Flows through planned changes and a host's death, seeded."""

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
_SECONDS_A_CHANGE = 8
_SPREAD_SECONDS = 5.0
_CONTROL_LOSS = 0.03
_WARM_SECONDS = 3
_DEATH_SECONDS = 8
_DOWN_SECONDS = 0.2
_MIN_ACTIVE = 3
_MAX_ADDED = 3
_NEAR_HOPS = 1
_NEAR_SHARE = 0.95
_OPENED_SHARE = 0.05
_QUICK_SECONDS = 1.0


@dataclass(frozen=True, slots=True)
class FlowPlan:
    """The sizes of one run."""

    entries: int = 4
    hosts: int = 7
    flows: int = 300
    changes: int = _CHANGES
    loss: float = _CONTROL_LOSS


def measure_flows(
    seed: int,
    entries: int = 4,
    hosts: int = 7,
    flows: int = 300,
) -> ExperimentReport:
    """Keep flows open over many changes, and kill a host at the end."""
    run = FlowRun(seed, FlowPlan(entries, hosts, flows))
    run.start()
    run.change_all()
    planned = [flow.broken for flow in run.traffic.broken()]
    run.kill_host()
    traffic = run.traffic
    after = traffic.broken()
    moved = traffic.moved_hops
    near = sum(moved[hops] for hops in range(_NEAR_HOPS + 1))
    return ExperimentReport(
        'flows',
        seed,
        {
            'changes': run.done,
            'flows': len(traffic.flows),
            'broken_by_planned_changes': len(planned),
            'broken_by_death_elsewhere': len(after) - len(planned),
            'broken_how': sorted({str(flow.broken) for flow in after}),
            'on_dead_host': sum(
                flow.owner in traffic.dead for flow in traffic.flows
            ),
            'two_owners': len(traffic.two_owners),
            'packets': traffic.packets,
            'packets_lost': traffic.lost,
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
            at_most('flows broken by planned changes', 0, len(planned)),
            at_most(
                'flows of other hosts broken by a death',
                0,
                len(after) - len(planned),
            ),
            at_most('flows with two owners', 0, len(traffic.two_owners)),
            at_least(
                'share of packets of moved flows with at most 1 extra hop',
                _NEAR_SHARE,
                near / max(moved.total(), 1),
            ),
            at_most(
                'hops of any packet',
                MAX_HOPS,
                max((*moved, *traffic.hops), default=0),
            ),
        ],
    )


class FlowRun:
    """One pool, its plan and its traffic."""

    def __init__(self, seed: int, plan: FlowPlan) -> None:
        """Prepare a run."""
        self._plan = plan
        self._rng = random.Random(seed)
        self.pool = Pool(seed)
        self.traffic = FlowTraffic(self.pool, random.Random(seed + 2))
        self._states = dict.fromkeys(range(plan.hosts), 'active')
        self._pool_plan = PoolPlan(self._states)
        self._next_host = plan.hosts
        self._next_entry = 0
        self._site: Site = self._pool_plan.next_site()
        self.done: list[str] = []

    def start(self) -> None:
        """Start all processes and open the first flows."""
        for number in range(self._plan.hosts):
            self._add_sidecar(number)
        for _ in range(self._plan.entries):
            self._add_entry()
        self.pool.publish(self._site)
        self._run(_WARM_SECONDS)
        self.pool.network.loss = self._plan.loss
        self._open(self._plan.flows)
        self._run(_WARM_SECONDS)

    def change_all(self) -> None:
        """Make planned changes, some of them two or three at once."""
        changes: list[Callable[[], str]] = [
            self._add_hosts,
            self._drain_host,
            self._return_host,
            self._replace_entries_in_turn,
            self._replace_entries_at_once,
            self._restart_sidecar,
            self._change_twice,
            self._several_generations,
        ]
        self._rng.shuffle(changes)
        while len(changes) < self._plan.changes:
            changes.append(self._rng.choice(changes))
        for change in changes[: self._plan.changes]:
            self.done.append(change())
            self._open(int(self._plan.flows * _OPENED_SHARE))
            self._run(_SECONDS_A_CHANGE)
        self.traffic.finish(self._site)

    def kill_host(self) -> None:
        """Kill a host without warning; the configuration follows later."""
        number = self._rng.choice(sorted(self._states))
        name = f'{SERVICE}-{number}'
        self.pool.kill(name)
        self.traffic.dead.add(name)
        self._run(_DEATH_SECONDS)
        del self._states[number]
        self._publish()
        self._run(_DEATH_SECONDS)
        self.traffic.finish(self._site)

    def control_rate(self) -> float:
        """Return the bytes a second that each sidecar sent for control."""
        sent = sum(
            sidecar.process.metrics.total('control_bytes')
            for sidecar in self.pool.sidecars.values()
        )
        return sent / self.pool.clock.now / len(self.pool.sidecars)

    def _open(self, count: int) -> None:
        self.traffic.open(count)
        self.pool.run(_QUICK_SECONDS)

    def _run(self, seconds: float) -> None:
        """Let time pass; each flow sends one packet a second."""
        for _ in range(int(seconds / _QUICK_SECONDS)):
            self.traffic.step(self._site)
            self.pool.run(_QUICK_SECONDS)

    def _publish(self) -> None:
        self._site = self._pool_plan.next_site()
        self.pool.publish(self._site, _SPREAD_SECONDS)

    def _add_hosts(self) -> str:
        count = self._rng.randint(1, _MAX_ADDED)
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
        if len(active) <= _MIN_ACTIVE:
            return self._add_hosts()
        number = self._rng.choice(active)
        self._states[number] = 'draining'
        self._publish()
        return f'drain {number}'

    def _return_host(self) -> str:
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
                self._run(_QUICK_SECONDS)
        return 'replace entries in turn'

    def _replace_entries_at_once(self) -> str:
        alive = [
            name for name, entry in self.pool.entries.items() if entry.alive
        ]
        for name in alive:
            self._replace_entry(name)
        return 'replace entries at once'

    def _restart_sidecar(self) -> str:
        """Restart the sidecar alone; its upstream goes on."""
        number = self._rng.choice(sorted(self._states))
        name = f'{SERVICE}-{number}'
        upstream = self.pool.sidecars[name].upstream
        self.pool.kill(name)
        self.pool.run(_DOWN_SECONDS)
        sidecar = self.pool.add_sidecar(name, host_address(number), upstream)
        sidecar.view.adopt(self._site)
        return f'restart sidecar {number}'

    def _change_twice(self) -> str:
        first = self._add_hosts()
        second = self._drain_host()
        return f'{first} and {second}'

    def _several_generations(self) -> str:
        parts = []
        for change in (self._drain_host, self._add_hosts, self._return_host):
            parts.append(change())
            self._run(_QUICK_SECONDS)
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
    return sum(hop * count for hop, count in hops.items()) / max(total, 1)
