"""Naive load balancing policies for comparison with siskinbank."""

import heapq
import random
from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from siskinbank.lab.traffic import Arrival

__all__ = ('POLICIES', 'NaivePool', 'Policy')

_REPORT_INTERVAL_SECONDS = 1.0

#: Returns the number of the host for a flow, by the hash of the flow and the
#: reported load of each host.
Policy = Callable[[int, Sequence[int], random.Random], int]


def _hash_modulo(key: int, loads: Sequence[int], _rng: random.Random) -> int:
    return key % len(loads)


def _least_loaded(
    _key: int,
    loads: Sequence[int],
    rng: random.Random,
) -> int:
    lowest = min(loads)
    return rng.choice(
        [number for number, load in enumerate(loads) if load == lowest],
    )


def _two_choices(_key: int, loads: Sequence[int], rng: random.Random) -> int:
    first, second = rng.sample(range(len(loads)), 2)
    return first if loads[first] <= loads[second] else second


#: Naive policies by name.
POLICIES: dict[str, Policy] = {
    'hash modulo live hosts': _hash_modulo,
    'least loaded on stale reports': _least_loaded,
    'two choices on stale reports': _two_choices,
}


@dataclass(slots=True)
class NaivePool:
    """Pool without sidecars, in which the entry's choice of a host is final.

    Attributes:
        policy: chooses the host of each flow.
        hosts: number of hosts.
        lag_seconds: age at which a load report becomes visible to the policy.
        reports_zero: whether all hosts report a load of 0.
        rng: passed to the policy.
    """

    policy: Policy
    hosts: int
    lag_seconds: float
    reports_zero: bool
    rng: random.Random

    def run(
        self,
        arrivals: Sequence[Arrival],
        samples: Sequence[float],
    ) -> list[list[int]]:
        """Return the open flows of each host at the sample times.

        Args:
            arrivals: flows in the order of their arrival.
            samples: sample times in seconds, ascending.
        """
        loads = [0 for _ in range(self.hosts)]
        flow_ends: list[tuple[float, int]] = []
        reports: deque[tuple[float, list[int]]] = deque([(0, loads.copy())])
        sampled_loads: list[list[int]] = []
        pending_samples = list(samples)
        for arrival in arrivals:
            while pending_samples and pending_samples[0] <= arrival.at:
                _end_flows(flow_ends, loads, pending_samples.pop(0))
                sampled_loads.append(loads.copy())
            _end_flows(flow_ends, loads, arrival.at)
            visible_loads = self._visible_loads(reports, loads, arrival.at)
            host = self.policy(arrival.key, visible_loads, self.rng)
            loads[host] += 1
            heapq.heappush(
                flow_ends, (arrival.at + arrival.duration_seconds, host)
            )
        return sampled_loads

    def _visible_loads(
        self,
        reports: deque[tuple[float, list[int]]],
        loads: list[int],
        now: float,
    ) -> list[int]:
        """Record a load report if one is due and return the latest visible."""
        if now - reports[-1][0] >= _REPORT_INTERVAL_SECONDS:
            reported_loads = (
                [0 for _ in loads] if self.reports_zero else loads.copy()
            )
            reports.append((now, reported_loads))
        while len(reports) > 1 and reports[1][0] <= now - self.lag_seconds:
            reports.popleft()
        return reports[0][1]


def _end_flows(
    flow_ends: list[tuple[float, int]],
    loads: list[int],
    now: float,
) -> None:
    """Remove the flows that have ended from a heap of end times and hosts."""
    while flow_ends and flow_ends[0][0] <= now:
        loads[heapq.heappop(flow_ends)[1]] -= 1
