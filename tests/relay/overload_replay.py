"""Replays overload with several orders of service and prints what callers get.

Run from the root of the repository:

    python -m tests.relay.overload_replay --load feed --seeds 1-8 [--orders a,b]
"""

import argparse
import sys
from collections.abc import Callable, Iterable
from contextlib import ExitStack
from statistics import mean
from typing import Any
from unittest import mock

from siskinbank.admission import pending_queue, service_order
from tests.relay.simulated_clients import Clients, serve_in_order_before
from tests.relay.simulated_host import (
    HIGH,
    LOW,
    ROUTES,
    SWAP,
    VIEW,
    SimulatedHost,
)

# Worth of a request by priority, in time and late.
WORTH = {1: (2, 0.6), 2: (1, 0.3)}
# Requests that are sent in this time count, in seconds.
COUNTED_S = 15
# The load lasts until all time limits have passed, in seconds: otherwise late
# requests would be served from capacity that an overload does not leave.
LOAD_S = 20.5
# Requests of low priority for one of high priority on the second deployment.
_VIEWS_PER_SWAP = 4
_SWAP_SLOTS = 2

Order = Callable[[Iterable[Any], float], list[Any]]


class Load:
    """Rates of requests at one host.

    Attributes:
        slots: requests that the host processes concurrently.
        rates: requests a second by route.
        reuse: share of them that go to an idle flow if there is one, by route.
    """

    def __init__(
        self,
        slots: int,
        rates: dict[tuple[str, int], float],
        reuse: dict[tuple[str, int], float],
    ) -> None:
        """Initialize a load."""
        self.slots = slots
        self.rates = rates
        self.reuse = reuse


def two_kinds(times_capacity: float, views_per_swap: float) -> Load:
    """Return the load of the second deployment, in multiples of a host."""
    work_s = ROUTES[SWAP].work_s + views_per_swap * ROUTES[VIEW].work_s
    swaps = times_capacity * _SWAP_SLOTS / work_s
    rates = {VIEW: views_per_swap * swaps, SWAP: swaps}
    return Load(_SWAP_SLOTS, rates, {VIEW: 0.7, SWAP: 0.7})


LOADS = {
    'feed': Load(4, {LOW: 350, HIGH: 44}, {LOW: 1}),
    'kinds-1.3': two_kinds(1.3, _VIEWS_PER_SWAP),
    'kinds-2': two_kinds(2, _VIEWS_PER_SWAP),
    'kinds-3': two_kinds(3, _VIEWS_PER_SWAP),
    # With equal demand, the high priority exceeds the capacity by itself at 3.
    'equal-1.3': two_kinds(1.3, 1),
    'equal-2': two_kinds(2, 1),
    'equal-3': two_kinds(3, 1),
    # One priority.
    'one-1.3': Load(4, {LOW: 93, HIGH: 0}, {LOW: 0.7}),
    'one-2': Load(4, {LOW: 143, HIGH: 0}, {LOW: 0.7}),
    'one-3': Load(4, {LOW: 214, HIGH: 0}, {LOW: 0.7}),
}


def by_arrival(requests: Iterable[Any], now: float) -> list[Any]:
    """Order by arrival alone, whatever the priority."""
    return list(requests)


def in_order_up_to(longest: int, high_only: bool = False) -> Order:
    """Order as the product does, newest first beyond ``longest``.

    Args:
        longest: the most requests of a group that keep their order.
        high_only: whether this holds only for priorities that are not the
            lowest of those queued; two stay in order for the lowest.
    """

    def order(requests: Iterable[Any], now: float) -> list[Any]:
        queued = list(requests)
        lowest = max((item.priority for item in queued), default=0)
        groups: dict[Any, list[Any]] = {}
        for item in queued:
            groups.setdefault(item.rank(now), []).append(item)
        ordered: list[Any] = []
        for rank in sorted(groups):
            group = groups[rank]
            is_two = high_only and rank[1] == lowest
            kept = 2 if is_two else longest
            if rank[0] == service_order.IN_TIME:
                ordered.extend(reversed(group[kept:]))
                group = group[:kept]
            ordered.extend(group)
        return ordered

    return order


def by_deadline(requests: Iterable[Any], now: float) -> list[Any]:
    """Order as the product does, but earliest deadline first within a group."""
    return sorted(
        requests,
        key=lambda item: (*item.rank(now), item.in_time_until),
    )


