"""The demo: a small fleet under load while parts of it fail or leave."""

import asyncio
import json
import signal
import time
from collections import Counter
from dataclasses import dataclass, field
from typing import Any

from siskinbank.lab.fleet import Fleet, FleetPlan

__all__ = ('DemoResult', 'run_demo')

PLAN = FleetPlan(
    site='gr-north',
    data_centres=('gr-north-a', 'gr-north-b', 'gr-north-c'),
    entries=3,
    services={'matcher': 3, 'catalogue': 3},
)
_LOAD_SECONDS = 18
_KILL_AT = 3
_LIST_LAG_SECONDS = 1
_DRAIN_AT = 6
_OUT_AT = 9
_BACK_AT = 15
_GRACE_SECONDS = 3
_CALLERS_SECONDS = 20
_OUT_CENTRE = 'gr-north-c'
_KILLED_ENTRY = 'entry-1'
_DRAINED_HOST = 'matcher-1'
_BUCKETS_A_SECOND = 10


@dataclass(slots=True)
class DemoResult:
    """What the callers and upstreams saw."""

    flows: int = 0
    refused_flows: int = 0
    broken: list[str] = field(default_factory=list)
    given_up: int = 0
    lost_with_entry: int = 0
    requests: int = 0
    whole: int = 0
    unknown: int = 0
    not_run: int = 0
    untrue: list[str] = field(default_factory=list)
    wrong_service: int = 0
    packets_while_out: int = 0

    @property
    def holds(self) -> bool:
        """Whether what must hold has held."""
        wrong = (
            self.broken
            or self.untrue
            or self.wrong_service
            or self.packets_while_out
        )
        return bool(self.flows and self.whole) and not wrong

    def line(self) -> str:
        """Return the closing line."""
        return (
            f'demo: {self.flows} flows, {len(self.broken)} broken; '
            f'{self.requests} requests, {self.whole} whole answers, '
            f'{self.unknown} unknown, {self.not_run} not run; '
            f'{self.packets_while_out} packets into the data centre after it '
            f'was out'
        )


async def run_demo(say: Any) -> DemoResult:
    """Run the demo; ``say`` takes a line for the reader."""
    fleet = Fleet(PLAN)
    try:
        say(f'starting {PLAN.entries} entries and 6 upstreams with sidecars')
        await fleet.start()
        say(f'load for {_LOAD_SECONDS} s')
        await fleet.start_callers(_LOAD_SECONDS)
        out = await _script(fleet, say)
        raw = await fleet.processes.output('callers', _CALLERS_SECONDS)
        stats = {name: await fleet.stats(name) for name in fleet.hosts}
    finally:
        await fleet.stop()
    return _judge(fleet, json.loads(raw), stats, out)


async def _script(fleet: Fleet, say: Any) -> tuple[float, float]:
    """Kill, drain, take out and bring back; return when it was out."""
    start = time.monotonic()

    async def wait_until(seconds: float) -> None:
        await asyncio.sleep(max(start + seconds - time.monotonic(), 0))

    await wait_until(_KILL_AT)
    say(f'{_KILLED_ENTRY} is killed')
    fleet.processes.signal(_KILLED_ENTRY, signal.SIGKILL)
    await wait_until(_KILL_AT + _LIST_LAG_SECONDS)
    await fleet.remove_instance(_KILLED_ENTRY)
    await wait_until(_DRAIN_AT)
    say(f'{_DRAINED_HOST} drains')
    await fleet.drain_host(_DRAINED_HOST)
    await wait_until(_OUT_AT)
    say(f'{_OUT_CENTRE} is taken out')
    await fleet.set_data_centre(_OUT_CENTRE, 'out')
    out_at = time.time()
    await wait_until(_BACK_AT)
    say(f'{_OUT_CENTRE} comes back')
    back_at = time.time()
    await fleet.set_data_centre(_OUT_CENTRE, 'in')
    return out_at, back_at


def _judge(
    fleet: Fleet,
    report: dict[str, Any],
    stats: dict[str, dict[str, Any]],
    out: tuple[float, float],
) -> DemoResult:
    result = DemoResult()
    for flow in report['flows']:
        _judge_flow(fleet, flow, out[0], result)
    runs = _runs(stats)
    for request in report['requests']:
        _judge_request(request, runs, result)
    for name, seen in stats.items():
        _judge_upstream(fleet, name, seen, out, result)
    return result


def _runs(stats: dict[str, dict[str, Any]]) -> Counter[str]:
    runs: Counter[str] = Counter()
    for seen in stats.values():
        runs.update(seen['runs'])
    return runs


def _judge_flow(
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
    killed = fleet.entries[_KILLED_ENTRY].address
    if flow['ingress'] == 'tcp' and flow['entry'].startswith(f'{killed}:'):
        result.lost_with_entry += 1
    elif (
        host is not None
        and host.data_centre == _OUT_CENTRE
        and flow['ended_at'] >= out_at
    ):
        result.given_up += 1
    else:
        result.broken.append(json.dumps(flow))


def _judge_request(
    request: dict[str, Any],
    runs: dict[str, int],
    result: DemoResult,
) -> None:
    result.requests += 1
    ran = runs.get(request['key'], 0)
    outcome = request['outcome']
    if outcome == 'whole':
        result.whole += 1
    elif outcome == 'not-run':
        result.not_run += 1
    elif outcome == 'unknown':
        result.unknown += 1
    untrue = outcome == 'crossed' or (outcome == 'not-run' and ran)
    if untrue or (ran > 1 and not request['idempotent']):
        result.untrue.append(json.dumps({**request, 'runs': ran}))


def _judge_upstream(
    fleet: Fleet,
    name: str,
    seen: dict[str, Any],
    out: tuple[float, float],
    result: DemoResult,
) -> None:
    host = fleet.hosts[name]
    port = fleet.services[host.service]['fou']
    result.wrong_service += sum(
        not target.endswith(f':{port}') for target in seen['targets']
    )
    if host.data_centre != _OUT_CENTRE:
        return
    first = (out[0] + _GRACE_SECONDS) * _BUCKETS_A_SECOND
    last = out[1] * _BUCKETS_A_SECOND - 1
    for bucket, count in seen['arrivals'].items():
        if first <= int(bucket) < last:
            result.packets_while_out += count
