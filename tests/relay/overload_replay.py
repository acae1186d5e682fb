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
from siskinbank.admission.held_request import HeldRequest
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

Order = Callable[[Iterable[Any], float, int], list[Any]]


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


def by_arrival(requests: Iterable[Any], now: float, slots: int) -> list[Any]:
    """Order by arrival alone, whatever the priority."""
    return list(requests)


def in_order_up_to(
    longest: Callable[[Any], int], high_only: bool = False
) -> Order:
    """Order as the product does, newest first beyond a length.

    Args:
        longest: returns the most requests of a group that keep their order, by
            its oldest request.
        high_only: whether this holds only for priorities that are not the
            lowest of those queued; two stay in order for the lowest.
    """

    def order(requests: Iterable[Any], now: float, slots: int) -> list[Any]:
        queued = list(requests)
        lowest = max((item.priority for item in queued), default=0)
        groups: dict[Any, list[Any]] = {}
        for item in queued:
            groups.setdefault(item.rank(now), []).append(item)
        ordered: list[Any] = []
        for rank in sorted(groups):
            group = groups[rank]
            is_two = high_only and rank[1] == lowest
            kept = 2 if is_two else longest(group[0])
            if rank[0] == service_order.IN_TIME:
                ordered.extend(reversed(group[kept:]))
                group = group[:kept]
            ordered.extend(group)
        return ordered

    return order


def by_wait(share: float, slots: int) -> Callable[[Any], int]:
    """Return how many requests are served within their longest wait.

    Args:
        share: share of the longest wait that still gives an answer in time.
        slots: requests that the host processes concurrently.
    """

    def longest(oldest: Any) -> int:
        longest_wait_s = oldest.in_time_until - oldest.sent
        return int(share * longest_wait_s * slots / oldest.work_s)

    return longest


def _by_stage(queued: list[Any], now: float) -> dict[Any, list[Any]]:
    stages: dict[Any, list[Any]] = {}
    for item in queued:
        stages.setdefault(item.rank(now)[:2], []).append(item)
    return stages


def merged(share: float, late_share: float) -> Order:
    """Order as the product does, with all of a higher priority by arrival.

    Requests on open flows precede first packets for the lowest priority, and
    for a priority with more requests than are served in order.

    Args:
        share: share of the longest wait that requests stay in order.
        late_share: the same holds for a priority with more late requests than
            this share of what is served in order.
    """

    def order(requests: Iterable[Any], now: float, slots: int) -> list[Any]:
        queued = list(requests)
        lowest = max((item.priority for item in queued), default=0)
        stages = _by_stage(queued, now)
        ordered: list[Any] = []
        for stage, priority in sorted(stages):
            group = stages[stage, priority]
            kept = by_wait(share, slots)(group[0]) if priority < lowest else 2
            late = sum(
                len(stages.get((other, priority), ()))
                for other in (service_order.LATE, service_order.HOPELESS)
            )
            is_split = (
                stage != service_order.IN_TIME
                or priority == lowest
                or len(group) > kept
                or late > late_share * kept
            )
            if is_split:
                in_order = in_order_up_to(lambda _, kept=kept: kept)
                group = in_order(group, now, slots)
            ordered.extend(group)
        return ordered

    return order


def by_deadline(requests: Iterable[Any], now: float, slots: int) -> list[Any]:
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

    def order(requests: Iterable[Any], now: float, slots: int) -> list[Any]:
        ordered = service_order.service_order(requests, now, slots)
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


# Orders by name, with the number of slots of the host.
ORDERS: dict[str, Callable[[int], Order]] = {
    'arrival': lambda _: by_arrival,
    'product': lambda _: service_order.service_order,
    'two': lambda _: in_order_up_to(lambda _oldest: 2),
    'six': lambda _: in_order_up_to(lambda _oldest: 6),
    'twelve': lambda _: in_order_up_to(lambda _oldest: 12),
    'in-order': lambda _: in_order_up_to(lambda _oldest: 10**6),
    'high-in-order': lambda _: in_order_up_to(lambda _oldest: 10**6, True),
    'half-wait': lambda slots: in_order_up_to(by_wait(0.5, slots)),
    'high-half-wait': lambda slots: in_order_up_to(by_wait(0.5, slots), True),
    'high-wait': lambda slots: in_order_up_to(by_wait(1, slots), True),
    'merged-half': lambda _: merged(0.5, float('inf')),
    'merged': lambda _: merged(1, float('inf')),
    'merged-in-time': lambda _: merged(1, 0),
    'merged-few-late': lambda _: merged(1, 0.5),
    'deadline': lambda _: by_deadline,
    'late-10': lambda _: late_share(10),
    'late-4': lambda _: late_share(4),
}


def _keep_until_client_ends(held: HeldRequest, now: float) -> bool:
    """Keep requests that may run once in the queue, too.

    Their clients drop them by ending the flow, as with repeatable ones.
    """
    return now > held.pass_by


def _is_useless(held: HeldRequest, now: float) -> bool:
    return now > held.useful_until


def replay(load: Load, order: str, seed: int) -> Clients:
    """Replay a load.

    Args:
        load: the load.
        order: one of ORDERS; ``before`` for no scheduling. With ``+once``
            after it, requests that may run once stay queued past their time
            limit until their client ends the flow, as repeatable ones do.
        seed: determines the load.
    """
    with ExitStack() as stack:
        order, _, keeps_once = order.partition('+')
        if keeps_once:
            for name, rule in (
                ('must_leave', _keep_until_client_ends),
                ('is_useless', _is_useless),
            ):
                stack.enter_context(mock.patch.object(HeldRequest, name, rule))
        if order in ORDERS:
            chosen = mock.patch.object(
                pending_queue, 'service_order', ORDERS[order](load.slots)
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
