"""Demo: a small fleet under load with failures and planned changes."""

import asyncio
import json
import signal
import time
from collections import Counter
from dataclasses import dataclass, field
from typing import Any

from siskinbank.lab.fleet import Fleet, FleetPlan

__all__ = ('DemoResult', 'run_demo')

_FLEET_PLAN = FleetPlan(
    site='gr-north',
    data_centres=('gr-north-a', 'gr-north-b', 'gr-north-c'),
    entries=3,
    services={'matcher': 3, 'catalogue': 3},
)
_LOAD_DURATION_SECONDS = 18
_KILL_AT_SECONDS = 3
_LIST_LAG_SECONDS = 1
_DRAIN_AT_SECONDS = 6
_OUT_AT_SECONDS = 9
_BACK_AT_SECONDS = 15
_GRACE_SECONDS = 3
_CALLERS_TIMEOUT_SECONDS = 20
_OUT_DATA_CENTRE = 'gr-north-c'
_KILLED_ENTRY = 'entry-1'
_DRAINED_HOST = 'matcher-1'
#: Resolution of the counts in the upstreams' statistics.
_BUCKETS_PER_SECOND = 10


@dataclass(slots=True)
class DemoResult:
    """Result of the demo, from the callers' and upstreams' reports.

    Attributes:
        flows: flows that were accepted.
        refused_flows: flows that were refused.
        broken: flows that were lost without an expected cause, as JSON.
        lost_with_data_centre: flows that ended when their data centre was
            taken out of service.
        lost_with_entry: tcp connections that ended with the killed entry.
        requests: requests sent.
        whole: requests with a complete answer.
        unknown: requests whose outcome is unknown.
        not_run: requests that were reported as not run.
        wrong_outcomes: requests with a wrong answer or outcome, or that ran
            more than once without being idempotent, as JSON.
        wrong_service: addresses of another service to which upstreams received
            packets.
        packets_while_out: packets to a data centre that was out of service.
    """

    flows: int = 0
    refused_flows: int = 0
    broken: list[str] = field(default_factory=list)
    lost_with_data_centre: int = 0
    lost_with_entry: int = 0
    requests: int = 0
    whole: int = 0
    unknown: int = 0
    not_run: int = 0
    wrong_outcomes: list[str] = field(default_factory=list)
    wrong_service: int = 0
    packets_while_out: int = 0

    @property
    def holds(self) -> bool:
        """Return whether there was traffic and all invariants held."""
        wrong = (
            self.broken
            or self.wrong_outcomes
            or self.wrong_service
            or self.packets_while_out
        )
        return bool(self.flows and self.whole) and not wrong

    def line(self) -> str:
        """Return the summary line."""
        return (
            f'demo: {self.flows} flows, {len(self.broken)} broken; '
            f'{self.requests} requests, {self.whole} whole answers, '
            f'{self.unknown} unknown, {self.not_run} not run; '
            f'{self.packets_while_out} packets into the data centre after it '
            f'was out'
        )


async def run_demo(write_line: Any) -> DemoResult:
    """Run the demo.

    Args:
        write_line: called with each line of progress.
    """
    fleet = Fleet(_FLEET_PLAN)
    try:
        write_line(
            f'starting {_FLEET_PLAN.entries} entries and 6 upstreams with '
            'sidecars'
        )
        await fleet.start()
        write_line(f'load for {_LOAD_DURATION_SECONDS} s')
        await fleet.start_callers(_LOAD_DURATION_SECONDS)
        out_period = await _inject_faults(fleet, write_line)
        raw = await fleet.processes.output('callers', _CALLERS_TIMEOUT_SECONDS)
        stats = {name: await fleet.stats(name) for name in fleet.hosts}
    finally:
        await fleet.stop()
    return _evaluate(fleet, json.loads(raw), stats, out_period)