def late_share(every: int) -> Order:
    """Order as the product does, but one slot in ``every`` is for a late one.

    The oldest late request that can meet its time limit goes first then.
    """
    calls = [0, 0]

    def order(requests: Iterable[Any], now: float) -> list[Any]:
        ordered = service_order.service_order(requests, now)
        if len(ordered) < calls[1]:
            calls[0] += 1
        calls[1] = len(ordered)
        if calls[0] >= every:
            late = [
                item
                for item in ordered
                if item.stage(now) == service_order.LATE and not item.needs_flow
            ]
            if late:
                calls[0] = 0
                ordered.remove(late[0])
                ordered.insert(0, late[0])
        return ordered

    return order


ORDERS: dict[str, Callable[[], Order]] = {
    'arrival': lambda: by_arrival,
    'product': lambda: service_order.service_order,
    'two': lambda: in_order_up_to(2),
    'six': lambda: in_order_up_to(6),
    'twelve': lambda: in_order_up_to(12),
    'in-order': lambda: in_order_up_to(10**6),
    'high-in-order': lambda: in_order_up_to(10**6, high_only=True),
    'deadline': lambda: by_deadline,
    'late-10': lambda: late_share(10),
    'late-4': lambda: late_share(4),
}


def replay(load: Load, order: str, seed: int) -> Clients:
    """Replay a load; ``before`` is the order without any scheduling."""
    with ExitStack() as stack:
        if order in ORDERS:
            chosen = mock.patch.object(
                pending_queue, 'service_order', ORDERS[order]()
            )
            stack.enter_context(chosen)
        host = SimulatedHost(load.slots)
        if order == 'before':
            serve_in_order_before(host)
        clients = Clients(host, seed, load.reuse, give_up=True)
        for route, rate in load.rates.items():
            if rate:
                clients.load(route, rate, LOAD_S)
        host.run(LOAD_S)
        host.close()
    return clients


class Result:
    """What the callers of one replay got.

    Attributes:
        shares: in time, late and failed, as shares, by priority.
        worth: goodput by worth, a second.
        wasted: share of the host's capacity that went to requests whose client
            had given up.
        resets: resets of open flows by the sidecar.
    """

    def __init__(self, clients: Clients, slots: int) -> None:
        """Count what was sent in the counted time."""
        self.shares: dict[int, tuple[float, float, float]] = {}
        self.worth: float = 0
        until = clients.host.now - LOAD_S + COUNTED_S
        for priority, (in_time, late) in WORTH.items():
            mine = [
                item
                for item in clients.requests
                if ROUTES[item.route].priority == priority and item.sent < until
            ]
            if not mine:
                continue
            counts = [0, 0, 0]
            for item in mine:
                counts[_outcome(item)] += 1
            first, second, third = (count / len(mine) for count in counts)
            self.shares[priority] = first, second, third
            self.worth += counts[0] * in_time + counts[1] * late
        self.worth /= COUNTED_S
        self.wasted = clients.wasted_s / LOAD_S / slots
        self.resets = len(clients.host.resets)


def _outcome(request: Any) -> int:
    times = ROUTES[request.route]
    latency_s = request.latency_s
    if latency_s is None or latency_s > times.timeout_s:
        return 2
    return 0 if latency_s <= times.target_s else 1


def _print(label: str, order: str, seed: str, results: list[Result]) -> None:
    columns = [f'{label:10}', f'{order:14}', f'{seed:5}']
    for priority in sorted(results[0].shares):
        shares = zip(*(item.shares[priority] for item in results), strict=True)
        texts = ' '.join(f'{mean(share):.3f}' for share in shares)
        columns.append(f'{priority}: {texts}')
    columns.extend(
        (
            f'worth {mean(item.worth for item in results):6.2f}',
            f'wasted {mean(item.wasted for item in results):.4f}',
            f'resets {sum(item.resets for item in results)}',
        )
    )
    sys.stdout.write('  '.join(columns) + '\n')
    sys.stdout.flush()


def main() -> None:
    """Print a line for each load, order and seed, and one with the means."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--load', default=','.join(LOADS))
    parser.add_argument('--orders', default='before,arrival,product')
    parser.add_argument('--seeds', default='1-6')
    options = parser.parse_args()
    first, _, last = options.seeds.partition('-')
    seeds = range(int(first), int(last or first) + 1)
    for name in options.load.split(','):
        for order in options.orders.split(','):
            results = []
            for seed in seeds:
                load = LOADS[name]
                results.append(Result(replay(load, order, seed), load.slots))
                _print(name, order, str(seed), results[-1:])
            _print(name, order, 'mean', results)


if __name__ == '__main__':
    main()
