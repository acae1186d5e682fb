"""An unreadable entry of another writer hides that a host drains."""

import asyncio
import json
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / 'rig3'))

from ends import Reset, Unanswered  # noqa: E402
from site3 import BOUNDS, TROUBLE, Site, main  # noqa: E402

TARGET = ('127.18.0.1', 8443)
DRAIN_S = BOUNDS['DrainMs'] / 1000
# Left for a first packet that was under way at the bound.
MARGIN_S = 0.1
# Until the host exits, after the store has accepted that it drains.
EXIT_S = 5
WORK_S = 0.3


async def ask(case, client, name, answers):
    """Send one request on a flow of its own, as a client of an unsafe route."""
    try:
        flow = await client.connect(TARGET)
    except (Reset, Unanswered) as error:
        answers[name] = f'not opened: {error}'
        return
    try:
        answers[name] = await client.request(flow, name)
        await client.finish(flow)
    except (Reset, Unanswered) as error:
        answers.setdefault(name, f'LOST: {type(error).__name__} {error}')


async def run(case):
    """Return whether no flow reaches the host after the bound."""
    site = Site(case)
    try:
        await site.open(['matcher'] * 3, 2, [(TARGET, 'matcher', 'unsafe')])
        client = site.clients[0]
        for host in site.hosts:
            host.work_s = WORK_S
        host = site.hosts[0]
        await asyncio.sleep(1)
        if TROUBLE:
            # The entry of the host as it was, with a line behind it: no JSON.
            copy = json.dumps(host.document()).encode() + b'\n# copy of 02:00\n'
            await site.put(f'servers/{host.name}.bak', copy)
            case.note(f'another writer has written {copy!r}')
        await asyncio.sleep(2)
        host.draining = True
        acknowledged = await site.register(host)
        case.note(f'the store has acknowledged that {host.name} drains')
        answers = {}
        tasks = []
        gone = False
        while (after := time.monotonic() - acknowledged) < EXIT_S + 0.5:
            name = f'r{len(tasks)}'
            tasks.append(asyncio.create_task(ask(case, client, name, answers)))
            if after > EXIT_S and not gone:
                gone = True
                host.crash()
                await site.put(f'servers/{host.name}', None)
                case.note(f'{host.name} exits as planned and leaves the store')
            await asyncio.sleep(0.1)
        await asyncio.gather(*tasks)
        late = [
            round(at - acknowledged, 3)
            for at, _ in host.openings
            if at - acknowledged > DRAIN_S + MARGIN_S
        ]
        case.note(f'{len(tasks)} requests sent')
        case.note(f'flows that {host.name} took after the bound, at s: {late}')
        for other in site.hosts:
            after = [at for at, _ in other.openings if at > acknowledged]
            case.note(f'{other.name} took {len(after)} flows')
        for name in answers:
            if answers[name].startswith(('LOST', 'not')):
                ran = [n for _, n in host.arrivals if n == name]
                case.note(f'{name}: {answers[name]}; began to run: {bool(ran)}')
        for line in site.decisions('host.changed', 'record.refused'):
            case.note(line)
        return not late
    finally:
        await site.close()


if __name__ == '__main__':
    sys.exit(main(run, Path(__file__).parent))