async def _inject_faults(fleet: Fleet, write_line: Any) -> tuple[float, float]:
    """Kill an entry, drain a host, take a data centre out of service and back.

    Returns:
        When the data centre went out of service and returned, in seconds
        since 1970.
    """
    start = time.monotonic()

    async def wait_until(seconds: float) -> None:
        await asyncio.sleep(max(start + seconds - time.monotonic(), 0))

    await wait_until(_KILL_AT_SECONDS)
    write_line(f'{_KILLED_ENTRY} is killed')
    fleet.processes.signal(_KILLED_ENTRY, signal.SIGKILL)
    await wait_until(_KILL_AT_SECONDS + _LIST_LAG_SECONDS)
    await fleet.remove_instance(_KILLED_ENTRY)
    await wait_until(_DRAIN_AT_SECONDS)
    write_line(f'{_DRAINED_HOST} drains')
    await fleet.drain_host(_DRAINED_HOST)
    await wait_until(_OUT_AT_SECONDS)
    write_line(f'{_OUT_DATA_CENTRE} is taken out of service')
    await fleet.set_data_centre_state(_OUT_DATA_CENTRE, 'out')
    out_at = time.time()
    await wait_until(_BACK_AT_SECONDS)
    write_line(f'{_OUT_DATA_CENTRE} is back in service')
    back_at = time.time()
    await fleet.set_data_centre_state(_OUT_DATA_CENTRE, 'in')
    return out_at, back_at


def _evaluate(
    fleet: Fleet,
    report: dict[str, Any],
    stats: dict[str, dict[str, Any]],
    out_period: tuple[float, float],
) -> DemoResult:
    result = DemoResult()
    for flow in report['flows']:
        _evaluate_flow(fleet, flow, out_period[0], result)
    runs = _count_runs(stats)
    for request in report['requests']:
        _evaluate_request(request, runs, result)
    for name, upstream in stats.items():
        _evaluate_upstream(fleet, name, upstream, out_period, result)
    return result


def _count_runs(stats: dict[str, dict[str, Any]]) -> Counter[str]:
    runs: Counter[str] = Counter()
    for upstream in stats.values():
        runs.update(upstream['runs'])
    return runs


def _evaluate_flow(
    fleet: Fleet,
    flow: dict[str, Any],
    out_at: float,
    result: DemoResult,
) -> None:
    if flow['result'] == 'refused':
        result.refused_flows += 1
        return
    result.flows += 1
    if flow['result'] == 'whole':
        return
    host = fleet.hosts.get(flow['host'])
    killed_address = fleet.entries[_KILLED_ENTRY].address
    if flow['ingress'] == 'tcp' and flow['entry'].startswith(
        f'{killed_address}:'
    ):
        result.lost_with_entry += 1
    elif (
        host is not None
        and host.data_centre == _OUT_DATA_CENTRE
        and flow['ended_at'] >= out_at
    ):
        result.lost_with_data_centre += 1
    else:
        result.broken.append(json.dumps(flow))


def _evaluate_request(
    request: dict[str, Any],
    runs: dict[str, int],
    result: DemoResult,
) -> None:
    result.requests += 1
    run_count = runs.get(request['key'], 0)
    outcome = request['outcome']
    if outcome == 'whole':
        result.whole += 1
    elif outcome == 'not-run':
        result.not_run += 1
    elif outcome == 'unknown':
        result.unknown += 1
    is_wrong = outcome == 'crossed' or (outcome == 'not-run' and run_count)
    if is_wrong or (run_count > 1 and not request['idempotent']):
        result.wrong_outcomes.append(json.dumps({**request, 'runs': run_count}))


def _evaluate_upstream(
    fleet: Fleet,
    name: str,
    upstream: dict[str, Any],
    out_period: tuple[float, float],
    result: DemoResult,
) -> None:
    host = fleet.hosts[name]
    port = fleet.services[host.service]['fou']
    result.wrong_service += sum(
        not target.endswith(f':{port}') for target in upstream['targets']
    )
    if host.data_centre != _OUT_DATA_CENTRE:
        return
    first_bucket = (out_period[0] + _GRACE_SECONDS) * _BUCKETS_PER_SECOND
    last_bucket = out_period[1] * _BUCKETS_PER_SECOND - 1
    for bucket, count in upstream['arrivals'].items():
        if first_bucket <= int(bucket) < last_bucket:
            result.packets_while_out += count
