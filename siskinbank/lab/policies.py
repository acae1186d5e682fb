"""Naive ways to choose a host, to measure siskinbank against."""

import heapq
import random
from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from siskinbank.lab.traffic import Arrival

__all__ = ('POLICIES', 'NaivePool', 'Pick')

_REPORT_SECONDS = 1.0

#: Chooses a host by a flow's number and the loads as last reported.
Pick = Callable[[int, Sequence[int], random.Random], int]


def _hash_modulo(key: int, loads: Sequence[int], _rng: random.Random) -> int:
    return key % len(loads)


def _least_loaded(
    _key: int,
    loads: Sequence[int],
    rng: random.Random,
) -> int:
    least = min(loads)
    return rng.choice(
        [number for number, load in enumerate(loads) if load == least],
    )


def _two_choices(_key: int, loads: Sequence[int], rng: random.Random) -> int:
    first, second = rng.sample(range(len(loads)), 2)
    return first if loads[first] <= loads[second] else second


#: The naive ways by name.
POLICIES: dict[str, Pick] = {
    'hash modulo live hosts': _hash_modulo,
    'least loaded on stale reports': _least_loaded,
    'two choices on stale reports': _two_choices,
}


@dataclass(slots=True)
class NaivePool:
    """Hosts without sidecars: what an entry chooses, the upstream gets."""

    pick: Pick
    hosts: int
    lag_seconds: float
    says_zero: bool
    rng: random.Random

    def run(
        self,
        arrivals: Sequence[Arrival],
        samples: Sequence[float],
    ) -> list[list[int]]:
        """Return the hosts' open flows at each sample time."""
        loads = [0 for _ in range(self.hosts)]
        ends: list[tuple[float, int]] = []
        reports: deque[tuple[float, list[int]]] = deque([(0, loads.copy())])
        taken: list[list[int]] = []
        waiting = list(samples)
        for arrival in arrivals:
            while waiting and waiting[0] <= arrival.at:
                _end_flows(ends, loads, waiting.pop(0))
                taken.append(loads.copy())
            _end_flows(ends, loads, arrival.at)
            seen = self._reported(reports, loads, arrival.at)
            host = self.pick(arrival.key, seen, self.rng)
            loads[host] += 1
            heapq.heappush(ends, (arrival.at + arrival.life, host))
        return taken

    def _reported(
        self,
        reports: deque[tuple[float, list[int]]],
        loads: list[int],
        now: float,
    ) -> list[int]:
        if now - reports[-1][0] >= _REPORT_SECONDS:
            said = [0 for _ in loads] if self.says_zero else loads.copy()
            reports.append((now, said))
        while len(reports) > 1 and reports[1][0] <= now - self.lag_seconds:
            reports.popleft()
        return reports[0][1]


def _end_flows(
    ends: list[tuple[float, int]],
    loads: list[int],
    now: float,
) -> None:
    while ends and ends[0][0] <= now:
        loads[heapq.heappop(ends)[1]] -= 1
