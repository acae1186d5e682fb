"""A flow from a port that was used before is reset when another entry takes it."""

import asyncio
import sys
from pathlib import Path
from signal import SIGTERM

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / 'rig3'))

from ends import Reset, Unanswered  # noqa: E402
from site3 import TROUBLE, Site, main  # noqa: E402

TARGET = ('127.18.0.1', 8443)


async def run(case):
    """Return whether the flow that is open stays open."""
    site = Site(case)
    try:
        await site.open(['matcher'] * 3, 2, [(TARGET, 'matcher', 'unsafe')])
        client = site.clients[0]
        flow = await client.connect(TARGET)
        port = flow.port
        body = await client.request(flow, 'a1', close=True)
        await client.finish(flow, host_first=True)
        case.note(f'a1 answered "{body}"; host and client closed the flow')
        await asyncio.sleep(0.5)
        flow = await client.connect(TARGET, port)
        body = await client.request(flow, 'b1')
        case.note(f'b1 answered "{body}" on a new flow from port {port}')
        host = next(h for h in site.hosts if h.name == body.split()[1])
        await asyncio.sleep(8)
        entry = next(e for e in site.entries if e.ip == site.entry_for(port))
        if TROUBLE:
            entry.send(SIGTERM)
            case.note(f'{entry.name} gets SIGTERM (planned stop)')
            await entry.ended(6)
            case.note(f'{entry.name} has ended; it starts again in 0.5 s')
            await asyncio.sleep(0.5)
            entry.start()
        else:
            await asyncio.sleep(1.7)
        held = host.holds(client.ip, port)
        case.note(
            f'{host.name} holds the flow: {held}; '
            f'it goes through {site.entry_for(port)} now'
        )
        try:
            body = await client.request(flow, 'b2')
            case.note(f'b2 answered "{body}"')
        except Reset as error:
            case.note(f'b2: flow reset {error}')
        except Unanswered as error:
            case.note(f'b2: no answer ({error})')
        ran = any(name == 'b2' for _, name in host.arrivals)
        still = host.holds(client.ip, port)
        case.note(f'b2 ran: {ran}; {host.name} holds the flow: {still}')
        case.note(f'reset by: {flow.reset_by or "nobody"}')
        for line in site.decisions('flow.reset', 'flow.search', 'stopping'):
            case.note(line)
        return not (held and flow.reset_by and flow.reset_by != host.ip)
    finally:
        await site.close()


if __name__ == '__main__':
    sys.exit(main(run, Path(__file__).parent))
