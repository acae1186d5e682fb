"""A flow on a healthy host is reset by an entry that once tried another host."""

import asyncio
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / 'rig2'))

from standins import FlowLost, main

TARGET = ('127.1.0.1', 8443)


async def case(site, trouble):
    site.configure([(*TARGET, 'unsafe', 'matcher')])
    for _ in range(2):
        site.add_entry()
    for _ in range(3):
        site.add_host('matcher')
    await site.open()
    await site.start_all()
    client = await site.add_client()
    first, second = site.entries
    lost_host, lost_side = site.hosts[0], site.sidecars[0]

    def prefers_second(port):
        return site.router.order(client.ip, port, TARGET)[0] is second

    # Planned work: entry-2 is stopped and started again.
    await second.restart()
    opened = []

    async def open_flow(port):
        try:
            flow = await client.connect(TARGET, port)
            await client.ask(flow, f'first-{port}')
            opened.append(flow)
        except FlowLost:
            pass

    if trouble:
        # The machine of one host loses power for good.
        lost_side.kill()
        lost_host.crash()
    # Clients open flows while entry-2 comes back into rotation.
    tasks = []
    end = time.monotonic() + 10
    joined = None
    while time.monotonic() < end:
        tasks.append(asyncio.create_task(open_flow(client.new_port(prefers_second))))
        await asyncio.sleep(0.015)
        if joined is None and site.router.in_rotation(second):
            joined = time.monotonic()
        if joined and time.monotonic() > joined + 0.3:
            break
    await asyncio.gather(*tasks)
    moved = [flow for flow in opened if len(set(flow.copies)) == 2]
    site.record(f'{len(opened)} flows are open, {len(moved)} of them by a copy that went to entry-2')
    # The clients pause. Everything but the lost machine is calm for 4.5 s.
    await asyncio.sleep(4.5)
    # Planned work: entry-2 is stopped again; its flows move to entry-1.
    restart = asyncio.create_task(second.restart())
    while site.router.in_rotation(second):
        await asyncio.sleep(0.02)
    site.record('the clients send their next requests')
    flows = [flow for flow in opened if flow.target == TARGET]

    async def next_request(flow):
        try:
            await client.ask(flow, f'next-{flow.port}')
        except FlowLost as error:
            site.record(f'next-{flow.port} fails: {error}')

    await asyncio.gather(*(next_request(flow) for flow in flows))
    await restart
    broken = 0
    for flow, own, was_open, sender in client.resets:
        key = ((client.ip, flow.port), TARGET)
        holder = next((h for h in site.hosts if h.alive and key in h.opened), None)
        if own and was_open and holder and holder.flows.get(key) and holder.flows[key].open:
            broken += 1
            site.record(f'BROKEN: flow {flow.port} is open at {holder.name}, which lives; {sender} reset it')
    site.record(f'{broken} open flows of living hosts were reset by the system')
    return 1 if broken else 0


main(case, Path(__file__).parent)
