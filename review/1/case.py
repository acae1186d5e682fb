"""FLOW: flows that are idle for less than IdleTimeoutMs are reset."""

import asyncio
import sys
from pathlib import Path

from review.rig.fleet import TARGET, Fleet, NotRun, run_case
from siskinbank.lab.rig.client import ClientFlow, FlowFailed

# The operator raises IdleTimeoutMs to this value, in milliseconds.
_RAISED_MS = 40000
# How long the flows pause, in seconds: below the raised limit, and all younger
# than FlowLifetimeS at the end.
_PAUSE_S = 25
# Pause of the other flows, in seconds: below the first limit of 15 s.
_SHORT_PAUSE_S = 10
_FLOWS = 6


async def play(fleet: Fleet, trouble: bool) -> bool:
    """Open flows, let them pause, and send a second request on each."""
    await fleet.open()
    long = await _open_flows(fleet, 'long')
    if trouble:
        fleet.idle_timeout_ms = _RAISED_MS
        await fleet.publish()
    short_lived = await _open_flows(fleet, 'short')
    await asyncio.sleep(_SHORT_PAUSE_S)
    broken = await _use_again(fleet, short_lived, 'short')
    await asyncio.sleep(_PAUSE_S - _SHORT_PAUSE_S)
    broken += await _use_again(fleet, long, 'long')
    return broken > 0


async def _open_flows(fleet: Fleet, name: str) -> list[ClientFlow]:
    flows = []
    for number in range(_FLOWS):
        try:
            flow = await fleet.client.connect(TARGET)
            await fleet.client.send_request(flow, f'{name}-{number}-first')
        except FlowFailed as error:
            raise NotRun(f'no flow: {error}') from None
        fleet.record.note('client', 'opened', port=flow.port, flow=name)
        flows.append(flow)
    return flows


async def _use_again(fleet: Fleet, flows: list[ClientFlow], name: str) -> int:
    """Send a request on each flow.

    Returns:
        How many flows were reset although a host held them and had sent no
        reset.
    """
    broken = 0
    for number, flow in enumerate(flows):
        client = (fleet.client.ip, flow.port)
        holders = [
            host.name for host in fleet.hosts if host.holds(client, TARGET)
        ]
        try:
            await fleet.client.send_request(flow, f'{name}-{number}-second')
        except FlowFailed as error:
            counts = flow.is_reset and len(holders) > 0
            broken += counts
            fleet.record.note(
                'client',
                'BROKEN: reset' if counts else 'failed',
                port=flow.port,
                held_by=','.join(holders) or '-',
                idle_timeout_ms=fleet.idle_timeout_ms,
                why=error,
            )
        else:
            fleet.record.note(
                'client', 'served', port=flow.port, held_by=','.join(holders)
            )
    return broken


if __name__ == '__main__':
    sys.exit(run_case(Path(__file__).parent, play))
