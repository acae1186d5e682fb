"""An entry that names no host lets a sidecar forget the open flows of its own."""

import asyncio
import json
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / 'rig2'))

from standins import HEARTBEAT_S, FlowLost, main, now_ms

TARGET = ('198.18.0.1', 8443)
DOWN_S = 4.5
# Hosts are back in the store within about two seconds of its return.
BACK_S = 1.7


async def write_agent(site, host, born_ms):
    """Write the entry as hosts do; it lapses and comes back as theirs do."""
    sequence, written = 0, 0.0
    while True:
        if not site.store.mode:
            sequence += 1
            written = time.monotonic()
            agent = {
                'Service': 'metrics-agent', 'Address': f'{host.ip}:9100', 'Zone': host.zone, 'Version': 'v1',
                'Slots': 1, 'State': 'ready', 'WarmupLeftMs': 0, 'Sequence': sequence, 'born': born_ms,
            }
            site.store.put('servers/metrics-agent-1', json.dumps(agent).encode())
        elif time.monotonic() - written > 3 * HEARTBEAT_S:
            site.store.put('servers/metrics-agent-1', None)
        await asyncio.sleep(0.1 if site.store.mode else HEARTBEAT_S)


async def case(site, trouble):
    site.configure([(*TARGET, 'unsafe', 'matcher')])
    for _ in range(2):
        site.add_entry()
    for _ in range(2):
        site.add_host('matcher')
    await site.open()
    await site.start_all()
    client = await site.add_client()
    first = site.entries[0]
    host = site.hosts[0]

    def prefers_first(port):
        return site.router.order(client.ip, port, TARGET)[0] is first

    opened = []
    for _ in range(20):
        flow = await client.connect(TARGET, client.new_port(prefers_first))
        await client.ask(flow, f'first-{flow.port}')
        opened.append(flow)
    start = time.monotonic()
    await asyncio.sleep(0.3)
    # Another writer keeps an entry, of a service that no configuration names.
    born_ms = now_ms()
    agent_task = asyncio.create_task(write_agent(site, host, born_ms))
    site.record(f'another writer adds an entry of the service metrics-agent at {host.ip}')
    await asyncio.sleep(0.5)
    if trouble:
        site.store.mode = 'silent'
        for one in site.hosts:
            one.heartbeats = False
        site.record('the store is down')
    await asyncio.sleep(DOWN_S)
    if trouble:
        site.store.mode = ''
        site.record('the store is back, without the entries of the hosts')
    await asyncio.sleep(BACK_S)
    for one in site.hosts:
        one.heartbeats = True
        one.write()
    site.record('the hosts have written their entries')
    # All is calm for longer than ContactMs.
    await asyncio.sleep(max(0, start + 11.8 - time.monotonic()))
    # Planned work: entry-1 is restarted; its flows move to entry-2.
    restart = asyncio.create_task(first.restart())
    while site.router.in_rotation(first):
        await asyncio.sleep(0.02)

    async def next_request(flow):
        try:
            await client.ask(flow, f'next-{flow.port}')
        except FlowLost as error:
            site.record(f'next-{flow.port} fails: {error}')

    await asyncio.gather(*map(next_request, opened))
    await restart
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
