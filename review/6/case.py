"""An entry that names no host lets a sidecar forget the open flows of its host."""

import asyncio
import json
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / 'rig2'))

from standins import HEARTBEAT_S, FlowLost, main, now_ms

TARGET = ('127.1.0.1', 8443)
# How long killed processes take to start again.
RESTART_S = 0.5


async def write_agent(site, host, born_ms):
    """Write the entry as hosts write theirs."""
    sequence = 0
    while True:
        sequence += 1
        agent = {
            'Service': 'metrics-agent', 'Address': f'{host.ip}:9100', 'Zone': host.zone, 'Version': 'v1',
            'Slots': 1, 'State': 'ready', 'WarmupLeftMs': 0, 'Sequence': sequence, 'born': born_ms,
        }
        site.store.put('servers/metrics-agent-1', json.dumps(agent).encode())
        await asyncio.sleep(HEARTBEAT_S)


async def case(site, trouble):
    site.configure([(*TARGET, 'unsafe', 'matcher')])
    for _ in range(2):
        site.add_entry()
    for _ in range(2):
        site.add_host('matcher')
    await site.open()
    await site.start_all()
    client = await site.add_client()
    host = site.hosts[0]

    opened = []
    for _ in range(20):
        flow = await client.connect(TARGET)
        await client.ask(flow, f'first-{flow.port}')
        opened.append(flow)
    await asyncio.sleep(0.3)
    # Another writer keeps an entry, of a service that no configuration names.
    born_ms = now_ms()
    agent_task = asyncio.create_task(write_agent(site, host, born_ms))
    site.record(f'another writer adds an entry of the service metrics-agent at {host.ip}')
    await asyncio.sleep(0.5)
    if trouble:
        for entry in site.entries:
            entry.signal(signal.SIGKILL)
            entry.process.wait()
        await asyncio.sleep(RESTART_S)
        for entry in site.entries:
            entry.start()
    else:
        await asyncio.sleep(RESTART_S)
    # All is calm for longer than ContactMs.
    await asyncio.sleep(6.0)
    if not all(map(site.router.in_rotation, site.entries)):
        raise RuntimeError('the entries are not ready')

    async def next_request(flow):
        try:
            await client.ask(flow, f'next-{flow.port}')
        except FlowLost as error:
            site.record(f'next-{flow.port} fails: {error}')

    await asyncio.gather(*map(next_request, opened))
    agent_task.cancel()
    broken = 0
    for flow, own, was_open, sender in client.resets:
        key = ((client.ip, flow.port), TARGET)
        holder = next((h for h in site.hosts if h.alive and key in h.flows and h.flows[key].open), None)
        if own and was_open and holder:
            broken += 1
            site.record(f'BROKEN: flow {flow.port} is open at {holder.name}, which lives; {sender} reset it')
    site.record(f'{broken} open flows of living hosts were reset by the system')
    return 1 if broken else 0


main(case, Path(__file__).parent)
